package registry

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/raft"
	"github.com/beamdoor/beamdoor/internal/steer"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// simulatedNode is a node that subscribes to random members.
type simulatedNode struct {
	core      *steer.Core
	startedAt kernel.Instant
	// highestVersion is the highest version that the node has used.
	highestVersion uint64
}

// rememberedRun injects faults while nodes subscribe to members and targets of two services
// reuse a few addresses.
type rememberedRun struct {
	*faultRun
	nodes          map[ConnectionID]*simulatedNode
	lastConnection ConnectionID
	targetCount    int
	// serviceOf maps each target that ever registered to its service.
	serviceOf map[string]string
	// rememberedVersions are the versions that members read from disk as committed.
	rememberedVersions map[uint64]bool
	// rememberedUses counts how often a node could route by remembered state.
	rememberedUses int
}

func newRememberedRun(t *testing.T, seed uint64) *rememberedRun {
	r := &rememberedRun{
		faultRun:           &faultRun{cluster: newCluster(t, seed, 3), nextJoin: 3},
		nodes:              map[ConnectionID]*simulatedNode{},
		serviceOf:          map[string]string{},
		rememberedVersions: map[uint64]bool{0: true},
	}
	r.onStart = func(restored raft.PersistentState) {
		r.rememberedVersions[readPersistedState(restored).configuration.Version] = true
	}
	r.onNodeFrame = r.deliverNodeFrame
	r.onStep = r.step
	return r
}

// step registers a target, subscribes a node to another member, and starts a node at each
// member that is not current.
func (r *rememberedRun) step() {
	m := r.randomUpMember()
	if m == nil {
		return
	}
	if r.heal == nil && r.random.IntN(20) == 0 {
		r.restartAll(time.Duration(r.random.IntN(200)) * time.Millisecond)
	}
	r.register(m)
	if node := r.nodes[ConnectionID(1+r.random.IntN(int(r.lastConnection)+1))]; node != nil {
		r.subscribe(m, node)
	}
	for _, name := range r.names() {
		if m := r.machines[name]; m.up && !m.core.IsCurrent(r.now) {
			r.subscribe(m, r.newNode())
		}
	}
}

func (r *rememberedRun) newNode() *simulatedNode {
	settings := steer.DefaultSettings()
	settings.Random = r.random
	return &simulatedNode{core: steer.New(settings), startedAt: r.now}
}

func (r *rememberedRun) subscribe(m *machine, node *simulatedNode) {
	r.lastConnection++
	r.nodes[r.lastConnection] = node
	r.apply(m, m.core.Subscribe(r.now, r.lastConnection, Subscribe{Node: "edge", Revision: node.core.Revision()}))
}

// register registers a new target at one of a few addresses.
func (r *rememberedRun) register(m *machine) {
	r.targetCount++
	id := fmt.Sprintf("i-%08x", r.targetCount)
	r.serviceOf[id] = fmt.Sprint("service-", r.random.IntN(2))
	_, output := m.core.Submit(r.now, directory.Command{Kind: directory.CommandPutTarget, Target: directory.Target{
		ID: id, Service: r.serviceOf[id], Zone: "north", Slots: 1, State: directory.TargetReady,
		Address: netip.AddrPortFrom(netip.MustParseAddr("10.1.0.1"), uint16(8000+r.random.IntN(8))),
	}})
	r.apply(m, output)
}

// deliverNodeFrame passes a member's frame to a node.
func (r *rememberedRun) deliverNodeFrame(_ *machine, message NodeFrame) {
	node := r.nodes[message.Connection]
	if node == nil {
		return
	}
	switch message.Frame.Kind {
	case wire.FrameRemembered:
		remembered, err := directory.DecodeRemembered(message.Frame.Payload)
		require.NoError(r, err)
		for _, target := range remembered.Targets {
			require.Equal(r, r.serviceOf[target.ID], target.Service)
		}
		node.core.ApplyRemembered(r.now, remembered, node.startedAt.Add(RememberedTTL))
		if node.core.UsesRemembered() {
			r.rememberedUses++
		}
	case wire.FrameUpdate:
		update, err := directory.DecodeUpdate(message.Frame.Payload)
		require.NoError(r, err)
		node.core.Update(r.now, update)
	}
	require.GreaterOrEqual(r, node.core.Version(), node.highestVersion, "the version of a node never decreases")
	node.highestVersion = node.core.Version()
}

// Checks under random faults that remembered versions were committed, and that the version
// of a node never decreases.
func TestRememberedConfigurationWasCommitted(t *testing.T) {
	rememberedUses := 0
	for seed := range uint64(20) {
		r := newRememberedRun(t, seed)
		r.waitForLeader()
		r.play(30 * time.Second)
		context := fmt.Sprintf("seed %d, faults %v", seed, r.faults)
		require.NotNil(t, r.leader(), context)
		version, err := r.read(r.leader())
		require.NoError(t, err, context)
		r.versionsInForce[0] = true
		for remembered := range r.rememberedVersions {
			require.LessOrEqual(t, remembered, version, context)
			require.True(t, r.versionsInForce[remembered], "version %d was never in force: %s", remembered, context)
		}
		for _, node := range r.nodes {
			require.LessOrEqual(t, node.highestVersion, version, context)
		}
		rememberedUses += r.rememberedUses
	}
	assert.Greater(t, rememberedUses, 20, "the faults must let nodes use remembered state")
	t.Log(rememberedUses, "nodes used remembered state")
}

func restoredLog(commit uint64, commands ...directory.Command) raft.PersistentState {
	restored := raft.PersistentState{HardState: raft.HardState{Term: 1, Commit: commit}}
	for position, command := range commands {
		restored.Entries = append(restored.Entries, raft.Entry{
			Term: 1, Index: uint64(position + 1), Kind: raft.EntryCommand, Data: directory.EncodeCommand(command),
		})
	}
	return restored
}

func publishCommand(version uint64, before directory.Configuration) directory.Command {
	return directory.Command{Kind: directory.CommandPublish, Edit: directory.Difference(before, configurationOf(version))}
}

func TestPersistedStateUsesCommittedConfiguration(t *testing.T) {
	commands := []directory.Command{publishCommand(3, directory.Configuration{}), publishCommand(5, configurationOf(3)), publishCommand(8, configurationOf(5))}
	for commit, want := range []uint64{0, 3, 5, 8} {
		persisted := readPersistedState(restoredLog(uint64(commit), commands...))
		assert.Equal(t, want, persisted.configuration.Version)
	}
	state := directory.New()
	state.Apply(1, commands[0])
	snapshot := raft.PersistentState{Snapshot: raft.Snapshot{Index: 1, Term: 1, Data: state.Encode()}}
	assert.Equal(t, uint64(3), readPersistedState(snapshot).configuration.Version, "snapshots hold committed entries only")
}

// rememberedState returns the state in which a remembered target is sent to nodes, or
// TargetEnded if it is not sent.
func rememberedState(t *testing.T, persisted persistedState, id string) directory.TargetState {
	for _, target := range persisted.targets() {
		if target.ID == id {
			assert.Nil(t, target.Warmup)
			return target.State
		}
	}
	return directory.TargetEnded
}

func TestRememberedTargetsWithoutNewFlowsAreLeaving(t *testing.T) {
	cold := putTarget("cold", "10.1.1.1:1", directory.TargetReady)
	cold.Target.Warmup = &directory.Warmup{Remaining: time.Second, Budget: 2, AssignedNodes: []uint32{1}}
	spared := putTarget("spared", "10.1.1.2:1", directory.TargetReady)
	spared.Target.Warmup = &directory.Warmup{Remaining: time.Second}
	far := putTarget("far", "10.1.1.3:1", directory.TargetReady)
	far.Target.Zone = "far"
	back := putTarget("back", "10.1.1.4:1", directory.TargetReady)
	back.Target.Zone = "back"
	budget := []directory.ServiceWarmup{{Service: "booking", Warmup: directory.Warmup{Remaining: time.Second, Budget: 1}}}
	commands := []directory.Command{
		putTarget("warm", "10.1.1.5:1", directory.TargetReady),
		putTarget("ejected", "10.1.1.6:1", directory.TargetReady),
		putTarget("draining", "10.1.1.7:1", directory.TargetDraining),
		putTarget("ended", "10.1.1.8:1", directory.TargetEnded),
		cold, spared, far, back,
		{Kind: directory.CommandOrderTarget, TargetOrder: directory.TargetOrder{ID: "ejected", Rule: directory.RuleEjected}},
		{Kind: directory.CommandEvacuate, Evacuation: directory.Evacuation{Zone: "far", Active: true}},
		{Kind: directory.CommandEvacuate, Evacuation: directory.Evacuation{Zone: "back", Active: true}},
		{Kind: directory.CommandEvacuate, Evacuation: directory.Evacuation{Zone: "back", Revision: 11, Warmups: budget}},
	}
	persisted := readPersistedState(restoredLog(uint64(len(commands)), commands...))
	for id, want := range map[string]directory.TargetState{
		"warm": directory.TargetReady, "spared": directory.TargetReady,
		"cold": directory.TargetLeaving, "far": directory.TargetLeaving, "back": directory.TargetLeaving,
		"ejected": directory.TargetLeaving, "draining": directory.TargetLeaving, "ended": directory.TargetEnded,
	} {
		assert.Equal(t, want, rememberedState(t, persisted, id), id)
	}
	endEvacuation := directory.Command{Kind: directory.CommandEvacuate, Evacuation: directory.Evacuation{Zone: "far", Revision: 10}}
	uncommitted := readPersistedState(restoredLog(uint64(len(commands)), append(commands, endEvacuation)...))
	assert.Equal(t, directory.TargetLeaving, rememberedState(t, uncommitted, "far"), "the order that ends the evacuation may not be committed")
	committed := readPersistedState(restoredLog(uint64(len(commands)+1), append(commands, endEvacuation)...))
	assert.Equal(t, directory.TargetLeaving, rememberedState(t, committed, "back"))
}

// startWithoutPeers returns a member that has restarted while the other members are down.
func startWithoutPeers(t *testing.T) (*cluster, *machine) {
	c := newTolerantCluster(t, 1, 3, 1)
	leader := c.waitForLeader()
	require.NoError(t, c.submit(leader, putTarget("i-1", "10.1.1.1:1", directory.TargetReady)).Err)
	require.NoError(t, c.publish(leader, 7).Err)
	require.NoError(t, c.submit(leader, putTarget("i-2", "10.1.1.2:1", directory.TargetReady)).Err)
	c.run(time.Second)
	for _, name := range c.names() {
		c.kill(name, true)
	}
	c.start(c.names()[0])
	return c, c.machines[c.names()[0]]
}

func TestRememberedConfigurationExpires(t *testing.T) {
	c, m := startWithoutPeers(t)
	c.apply(m, m.core.Subscribe(c.now, 1, Subscribe{Node: "edge"}))
	require.Len(t, m.remembered, 1)
	assert.Equal(t, uint64(7), m.remembered[0].Configuration.Version)
	assert.Len(t, m.remembered[0].Targets, 2)
	c.run(RememberedTTL)
	c.apply(m, m.core.Subscribe(c.now, 2, Subscribe{Node: "edge"}))
	require.Len(t, m.remembered, 2)
	assert.Zero(t, m.remembered[1].Configuration.Version)
	assert.Len(t, m.remembered[1].Targets, 2, "targets are still sent for open flows")
}

func TestCurrentMemberDropsRememberedState(t *testing.T) {
	c, m := startWithoutPeers(t)
	for _, name := range c.names()[1:] {
		c.start(name)
	}
	c.runUntil(3*time.Second, "a member that is current", func() bool { return m.core.IsCurrent(c.now) })
	c.run(stepTime)
	for _, name := range c.names()[1:] {
		c.kill(name, true)
	}
	c.run(2 * time.Second)
	require.False(t, m.core.IsCurrent(c.now))
	c.apply(m, m.core.Subscribe(c.now, 1, Subscribe{Node: "edge"}))
	assert.Empty(t, m.remembered)
}

func TestInitialStatePayloadIsShared(t *testing.T) {
	c := newTolerantCluster(t, 1, 3, 1)
	leader := c.waitForLeader()
	require.NoError(t, c.submit(leader, putTarget("i-1", "10.1.1.1:1", directory.TargetReady)).Err)
	payloadOf := func(connection ConnectionID) []byte {
		for _, message := range leader.core.Subscribe(c.now, connection, Subscribe{Node: "edge"}).Nodes {
			if message.Frame.Kind == wire.FrameUpdate {
				return message.Frame.Payload
			}
		}
		return nil
	}
	first := payloadOf(1)
	require.NotEmpty(t, first)
	assert.Same(t, &first[0], &payloadOf(2)[0])
	require.NoError(t, c.submit(leader, putTarget("i-2", "10.1.1.2:1", directory.TargetReady)).Err)
	update, err := directory.DecodeUpdate(payloadOf(3))
	require.NoError(t, err)
	assert.Len(t, update.Targets, 2)
}
