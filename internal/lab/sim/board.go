package sim

import (
	"bytes"
	"fmt"
	"strings"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/net/blockwise"

	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/lab/backend"
)

const (
	notifyInterval = time.Second
	// silenceLimit is the longest time a board may get no notification.
	silenceLimit = 8 * time.Second
	// hearLimit is the longest time until a caller hears that its target died.
	hearLimit        = 10 * time.Second
	reopenWait       = time.Second
	registerPatience = 12 * time.Second
	downloadPatience = 30 * time.Second
	blockPatience    = 12 * time.Second
	blockExponent    = 6
)

// board is a flow that stays open, with notifications and requests.
type board struct {
	*caller
	target string
	last   kernel.Instant
	token  string
	ended  bool
}

// openBoard starts an observation; while it is refused it tries again.
func (w *World) openBoard() {
	if w.stopping {
		return
	}
	opened := &board{caller: w.newCaller(w.setup.Booking)}
	request := withPath(message.Message{Code: codes.GET}, "/board")
	options, _, _ := request.Options.SetObserve(make([]byte, 8), 0)
	request.Options = options
	retry := func() {
		opened.close()
		w.report.Count("board opened again")
		w.clock.After(reopenWait, w.openBoard)
	}
	opened.send(request, registerPatience, func(received message.Message) {
		if received.Code != codes.Content {
			retry()
			return
		}
		opened.begin(received)
	}, retry)
}

func (b *board) begin(received message.Message) {
	b.token = string(received.Token)
	b.last = b.world.clock.Now()
	b.notify = b.notified
	b.world.report.FlowOpened()
	name, _, _ := strings.Cut(string(received.Payload), " ")
	b.see(name)
	b.watch()
	b.schedulePost()
}

// see checks that all answers of a flow come from one target.
func (b *board) see(name string) {
	b.last = b.world.clock.Now()
	if b.target == "" {
		b.target = name
	}
	if b.target != name {
		b.end(fmt.Sprintf("moved from %s to %s", b.target, name))
	}
}

func (b *board) notified(received message.Message) {
	if b.ended || string(received.Token) != b.token {
		return
	}
	if received.Code != codes.Content {
		b.end(fmt.Sprintf("observation ended with %v", received.Code))
		return
	}
	name, _, _ := strings.Cut(string(received.Payload), " ")
	b.see(name)
}

// end closes the board. It counts as broken unless its target had died, of
// which the caller must hear in time.
func (b *board) end(reason string) {
	if b.ended {
		return
	}
	b.ended = true
	b.close()
	w := b.world
	w.clock.After(reopenWait, w.openBoard)
	if died := w.backends[b.target]; died != nil && died.diedAt > b.opened {
		taken := w.clock.Now().Sub(died.diedAt)
		w.report.Count("board ended with its target")
		if taken > hearLimit {
			w.violate(RuleHearOfDeath, "%s heard after %s that %s died", b.address, taken, b.target)
		}
		return
	}
	w.trace("board %s of %s is broken: %s", b.address, b.target, reason)
	w.report.FlowBroken(fmt.Sprintf("board %s of %s: %s", b.address, b.target, reason))
}

func (b *board) watch() {
	if b.ended || b.world.stopping {
		return
	}
	if silent := b.world.clock.Now().Sub(b.last); silent > silenceLimit {
		b.end(fmt.Sprintf("no notification for %s", silent))
		return
	}
	b.world.clock.After(250*time.Millisecond, b.watch)
}

func (b *board) schedulePost() {
	rate := b.world.plan.PostRate / float64(b.world.plan.Boards)
	b.world.clock.After(b.world.exponential(rate), func() {
		if b.ended || b.world.stopping {
			return
		}
		b.post(func(name string) {
			if !b.ended {
				b.see(name)
			}
		})
		b.schedulePost()
	})
}

// visits opens short flows with one request each.
func (w *World) visits() {
	w.clock.After(w.exponential(w.plan.VisitRate), func() {
		if w.stopping {
			return
		}
		visitor := w.newCaller(w.setup.Booking)
		visitor.post(nil)
		w.clock.After(requestDeadline+answerGrace+time.Second, visitor.close)
		w.visits()
	})
}

// download fetches one document block by block.
type download struct {
	*caller
	name    string
	content []byte
	etag    []byte
	number  int64
	started kernel.Instant
}

func (w *World) startDownload() {
	if w.stopping {
		return
	}
	w.nextDownload++
	next := &download{
		caller:  w.newCaller(w.setup.Documents),
		name:    fmt.Sprintf("name=document-%d", w.nextDownload),
		started: w.clock.Now(),
	}
	next.fetch()
}

func (d *download) fetch() {
	request := withPath(message.Message{Code: codes.GET}, backend.DocumentPath)
	request.Options = request.Options.Add(message.Option{ID: message.URIQuery, Value: []byte(d.name)})
	if d.number > 0 {
		block, _ := blockwise.EncodeBlockOption(blockExponent, d.number, false)
		options, _, _ := request.Options.SetUint32(make([]byte, 8), message.Block2, block)
		request.Options = options
	}
	d.send(request, blockPatience, d.receiveBlock, d.unanswered)
}

func (d *download) receiveBlock(received message.Message) {
	if received.Code == codes.ServiceUnavailable && d.world.clock.Now().Sub(d.started) < downloadPatience {
		d.world.clock.After(reopenWait, d.fetch)
		return
	}
	if received.Code != codes.Content {
		d.finish(fmt.Sprintf("ended with %v", received.Code))
		return
	}
	etag, _ := received.Options.GetBytes(message.ETag)
	if d.etag != nil && !bytes.Equal(d.etag, etag) {
		d.finish("its content changed on the way")
		return
	}
	d.etag = bytes.Clone(etag)
	d.content = append(d.content, received.Payload...)
	value, _ := received.Options.GetUint32(message.Block2)
	_, number, more, _ := blockwise.DecodeBlockOption(value)
	if number != d.number {
		d.finish(fmt.Sprintf("block %d came for block %d", number, d.number))
		return
	}
	if !more {
		d.finish("")
		return
	}
	d.number++
	d.fetch()
}

func (d *download) unanswered() {
	if !d.world.plan.DownloadsMayFail {
		d.finish("no answer to a block")
		return
	}
	d.world.report.Count("download given up")
	d.close()
	d.world.clock.After(reopenWait, d.world.startDownload)
}

func (d *download) finish(problem string) {
	if problem == "" && !bytes.Equal(d.content, backend.Document(d.name)) {
		problem = "its content is wrong"
	}
	if problem != "" {
		d.world.trace("download %s: %s", d.address, problem)
		problem = fmt.Sprintf("%s at block %d: %s", d.address, d.number, problem)
	}
	d.world.report.Download(problem, d.world.clock.Now().Sub(d.started))
	d.close()
	d.world.clock.After(d.world.exponential(2), d.world.startDownload)
}
