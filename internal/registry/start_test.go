package registry

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/directory"
)

const bornFirst, bornLater = 1_790_000_000_000, 1_790_000_005_000

// startCommand registers a start of the target i-1.
func startCommand(born uint64, at string, state directory.TargetState) directory.Command {
	command := putTarget("i-1", at, state)
	command.Target.StartTime = born
	return command
}

// Delayed reports of the previous start arrive after the target has started again, at the
// same or another address, and after a change of leader or a power loss.
func TestRestartedTargetServesUnderSameID(t *testing.T) {
	const firstAddress, otherAddress = "10.1.1.1:1", "10.1.1.2:1"
	states := []directory.TargetState{directory.TargetReady, directory.TargetDraining, directory.TargetEnded}
	for number, state := range states {
		for _, targetAddress := range []string{firstAddress, otherAddress} {
			for _, fault := range []string{"none", "leader killed", "power lost"} {
				t.Run(fmt.Sprint(state, " ", targetAddress, " ", fault), func(t *testing.T) {
					c := newCluster(t, uint64(number), 3)
					leader := c.waitForLeader()
					require.NoError(t, c.submit(leader, startCommand(bornFirst, firstAddress, directory.TargetReady)).Err)
					first, _ := leader.core.State().Target("i-1")
					require.NoError(t, c.submit(leader, startCommand(bornFirst, firstAddress, state)).Err)
					c.heartbeat(leader, startCommand(bornLater, targetAddress, directory.TargetReady))
					switch fault {
					case "leader killed":
						c.kill(leader.address, true)
					case "power lost":
						c.restartAll()
					}
					c.waitForLeader()
					c.run(time.Second)
					for _, late := range states[:2] {
						for _, name := range c.names() {
							if m := c.machines[name]; m.up {
								checkRefused(t, c, m, startCommand(bornFirst, firstAddress, late))
							}
						}
					}
					checkServes(t, c, first, targetAddress)
				})
			}
		}
	}
}

// checkRefused checks that a delayed report changes nothing at a member.
func checkRefused(t *testing.T, c *cluster, m *machine, late directory.Command) {
	t.Helper()
	token := func() directory.Token { target, _ := m.core.State().Target("i-1"); return target.Token }()
	lastHeartbeat := m.core.liveness.target(token).lastHeartbeat
	m.core.RecordHeartbeat(c.now, late.Target.Start())
	assert.Equal(t, lastHeartbeat, m.core.liveness.target(token).lastHeartbeat, "must not count as a heartbeat of the later start")
	require.False(t, m.core.IsRegistered(late.Target))
	_, _, err := m.core.Register(c.now, late.Target)
	var problem *directory.Problem
	require.ErrorAs(t, err, &problem)
	assert.Equal(t, "born", problem.Field)
}

func checkServes(t *testing.T, c *cluster, first directory.Target, wantAddress string) {
	t.Helper()
	for _, name := range c.names() {
		m := c.machines[name]
		if !m.up {
			continue
		}
		latest, known := m.core.State().Target("i-1")
		require.True(t, known)
		assert.Equal(t, []any{uint64(bornLater), directory.TargetReady, netip.MustParseAddrPort(wantAddress)},
			[]any{latest.StartTime, latest.State, latest.Address})
		previous, known := m.core.State().TargetByToken(first.Token)
		require.True(t, known)
		assert.Equal(t, directory.TargetEnded, previous.State)
	}
}

// The address of another live target is refused, as for any new target.
func TestRestartedTargetCannotTakeLiveAddress(t *testing.T) {
	c := newCluster(t, 1, 3)
	leader := c.waitForLeader()
	require.NoError(t, c.submit(leader, startCommand(bornFirst, "10.1.1.1:1", directory.TargetReady)).Err)
	require.NoError(t, c.submit(leader, putTarget("i-2", "10.1.1.2:1", directory.TargetReady)).Err)
	c.run(livenessInterval)
	assert.Equal(t, directory.CodeAddressInUse, c.register(leader, startCommand(bornLater, "10.1.1.2:1", directory.TargetReady)).Result.Code)
	assert.Equal(t, directory.CodeDone, c.register(leader, startCommand(bornLater, "10.1.1.1:1", directory.TargetReady)).Result.Code,
		"a new start may keep its own address")
}

// With long heartbeat intervals the holder's last heartbeat may be older than
// addressHoldTime. Processes started before the holder must still be refused.
func TestOlderProcessCannotTakeAddressOfRecentHolder(t *testing.T) {
	for _, test := range []struct {
		born  uint64
		after time.Duration
		want  directory.Code
	}{
		{bornFirst, 2500 * time.Millisecond, directory.CodeAddressInUse},
		{bornFirst, 4 * time.Second, directory.CodeDone},
		{bornLater + 1, 2500 * time.Millisecond, directory.CodeDone},
		{0, 2500 * time.Millisecond, directory.CodeDone},
	} {
		c := newCluster(t, 1, 3)
		leader := c.waitForLeader()
		require.NoError(t, c.submit(leader, startCommand(bornLater, "10.1.1.1:1", directory.TargetReady)).Err)
		c.run(test.after)
		claim := putTarget("i-2", "10.1.1.1:1", directory.TargetReady)
		claim.Target.StartTime = test.born
		assert.Equal(t, test.want, c.register(leader, claim).Result.Code, "born %d, after %v", test.born, test.after)
	}
}

func TestSuspectAfterScalesWithHeartbeatInterval(t *testing.T) {
	for interval, want := range map[time.Duration]time.Duration{
		0: 3200 * time.Millisecond, 1200 * time.Millisecond: 3200 * time.Millisecond,
		3 * time.Second: 3600 * time.Millisecond, 10 * time.Second: 11300 * time.Millisecond,
	} {
		assert.Equal(t, want, DefaultCoreSettings(WithHeartbeats(interval)).SuspectAfter, interval)
	}
}

// A target with an unknown service must not take an address; a registered target stays
// accepted when its service is removed.
func TestRegisterRejectsUnknownService(t *testing.T) {
	c := newCluster(t, 1, 3)
	leader := c.waitForLeader()
	_, _, err := leader.core.Register(c.now, putTarget("i-0", "10.1.1.9:1", directory.TargetReady).Target)
	require.NoError(t, err, "any service is accepted before the first configuration")
	next := directory.Configuration{Version: 1, Services: []directory.Service{{Name: "booking"}}}
	edit := directory.Difference(leader.core.State().Configuration(), next)
	require.NoError(t, c.submit(leader, directory.Command{Kind: directory.CommandPublish, Edit: edit}).Err)
	target := putTarget("i-1", "10.1.1.1:1", directory.TargetReady).Target
	target.Service = "other"
	_, _, err = leader.core.Register(c.now, target)
	require.ErrorContains(t, err, `service: other: is not in the configuration`)
	known := putTarget("i-0", "10.1.1.9:1", directory.TargetDraining).Target
	known.Service = "other"
	_, _, err = leader.core.Register(c.now, known)
	assert.NoError(t, err, "a registered target may still drain")
}
