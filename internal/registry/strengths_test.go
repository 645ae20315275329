package registry

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/heartbeat"
	"github.com/beamdoor/beamdoor/internal/hosting"
	"github.com/beamdoor/beamdoor/internal/raft"
	"github.com/beamdoor/beamdoor/internal/strength"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// resourcesSize is the encoded size of the strength at the end of a subscription.
const resourcesSize = 32

// The subscriptions of older nodes end before the strength.
func TestSubscriptionWithoutStrength(t *testing.T) {
	subscribe := Subscribe{Node: "edge-1", Zone: "north", HeartbeatAddress: "10.0.0.1:1", CachesVerdicts: true, Strength: strength.Resources{CPUShare: 0.25, CPUCores: 2}}
	payload := subscribe.Frame().Payload
	known, err := DecodeSubscribe(payload)
	require.NoError(t, err)
	assert.Equal(t, subscribe, known)
	before, err := DecodeSubscribe(payload[:len(payload)-resourcesSize])
	require.NoError(t, err)
	subscribe.Strength = strength.Resources{}
	assert.Equal(t, subscribe, before)
	_, err = DecodeSubscribe(payload[:len(payload)-1])
	assert.Error(t, err, "truncated strength")
}

// leaderWithShares returns a leader with subscribed nodes that state these CPU shares.
func leaderWithShares(c *cluster, shares ...float64) *machine {
	leader := leaderWithNodes(c, 0)
	for number, share := range shares {
		subscribe := Subscribe{Node: fmt.Sprint("edge-", number), Strength: strength.Resources{CPUShare: share}}
		c.apply(leader, leader.core.Subscribe(c.now, ConnectionID(number+1), subscribe))
	}
	return leader
}

// countAssignments counts the targets to which each node is assigned.
func countAssignments(core *Core, targets int) map[uint32]int {
	counts := map[uint32]int{}
	for number := range targets {
		for _, node := range core.assignedNodes(fmt.Sprint("i-", number), 3, 3) {
			counts[node]++
		}
	}
	return counts
}

func TestStrongNodesAreChosenMoreOften(t *testing.T) {
	c := newCluster(t, 1, 3)
	leader := leaderWithShares(c, 0.045, 0.045, 0.045, 0.045, 0.045, 0.045, 0.045, 0.153, 0)
	const targets = 2000
	counts := countAssignments(leader.core, targets)
	strong := counts[directory.NodeKey("edge-7")]
	weak := counts[directory.NodeKey("edge-0")]
	assert.Greater(t, strong, 2*weak, "three are drawn without replacement, so the ratio is below that of the weights")
	assert.InDelta(t, weak, counts[directory.NodeKey("edge-8")], targets/15, "a node without a strength counts as the median")
}

// A node whose strength drops must not take targets from other nodes.
func TestStrengthChangeKeepsOtherAssignedNodes(t *testing.T) {
	c := newCluster(t, 1, 3)
	leader := leaderWithShares(c, 0.1, 0.1, 0.1, 0.1, 0.1, 0.2)
	own := directory.NodeKey("edge-5")
	before := make([][]uint32, 300)
	for number := range before {
		before[number] = leader.core.assignedNodes(fmt.Sprint("i-", number), 2, 2)
	}
	c.apply(leader, leader.core.UpdateStrength(6, strength.Resources{CPUShare: 0.15}))
	for number := range before {
		after := leader.core.assignedNodes(fmt.Sprint("i-", number), 2, 2)
		for _, node := range before[number] {
			if node != own {
				assert.Contains(t, after, node, "a lower weight takes nothing from others")
			}
		}
	}
	assert.Equal(t, 1, c.events[eventlog.StrengthChanged])
	c.apply(leader, leader.core.UpdateStrength(6, strength.Resources{CPUShare: 0.15}))
	c.apply(leader, leader.core.UpdateStrength(99, strength.Resources{CPUShare: 0.15}))
	assert.Equal(t, 1, c.events[eventlog.StrengthChanged], "neither an unchanged strength nor an unknown node")
}

func TestImplausibleStrengthIsCappedAndLoggedOnce(t *testing.T) {
	c := newCluster(t, 1, 3)
	leader := leaderWithShares(c, 0.1, 0.1, 0.1, 0.1, 0.1, 4000)
	c.run(2 * weightInterval)
	assert.Equal(t, 1, c.events[eventlog.StrengthBounded])
	for _, node := range leader.core.weightedNodes() {
		assert.LessOrEqual(t, node.Weight, 0.8)
	}
	c.apply(leader, leader.core.Subscribe(c.now, 50, Subscribe{Node: "edge-old"}))
	c.run(2 * weightInterval)
	assert.Equal(t, 1, c.events[eventlog.StrengthBounded], "logged only once")
	assert.Equal(t, 1, leader.core.strengths.unstated)
	leader.core.Unsubscribe(6)
	c.run(2 * weightInterval)
	assert.Empty(t, leader.core.strengths.capped)
}

// Nodes subscribe, leave, reconnect and change their strength in random order.
func TestWeightsMatchSubscribedNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		core := &Core{nodes: map[ConnectionID]*subscription{}, state: directory.New()}
		for range 60 {
			connection := ConnectionID(rapid.IntRange(1, 12).Draw(t, "connection"))
			stated := strength.Resources{CPUShare: rapid.SampledFrom([]float64{0, 0.1, 0.3, 1000}).Draw(t, "share")}
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				name := fmt.Sprint("edge-", rapid.IntRange(0, 5).Draw(t, "node"))
				core.nodes[connection] = &subscription{name: name, strength: stated}
				core.strengths.isStale = true
			case 1:
				core.Unsubscribe(connection)
			case 2:
				core.UpdateStrength(connection, stated)
			}
			names := map[uint32]bool{}
			for _, node := range core.nodes {
				names[directory.NodeKey(node.name)] = true
			}
			weighted := core.weightedNodes()
			assert.Len(t, weighted, len(names), "each node once")
			for _, node := range weighted {
				assert.True(t, names[uint32(node.Seed)])
				assert.Positive(t, node.Weight)
			}
			assert.Len(t, core.assignedNodes("i-1", 3, 3), min(3, len(names)))
		}
	})
}

func TestFillingDiskIsDetected(t *testing.T) {
	process := NewProcess(Settings{Name: "core-1", DataFolder: t.TempDir()}, eventlog.Discard())
	core, disk, err := process.openCore()
	require.NoError(t, err)
	process.core, process.disk = core, disk
	entry := raft.Entry{Index: 1, Term: 1, Data: make([]byte, 1000)}
	require.NoError(t, disk.Save(raft.Ready{Entries: []raft.Entry{entry}}, raft.PersistentState{}))
	held := disk.PeakDiskUsage()
	for _, test := range []struct {
		disk  int64
		fills bool
	}{{0, false}, {held * 2, false}, {held * 3 / 2, false}, {held + held/10, true}, {held * 3 / 2, true}, {held * 2, false}, {held * 3 / 2, false}, {held, true}, {0, false}} {
		process.handleBatch([]input{settingsInput{next: hosting.ReloadableSettings{Strength: strength.Resources{Disk: test.disk}}}})
		assert.Equal(t, test.fills, process.diskNearlyFull, "%d of %d", held, test.disk)
	}
	assert.NoError(t, disk.Close())
}

// A node states a changed strength over its open connection.
func TestStrengthChangeOverOpenConnection(t *testing.T) {
	process := NewProcess(Settings{Name: "core-1", HeartbeatOptions: []heartbeat.DistributorOption{heartbeat.WithLocalRate(0)}}, eventlog.Discard())
	for connection, address := range []string{"10.0.0.1:1", "10.0.0.2:1"} {
		process.heartbeatDistributor.AddNode(uint64(connection), "north", address)
		process.heartbeatDistributor.SetStrength(uint64(connection), strength.Resources{CPUShare: 0.1})
	}
	assignedToSecond := func(call int) (count int) {
		for number := range 400 {
			if process.heartbeatDistributor.Assign("north", fmt.Sprint("i-", call, number)) == "10.0.0.2:1" {
				count++
			}
		}
		return count
	}
	assert.InDelta(t, 200, assignedToSecond(1), 60)
	frame := Subscribe{Node: "edge-2", Strength: strength.Resources{CPUShare: 0.7}}.Frame()
	process.receiveStrength(1, wire.Frame{Kind: wire.FrameEvidence, Payload: frame.Payload})
	process.receiveStrength(1, wire.Frame{Kind: wire.FrameSubscribe, Payload: []byte{0}})
	process.receiveStrength(1, frame)
	batch, _ := process.inputs.PopBatch(nil, 10)
	require.Len(t, batch, 1, "malformed and other frames are ignored")
	process.handleBatch(batch)
	assert.InDelta(t, 350, assignedToSecond(2), 40)
}
