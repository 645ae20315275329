package sim

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	beamdoorv1 "github.com/beamdoor/beamdoor/api/beamdoor/v1"
	"github.com/beamdoor/beamdoor/internal/control"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/lab/backend"
	"github.com/beamdoor/beamdoor/internal/lab/report"
	"github.com/beamdoor/beamdoor/internal/raft"
)

// traceKept is the number of the last trace lines kept for a failure.
const traceKept = 60

// World is one simulated run.
type World struct {
	setup      Setup
	plan       Plan
	mechanisms Mechanisms
	scheme     kernel.PluginID

	clock   *Clock
	random  *rand.Rand
	network *network
	fabric  *fabric
	report  *report.Report

	members   []*member
	balancers []*balancer
	byPeer    map[netip.AddrPort]*balancer
	backends  map[string]*backendProcess
	names     []string
	byAddress map[netip.AddrPort]*backendProcess
	callers   map[netip.AddrPort]*caller
	operators *operators

	nextConnection control.ConnectionID
	nextCaller     int
	nextRequest    int
	nextDownload   int
	stopping       bool
	// lastFault is when the last fault began or ended, and unfinished are the
	// requests that ended without the target's answer or a refusal.
	lastFault kernel.Instant
	// firstView is the number of the view when the faults begin.
	firstView  uint64
	unfinished []unfinishedRequest

	series []Sample
	// leaderless is the longest time without a control leader after one died.
	leaderless time.Duration
	violations []report.Violation
	keepTrace  bool
	lines      []string
}

func newWorld(options Options, setup Setup, plan Plan) *World {
	world := &World{
		setup:      setup,
		plan:       plan,
		mechanisms: options.mechanisms,
		scheme:     options.Scheme,
		clock:      &Clock{},
		random:     rand.New(rand.NewPCG(options.Seed, 1)),
		report:     report.New(),
		byPeer:     map[netip.AddrPort]*balancer{},
		backends:   map[string]*backendProcess{},
		byAddress:  map[netip.AddrPort]*backendProcess{},
		callers:    map[netip.AddrPort]*caller{},
		keepTrace:  options.Trace,
	}
	world.network = newNetwork(world.clock, world.newRandom(), setup)
	world.fabric = &fabric{world: world, random: world.newRandom()}
	world.operators = newOperators(world)
	return world
}

func (w *World) newRandom() *rand.Rand { return rand.New(rand.NewPCG(w.random.Uint64(), 2)) }

// exponential draws the time to the next event of a rate a second.
func (w *World) exponential(rate float64) time.Duration {
	return time.Duration(w.random.ExpFloat64() / rate * float64(time.Second))
}

// between draws a time from a range.
func (w *World) between(from, to time.Duration) time.Duration {
	return from + time.Duration(w.random.Int64N(int64(to-from)+1))
}

func (w *World) trace(format string, values ...any) {
	line := fmt.Sprintf("%9.3fs %s", time.Duration(w.clock.Now()).Seconds(), fmt.Sprintf(format, values...))
	w.lines = append(w.lines, line)
	if !w.keepTrace && len(w.lines) > 2*traceKept {
		w.lines = append([]string(nil), w.lines[traceKept:]...)
	}
}

// fault notes that a fault begins or ends, with a line in the trace.
func (w *World) fault(format string, values ...any) {
	w.lastFault = w.clock.Now()
	w.trace(format, values...)
}

func (w *World) logged(process string, id eventlog.ID, fields []any) {
	w.trace("%s event %d %v", process, id, fields)
}

func (w *World) violate(rule, format string, values ...any) {
	violation := report.Violation{Rule: rule, Detail: fmt.Sprintf(format, values...)}
	w.trace("BROKEN %s: %s", violation.Rule, violation.Detail)
	w.violations = append(w.violations, violation)
}

func (w *World) member(id raft.MemberID) *member {
	for _, candidate := range w.members {
		if candidate.id == id {
			return candidate
		}
	}
	return nil
}

func (w *World) backendAt(address string) *backendProcess {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil
	}
	return w.byAddress[parsed]
}

// leader returns the member that can answer linearizable reads, or nil.
func (w *World) leader() *member {
	for _, candidate := range w.members {
		if candidate.up && !candidate.frozen && candidate.core.CanRead(candidate.now()) {
			return candidate
		}
	}
	return nil
}

// build makes all processes of the set-up and starts them.
func (w *World) build() {
	var founders []*beamdoorv1.Member
	for id := 1; id <= w.plan.Members; id++ {
		founders = append(founders, memberAddresses(raft.MemberID(id)))
		w.members = append(w.members, newMember(w, raft.MemberID(id)))
	}
	for _, founder := range w.members {
		founder.boot(founders)
	}
	for i := 1; i <= w.plan.Balancers; i++ {
		w.addBalancer(i).run()
	}
	for _, service := range []serviceSetup{w.setup.booking(), w.setup.documents()} {
		for i := 1; i <= service.targets; i++ {
			w.addBackend(service, i).run()
		}
	}
}

func memberAddresses(id raft.MemberID) *beamdoorv1.Member {
	return &beamdoorv1.Member{Id: uint32(id), Peer: fmt.Sprintf("10.1.0.%d:7100", id)}
}

func (w *World) addBalancer(number int) *balancer {
	added := &balancer{
		process: process{
			place:     place{fmt.Sprintf("balancer-%d", number), w.setup.zone(number)},
			world:     w,
			clockRate: 1,
		},
		peer:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, 0, byte(number)}), 8200),
		nextMember: number,
	}
	w.balancers = append(w.balancers, added)
	w.byPeer[added.peer] = added
	return added
}

func (w *World) addBackend(service serviceSetup, number int) *backendProcess {
	name := fmt.Sprintf("%s-%d", service.name, number)
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 3, service.network, byte(number)}), 9000)
	return w.placeBackend(name, service, address, w.setup.zone(number))
}

// placeBackend puts a back end at an address; one that was there is gone.
func (w *World) placeBackend(name string, service serviceSetup, address netip.AddrPort, zone string) *backendProcess {
	added := &backendProcess{
		process: process{place: place{name, zone}, world: w, clockRate: 1},
		address: address,
		service: service.address,
		settings: backend.Settings{
			Name:             name,
			Service:          service.address,
			Slots:            w.setup.Slots,
			Queue:            w.plan.Queue,
			ServiceTime:      w.plan.ServiceTime,
			Notify:           notifyInterval,
			ColdStart:        w.plan.ColdStart,
			DetectDuplicates: w.plan.DetectDuplicates,
		},
	}
	w.backends[name] = added
	w.byAddress[address] = added
	w.names = append(w.names, name)
	return added
}

// noteFlow checks that a leaving target gets no new work after a few seconds.
func (w *World) noteFlow(target *backendProcess, address netip.AddrPort) {
	opened := w.callers[address]
	if opened == nil || target.drainedAt == 0 {
		return
	}
	limit := target.drainedAt.Add(drainLimit)
	if opened.opened > limit {
		w.violate(RuleDrained, "%s got the new flow of %s %s after its drain", target.name, address, w.clock.Now().Sub(target.drainedAt))
	}
}

// startLoad opens boards, visits and downloads.
func (w *World) startLoad() {
	for range w.plan.Boards {
		w.clock.After(w.between(0, 2*time.Second), w.openBoard)
	}
	if w.plan.VisitRate > 0 {
		w.visits()
	}
	for range w.plan.Downloads {
		w.startDownload()
	}
}
