// Package backend provides the deterministic core of the stand-in for a back
// end: boards and sessions with notifications (CoAP Observe, RFC 7641),
// requests that may not be repeated, and block-wise downloads (RFC 7959). It
// has a few slots, starts cold, sheds load, drains, and can lie about its
// load. The stand-in process and the simulator run the same core.
package backend

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sort"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	beamdoorv1 "github.com/beamdoor/beamdoor/api/beamdoor/v1"
	"github.com/beamdoor/beamdoor/internal/coapmsg"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/proxyheader"
	"github.com/beamdoor/beamdoor/internal/wire"
)

const (
	// acknowledgeAfter is the time after which a request that still runs gets
	// an empty acknowledgement and its answer separately.
	acknowledgeAfter = 400 * time.Millisecond
	// coldFactor is how much longer a request takes right after the start.
	coldFactor = 3
	// longestFactor bounds the drawn service time, in multiples of the mean.
	longestFactor = 8
	// flowIdle is the time after which a flow is no longer counted.
	flowIdle = 30 * time.Second
)

// Settings are the settings of a back end.
type Settings struct {
	Name    string
	Service netip.AddrPort
	Slots   int
	// Queue is the number of waiting requests at which it sheds load.
	Queue       int
	ServiceTime time.Duration
	Notify      time.Duration
	ColdStart   time.Duration
	// DetectDuplicates remembers requests and does not run them again.
	DetectDuplicates bool
	// NoServiceCheck serves packets of other services too, for tests.
	NoServiceCheck bool
	Seed           uint64
	// Run identifies this run in the load report.
	Run uint64
}

// Behaviour makes a back end misbehave.
type Behaviour struct {
	// ReportLag delays the load report.
	ReportLag time.Duration
	// Lie makes the report show an idle target.
	Lie bool
	// NotReady makes the report ask for no work.
	NotReady bool
}

// EventKind tells what happened in a back end.
type EventKind uint8

// The kinds of events.
const (
	// Reply is a packet for a caller.
	Reply EventKind = iota + 1
	// Ran says that a request began to run; it is recorded before its effect.
	Ran
	// Foreign is a packet for another service; it is dropped unless Served.
	Foreign
	// FlowSeen is the first packet of a caller.
	FlowSeen
)

// Event is something that the back end did.
type Event struct {
	Kind    EventKind
	Caller  netip.AddrPort
	Tag     wire.ForwardTag
	Payload []byte
	// ID is the identity of the request that ran.
	ID string
	// Served says that a foreign packet was not dropped.
	Served bool
}

// exchange identifies a request for the detection of duplicates.
type exchange struct {
	caller    netip.AddrPort
	messageID uint16
	token     string
}

// work is one request that waits or runs.
type work struct {
	key          exchange
	tag          wire.ForwardTag
	request      message.Message
	id           string
	arrived      kernel.Instant
	deadline     time.Duration
	ends         kernel.Instant
	running      bool
	acknowledged bool
}

// observation is one caller that gets notifications.
type observation struct {
	caller   netip.AddrPort
	token    []byte
	tag      wire.ForwardTag
	sequence uint32
}

type timedReport struct {
	at     kernel.Instant
	report *beamdoorv1.LoadResponse
}

// Backend is the core of one back end. One goroutine owns it.
type Backend struct {
	settings     Settings
	started      kernel.Instant
	parser       *coapmsg.Parser
	random       *rand.Rand
	queue        []*work
	running      []*work
	answers      map[exchange][]byte
	observations map[netip.AddrPort]*observation
	flows        map[netip.AddrPort]kernel.Instant
	behaviour    Behaviour
	reports      []timedReport
	draining     bool
	messageID    uint16
	nextNotify   kernel.Instant
	events       []Event
}

// New returns a back end that has just started.
func New(now kernel.Instant, settings Settings) *Backend {
	return &Backend{
		settings:     settings,
		started:      now,
		parser:       coapmsg.NewParser(),
		random:       rand.New(rand.NewPCG(settings.Seed, settings.Seed)),
		answers:      map[exchange][]byte{},
		observations: map[netip.AddrPort]*observation{},
		flows:        map[netip.AddrPort]kernel.Instant{},
		nextNotify:   now.Add(settings.Notify),
	}
}

// SetBehaviour makes the back end misbehave from now on.
func (b *Backend) SetBehaviour(behaviour Behaviour) { b.behaviour = behaviour }

// Drain tells the back end that it is leaving.
func (b *Backend) Drain(draining bool) { b.draining = draining }

// Name returns the name.
func (b *Backend) Name() string { return b.settings.Name }

// Receive handles a datagram that came through a balancer.
func (b *Backend) Receive(now kernel.Instant, header proxyheader.Header, payload []byte) []Event {
	b.events = nil
	if header.Tag == nil {
		return nil
	}
	if header.Destination != b.settings.Service {
		b.events = append(b.events, Event{Kind: Foreign, Caller: header.Source, Tag: *header.Tag, Served: b.settings.NoServiceCheck})
		if !b.settings.NoServiceCheck {
			return b.events
		}
	}
	if b.parser.Parse(payload) != nil {
		return b.events
	}
	if _, known := b.flows[header.Source]; !known {
		b.events = append(b.events, Event{Kind: FlowSeen, Caller: header.Source, Tag: *header.Tag})
	}
	b.flows[header.Source] = now
	b.dispatch(now, header)
	b.start(now)
	return b.events
}

func (b *Backend) dispatch(now kernel.Instant, header proxyheader.Header) {
	received := b.parser.Message
	switch {
	case received.Type == message.Reset:
		delete(b.observations, header.Source)
	case !coapmsg.IsRequest(received.Code):
	case received.Code == codes.GET:
		b.serveGet(header, received)
	default:
		b.accept(now, header, received)
	}
}

// accept queues a request that may not be repeated, or refuses it before it runs.
func (b *Backend) accept(now kernel.Instant, header proxyheader.Header, received message.Message) {
	key := exchange{caller: header.Source, messageID: uint16(received.MessageID), token: string(received.Token)}
	if kept, repeated := b.answers[key]; repeated && b.settings.DetectDuplicates {
		if kept != nil {
			b.send(header.Source, *header.Tag, kept)
		}
		return
	}
	if len(b.queue) >= b.settings.Queue {
		b.refuse(header.Source, *header.Tag, received)
		return
	}
	b.answers[key] = nil
	request := received
	request.Token = bytes.Clone(received.Token)
	request.Payload = nil
	request.Options = nil
	b.queue = append(b.queue, &work{
		key:      key,
		tag:      *header.Tag,
		request:  request,
		id:       string(received.Payload),
		arrived:  now,
		deadline: time.Duration(b.parser.DeadlineMilliseconds()) * time.Millisecond,
	})
}

// start gives waiting requests the free slots.
func (b *Backend) start(now kernel.Instant) {
	for len(b.running) < b.settings.Slots && len(b.queue) > 0 {
		next := b.queue[0]
		b.queue = b.queue[1:]
		if next.deadline > 0 && now.Sub(next.arrived) > next.deadline {
			b.finish(next, codes.ServiceUnavailable, nil)
			continue
		}
		next.running = true
		next.ends = now.Add(b.serviceTime(now))
		b.running = append(b.running, next)
		b.events = append(b.events, Event{Kind: Ran, Caller: next.key.caller, Tag: next.tag, ID: next.id})
	}
}

// serviceTime draws the time of one request: exponential, and longer while
// the back end is cold.
func (b *Backend) serviceTime(now kernel.Instant) time.Duration {
	drawn := time.Duration(b.random.ExpFloat64() * float64(b.settings.ServiceTime))
	drawn = min(drawn, longestFactor*b.settings.ServiceTime)
	if now.Sub(b.started) < b.settings.ColdStart {
		drawn *= coldFactor
	}
	return drawn
}

// Tick does what is due.
func (b *Backend) Tick(now kernel.Instant) []Event {
	b.events = nil
	var left []*work
	for _, current := range b.running {
		if current.ends <= now {
			answer := fmt.Appendf(nil, "%s %s", b.settings.Name, current.id)
			b.finish(current, codes.Changed, answer)
			continue
		}
		left = append(left, current)
	}
	b.running = left
	b.start(now)
	for _, current := range append(b.running[:len(b.running):len(b.running)], b.queue...) {
		b.acknowledgeLate(now, current)
	}
	if now >= b.nextNotify {
		b.nextNotify = now.Add(b.settings.Notify)
		b.notify()
	}
	return b.events
}

// Due returns when Tick has something to do.
func (b *Backend) Due() kernel.Instant {
	due := b.nextNotify
	for _, current := range b.running {
		due = min(due, current.ends)
		due = min(due, acknowledgeAt(current, due))
	}
	for _, current := range b.queue {
		due = min(due, acknowledgeAt(current, due))
	}
	return due
}

func acknowledgeAt(current *work, otherwise kernel.Instant) kernel.Instant {
	if current.acknowledged {
		return otherwise
	}
	return current.arrived.Add(acknowledgeAfter)
}

func (b *Backend) acknowledgeLate(now kernel.Instant, current *work) {
	if current.acknowledged || now.Sub(current.arrived) < acknowledgeAfter {
		return
	}
	current.acknowledged = true
	if current.request.Type != message.Confirmable {
		return
	}
	empty := message.Message{Type: message.Acknowledgement, Code: codes.Empty, MessageID: current.request.MessageID}
	b.reply(current.key.caller, current.tag, empty)
}

func (b *Backend) finish(done *work, code codes.Code, payload []byte) {
	answer := answerTo(done.request, code, payload)
	if done.acknowledged {
		answer.Type = message.NonConfirmable
		answer.MessageID = b.nextMessageID()
	}
	b.answers[done.key] = b.reply(done.key.caller, done.tag, answer)
}

// Running returns the number of requests that run or wait.
func (b *Backend) Running() int { return len(b.running) + len(b.queue) }

// Load returns the load report, true or not.
func (b *Backend) Load(now kernel.Instant) *beamdoorv1.LoadResponse {
	open := 0
	for caller, seen := range b.flows {
		if now.Sub(seen) > flowIdle && b.observations[caller] == nil {
			delete(b.flows, caller)
			continue
		}
		open++
	}
	report := &beamdoorv1.LoadResponse{
		Ready:       !b.behaviour.NotReady && !b.draining,
		BusySlots:   uint32(len(b.running)),
		Queued:      uint32(len(b.queue)),
		Connections: uint32(open),
		Shedding:    len(b.queue) >= b.settings.Queue,
		UptimeMs:    uint64(now.Sub(b.started).Milliseconds()),
		Run:         b.settings.Run,
	}
	if b.behaviour.Lie {
		report.BusySlots, report.Queued, report.Connections, report.Shedding = 0, 0, 0, false
	}
	return b.lagged(now, report)
}

// lagged returns the report that was true before the lag.
func (b *Backend) lagged(now kernel.Instant, report *beamdoorv1.LoadResponse) *beamdoorv1.LoadResponse {
	b.reports = append(b.reports, timedReport{at: now, report: report})
	for len(b.reports) > 1 && now.Sub(b.reports[1].at) >= b.behaviour.ReportLag {
		b.reports = b.reports[1:]
	}
	return b.reports[0].report
}

// sortedObservations returns the observations in the order of their callers,
// so that a run can be repeated.
func (b *Backend) sortedObservations() []*observation {
	list := make([]*observation, 0, len(b.observations))
	for _, observer := range b.observations {
		list = append(list, observer)
	}
	sort.Slice(list, func(a, c int) bool { return list[a].caller.Compare(list[c].caller) < 0 })
	return list
}
