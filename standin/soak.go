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
	// keptProbes is the number of recent versions whose probe route is kept.
	keptProbes = 8
	// recoverSample is the observation time at the end of a run, and recoverServed the
	// minimum number of requests served in it.
	recoverSample = 2 * time.Second
	recoverServed = 20
	// soakLinkMbps is the link rate in the edges' settings: two to four times the callers'
	// traffic through a node.
	soakLinkMbps = 4
)

// Setup is the size of a soak fleet.
type Setup struct {
	Edges, Boards, Documents, Callers int
	// Heartbeat is the heartbeat interval of targets; 0 means the default.
	Heartbeat time.Duration
	// Tolerance is the number of simultaneous disk losses to tolerate; 0 means 1.
	Tolerance int
}

// Setups are the predefined sizes by name.
var Setups = map[string]Setup{
	"small": {Edges: 4, Boards: 6, Documents: 2, Callers: 8},
	"wide":  {Edges: 9, Boards: 12, Documents: 4, Callers: 16},
	// So many heartbeats that members delegate most of them to nodes.
	"beats": {Edges: 6, Boards: 10, Documents: 3, Callers: 10, Heartbeat: 80 * time.Millisecond},
	// Five members tolerate two simultaneous disk losses.
	"tolerant": {Edges: 5, Boards: 8, Documents: 3, Callers: 10, Tolerance: 2},
}

// probe is a route that tests which configuration version an edge applies.
type probe struct {
	version        uint64
	virtual        netip.AddrPort
	acknowledgedAt time.Time
}

// probeAddress returns the virtual address of a version's probe route.
func probeAddress(version uint64) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("198.18.9.1"), uint16(1024+version%60000))
}

// Soak injects random faults into a fleet of real processes.
type Soak struct {
	fleet  *Fleet
	setup  Setup
	prober *caller

	mutex  sync.Mutex
	probes []probe
	// fakeProbe, claimLostVersion and killAtEnd are set by injected defects.
	fakeProbe        probe
	claimLostVersion bool
	killAtEnd        bool
}

// NewSoak starts a fleet with its load, configuration changes and prober.
func NewSoak(settings Settings, setup Setup) (*Soak, error) {
	settings.Edges = setup.Edges
	settings.ProxyMembers = true
	settings.LinkMbps = soakLinkMbps
	settings.Heartbeat = setup.Heartbeat
	settings.Tolerance = setup.Tolerance
	s := &Soak{fleet: New(settings), setup: setup}
	if err := s.start(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// Close stops the fleet.
func (s *Soak) Close() { s.fleet.Close() }

func (s *Soak) start() error {
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
	go s.runEvery(changeInterval, s.submitProbeVersion)
	go s.runEvery(versionProbeInterval, s.probeConfiguration)
	return nil
}

// runEvery calls a function periodically until the fleet is closed.
func (s *Soak) runEvery(interval time.Duration, run func()) {
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

// submitProbeVersion submits a configuration version with a new probe route.
func (s *Soak) submitProbeVersion() {
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

// settled returns the newest probe whose version every node must have applied by now.
func (s *Soak) settled() (probe, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.fakeProbe.version != 0 && time.Since(s.fakeProbe.acknowledgedAt) > flowrules.InForceBound {
		return s.fakeProbe, true
	}
	for _, p := range slices.Backward(s.probes) {
		if !p.acknowledgedAt.IsZero() && time.Since(p.acknowledgedAt) > flowrules.InForceBound {
			return p, true
		}
	}
	return probe{}, false
}

// probeConfiguration opens a flow to the newest settled route. An edge that resets it
// applies an older version.
func (s *Soak) probeConfiguration() {
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
	edge := s.fleet.nameOf(failed.resetBy)
	s.fleet.monitor.Obeys(flowrules.NodeVersion{Node: edge, Settled: settled.version, Calm: s.fleet.monitor.stable(memberGroup, edge)})
}

// World returns the faults and checks of the soak.
func (s *Soak) World() soak.World {
	return soak.World{Kinds: s.kinds(), Finish: s.finish, Report: s.fleet.Report, Seen: s.fleet.monitor.logs.snapshot}
}

// finish checks that requests are served again and that the configuration is not lost.
func (s *Soak) finish() error {
	if s.killAtEnd {
		for _, name := range s.edgeNames() {
			s.fleet.Kill(name)
		}
	}
	if s.claimLostVersion {
		s.fleet.mutex.Lock()
		s.fleet.acknowledged += 1000
		s.fleet.mutex.Unlock()
	}
	s.checkReadmission()
	before := s.fleet.Report().Served
	time.Sleep(recoverSample)
	if served := s.fleet.Report().Served - before; served < recoverServed {
		s.fleet.monitor.Broke(flowrules.Recover, "%d requests were served in the last %v", served, recoverSample)
	}
	if err := s.fleet.CheckConfiguration(); err != nil {
		s.fleet.monitor.Broke(flowrules.Lost, "could not read the configuration back: %v", err)
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

// anyTarget returns a running target of a service that isn't draining.
func (s *Soak) anyTarget(service string, chosen uint64) *target {
	usable := s.usableTargets(service)
	return usable[chosen%uint64(len(usable))]
}

// usableTargets returns the running targets of a service that aren't draining.
func (s *Soak) usableTargets(service string) []*target {
	// Lock order: a target holds its lock when it locks the fleet.
	s.fleet.mutex.Lock()
	all := slices.Clone(s.fleet.targets)
	s.fleet.mutex.Unlock()
	var usable []*target
	for _, t := range all {
		t.mutex.Lock()
		if t.service == service && !t.stopped && t.state == stateReady && t.claimedService == "" {
			usable = append(usable, t)
		}
		t.mutex.Unlock()
	}
	return usable
}
