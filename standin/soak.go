package standin

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/beamdoor/beamdoor/internal/lab/flowrules"
	"github.com/beamdoor/beamdoor/internal/lab/soak"
)

const (
	changeInterval       = time.Second
	versionProbeInterval = 250 * time.Millisecond
	// keptProbes is the number of versions for which a probe's route is kept.
	keptProbes = 8
	// recoverSample is how long the end of a run is watched, and recoverServed the
	// number of requests that must be served in it.
	recoverSample = 2 * time.Second
	recoverServed = 20
	// soakLinkMbps is the rate that nodes state of their own links: two to four times
	// what callers send through a node.
	soakLinkMbps = 4
)

// Setup is the size of a soak's fleet.
type Setup struct {
	Edges, Boards, Documents, Callers int
	// Heartbeat is the time between two heartbeats of a target; 0 means the usual.
	Heartbeat time.Duration
	// Tolerance is the number of disks that may be lost at once; 0 means 1.
	Tolerance int
}

// Setups are the sizes by their names.
var Setups = map[string]Setup{
	"small": {Edges: 4, Boards: 6, Documents: 2, Callers: 8},
	"wide":  {Edges: 9, Boards: 12, Documents: 4, Callers: 16},
	// Members have so many heartbeats that nodes take most of them.
	"beats": {Edges: 6, Boards: 10, Documents: 3, Callers: 10, Heartbeat: 80 * time.Millisecond},
	// Five members bear the loss of two disks at once.
	"tolerant": {Edges: 5, Boards: 8, Documents: 3, Callers: 10, Tolerance: 2},
}

// probe is a route that exists to test which configuration is in force.
type probe struct {
	version        uint64
	virtual        netip.AddrPort
	acknowledgedAt time.Time
}

// probeAddress returns the address of a version's probe.
func probeAddress(version uint64) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("198.18.9.1"), uint16(1024+version%60000))
}

// Soak plays random faults on a fleet of real processes.
type Soak struct {
	fleet  *Fleet
	setup  Setup
	prober *caller

	mutex  sync.Mutex
	probes []probe
	// unsent, lostVersion and killAtEnd are planted defects.
	unsent      probe
	lostVersion bool
	killAtEnd   bool
}

// NewSoak starts a fleet with its load, its operator and its prober.
func NewSoak(settings Settings, setup Setup) (*Soak, error) {
	settings.Edges = setup.Edges
	settings.ProxyMembers = true
	settings.LinkMbps = soakLinkMbps
	settings.Heartbeat = setup.Heartbeat
	settings.Tolerance = setup.Tolerance
	s := &Soak{fleet: New(settings), setup: setup}
	if err := s.begin(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// Close ends all processes that the soak started.
func (s *Soak) Close() { s.fleet.Close() }

func (s *Soak) begin() error {
	if err := s.fleet.Start(); err != nil {
		return err
	}
	for service, count := range map[string]int{boardService: s.setup.Boards, documentService: s.setup.Documents} {
		for range count {
			if _, err := s.fleet.AddTarget(service); err != nil {
				return err
			}
		}
	}
	if err := s.fleet.Configure(routes()); err != nil {
		return err
	}
	if err := s.fleet.WaitReady(s.setup.Edges, 15*time.Second); err != nil {
		return err
	}
	if err := s.fleet.startLoad(s.setup.Callers); err != nil {
		return err
	}
	prober, err := newCaller(s.fleet, netip.MustParseAddr(s.fleet.address(callerNet, 200)))
	if err != nil {
		return err
	}
	s.prober = prober
	go s.every(changeInterval, s.change)
	go s.every(versionProbeInterval, s.probe)
	return nil
}

// every calls a function until the fleet is closed.
func (s *Soak) every(interval time.Duration, run func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-s.fleet.done:
			return
		case <-ticker.C:
			run()
		}
	}
}

// change submits a version with a new probe's route.
func (s *Soak) change() {
	s.mutex.Lock()
	version := s.fleet.nextVersion()
	s.probes = append(s.probes, probe{version: version, virtual: probeAddress(version)})
	s.probes = s.probes[max(0, len(s.probes)-keptProbes):]
	all := routes()
	for _, p := range s.probes {
		all = append(all, Route{Name: fmt.Sprint("probe-", p.version), Virtual: p.virtual, Services: []string{boardService}})
	}
	s.mutex.Unlock()
	if s.fleet.Configure(all) != nil {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.probes[len(s.probes)-1].acknowledgedAt = time.Now()
}

// settled returns the newest probe that must be in force, and that every later
// version has too.
func (s *Soak) settled() (probe, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.unsent.version != 0 && time.Since(s.unsent.acknowledgedAt) > flowrules.InForceBound {
		return s.unsent, true
	}
	for _, p := range slices.Backward(s.probes) {
		if !p.acknowledgedAt.IsZero() && time.Since(p.acknowledgedAt) > flowrules.InForceBound {
			return p, true
		}
	}
	return probe{}, false
}

// probe opens a flow to the newest settled route: a node that resets it obeys an
// older version.
func (s *Soak) probe() {
	settled, exists := s.settled()
	if !exists {
		return
	}
	flow, err := s.prober.open(settled.virtual)
	if err == nil {
		flow.close()
		return
	}
	var failed *openError
	if !errors.Is(err, errReset) || !errors.As(err, &failed) {
		return
	}
	edge := s.fleet.nameOf(failed.by)
	s.fleet.watch.Obeys(flowrules.NodeVersion{Node: edge, Settled: settled.version, Calm: s.fleet.watch.calm(group, edge)})
}

// World returns the soak's faults and checks.
func (s *Soak) World() soak.World {
	return soak.World{Kinds: s.kinds(), Finish: s.finish, Report: s.fleet.Report, Seen: s.fleet.watch.logs.seen}
}

// finish checks that callers are served again and that nothing is lost.
func (s *Soak) finish() error {
	if s.killAtEnd {
		for _, name := range s.edgeNames() {
			s.fleet.Kill(name)
		}
	}
	if s.lostVersion {
		s.fleet.mutex.Lock()
		s.fleet.acknowledged += 1000
		s.fleet.mutex.Unlock()
	}
	s.checkReadmission()
	before := s.fleet.Report().Served
	time.Sleep(recoverSample)
	if served := s.fleet.Report().Served - before; served < recoverServed {
		s.fleet.watch.Broke(flowrules.Recover, "%d requests were served in the last %v", served, recoverSample)
	}
	if err := s.fleet.CheckConfiguration(); err != nil {
		s.fleet.watch.Broke(flowrules.Lost, "the configuration cannot be read back: %v", err)
	}
	return nil
}

func (s *Soak) edgeNames() []string {
	var names []string
	for number := range s.setup.Edges {
		names = append(names, fmt.Sprintf("edge-%d", number+1))
	}
	return names
}

func pick[T any](list []T, fault soak.Fault) T { return list[fault.Pick%uint64(len(list))] }

// anyTarget returns a target of a service that lives and does not drain.
func (s *Soak) anyTarget(service string, chosen uint64) *target {
	usable := s.usableTargets(service)
	return usable[chosen%uint64(len(usable))]
}

// usableTargets returns the targets of a service that live and do not drain.
func (s *Soak) usableTargets(service string) []*target {
	// A target that takes a packet asks the fleet for names: the fleet must not be
	// locked while targets are.
	s.fleet.mutex.Lock()
	all := slices.Clone(s.fleet.targets)
	s.fleet.mutex.Unlock()
	var usable []*target
	for _, t := range all {
		t.mutex.Lock()
		if t.service == service && !t.ended && t.state == stateReady && t.claims == "" {
			usable = append(usable, t)
		}
		t.mutex.Unlock()
	}
	return usable
}
