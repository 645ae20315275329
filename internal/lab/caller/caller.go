// Package caller makes load with an unmodified CoAP client, and checks every answer: boards that stay open with notifications,
// requests that may not be repeated, and downloads.
package caller

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/message/pool"
	"github.com/plgd-dev/go-coap/v3/net/blockwise"
	"github.com/plgd-dev/go-coap/v3/options"
	"github.com/plgd-dev/go-coap/v3/pkg/runner/periodic"
	"github.com/plgd-dev/go-coap/v3/udp"
	"github.com/plgd-dev/go-coap/v3/udp/client"

	"github.com/beamdoor/beamdoor/internal/coapmsg"
	"github.com/beamdoor/beamdoor/internal/lab/report"
)

// Settings describe the load.
type Settings struct {
	Booking   string
	Documents string
	// Boards is the number of flows that stay open; each also sends requests.
	Boards int
	// Rate is the number of requests a second over all boards.
	Rate float64
	// Visits is the number of short flows a second, with one request each.
	Visits float64
	// Downloads is the number of downloads that run at any time.
	Downloads int
	Duration  time.Duration
	Deadline  time.Duration
	// Silence is the longest time a board may get no notification.
	Silence time.Duration
	Seed    uint64
}

const (
	// The last retransmission comes after 7 to 9.1 s, within the span that the
	// services declare, 10 s.
	acknowledgeTimeout = time.Second
	acknowledgeFactor  = 1.3
	maxRetransmit      = 3
	// retransmitTick is how often the client looks for what is due.
	retransmitTick   = 50 * time.Millisecond
	parallelRequests = 16
	requestGrace     = 15 * time.Second
)

// Load runs the settings and fills a report.
type Load struct {
	settings Settings
	report   *report.Report
	mutex    sync.Mutex
	random   *rand.Rand
	nextID   uint64
	runner   periodic.Func
}

// New returns a load.
func New(settings Settings) *Load {
	return &Load{
		settings: settings,
		report:   report.New(),
		random:   rand.New(rand.NewPCG(settings.Seed, settings.Seed)),
		runner:   periodic.New(make(chan struct{}), retransmitTick),
	}
}

// Run makes the load until its duration has passed, and returns the report.
func (l *Load) Run(ctx context.Context) *report.Report {
	stop := time.Now().Add(l.settings.Duration)
	var group sync.WaitGroup
	spawn := func(count int, run func()) {
		for range count {
			group.Add(1)
			go func() {
				defer group.Done()
				run()
			}()
		}
	}
	spawn(l.settings.Boards, func() { l.runBoard(ctx, stop) })
	spawn(l.settings.Downloads, func() { l.runDownloads(ctx, stop) })
	if l.settings.Visits > 0 {
		spawn(1, func() { l.runVisits(ctx, stop, &group) })
	}
	group.Wait()
	return l.report
}

func (l *Load) dial(address string) (*client.Conn, error) {
	return udp.Dial(address,
		options.WithTransmission(parallelRequests, acknowledgeTimeout, maxRetransmit, acknowledgeFactor),
		options.WithPeriodicRunner(l.runner),
		options.WithBlockwise(false, blockwise.SZX1024, requestGrace),
		options.WithErrors(func(error) {}))
}

// exponential draws the time to the next event of a rate.
func (l *Load) exponential(rate float64) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return time.Duration(l.random.ExpFloat64() / rate * float64(time.Second))
}

func (l *Load) newID() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.nextID++
	return fmt.Sprintf("%x-%d", l.settings.Seed, l.nextID)
}

// board is one open flow and what it has seen.
type board struct {
	load   *Load
	mutex  sync.Mutex
	target string
	last   time.Time
	broken bool
	reason string
}

// see checks that all answers of a flow come from one target.
func (b *board) see(name string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.last = time.Now()
	if b.target == "" {
		b.target = name
	}
	if b.target != name && !b.broken {
		b.broken = true
		b.reason = fmt.Sprintf("moved from %s to %s", b.target, name)
	}
}

func (b *board) fail(reason string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if !b.broken {
		b.broken = true
		b.reason = reason
	}
}

func (b *board) silentFor() time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return time.Since(b.last)
}

func (b *board) notified(received *pool.Message) {
	if received.Code() != codes.Content {
		b.fail(fmt.Sprintf("observation ended with %v", received.Code()))
		return
	}
	body, err := received.ReadBody()
	if err != nil {
		return
	}
	name, _, _ := strings.Cut(string(body), " ")
	b.see(name)
}

// openBoard starts an observation; while the service refuses or is not
// reached it tries again.
func (l *Load) openBoard(ctx context.Context, stop time.Time) (*board, *client.Conn) {
	for time.Now().Before(stop) {
		connection, err := l.dial(l.settings.Booking)
		if err != nil {
			time.Sleep(time.Second)
			continue
		}
		opened := &board{load: l, last: time.Now()}
		attempt, cancel := context.WithTimeout(ctx, requestGrace)
		_, err = connection.Observe(attempt, "/board", opened.notified)
		cancel()
		if err == nil && opened.target != "" && !opened.broken {
			return opened, connection
		}
		_ = connection.Close()
		l.report.Count("board_open_retried")
		time.Sleep(time.Second)
	}
	return nil, nil
}

func (l *Load) runBoard(ctx context.Context, stop time.Time) {
	time.Sleep(l.exponential(2) % (2 * time.Second))
	opened, connection := l.openBoard(ctx, stop)
	if opened == nil {
		l.report.Count("board_never_opened")
		return
	}
	defer func() { _ = connection.Close() }()
	l.report.FlowOpened()
	rate := l.settings.Rate / float64(l.settings.Boards)
	for time.Now().Before(stop) {
		pause := time.Until(stop)
		if rate > 0 {
			pause = min(pause, l.exponential(rate))
		}
		l.watch(opened, time.Now().Add(pause))
		if rate > 0 && time.Now().Before(stop) {
			l.post(ctx, connection, opened)
		}
	}
	opened.mutex.Lock()
	defer opened.mutex.Unlock()
	if opened.broken {
		l.report.FlowBroken(opened.reason)
	}
}

const watchInterval = 250 * time.Millisecond

// watch waits and notes when the board freezes.
func (l *Load) watch(opened *board, until time.Time) {
	for time.Now().Before(until) {
		time.Sleep(min(watchInterval, time.Until(until)))
		if silent := opened.silentFor(); silent > l.settings.Silence {
			opened.fail(fmt.Sprintf("no notification for %s", silent.Round(time.Second)))
		}
	}
}

func (l *Load) runVisits(ctx context.Context, stop time.Time, group *sync.WaitGroup) {
	for time.Now().Before(stop) {
		time.Sleep(l.exponential(l.settings.Visits))
		group.Add(1)
		go func() {
			defer group.Done()
			connection, err := l.dial(l.settings.Booking)
			if err != nil {
				return
			}
			defer func() { _ = connection.Close() }()
			l.post(ctx, connection, &board{load: l})
		}()
	}
}

func deadlineOption(deadline time.Duration) message.Option {
	buffer := make([]byte, 4)
	size, err := message.EncodeUint32(buffer, uint32(deadline.Milliseconds()))
	if err != nil {
		return message.Option{}
	}
	return message.Option{ID: coapmsg.DeadlineOption, Value: buffer[:size]}
}

// post sends one request that may not be repeated and notes its outcome.
func (l *Load) post(ctx context.Context, connection *client.Conn, flow *board) {
	id := l.newID()
	attempt, cancel := context.WithTimeout(ctx, l.settings.Deadline+requestGrace)
	defer cancel()
	start := time.Now()
	response, err := connection.Post(attempt, "/book", message.TextPlain, bytes.NewReader([]byte(id)), deadlineOption(l.settings.Deadline))
	if err != nil {
		l.report.Note(fmt.Sprintf("no answer, begun at %s from %s: %v", start.Format(time.StampMilli), connection.LocalAddr(), err))
		l.report.Request(id, report.NoAnswer, time.Since(start))
		return
	}
	outcome := l.readOutcome(response, id, flow)
	l.report.Request(id, outcome, time.Since(start))
}

func (l *Load) readOutcome(response *pool.Message, id string, flow *board) report.Outcome {
	body, err := response.ReadBody()
	if err != nil {
		return report.Wrong
	}
	outcome, target := report.ReadOutcome(response.Code(), string(body), id)
	if outcome == report.Done {
		flow.see(target)
	}
	return outcome
}
