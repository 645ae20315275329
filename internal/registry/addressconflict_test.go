package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/directory"
)

// register registers a target at a member and returns the outcome.
func (c *cluster) register(m *machine, command directory.Command) Outcome {
	ticket, output, err := m.core.Register(c.now, command.Target)
	require.NoError(c, err)
	c.apply(m, output)
	c.runUntil(3*time.Second, "an outcome", func() bool { _, done := m.outcomes[ticket]; return done })
	return m.outcomes[ticket]
}

// heartbeatFor sends a heartbeat of a target each second, to each member in turn.
func (c *cluster) heartbeatFor(id string, duration time.Duration) {
	for turn := 0; duration > 0; turn++ {
		c.machines[address(1+turn%3)].core.RecordHeartbeat(c.now, directory.Start{ID: id})
		c.run(min(time.Second, duration))
		duration -= time.Second
	}
}

const contestedAddress = "10.1.1.1:1"

// A process crashes before any member has heard of it, another one registers at its
// address, and then the first heartbeats of the crashed process arrive.
func TestLateFirstHeartbeatDoesNotEvictAddressHolder(t *testing.T) {
	for _, after := range []time.Duration{0, 300 * time.Millisecond, 900 * time.Millisecond, 2900 * time.Millisecond, 6 * time.Second} {
		for member := range 3 {
			c := newCluster(t, 3, 3)
			leader := c.waitForLeader()
			require.NoError(t, c.submit(leader, putTarget("i-new", contestedAddress, directory.TargetReady)).Err)
			c.heartbeatFor("i-new", after)
			for range 3 {
				outcome := c.register(c.machines[address(1+member)], putTarget("i-late", contestedAddress, directory.TargetReady))
				require.NoError(t, outcome.Err)
				assert.Equal(t, directory.CodeAddressInUse, outcome.Result.Code, "after %v", after)
			}
			c.run(time.Second)
			for _, m := range c.machines {
				serving, _ := m.core.State().Target("i-new")
				assert.Equal(t, directory.TargetReady, serving.State, "after %v", after)
				_, known := m.core.State().Target("i-late")
				assert.False(t, known)
			}
		}
	}
}

// The address of a crashed target is reassigned after addressHoldTime, and that of a target
// that is leaving or that a new leader has not heard from, at once.
func TestAddressOfGoneTargetIsReused(t *testing.T) {
	cases := map[string]func(c *cluster, leader *machine){
		"crashed": func(c *cluster, _ *machine) { c.run(addressHoldTime) },
		"left": func(c *cluster, leader *machine) {
			require.NoError(t, c.submit(leader, putTarget("i-old", contestedAddress, directory.TargetLeaving)).Err)
		},
		"before a new leader": func(c *cluster, leader *machine) {
			c.kill(leader.address, true)
			c.waitForLeader()
		},
	}
	for name, prepare := range cases {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 3, 3)
			leader := c.waitForLeader()
			require.NoError(t, c.submit(leader, putTarget("i-old", contestedAddress, directory.TargetReady)).Err)
			c.heartbeatFor("i-old", 3*time.Second)
			prepare(c, leader)
			outcome := c.register(c.leader(), putTarget("i-next", contestedAddress, directory.TargetReady))
			require.NoError(t, outcome.Err)
			assert.Equal(t, directory.CodeDone, outcome.Result.Code)
			next, _ := c.leader().core.State().Target("i-next")
			assert.Equal(t, directory.TargetReady, next.State)
		})
	}
}
