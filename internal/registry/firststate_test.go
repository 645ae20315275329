package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/directory"
)

// Bench day trouble-1 of the grown site of the third customer: half of 108 nodes
// had their first state 100 ms after the leader was elected, since a member that
// had become current looked at its nodes only after their pause.
func TestNodesGetTheirFirstStateOnceTheirMemberIsCurrent(t *testing.T) {
	const nodes = 60
	for seed := range uint64(10) {
		c := newTolerantCluster(t, seed, 3, 1)
		require.NoError(t, c.submit(c.leader(), put("i-1", "10.1.1.1:1", directory.TargetReady)).Err)
		for _, name := range c.names() {
			c.kill(name, true)
		}
		for _, name := range c.names() {
			c.start(name)
		}
		m := c.machines[c.names()[0]]
		for node := range nodes {
			c.take(m, m.core.Open(c.now, ConnectionID(node), Subscribe{Node: "edge"}))
		}
		c.runUntil(5*time.Second, "the member is current", func() bool { return m.core.IsCurrent(c.now) })
		c.run(stepTime)
		assert.Len(t, m.updates, nodes, "seed %d", seed)
	}
}
