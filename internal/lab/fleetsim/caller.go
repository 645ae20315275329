package fleetsim

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/lab/flowrules"
	"github.com/beamdoor/beamdoor/internal/registry"
	"github.com/beamdoor/beamdoor/internal/steer"
)

const (
	firstCopy   = 200 * time.Millisecond
	secondCopy  = 600 * time.Millisecond
	openLimit   = 1400 * time.Millisecond
	resendFirst = 200 * time.Millisecond
	deadline    = 2 * time.Second
	// pauseTime is the mean time between two requests of a caller.
	pauseTime = 150 * time.Millisecond
	dataSize  = 100
)

var (
	boards    = netip.MustParseAddrPort("198.18.0.1:443")
	documents = netip.MustParseAddrPort("198.18.0.2:443")
)

// allow tells the oracle where all configurations lead.
func allow(oracle *flowrules.Oracle) {
	oracle.Allow(boards.String(), "boards")
	oracle.Allow(documents.String(), "documents")
}

func configuration(version uint64) directory.Configuration {
	route := func(name string, virtual netip.AddrPort) directory.Route {
		return directory.Route{
			Name: name, Address: virtual, Timeout: time.Duration(1+version%3) * time.Second,
			Backends: []directory.Backend{{Service: name, Weight: 1}},
		}
	}
	return directory.Configuration{
		Version: version, Routes: []directory.Route{route("boards", boards), route("documents", documents)},
		Services: []directory.Service{{Name: "boards"}, {Name: "documents"}},
	}
}

func ignoreOutcome(registry.Outcome) {}

// caller sends one request after the other, over one flow as long as it lasts.
type caller struct {
	world  *World
	number int
	zone   string
	port   uint16
	flow   *flow
}

// flow is a caller's flow.
type flow struct {
	caller *caller
	key    steer.FlowKey
	token  directory.Token
	target *target
	open   bool
	ended  bool
	// sequence counts requests; waiting is set while one has no answer.
	sequence uint32
	acked    uint32
	waiting  bool
	sentAt   kernel.Instant
}

// isFresh reports whether the caller opens a flow for each request.
func (c *caller) isFresh() bool { return c.number%3 == 2 }

func (c *caller) start() { c.world.after(c.pause(), c.next) }

func (c *caller) pause() time.Duration {
	return pauseTime/2 + time.Duration(c.world.random.Int64N(int64(pauseTime)))
}

// next begins a request, over a new flow when there is none.
func (c *caller) next() {
	if c.flow == nil {
		c.open()
		return
	}
	c.flow.request()
}

func (c *caller) open() {
	w := c.world
	c.port++
	virtual := boards
	if c.isFresh() {
		virtual = documents
	}
	ip := netip.AddrFrom4([4]byte{100, 64, byte(c.number >> 8), byte(c.number)})
	f := &flow{caller: c, key: steer.FlowKey{Caller: netip.AddrPortFrom(ip, 1000+c.port), Virtual: virtual}}
	c.flow = f
	w.oracle.Ask(false)
	for copies, delay := range []time.Duration{0, firstCopy, secondCopy} {
		w.after(delay, func() {
			if !f.open && !f.ended {
				f.send(steer.Packet{Opening: true, Copy: uint32(copies)})
			}
		})
	}
	w.after(openLimit, func() {
		if !f.open && !f.ended {
			f.fail("not opened")
		}
	})
}

// send sends a packet through the routers.
func (f *flow) send(p steer.Packet) {
	w := f.caller.world
	p.Flow = f.key
	p.Token = f.token
	p.Acknowledged = f.acked
	e := w.route(f)
	if e == nil || w.isLost() {
		return
	}
	w.after(callerTime, func() { e.packet(p, f) })
}

// route picks the node of a flow among those that are in.
func (w *World) route(f *flow) *edge {
	var best *edge
	highest := uint64(0)
	in := 0
	for _, e := range w.edges {
		if e.in {
			in++
		}
	}
	for _, e := range w.edges {
		score := xxhash.Sum64String(e.name + f.key.Caller.String() + f.key.Virtual.String())
		if (e.in || in*2 < len(w.edges)) && score >= highest {
			best, highest = e, score
		}
	}
	return best
}

// opened takes a SYN+ACK; the first one opens the flow.
func (f *flow) opened(t *target, token directory.Token) {
	if f.open || f.ended {
		return
	}
	f.open = true
	f.target = t
	f.token = token
	f.acked = 1
	f.send(steer.Packet{})
	f.request()
}

func (f *flow) request() {
	if f.ended {
		return
	}
	w := f.caller.world
	f.sequence++
	f.waiting = true
	f.sentAt = w.now
	if f.sequence > 1 {
		w.oracle.Ask(false)
	}
	f.resend(f.sequence, resendFirst)
	sequence := f.sequence
	w.after(deadline, func() {
		if !f.ended && f.waiting && f.sequence == sequence {
			f.fail("deadline")
		}
	})
}

// resend sends the request of a sequence number until it is answered.
func (f *flow) resend(sequence uint32, pause time.Duration) {
	if f.ended || !f.waiting || f.sequence != sequence {
		return
	}
	f.send(steer.Packet{Size: dataSize, Sequence: sequence * dataSize})
	f.caller.world.after(pause, func() { f.resend(sequence, 2*pause) })
}

// answer takes the answer to a request.
func (f *flow) answer(t *target, sequence uint32) {
	if f.ended || !f.waiting || t != f.target || sequence != f.sequence*dataSize {
		return
	}
	w := f.caller.world
	f.waiting = false
	f.acked++
	w.oracle.Served(w.now.Sub(f.sentAt))
	f.send(steer.Packet{})
	if f.caller.isFresh() {
		f.close()
	}
	w.after(f.caller.pause(), f.caller.next)
}

// close ends a flow that has served its purpose.
func (f *flow) close() {
	f.send(steer.Packet{Closing: true})
	f.ended = true
	f.caller.flow = nil
}

// reset takes a reset of a node.
func (f *flow) reset(from *edge) {
	if f.ended {
		return
	}
	w := f.caller.world
	if f.open {
		w.oracle.Reset(flowrules.FlowReset{
			Caller: f.key.Caller.String(), Target: f.target.id, By: from.name,
			Lives: f.target.lives, Calm: w.undisturbed(f.target.id, from.name),
		})
	}
	f.fail("reset")
}

// resetByTarget takes a reset of a target that does not hold the flow.
func (f *flow) resetByTarget() {
	if f.ended {
		return
	}
	w := f.caller.world
	if f.open {
		w.oracle.Reset(flowrules.FlowReset{
			Caller: f.key.Caller.String(), Target: f.target.id, By: "a target that does not hold it",
			Lives: f.target.lives && f.target.flows[f], Calm: w.undisturbed(f.target.id),
		})
	}
	f.fail("reset by target")
}

func (f *flow) fail(reason string) {
	w := f.caller.world
	w.oracle.Failed(reason)
	f.ended = true
	if f.caller.flow == f {
		f.caller.flow = nil
	}
	w.after(f.caller.pause(), f.caller.next)
}
