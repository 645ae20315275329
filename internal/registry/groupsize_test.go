package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/eventlog"
)

// testSeeds is the number of seed addresses of a member.
const testSeeds = 3

// newTolerantCluster returns a group that tolerates the loss of some disks at once. Members
// that are not seeds join by themselves.
func newTolerantCluster(t *testing.T, seed uint64, members, tolerance int) *cluster {
	c := newCluster(t, seed, 0)
	c.voterCount = 2*tolerance + 1
	for number := range min(members, testSeeds) {
		c.seeds = append(c.seeds, address(number+1))
	}
	for number := range members {
		c.add(address(number+1), true)
	}
	c.waitForLeader()
	c.runUntil(5*time.Second, "all members vote", func() bool { return len(c.voters()) == min(members, c.voterCount) })
	return c
}

// loseDisksAndPower wipes the disks of some members, cuts the power of all others, and
// restarts all.
func (c *cluster) loseDisksAndPower(disks int) {
	names := c.names()
	for position, index := range c.random.Perm(len(names)) {
		if position < disks {
			c.wipe(names[index])
			continue
		}
		c.kill(names[index], true)
	}
	c.run(time.Second)
	for _, name := range names {
		c.start(name)
	}
}

// An acknowledged write must survive the loss of two disks together with a power failure.
func TestFiveMembersSurviveTwoLostDisks(t *testing.T) {
	for seed := range uint64(30) {
		c := newTolerantCluster(t, seed, 5, 2)
		require.NoError(t, c.publish(c.leader(), 5).Err)
		c.loseDisksAndPower(2)
		version, err := c.read(c.waitForLeader())
		require.NoError(t, err)
		require.Equal(t, uint64(5), version, "seed %d", seed)
		c.runUntil(6*time.Second, "five voters again", func() bool { return len(c.voters()) == 5 })
	}
}

func TestTooFewVotersIsLogged(t *testing.T) {
	c := newTolerantCluster(t, 1, 3, 2)
	assert.True(t, c.leader().core.HasTooFewVoters())
	assert.Equal(t, 1, c.events[eventlog.GroupSizeChanged])
	c.add(address(4), false)
	c.add(address(5), false)
	c.runUntil(5*time.Second, "five voters", func() bool { return len(c.voters()) == 5 })
	c.run(time.Second)
	assert.False(t, c.leader().core.HasTooFewVoters())
	assert.Equal(t, 2, c.events[eventlog.GroupSizeChanged])
}

func TestMissingQuorumIsLogged(t *testing.T) {
	c := newTolerantCluster(t, 1, 3, 2)
	require.NoError(t, c.publish(c.leader(), 5).Err)
	c.loseDisksAndPower(2)
	c.run(12 * time.Second)
	assert.Nil(t, c.leader(), "one of three members is no quorum")
	assert.GreaterOrEqual(t, c.events[eventlog.QuorumMissing], 2)
}

// After a leader loses its followers, its time as leader must not count as leaderless.
func TestLeaderlessTimeExcludesOwnLeadership(t *testing.T) {
	c := newTolerantCluster(t, 1, 5, 2)
	c.run(10 * time.Second)
	leader := c.leader()
	since := c.now
	c.cut = func(from, to string) bool { return from == leader.address || to == leader.address }
	c.runUntil(5*time.Second, "the leader steps down", func() bool { return !leader.core.IsLeader() })
	for range 100 {
		c.run(stepTime)
		leaderless := leader.core.LeaderlessFor(c.now)
		assert.LessOrEqual(t, leaderless, c.now.Sub(since)+100*time.Millisecond)
		assert.Positive(t, leaderless)
	}
}
