package sim

import (
	"fmt"
	"math/rand/v2"
	"time"

	beamdoorv1 "github.com/beamdoor/beamdoor/api/beamdoor/v1"
	"github.com/beamdoor/beamdoor/internal/control"
	"github.com/beamdoor/beamdoor/internal/lab/disk"
	"github.com/beamdoor/beamdoor/internal/raft"
	"github.com/beamdoor/beamdoor/internal/wal"
	"github.com/beamdoor/beamdoor/internal/wire"
)

const (
	tickInterval  = 50 * time.Millisecond
	probeInterval = time.Second
	probeTimeout  = 700 * time.Millisecond
)

// member is an emulated control member around the product's core and log.
type member struct {
	process
	id       raft.MemberID
	disk     *disk.Disk
	core     *control.Core
	judge    *control.TargetEvaluator
	policies control.Policies
	// services are those that the judge follows at present.
	services    []*beamdoorv1.Service
	judged      uint64
	connections map[control.ConnectionID]*connection
	waiting     map[control.Token]func(control.Outcome)
	nextToken   control.Token
	// failure is why the member does not run, when it is its own doing.
	failure error
}

func newMember(world *World, id raft.MemberID) *member {
	name := fmt.Sprintf("control-%d", id)
	return &member{
		process: process{place: place{name, world.setup.zone(int(id))}, world: world, clockRate: 1},
		id:      id,
		disk:    disk.New(world.newRandom()),
	}
}

// boot starts the member from what its disk holds.
func (m *member) boot(founders []*beamdoorv1.Member) {
	m.start()
	m.connections = map[control.ConnectionID]*connection{}
	m.waiting = map[control.Token]func(control.Outcome){}
	m.judge = control.NewTargetEvaluator()
	m.judged = 0
	if m.failure = m.open(founders); m.failure != nil {
		m.world.trace("%s does not start: %v", m.name, m.failure)
		m.die()
		return
	}
	m.every(tickInterval, m.tick)
	m.every(probeInterval, m.probe)
}

// contacts returns the IDs of all members.
func (w *World) contacts() []raft.MemberID {
	var ids []raft.MemberID
	for _, m := range w.members {
		ids = append(ids, m.id)
	}
	return ids
}

func (m *member) open(founders []*beamdoorv1.Member) error {
	random := m.world.newRandom()
	identity, err := wal.LoadIdentity(m.disk, random.Uint64)
	if err != nil {
		return err
	}
	log, restored, _, err := wal.Open(m.disk)
	if err != nil {
		return err
	}
	log.SkipSync = m.world.mechanisms.SkipSync
	settings := m.settings(identity, random)
	settings.InitialMembers = founders
	settings.SeedMembers = m.world.contacts()
	m.core, err = control.NewCore(m.now(), settings, log, restored)
	return err
}

func (m *member) settings(identity uint64, random *rand.Rand) control.Settings {
	settings := control.DefaultSettings()
	settings.Raft.ID = m.id
	settings.Raft.Identity = identity
	settings.Raft.Random = random
	settings.SnapshotEntries = m.world.plan.SnapshotEntries
	settings.Mechanisms = m.world.mechanisms.Control
	return settings
}

func (m *member) tick() { m.carryOut(m.core.Tick(m.now())) }

// crash ends the member; its disk loses what was not synced.
func (m *member) crash() {
	if m.up {
		m.world.fault("%s crashes", m.name)
	}
	m.die()
	m.disk.Crash()
}

// carryOut does what the core wants done.
func (m *member) carryOut(output control.Output) {
	for _, message := range output.Members {
		m.sendMember(message)
	}
	for _, message := range output.Balancers {
		if open, known := m.connections[message.Connection]; known {
			open.toBalancer(message.Frame)
		}
	}
	for _, outcome := range output.Outcomes {
		if answer, known := m.waiting[outcome.Token]; known {
			delete(m.waiting, outcome.Token)
			answer(outcome)
		}
	}
	for _, logged := range output.Events {
		m.world.logged(m.name, logged.Event, logged.Fields)
	}
	if err := m.core.Failed(); err != nil && m.up {
		m.failure = err
		m.die()
	}
}

func (m *member) sendMember(message control.MemberMessage) {
	to := m.world.member(message.To)
	if to == nil {
		return
	}
	m.world.network.stream(m.place, to.place, func() {
		to.deliver(func() {
			to.carryOut(to.core.HandleMemberFrame(to.now(), m.id, message.Frame))
		})
	})
}

// receiveNode handles a frame of a connected balancer.
func (m *member) receiveNode(open *connection, frame wire.Frame) {
	m.connections[open.id] = open
	m.carryOut(m.core.HandleBalancerFrame(m.now(), open.id, frame))
}

// probe asks all targets for their load while this member leads.
func (m *member) probe() {
	if !m.core.IsLeader() || !m.core.CanRead(m.now()) {
		m.judge = control.NewTargetEvaluator()
		m.judged = 0
		return
	}
	state := m.core.Store()
	if m.judged != state.Revision() {
		m.judged = state.Revision()
		m.services = state.Services()
		m.policies = control.CompilePolicies(m.services, state.Policies())
		m.judge.SetServices(m.now(), m.services)
	}
	answered := map[uint32]bool{}
	for _, service := range m.services {
		for _, target := range service.Targets {
			m.probeOne(target, answered)
		}
	}
	m.whileRunning(probeTimeout, func() { m.endProbe(answered) })
}

func (m *member) probeOne(target *beamdoorv1.Target, answered map[uint32]bool) {
	back := m.world.backendAt(target.Address)
	answered[target.Id] = false
	if back == nil || !back.up {
		return
	}
	m.world.network.stream(m.place, back.place, func() {
		back.deliver(func() {
			report := back.core.Load(back.now())
			m.world.network.stream(back.place, m.place, func() {
				if _, open := answered[target.Id]; open {
					answered[target.Id] = true
					m.judge.RecordReport(m.now(), target.Id, report)
				}
			})
		})
	})
}

func (m *member) endProbe(answered map[uint32]bool) {
	for _, service := range m.services {
		for _, target := range service.Targets {
			if got, asked := answered[target.Id]; asked && !got {
				m.judge.RecordMissedReport(target.Id)
			}
		}
	}
	clear(answered)
	if !m.core.IsLeader() || m.frozen || m.judged == 0 {
		return
	}
	changed, events := m.judge.Evaluate(m.now(), m.services, m.policies)
	for _, logged := range events {
		m.world.logged(m.name, logged.Event, logged.Fields)
	}
	for cell := uint32(0); cell <= m.world.plan.Cells; cell++ {
		if signals, any := changed[cell]; any {
			m.carryOut(m.core.PublishSignals(m.now(), cell, signals))
		}
	}
}
