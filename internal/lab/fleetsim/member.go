package fleetsim

import (
	"fmt"
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/lab/disk"
	"github.com/beamdoor/beamdoor/internal/lab/flowrules"
	"github.com/beamdoor/beamdoor/internal/registry"
	"github.com/beamdoor/beamdoor/internal/wal"
)

// memberTick is the time between two ticks of a member.
const memberTick = 25 * time.Millisecond

// member is one registry member with its disk.
type member struct {
	world *World
	name  string
	zone  string
	disk  *disk.Disk
	core  *registry.Core
	up    bool
	// life rises with each start, so that what was meant for an earlier one is
	// dropped.
	life      int
	bootstrap bool
	nodes     map[registry.ConnectionID]*edge
	waiting   map[registry.Ticket]func(registry.Outcome)
	nextConn  registry.ConnectionID
	// early collects outcomes that come before their ticket is known.
	early map[registry.Ticket]registry.Outcome
}

func (w *World) addMember(name, zone string, bootstrap bool) *member {
	m := &member{world: w, name: name, zone: zone, disk: disk.New(w.random), bootstrap: bootstrap}
	w.members = append(w.members, m)
	m.start()
	w.every(memberTick, func() {
		if m.up {
			m.take(m.core.Tick(w.now))
		}
	})
	return m
}

func (w *World) memberNames() []string {
	var names []string
	for _, m := range w.members {
		names = append(names, m.name)
	}
	return names
}

func (w *World) memberAt(name string) *member {
	for _, m := range w.members {
		if m.name == name {
			return m
		}
	}
	return nil
}

// firstMembers returns the names of the members that start with the world.
func (w *World) firstMembers() []string {
	var names []string
	for number := range w.settings.Members {
		names = append(names, fmt.Sprintf("member-%d", number+1))
	}
	return names
}

// founders returns the names of the members that found the group.
func (w *World) founders() []string {
	names := w.firstMembers()
	return names[:min(founderCount, len(names))]
}

// seeds returns the names of the members that a part is told when it starts.
func (w *World) seeds() []string {
	names := w.memberNames()
	w.random.Shuffle(len(names), func(a, b int) { names[a], names[b] = names[b], names[a] })
	return names[:min(founderCount, len(names))]
}

// start opens the disk and begins; it panics on a disk that cannot be read,
// which the emulated one never makes of what was synced.
func (m *member) start() {
	identity, err := wal.LoadIdentity(m.disk, m.world.random.Uint64)
	if err != nil {
		panic(err)
	}
	log, restored, _, err := wal.Open(m.disk)
	if err != nil {
		panic(err)
	}
	settings := registry.DefaultCoreSettings()
	settings.Address = m.name
	settings.Zone = m.zone
	settings.Voters = 2*m.world.settings.Tolerance + 1
	if m.world.settings.Zones >= defaultZones {
		settings.LostZones = 1
	}
	settings.WarmupLimits = registry.WarmupLimits{Factor: 1}
	settings.WarmupOf = func(directory.Service) (registry.WarmupConfig, error) {
		return registry.WarmupConfig{Time: flowrules.ColdTime, Rate: flowrules.ColdRate}, nil
	}
	settings.Seeds = m.world.seeds()
	settings.Bootstrap = m.bootstrap
	if m.bootstrap {
		settings.Seeds = m.world.founders()
	}
	settings.Raft.Identity = identity
	settings.Raft.Random = m.world.random
	core, err := registry.NewCore(m.world.now, settings, log, restored)
	if err != nil {
		panic(err)
	}
	m.core = core
	m.up = true
	m.life++
	m.bootstrap = false
	m.nodes = map[registry.ConnectionID]*edge{}
	m.waiting = map[registry.Ticket]func(registry.Outcome){}
	m.early = map[registry.Ticket]registry.Outcome{}
}

// stop ends the member's process; without power its disk loses what was not
// synced.
func (m *member) stop(power bool) {
	m.up = false
	if power {
		m.disk.Crash()
	}
}

// take carries out what the core wants done.
func (m *member) take(output registry.Output) {
	w := m.world
	for _, message := range output.Members {
		w.after(m.delayTo(message.To), func() { w.deliver(m.name, message) })
	}
	for _, message := range output.Nodes {
		if e, connected := m.nodes[message.Connection]; connected {
			held := heldFrame{from: m, life: m.life, connection: message.Connection, frame: message.Frame}
			w.after(w.between(m.zone, e.zone), func() { e.arrive(held) })
		}
	}
	for _, outcome := range output.Outcomes {
		if answer, known := m.waiting[outcome.Ticket]; known {
			delete(m.waiting, outcome.Ticket)
			answer(outcome)
			continue
		}
		m.early[outcome.Ticket] = outcome
	}
	if output.Reset {
		if err := wal.Clear(m.disk); err != nil {
			panic(err)
		}
		m.start()
	}
}

func (m *member) delayTo(name string) time.Duration {
	for _, other := range m.world.members {
		if other.name == name {
			return m.world.between(m.zone, other.zone) + time.Duration(m.world.random.Int64N(int64(inZone)))
		}
	}
	return m.world.settings.CrossZone
}

// deliver hands a frame to a member unless one of the two is cut off or they
// stand on two sides of a split.
func (w *World) deliver(from string, message registry.AddressedFrame) {
	if w.cuts[from] || w.cuts[message.To] || w.split[from] != w.split[message.To] {
		return
	}
	for _, m := range w.members {
		if m.name == message.To && m.up {
			m.take(m.core.HandleFrame(w.now, message.Frame))
		}
	}
}

// submit hands a command to the core and calls back with the outcome.
func (m *member) submit(command directory.Command, answer func(registry.Outcome)) {
	ticket, output := m.core.Submit(m.world.now, command)
	m.await(ticket, output, answer)
}

// submitOrder hands an operator's order to the core, confirmed at once, and calls back with the
// outcome.
func (m *member) submitOrder(command directory.Command, answer func(registry.Outcome)) {
	ticket, output := m.core.SubmitOrder(m.world.now, command, m.core.OrderPosition())
	m.await(ticket, output, answer)
}

// await carries out what the core wants done for a request and calls back with its
// outcome.
func (m *member) await(ticket registry.Ticket, output registry.Output, answer func(registry.Outcome)) {
	m.take(output)
	if outcome, done := m.early[ticket]; done {
		delete(m.early, ticket)
		answer(outcome)
		return
	}
	m.waiting[ticket] = answer
}

// beat takes a heartbeat as the process does.
func (m *member) beat(reported directory.Target, answer func(acknowledged bool)) {
	m.core.RecordHeartbeat(m.world.now, reported.Start())
	_, registered := m.core.State().Target(reported.ID)
	if m.core.IsRegistered(reported) || m.world.settings.Switches.EarlyDrain && registered {
		answer(true)
		return
	}
	ticket, output, err := m.core.Register(m.world.now, reported)
	if err != nil {
		answer(false)
		return
	}
	m.await(ticket, output, func(outcome registry.Outcome) { answer(outcome.Err == nil) })
}

// operator submits versions that rise and notes which were acknowledged.
type operator struct {
	world        *World
	version      uint64
	acknowledged uint64
	// settled is the newest version whose time to be in force has passed.
	settled []settledVersion
	stopped bool
}

type settledVersion struct {
	version uint64
	at      kernel.Instant
}

func (o *operator) settledVersion() uint64 {
	highest := uint64(0)
	for _, settled := range o.settled {
		if o.world.now.Sub(settled.at) > flowrules.InForceBound {
			highest = max(highest, settled.version)
		}
	}
	return highest
}

// change submits the next version to some member.
func (o *operator) change() {
	w := o.world
	if o.stopped {
		return
	}
	m := w.members[w.random.IntN(len(w.members))]
	if !m.up || w.cuts[m.name] {
		return
	}
	o.version += uint64(1 + w.random.IntN(3))
	version := o.version
	edit := directory.Difference(m.core.State().Configuration(), configuration(version))
	m.submit(directory.Command{Kind: directory.CommandPublish, Edit: edit}, func(outcome registry.Outcome) {
		if outcome.Err == nil && outcome.Result.Code == directory.CodeDone {
			o.acknowledged = max(o.acknowledged, version)
			o.settled = append(o.settled, settledVersion{version: version, at: w.now})
		}
	})
}
