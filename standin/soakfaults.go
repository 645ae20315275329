package standin

import (
	"math/rand/v2"
	"os"
	"slices"
	"syscall"
	"time"

	"github.com/beamdoor/beamdoor/internal/lab/flowrules"
	"github.com/beamdoor/beamdoor/internal/lab/soak"
)

// kinds returns the fault functions by name.
func (s *Soak) kinds() map[string]func(soak.Fault) error {
	kinds := map[string]func(soak.Fault) error{
		"edge-kill":                 s.killEdge,
		"edges-kill-half":           s.killHalf,
		"edge-pause":                s.pauseEdge,
		"edge-roll":                 s.rollEdge,
		"member-kill":               s.onMember(s.killMember),
		"member-pause":              s.onMember(s.pauseMember),
		"member-wipe":               s.onMember(s.wipeMember),
		"member-replace":            s.onMember(s.replaceMember),
		"members-kill":              s.onMember(s.killMembers),
		"all-kill":                  s.onMember(s.killAll),
		"member-delay":              s.onMember(s.impairConnections(soak.Delay)),
		"member-silence":            s.onMember(s.impairConnections(soak.Silence)),
		"member-one-way":            s.onMember(s.impairConnections(soak.OneWay)),
		"member-refuse":             s.onMember(s.impairConnections(soak.Refuse)),
		"member-connections-silent": s.onMember(s.silenceConnections),
		"edge-link-narrow":          s.limitLink,
		"all-kill-seeds-last":       s.onMember(s.killAllSeedsLast),
		"disk-full":                 s.onMember(s.impairDisk("full")),
		"disk-fail":                 s.onMember(s.impairDisk("fail")),
		"disk-slow":                 s.onMember(s.impairDisk("60ms")),
		"target-crash":              s.crashTarget,
		"target-drain":              s.drainTarget,
		"target-again":              s.restartTarget,
		"target-reuse":              s.reuseAddress,
		"zone-evacuate":             s.evacuateZone,
		"target-reset":              s.failTarget(failureReset),
		"target-mute":               s.failTarget(failureNoResponse),
		"target-errors":             s.failTarget(failureErrors),
		"packet-harm":               s.impairPackets,
		"settings-change":           s.changeSettings,
	}
	if s.setup.Tolerance > 1 {
		kinds["members-lose-disks"] = s.onMember(s.loseDisks)
	}
	return kinds
}

// onMember delays a member fault until the group has recovered from the previous one, since
// the group only tolerates a limited number of simultaneous failures.
func (s *Soak) onMember(fault func(soak.Fault) error) func(soak.Fault) error {
	return func(f soak.Fault) error {
		for !s.fleet.monitor.faultFree(memberGroup) {
			time.Sleep(100 * time.Millisecond)
		}
		defer s.fleet.monitor.beginFault(memberGroup)()
		return fault(f)
	}
}

func (s *Soak) killEdge(fault soak.Fault) error {
	return s.killAndRestart([]string{pick(s.edgeNames(), fault)}, fault.For)
}

func (s *Soak) killHalf(fault soak.Fault) error {
	names := s.edgeNames()
	return s.killAndRestart(names[:len(names)/2], fault.For)
}

// killAndRestart kills processes together and restarts them after a pause.
func (s *Soak) killAndRestart(names []string, pause time.Duration) error {
	defer s.fleet.monitor.beginFault(names...)()
	for _, name := range names {
		_ = s.fleet.Signal(name, syscall.SIGKILL)
	}
	for _, name := range names {
		s.fleet.Kill(name)
	}
	time.Sleep(pause)
	for _, name := range names {
		if err := s.fleet.Restart(name); err != nil {
			return err
		}
	}
	return nil
}

func (s *Soak) pauseEdge(fault soak.Fault) error {
	return s.pause(pick(s.edgeNames(), fault), fault.For)
}

func (s *Soak) pauseMember(fault soak.Fault) error {
	return s.pause(pick(s.fleet.memberNames, fault), fault.For)
}

func (s *Soak) pause(name string, length time.Duration) error {
	defer s.fleet.monitor.beginFault(name)()
	if err := s.fleet.Signal(name, syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(length)
	return s.fleet.Signal(name, syscall.SIGCONT)
}

func (s *Soak) rollEdge(fault soak.Fault) error {
	name := pick(s.edgeNames(), fault)
	s.fleet.monitor.recordPlannedWork(name)
	s.fleet.Stop(name)
	err := s.fleet.Restart(name)
	s.fleet.monitor.recordPlannedWork(name)
	return err
}

func (s *Soak) killMember(fault soak.Fault) error {
	return s.killAndRestart([]string{pick(s.fleet.memberNames, fault)}, fault.For)
}

func (s *Soak) killMembers(fault soak.Fault) error {
	defer s.fleet.monitor.logs.reset()
	return s.killAndRestart(s.fleet.memberNames, fault.For)
}

func (s *Soak) killAll(fault soak.Fault) error {
	defer s.fleet.monitor.logs.reset()
	return s.killAndRestart(slices.Concat(s.fleet.memberNames, s.edgeNames()), fault.For)
}

func (s *Soak) wipeMember(fault soak.Fault) error {
	name := pick(s.fleet.memberNames, fault)
	s.fleet.Kill(name)
	if err := s.fleet.Wipe(name); err != nil {
		return err
	}
	time.Sleep(fault.For)
	return s.fleet.Restart(name)
}

// loseDisks kills all members and wipes as many data directories as the group tolerates.
func (s *Soak) loseDisks(fault soak.Fault) error {
	names := slices.Clone(s.fleet.memberNames)
	first := int(fault.Pick % uint64(len(names)))
	defer s.fleet.monitor.beginFault(names...)()
	for _, name := range names {
		_ = s.fleet.Signal(name, syscall.SIGKILL)
	}
	for _, name := range names {
		s.fleet.Kill(name)
	}
	s.fleet.monitor.logs.reset()
	for lost := range s.setup.Tolerance {
		if err := s.fleet.Wipe(names[(first+lost)%len(names)]); err != nil {
			return err
		}
	}
	time.Sleep(fault.For)
	for _, name := range names {
		if err := s.fleet.Restart(name); err != nil {
			return err
		}
	}
	return nil
}

func (s *Soak) replaceMember(fault soak.Fault) error {
	return s.fleet.ReplaceMember(int(fault.Pick % uint64(len(s.fleet.memberNames))))
}

// impairConnections returns a fault that sets the mode of a member's proxy.
func (s *Soak) impairConnections(mode soak.Mode) func(soak.Fault) error {
	return func(fault soak.Fault) error {
		proxy := s.fleet.proxies[pick(s.fleet.memberNames, fault)]
		proxy.Set(mode)
		time.Sleep(fault.For)
		proxy.Set(soak.Pass)
		return nil
	}
}

// impairDisk returns a fault that writes mode to a member's disk fault file.
func (s *Soak) impairDisk(mode string) func(soak.Fault) error {
	return func(fault soak.Fault) error {
		path := s.fleet.diskFile(pick(s.fleet.memberNames, fault))
		if err := os.WriteFile(path, []byte(mode), 0o600); err != nil {
			return err
		}
		time.Sleep(fault.For)
		return os.Remove(path)
	}
}

// soakServices weights the services for target faults; boards have more targets.
var soakServices = []string{boardService, boardService, documentService}

func (s *Soak) crashTarget(fault soak.Fault) error {
	t := s.anyTarget(pick(soakServices, fault), fault.Pick)
	t.crash()
	time.Sleep(fault.For)
	_, err := s.fleet.AddTarget(t.service)
	return err
}

// restartTarget crashes a target and restarts it with the same ID: half of the time at another
// address, and half of the time while draining.
func (s *Soak) restartTarget(fault soak.Fault) error {
	t := s.anyTarget(pick(soakServices, fault), fault.Pick)
	if fault.Pick&1 != 0 {
		go t.drain()
		time.Sleep(drainTime / 2)
	}
	t.crash()
	time.Sleep(fault.For)
	return s.fleet.RestartTarget(t, fault.Pick&2 != 0)
}

func (s *Soak) drainTarget(fault soak.Fault) error {
	t := s.anyTarget(pick(soakServices, fault), fault.Pick)
	if _, err := s.fleet.AddTarget(t.service); err != nil {
		return err
	}
	time.Sleep(time.Second)
	go t.drain()
	return nil
}

// evacuateZone evacuates a zone for a while. This is planned work, not a fault.
func (s *Soak) evacuateZone(fault soak.Fault) error {
	zone := pick(zones, fault)
	if err := s.fleet.SetZoneEvacuation(zone, true); err != nil {
		return err
	}
	time.Sleep(flowrules.DrainBound + fault.For)
	return s.fleet.SetZoneEvacuation(zone, false)
}

// reuseTime is how long an address stays unused before another service gets it.
const reuseTime = 2 * time.Second

func (s *Soak) reuseAddress(fault soak.Fault) error {
	service := pick(soakServices, fault)
	other := boardService
	if service == boardService {
		other = documentService
	}
	t := s.anyTarget(service, fault.Pick)
	if _, err := s.fleet.AddTarget(service); err != nil {
		return err
	}
	t.crash()
	time.Sleep(reuseTime)
	_, err := s.fleet.addTargetAt(other, t.address.Addr().String())
	return err
}

func (s *Soak) impairPackets(fault soak.Fault) error {
	s.fleet.router.setImpairment(impairment{loseOneIn: 20, delayOneIn: 10, duplicateOneIn: 30})
	time.Sleep(fault.For)
	s.fleet.router.setImpairment(impairment{})
	return nil
}

// changeSettings rewrites the settings of all edges with shuffled seeds and sends SIGHUP to
// every other edge.
func (s *Soak) changeSettings(fault soak.Fault) error {
	for position, name := range s.edgeNames() {
		running := s.fleet.node(name)
		if _, err := s.fleet.writeSettings(name, running.role, running.ip, false); err != nil {
			return err
		}
		if position%2 == 0 {
			if err := s.fleet.Signal(name, syscall.SIGHUP); err != nil {
				return err
			}
		}
	}
	return nil
}

// shuffled returns a copy in random order.
func shuffled(list []string) []string {
	copied := slices.Clone(list)
	rand.Shuffle(len(copied), func(a, b int) { copied[a], copied[b] = copied[b], copied[a] })
	return copied
}
