package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/directory"
)

// heartbeat sends a heartbeat to a member in the same way as Process.HandleHeartbeat.
func (c *cluster) heartbeat(m *machine, command directory.Command) {
	m.core.RecordHeartbeat(c.now, command.Target.Start())
	if m.core.IsRegistered(command.Target) {
		return
	}
	ticket, output, err := m.core.Register(c.now, command.Target)
	require.NoError(c, err)
	c.apply(m, output)
	c.runUntil(3*time.Second, "an outcome", func() bool { _, done := m.outcomes[ticket]; return done })
}

// A delayed heartbeat of a crashed process must neither revive its target nor take back the
// address that another target has since registered.
func TestLateHeartbeatDoesNotReviveReplacedTarget(t *testing.T) {
	const (
		targetAddress = "10.1.1.1:1"
		oldID         = "i-old"
		newID         = "i-new"
	)
	for _, late := range []directory.TargetState{directory.TargetReady, directory.TargetDraining, directory.TargetLeaving} {
		for _, lost := range []bool{false, true} {
			for _, newLeader := range []bool{false, true} {
				t.Run(fmt.Sprintf("%v, lost %v, new leader %v", late, lost, newLeader), func(t *testing.T) {
					c := newCluster(t, 3, 3)
					leader := c.waitForLeader()
					require.NoError(t, c.submit(leader, putTarget(oldID, targetAddress, directory.TargetReady)).Err)
					first, _ := leader.core.State().Target(oldID)
					if lost {
						c.run(time.Second)
						for range 10 {
							c.reportEvidence(leader, 3, Evidence{Silent: []SilentTarget{{Token: first.Token, Weight: 4, Nodes: 1}}})
							c.run(livenessInterval)
						}
						require.Equal(t, []directory.Token{first.Token}, leader.core.liveness.verdicts.Lost)
					}
					c.run(addressHoldTime + livenessInterval)
					require.NoError(t, c.submit(leader, putTarget(newID, targetAddress, directory.TargetReady)).Err)
					if newLeader {
						c.kill(leader.address, true)
						c.waitForLeader()
						c.run(time.Second)
					}
					for _, name := range c.names() {
						if m := c.machines[name]; m.up {
							c.heartbeat(m, putTarget(oldID, targetAddress, late))
						}
					}
					c.run(time.Second)
					assertReplaced(t, c, oldID, newID)
				})
			}
		}
	}
}

func assertReplaced(t *testing.T, c *cluster, old, next string) {
	t.Helper()
	for _, name := range c.names() {
		m := c.machines[name]
		if !m.up {
			continue
		}
		replaced, known := m.core.State().Target(old)
		assert.True(t, known)
		assert.Equal(t, directory.TargetEnded, replaced.State, "the replaced target must stay ended")
		successor, known := m.core.State().Target(next)
		require.True(t, known)
		assert.Equal(t, directory.TargetReady, successor.State)
		assert.NotContains(t, m.core.liveness.verdicts.Lost, successor.Token)
		for _, target := range m.core.State().UpdateSince(0).Targets {
			if target.ID == next {
				assert.Equal(t, "10.1.1.1:1", target.Address.String())
			} else {
				assert.NotEqual(t, directory.TargetReady, target.State, "nodes must not send new flows to the replaced target")
			}
		}
	}
}

// The same after the state has been restored from a snapshot.
func TestLateHeartbeatDoesNotReviveTargetAfterSnapshot(t *testing.T) {
	c := newCluster(t, 3, 3)
	leader := c.waitForLeader()
	require.NoError(t, c.submit(leader, putTarget("i-old", "10.1.1.1:1", directory.TargetReady)).Err)
	c.run(addressHoldTime + livenessInterval)
	require.NoError(t, c.submit(leader, putTarget("i-new", "10.1.1.1:1", directory.TargetReady)).Err)
	restored, err := directory.Decode(leader.core.State().Encode())
	require.NoError(t, err)
	restored.Apply(restored.Revision()+1, putTarget("i-old", "10.1.1.1:1", directory.TargetReady))
	restored.Apply(restored.Revision()+2, putTarget("i-old", "10.1.1.1:1", directory.TargetDraining))
	crashed, _ := restored.Target("i-old")
	assert.Equal(t, directory.TargetEnded, crashed.State)
	serving, _ := restored.Target("i-new")
	assert.Equal(t, directory.TargetReady, serving.State)
}
