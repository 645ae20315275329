package registry

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/lab/disk"
	"github.com/beamdoor/beamdoor/internal/raft"
	"github.com/beamdoor/beamdoor/internal/wal"
	"github.com/beamdoor/beamdoor/internal/wire"
)

const (
	stepTime      = 10 * time.Millisecond
	minFrameDelay = 2 * time.Millisecond
)

// machine is one simulated member.
type machine struct {
	address string
	disk    *disk.Disk
	log     *wal.Log
	core    *Core
	up      bool
	// bootstrap is the value of CoreSettings.Bootstrap at the next start.
	bootstrap bool
	resets    int
	outcomes  map[Ticket]Outcome
	updates   []directory.Update
	// remembered holds the persisted states sent to nodes.
	remembered []directory.Remembered
	keepalive  Keepalive
}

// inFlightFrame is a frame that has not been delivered yet.
type inFlightFrame struct {
	at    kernel.Instant
	order int
	from  string
	to    string
	frame wire.Frame
}

// cluster runs members on a virtual clock over a simulated network that can be partitioned.
type cluster struct {
	*testing.T
	random   *rand.Rand
	now      kernel.Instant
	machines map[string]*machine
	seeds    []string
	inFlight []inFlightFrame
	order    int
	cut      func(from, to string) bool
	// voterCount and lostZones are the settings Voters and LostZones of all members.
	voterCount, lostZones int
	// zoneOf returns the zone of a member.
	zoneOf func(name string) string
	// events counts the events of all members.
	events map[eventlog.ID]int
	// sampled counts the events with Sampled set.
	sampled map[eventlog.ID]int
	// batches makes members handle each frame in a batch of its own, as Process does.
	batches bool
	// onStart is called with a member's persisted log at its start, and onNodeFrame with
	// each frame to a node; both may be nil.
	onStart     func(restored raft.PersistentState)
	onNodeFrame func(m *machine, message NodeFrame)
	// versionsInForce holds the versions that any member logged as in force.
	versionsInForce map[uint64]bool
	// trace writes the events of all members to the test log.
	trace bool
}

func newCluster(t *testing.T, seed uint64, members int) *cluster {
	c := &cluster{
		T:               t,
		random:          rand.New(rand.NewPCG(seed, 1)),
		now:             kernel.Instant(time.Second),
		machines:        map[string]*machine{},
		cut:             func(string, string) bool { return false },
		voterCount:      3,
		zoneOf:          func(string) string { return "zone" },
		events:          map[eventlog.ID]int{},
		sampled:         map[eventlog.ID]int{},
		versionsInForce: map[uint64]bool{},
	}
	for number := range members {
		c.seeds = append(c.seeds, address(number+1))
	}
	for _, name := range c.seeds {
		c.add(name, true)
	}
	return c
}

func address(number int) string { return fmt.Sprintf("10.0.0.%d:7000", number) }

// add starts a member with an empty disk.
func (c *cluster) add(name string, bootstrap bool) *machine {
	m := &machine{address: name, disk: disk.New(c.random), bootstrap: bootstrap}
	c.machines[name] = m
	c.start(name)
	return m
}

func (c *cluster) start(name string) {
	m := c.machines[name]
	identity, err := wal.LoadIdentity(m.disk, c.random.Uint64)
	require.NoError(c, err)
	log, restored, _, err := wal.Open(m.disk)
	require.NoError(c, err)
	settings := DefaultCoreSettings()
	settings.Address = name
	settings.Zone = c.zoneOf(name)
	settings.Seeds = c.seeds
	settings.Bootstrap = m.bootstrap
	settings.Voters = c.voterCount
	settings.LostZones = c.lostZones
	settings.Raft.Identity = identity
	settings.Raft.Random = c.random
	m.core, err = NewCore(c.now, settings, log, restored)
	require.NoError(c, err)
	if c.onStart != nil {
		c.onStart(restored)
	}
	m.log = log
	m.up = true
	m.bootstrap = false
	m.outcomes = map[Ticket]Outcome{}
}

// kill stops a member's process; with powerLoss set, its disk loses unsynced data.
func (c *cluster) kill(name string, powerLoss bool) {
	m := c.machines[name]
	m.up = false
	if powerLoss {
		m.disk.Crash()
	}
}

func (c *cluster) wipe(name string) {
	c.machines[name].up = false
	c.machines[name].disk.Wipe()
}

// apply performs the actions requested by a core.
func (c *cluster) apply(m *machine, output Output) {
	for _, message := range output.Members {
		c.order++
		delay := minFrameDelay + time.Duration(c.random.Int64N(int64(minFrameDelay)))
		c.inFlight = append(c.inFlight, inFlightFrame{at: c.now.Add(delay), order: c.order, from: m.address, to: message.To, frame: message.Frame})
	}
	for _, event := range output.Events {
		c.events[event.Event]++
		if event.Event == eventlog.VersionInForce {
			c.versionsInForce[event.Fields[1].(uint64)] = true
		}
		if event.Sampled {
			c.sampled[event.Event]++
		}
	}
	if c.trace {
		for _, event := range output.Events {
			if event.Event != eventlog.VersionInForce && event.Event != eventlog.RequestGivenUp {
				c.Logf("%v %s %d %v", c.now, m.address, event.Event, event.Fields)
			}
		}
	}
	for _, outcome := range output.Outcomes {
		m.outcomes[outcome.Ticket] = outcome
	}
	for _, message := range output.Nodes {
		c.receiveNodeFrame(m, message.Frame)
		if c.onNodeFrame != nil {
			c.onNodeFrame(m, message)
		}
	}
	if output.Reset {
		m.resets++
		require.NoError(c, wal.Clear(m.disk))
		c.start(m.address)
	}
}

func (c *cluster) receiveNodeFrame(m *machine, frame wire.Frame) {
	switch frame.Kind {
	case wire.FrameUpdate:
		update, err := directory.DecodeUpdate(frame.Payload)
		require.NoError(c, err)
		m.updates = append(m.updates, update)
	case wire.FrameRemembered:
		remembered, err := directory.DecodeRemembered(frame.Payload)
		require.NoError(c, err)
		m.remembered = append(m.remembered, remembered)
	case wire.FrameKeepalive:
		alive, err := DecodeKeepalive(frame.Payload)
		require.NoError(c, err)
		m.keepalive = alive
	}
}

func (c *cluster) names() []string {
	var names []string
	for name := range c.machines {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// run advances the virtual clock.
func (c *cluster) run(duration time.Duration) {
	end := c.now.Add(duration)
	for c.now < end {
		c.now = c.now.Add(stepTime)
		c.deliver()
		for _, name := range c.names() {
			if m := c.machines[name]; m.up {
				c.apply(m, m.core.Tick(c.now))
			}
		}
	}
}

func (c *cluster) deliver() {
	slices.SortStableFunc(c.inFlight, func(a, b inFlightFrame) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.order, b.order))
	})
	for len(c.inFlight) > 0 && c.inFlight[0].at <= c.now {
		next := c.inFlight[0]
		c.inFlight = c.inFlight[1:]
		m, known := c.machines[next.to]
		if !known || !m.up || c.cut(next.from, next.to) {
			continue
		}
		c.deliverFrame(m, next.frame)
	}
}

// deliverFrame passes a frame to a member.
func (c *cluster) deliverFrame(m *machine, frame wire.Frame) {
	if !c.batches {
		c.apply(m, m.core.HandleFrame(c.now, frame))
		return
	}
	m.core.BeginBatch()
	c.apply(m, m.core.HandleFrame(c.now, frame))
	c.apply(m, m.core.EndBatch(c.now))
}

// runUntil advances the virtual clock until a condition holds.
func (c *cluster) runUntil(limit time.Duration, what string, done func() bool) {
	end := c.now.Add(limit)
	for !done() {
		require.Less(c, c.now, end, "not within %s: %s", limit, what)
		c.run(stepTime)
	}
}

func (c *cluster) leader() *machine {
	for _, name := range c.names() {
		m := c.machines[name]
		if m.up && m.core.IsLeader() && m.core.Raft().HasLease(c.now) {
			return m
		}
	}
	return nil
}

func (c *cluster) waitForLeader() *machine {
	c.runUntil(10*time.Second, "a leader with a lease", func() bool { return c.leader() != nil })
	return c.leader()
}

// submit submits a command at a member and waits for the outcome.
func (c *cluster) submit(m *machine, command directory.Command) Outcome {
	ticket, output := m.core.Submit(c.now, command)
	c.apply(m, output)
	c.runUntil(3*time.Second, "an outcome", func() bool { _, done := m.outcomes[ticket]; return done })
	return m.outcomes[ticket]
}

// publish submits a version in the same way as Process.Publish.
func (c *cluster) publish(m *machine, version uint64) Outcome {
	next := directory.Configuration{Version: version, Routes: []directory.Route{{Name: fmt.Sprint("r", version)}}}
	edit := directory.Difference(m.core.State().Configuration(), next)
	return c.submit(m, directory.Command{Kind: directory.CommandPublish, Edit: edit})
}

// read returns the version in force at a member after a linearizable read.
func (c *cluster) read(m *machine) (uint64, error) {
	ticket, output := m.core.Read(c.now)
	c.apply(m, output)
	c.runUntil(3*time.Second, "an outcome", func() bool { _, done := m.outcomes[ticket]; return done })
	return m.core.State().Configuration().Version, m.outcomes[ticket].Err
}

func (c *cluster) voters() []raft.MemberID {
	leader := c.leader()
	if leader == nil {
		return nil
	}
	return leader.core.Raft().Membership().Voters
}

func putTarget(id, at string, state directory.TargetState) directory.Command {
	return directory.Command{Kind: directory.CommandPutTarget, Target: directory.Target{
		ID: id, Service: "booking", Address: netip.MustParseAddrPort(at), State: state,
	}}
}
