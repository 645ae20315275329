package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/directory"
)

// evacuate submits the start or end of an evacuation at a member, without warm-ups.
func (c *cluster) evacuate(m *machine, zone string, active bool) Outcome {
	evacuation := directory.Evacuation{Zone: zone, Active: active, Revision: m.core.State().Evacuation(zone).Revision}
	return c.submit(m, directory.Command{Kind: directory.CommandEvacuate, Evacuation: evacuation})
}

func TestAcknowledgedEvacuationSurvivesDiskAndPowerLoss(t *testing.T) {
	for seed := range uint64(20) {
		c := newTolerantCluster(t, seed, 5, 2)
		require.NoError(t, c.evacuate(c.leader(), "north", true).Err)
		require.NoError(t, c.evacuate(c.leader(), "south", true).Err)
		require.NoError(t, c.evacuate(c.leader(), "south", false).Err)
		c.loseDisksAndPower(2)
		leader := c.waitForLeader()
		_, err := c.read(leader)
		require.NoError(t, err)
		assert.True(t, leader.core.State().Evacuation("north").Active, "seed %d", seed)
		assert.False(t, leader.core.State().Evacuation("south").Active, "seed %d", seed)
	}
}

func TestEvacuationsReachNewMembers(t *testing.T) {
	c := newTolerantCluster(t, 1, 3, 1)
	require.NoError(t, c.evacuate(c.leader(), "north", true).Err)
	for version := range uint64(40) {
		require.NoError(t, c.publish(c.leader(), version+1).Err)
	}
	c.wipe(c.names()[0])
	c.run(time.Second)
	c.start(c.names()[0])
	m := c.machines[c.names()[0]]
	c.runUntil(10*time.Second, "the member is current", func() bool { return m.core.IsCurrent(c.now) })
	assert.True(t, m.core.State().Evacuation("north").Active)
	m.updates = nil
	c.apply(m, m.core.Subscribe(c.now, 7, Subscribe{Node: "edge"}))
	require.NotEmpty(t, m.updates)
	assert.Equal(t, "north", m.updates[0].Evacuations[0].Zone)
}

// A command delayed at a partitioned member must not undo a later one that was acknowledged
// elsewhere.
func TestDelayedEvacuationDoesNotOverwriteNewer(t *testing.T) {
	for seed := range uint64(20) {
		c := newTolerantCluster(t, seed, 5, 2)
		leader := c.leader()
		var partitioned *machine
		for _, name := range c.names() {
			if m := c.machines[name]; m != leader {
				partitioned = m
			}
		}
		c.cut = func(from, to string) bool { return to == leader.address && from == partitioned.address }
		evacuation := directory.Evacuation{Zone: "north", Active: true}
		ticket, output := partitioned.core.Submit(c.now, directory.Command{Kind: directory.CommandEvacuate, Evacuation: evacuation})
		c.apply(partitioned, output)
		c.run(100 * time.Millisecond)
		require.NoError(t, c.evacuate(leader, "north", true).Err)
		require.NoError(t, c.evacuate(leader, "north", false).Err)
		c.cut = func(string, string) bool { return false }
		c.runUntil(3*time.Second, "an outcome", func() bool { _, done := partitioned.outcomes[ticket]; return done })
		c.run(time.Second)
		outcome := partitioned.outcomes[ticket]
		assert.True(t, outcome.Err != nil || outcome.Result.Code == directory.CodeConflict, "seed %d: %+v", seed, outcome)
		assert.False(t, c.waitForLeader().core.State().Evacuation("north").Active, "seed %d", seed)
	}
}
