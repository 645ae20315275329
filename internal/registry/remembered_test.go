package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/directory"
)

func TestNewNodeReceivesRememberedTargets(t *testing.T) {
	c := newTolerantCluster(t, 1, 3, 1)
	leader := c.leader()
	require.NoError(t, c.submit(leader, putTarget("i-1", "10.1.1.1:1", directory.TargetReady)).Err)
	require.NoError(t, c.submit(leader, putTarget("i-2", "10.1.1.2:1", directory.TargetReady)).Err)
	require.NoError(t, c.submit(leader, putTarget("i-2", "10.1.1.2:1", directory.TargetEnded)).Err)
	c.run(time.Second)
	for _, name := range c.names() {
		c.kill(name, true)
	}
	alone := c.names()[0]
	c.start(alone)
	m := c.machines[alone]
	c.apply(m, m.core.Subscribe(c.now, 1, Subscribe{Node: "edge"}))
	require.Len(t, m.remembered, 1, "sent without a leader")
	require.Len(t, m.remembered[0].Targets, 1, "only targets that have not ended")
	assert.Equal(t, "i-1", m.remembered[0].Targets[0].ID)
	assert.Empty(t, m.updates)
	c.apply(m, m.core.Subscribe(c.now, 2, Subscribe{Node: "other", Revision: 5}))
	assert.Len(t, m.remembered, 1, "not sent to a node with state")
}

func TestCurrentMemberSendsReplicatedState(t *testing.T) {
	c := newTolerantCluster(t, 1, 3, 1)
	leader := c.leader()
	require.NoError(t, c.submit(leader, putTarget("i-1", "10.1.1.1:1", directory.TargetReady)).Err)
	for _, name := range c.names() {
		c.kill(name, true)
	}
	for _, name := range c.names() {
		c.start(name)
	}
	leader = c.waitForLeader()
	c.run(time.Second)
	c.apply(leader, leader.core.Subscribe(c.now, 1, Subscribe{Node: "edge"}))
	assert.Empty(t, leader.remembered)
	assert.NotEmpty(t, leader.updates)
}
