// Package fleetsim simulates token-routed nodes, registry members, targets and
// callers together on a virtual clock, with faults, and holds what callers and
// targets see against the rules. It runs the product's deterministic cores; a
// seed gives the same run byte for byte.
package fleetsim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/lab/flowrules"
	"github.com/beamdoor/beamdoor/internal/steperror"
)

const (
	// inZone is the time one way between two parts of a zone.
	inZone = 200 * time.Microsecond
	// callerTime is the time one way to a caller.
	callerTime = time.Millisecond
	contact    = flowrules.Contact
)

// Switches turn single mechanisms off or wrong, to show that the rules see it.
type Switches struct {
	// HastyLoss makes nodes hold a target for lost by their own evidence alone.
	HastyLoss bool
	// EarlyDrain acknowledges a drain before the group has it.
	EarlyDrain bool
	// ForgetFaults makes nodes remember only the member that they left last.
	ForgetFaults bool
	// KeepZones makes nodes ignore that zones are evacuated.
	KeepZones bool
	// NoBudget makes nodes ignore what cold targets bear.
	NoBudget bool
	// KeepOld makes nodes ignore that targets drain.
	KeepOld bool
}

// Settings of a run.
type Settings struct {
	Seed uint64
	// Members is the number of members; the first three found the group, and the
	// others join it.
	Members int
	// Tolerance is the number of disks that may be lost at once; 0 stands for as
	// many as all members bear.
	Tolerance int
	Edges     int
	Targets   int
	Callers   int
	// Zones is the number of zones in which all parts stand by turns; 0 means 3.
	Zones int
	// CrossZone is the time one way between two zones; 0 means 1.4 ms.
	CrossZone time.Duration
	// LossOneIn is the number of packets of callers, and of answers, of which one
	// is lost; 0 means 100.
	LossOneIn int
	Length    time.Duration
	Faults    bool
	Switches  Switches
}

// The values of settings that are left out.
const (
	defaultZones     = 3
	defaultCrossZone = 1400 * time.Microsecond
	defaultLossOneIn = 100
)

// founderCount is the number of members whose addresses all parts are told.
const founderCount = 3

// Validate returns what is wrong with the settings, or nil.
func (s Settings) Validate() error {
	switch {
	case s.Members < 1:
		return problem("Members", s.Members, "there must be one at least")
	case s.Tolerance < 0 || 2*s.Tolerance+1 > s.Members:
		return problem("Tolerance", s.Tolerance, fmt.Sprintf("%d members cannot bear it: %d are needed", s.Members, 2*s.Tolerance+1))
	case s.Edges < 1:
		return problem("Edges", s.Edges, "there must be one at least")
	case s.Targets < len(services):
		return problem("Targets", s.Targets, fmt.Sprintf("each route needs a target: %d at least", len(services)))
	case s.Zones < 0:
		return problem("Zones", s.Zones, "must not be below 0")
	case s.CrossZone < 0:
		return problem("CrossZone", s.CrossZone, "must not be below 0")
	case s.LossOneIn < 0:
		return problem("LossOneIn", s.LossOneIn, "must not be below 0")
	}
	return nil
}

func problem(field string, value any, reason string) error {
	return steperror.New("fleetsim.settings", field, fmt.Sprintf("%v: %s", value, reason))
}

// filled returns the settings with values for those that are left out.
func (s Settings) filled() Settings {
	if s.Tolerance == 0 {
		s.Tolerance = (s.Members - 1) / 2
	}
	if s.Zones == 0 {
		s.Zones = defaultZones
	}
	if s.CrossZone == 0 {
		s.CrossZone = defaultCrossZone
	}
	if s.LossOneIn == 0 {
		s.LossOneIn = defaultLossOneIn
	}
	return s
}

// event is something that happens at an instant.
type event struct {
	at    kernel.Instant
	order uint64
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(a, b int) bool {
	if q[a].at != q[b].at {
		return q[a].at < q[b].at
	}
	return q[a].order < q[b].order
}
func (q eventQueue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// World is one simulated deployment.
type World struct {
	settings Settings
	now      kernel.Instant
	random   *rand.Rand
	queue    eventQueue
	order    uint64

	members  []*member
	edges    []*edge
	targets  []*target
	callers  []*caller
	oracle   *flowrules.Oracle
	operator operator
	// cuts are the parts that are cut off from all others, by name.
	cuts map[string]bool
	// split holds the members on the smaller side while the group is split in
	// two; nodes, targets and the operator reach both sides.
	split map[string]bool
	// disturbedAt is when a part was last disturbed, by name; the group of
	// members has the name "group".
	disturbedAt map[string]kernel.Instant
	// plannedAt is the same for planned work, which excuses no broken flow.
	plannedAt map[string]kernel.Instant
	// lured is the member that is cut off from all but targets, or "".
	lured string
	// evacuated holds when the evacuation of a zone was acknowledged, until it is to
	// be taken back.
	evacuated map[string]kernel.Instant
	// evacuating is set from the order to evacuate a zone until it was taken back.
	evacuating bool
	nextTarget int
	// started is set once callers come: targets that start later are cold.
	started bool
	log     []string
}

// New returns a world in which nothing has happened yet.
func New(settings Settings) *World {
	w := &World{
		settings:    settings.filled(),
		now:         kernel.Instant(time.Minute),
		random:      rand.New(rand.NewPCG(settings.Seed, 77)),
		oracle:      flowrules.New(),
		split:       map[string]bool{},
		cuts:        map[string]bool{},
		disturbedAt: map[string]kernel.Instant{},
		plannedAt:   map[string]kernel.Instant{},
		evacuated:   map[string]kernel.Instant{},
	}
	w.operator.world = w
	allow(w.oracle)
	return w
}

// after makes something happen later.
func (w *World) after(delay time.Duration, run func()) {
	w.order++
	heap.Push(&w.queue, event{at: w.now.Add(delay), order: w.order, run: run})
}

// every makes something happen again and again, beginning at a random point.
func (w *World) every(interval time.Duration, run func()) {
	var again func()
	again = func() {
		run()
		w.after(interval, again)
	}
	w.after(time.Duration(w.random.Int64N(int64(interval))), again)
}

func (w *World) runUntil(end kernel.Instant) {
	for len(w.queue) > 0 && w.queue[0].at <= end {
		next := heap.Pop(&w.queue).(event)
		w.now = next.at
		next.run()
	}
	w.now = end
}

// between returns the time one way between two zones.
func (w *World) between(a, b string) time.Duration {
	if a == b {
		return inZone
	}
	return w.settings.CrossZone
}

// zone returns the zone of the part with a number of its kind.
func (w *World) zone(number int) string { return fmt.Sprint("zone-", number%w.settings.Zones+1) }

// isLost draws whether a packet of a caller or an answer is lost.
func (w *World) isLost() bool { return w.random.IntN(w.settings.LossOneIn) == 0 }

// disturb notes that a part is disturbed now.
func (w *World) disturb(names ...string) {
	for _, name := range names {
		w.disturbedAt[name] = w.now
	}
}

// calm reports whether parts have run for the contact time without disturbance
// or planned work.
func (w *World) calm(names ...string) bool {
	for _, name := range names {
		if at, ever := w.plannedAt[name]; ever && w.now.Sub(at) < contact {
			return false
		}
	}
	return w.undisturbed(names...)
}

// undisturbed reports whether parts have run for the contact time without
// disturbance; planned work is none.
func (w *World) undisturbed(names ...string) bool {
	for _, name := range names {
		at, ever := w.disturbedAt[name]
		if w.cuts[name] || ever && w.now.Sub(at) < contact {
			return false
		}
	}
	return true
}

func (w *World) note(format string, values ...any) {
	w.log = append(w.log, fmt.Sprintf("%.3f ", time.Duration(w.now).Seconds()-time.Minute.Seconds())+fmt.Sprintf(format, values...))
}

// Log returns what was done to the world, for reports on a seed.
func (w *World) Log() []string { return w.log }

// group is the name under which disturbances of members are noted.
const group = "group"

// settleTime is the time after the last fault in which the world comes to rest.
const settleTime = lureTime + 8*time.Second

// Run plays the world and returns what the oracle saw.
func (w *World) Run() flowrules.Report {
	w.build()
	start := w.now.Add(6 * time.Second)
	w.runUntil(start)
	w.started = true
	for _, c := range w.callers {
		c.start()
	}
	w.every(500*time.Millisecond, w.operator.change)
	if w.settings.Faults {
		w.after(2*time.Second, w.nextFault)
	}
	w.every(250*time.Millisecond, w.checkInForce)
	end := start.Add(w.settings.Length)
	w.runUntil(end)
	w.operator.stopped = true
	w.settings.Faults = false
	w.runUntil(end.Add(settleTime))
	w.checkEnd()
	return w.oracle.Report()
}

func (w *World) build() {
	for number, name := range w.firstMembers() {
		w.addMember(name, w.zone(number), true)
	}
	for number := range w.settings.Edges {
		e := &edge{world: w, name: fmt.Sprintf("edge-%d", number+1), zone: w.zone(number)}
		w.edges = append(w.edges, e)
		e.start()
		w.every(reportInterval, e.tick)
		w.every(probeInterval, e.probe)
	}
	for range w.settings.Targets {
		w.addTarget(services[w.nextTarget%len(services)])
	}
	for number := range w.settings.Callers {
		w.callers = append(w.callers, &caller{world: w, number: number, zone: w.zone(number)})
	}
	w.after(2*time.Second, w.operator.change)
}

// services are those that targets belong to; routes lead to one each.
var services = []string{"boards", "boards", "documents"}

// checkInForce holds that nodes in touch obey what was acknowledged a while ago.
func (w *World) checkInForce() {
	if !w.calm(group) {
		return
	}
	for _, e := range w.edges {
		version := e.core.Version()
		calm := e.up && e.ready && !e.leaving && w.calm(e.name)
		w.oracle.Obeys(flowrules.NodeVersion{Node: e.name, Before: version, Version: version, Settled: w.operator.settledVersion(), Calm: calm})
	}
}

// checkEnd holds that nothing acknowledged is lost.
func (w *World) checkEnd() {
	for _, m := range w.members {
		if !m.up || m.core.Raft() == nil {
			w.oracle.Broke(flowrules.Recover, "%s has no place at the end", m.name)
			continue
		}
		w.oracle.ReadBack(m.name, m.core.State().Configuration().Version, w.operator.acknowledged)
	}
	var highest directory.Configuration
	for _, m := range w.members {
		if m.up && m.core.State().Configuration().Version > highest.Version {
			highest = m.core.State().Configuration()
		}
	}
	for _, e := range w.edges {
		if !e.ready || e.core.Version() != highest.Version {
			w.oracle.Broke(flowrules.Recover, "%s has version %d at the end, members have %d", e.name, e.core.Version(), highest.Version)
		}
	}
}
