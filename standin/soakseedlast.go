package standin

import (
	"slices"
	"syscall"
	"time"

	"github.com/beamdoor/beamdoor/internal/lab/flowrules"
	"github.com/beamdoor/beamdoor/internal/lab/soak"
)

// announcedBound is how soon after most members start nodes must receive an announcement:
// an election and a few connection attempts.
const announcedBound = 8 * time.Second

// killAllSeedsLast kills all processes and starts the only member named as a seed last, so
// that nodes can find the others only by their announcements. A member announces itself to
// the nodes that were connected to it, so nodes of the last member are not expected to hear.
func (s *Soak) killAllSeedsLast(fault soak.Fault) error {
	names := slices.Concat(s.fleet.memberNames, s.edgeNames())
	defer s.fleet.monitor.beginFault(names...)()
	logs := s.fleet.monitor.logs
	seed := pick(s.fleet.memberNames, fault)
	expected := logs.nodesFollowingOthers(s.fleet.node(seed).ip)
	for _, name := range names {
		_ = s.fleet.Signal(name, syscall.SIGKILL)
	}
	for _, name := range names {
		s.fleet.Kill(name)
	}
	logs.reset()
	return s.startSeedLast(seed, func() { s.awaitAnnouncements(expected, fault.For) })
}

// startSeedLast starts all nodes and members except the only seed, calls between, and then
// starts the seed.
func (s *Soak) startSeedLast(seed string, between func()) error {
	s.fleet.setOnlySeed(s.fleet.node(seed).ip)
	defer s.fleet.setOnlySeed("")
	others := slices.DeleteFunc(slices.Clone(s.fleet.memberNames), func(name string) bool { return name == seed })
	for _, name := range slices.Concat(s.edgeNames(), others) {
		if err := s.fleet.Restart(name); err != nil {
			return err
		}
	}
	between()
	return s.fleet.Restart(seed)
}

// awaitAnnouncements checks that nodes receive a member announcement.
func (s *Soak) awaitAnnouncements(nodes []string, pause time.Duration) {
	logs := s.fleet.monitor.logs
	begin := time.Now()
	for logs.announcedCount(nodes) < len(nodes) && time.Since(begin) < announcedBound {
		time.Sleep(logPollInterval)
	}
	received := logs.announcedCount(nodes)
	if received < len(nodes) {
		s.fleet.monitor.Broke(flowrules.Recover, "%d of %d nodes received a member announcement within %v of the restart", received, len(nodes), announcedBound)
	}
	logs.addCount("nodes that followed the member that started last", s.setup.Edges-len(nodes))
	time.Sleep(pause)
}
