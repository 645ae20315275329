package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/directory"
)

// Guards against delaying the initial state by the update interval after a member has
// become current.
func TestInitialStateSentOnceMemberIsCurrent(t *testing.T) {
	const nodes = 60
	for seed := range uint64(10) {
		c := newTolerantCluster(t, seed, 3, 1)
		require.NoError(t, c.submit(c.leader(), putTarget("i-1", "10.1.1.1:1", directory.TargetReady)).Err)
		for _, name := range c.names() {
			c.kill(name, true)
		}
		for _, name := range c.names() {
			c.start(name)
		}
		m := c.machines[c.names()[0]]
		for node := range nodes {
			c.apply(m, m.core.Subscribe(c.now, ConnectionID(node), Subscribe{Node: "edge"}))
		}
		c.runUntil(5*time.Second, "the member is current", func() bool { return m.core.IsCurrent(c.now) })
		c.run(stepTime)
		assert.Len(t, m.updates, nodes, "seed %d", seed)
	}
}

// Guards against a new leader sending the state of its last snapshot before it has applied
// the log, which makes nodes drop targets of open flows.
func TestNewLeaderSendsNoReplayedState(t *testing.T) {
	for seed := range uint64(10) {
		c := newTolerantCluster(t, seed, 3, 1)
		require.NoError(t, c.submit(c.leader(), putTarget("i-1", "10.1.1.1:1", directory.TargetReady)).Err)
		for _, name := range c.names() {
			c.kill(name, true)
		}
		c.batches = true
		for _, name := range c.names() {
			c.start(name)
			m := c.machines[name]
			m.updates = nil
			c.apply(m, m.core.Subscribe(c.now, ConnectionID(1), Subscribe{Node: "edge"}))
		}
		for _, name := range c.names() {
			m := c.machines[name]
			c.runUntil(5*time.Second, "the node has a state", func() bool { return len(m.updates) > 0 })
			assert.Len(t, m.updates[0].Targets, 1, "seed %d, %s", seed, name)
		}
	}
}
