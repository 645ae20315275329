package heartbeat

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/beamdoor/beamdoor/internal/directory"
)

func TestOnlyUnchangedHeartbeatsAreAcknowledged(t *testing.T) {
	cache := NewCache()
	target := directory.Target{ID: "i-1", Token: 7, State: directory.TargetReady}
	assert.False(t, cache.Acknowledge(directory.Start{ID: "i-1"}, directory.TargetReady), "not registered")
	cache.Update([]directory.Target{target})
	assert.True(t, cache.Acknowledge(directory.Start{ID: "i-1"}, directory.TargetReady))
	assert.False(t, cache.Acknowledge(directory.Start{ID: "i-1"}, directory.TargetDraining), "draining must be committed first")
	assert.Equal(t, []directory.Token{7}, cache.TakeAcknowledged())
	assert.Empty(t, cache.TakeAcknowledged())
	target.State = directory.TargetDraining
	cache.Update([]directory.Target{target})
	assert.True(t, cache.Acknowledge(directory.Start{ID: "i-1"}, directory.TargetDraining))
	target.State = directory.TargetEnded
	cache.Update([]directory.Target{target})
	assert.False(t, cache.Acknowledge(directory.Start{ID: "i-1"}, directory.TargetReady), "a target that has ended")
	target.State = directory.TargetReady
	cache.Update([]directory.Target{target})
	cache.Reset()
	assert.False(t, cache.Acknowledge(directory.Start{ID: "i-1"}, directory.TargetReady), "the cache was reset")
}

func busyDistributor(t *testing.T) (*Distributor, *time.Time) {
	t.Helper()
	now := time.Unix(1000, 0)
	distributor := NewDistributor(WithLocalRate(10), WithClock(func() time.Time { return now }))
	return distributor, &now
}

// Above the local rate a member would be too busy to acknowledge heartbeats.
func TestBusyMemberSendsTargetsToNodesOfTheirZone(t *testing.T) {
	distributor, now := busyDistributor(t)
	distributor.AddNode(1, "north", "n1")
	distributor.AddNode(2, "north", "n2")
	distributor.AddNode(3, "south", "s1")
	distributor.AddNode(4, "south", "")
	assigned := map[string]int{}
	for number := range 100 {
		assigned[distributor.Assign("north", fmt.Sprint("i-", number))]++
	}
	assert.Equal(t, 10, assigned[""], "targets kept up to the local rate")
	assert.Greater(t, assigned["n1"], 20)
	assert.Greater(t, assigned["n2"], 20)
	assert.Zero(t, assigned["s1"])
	assert.Contains(t, []string{"n1", "n2", "s1"}, distributor.Assign("west", "i-1"), "zone without nodes")
	*now = now.Add(1500 * time.Millisecond)
	assert.NotEmpty(t, distributor.Assign("north", "i-1"), "busy in the last second")
	*now = now.Add(5 * time.Second)
	assert.Empty(t, distributor.Assign("north", "i-1"), "idle again")
}

func TestRemovedNodesAreNotAssigned(t *testing.T) {
	distributor, _ := busyDistributor(t)
	distributor.AddNode(1, "north", "n1")
	for range 20 {
		distributor.Assign("north", "i-1")
	}
	assert.Equal(t, "n1", distributor.Assign("north", "i-1"))
	distributor.RemoveNode(1)
	assert.Empty(t, distributor.Assign("north", "i-1"))
}

// Heartbeats between zones would cause most of the traffic between them.
func TestTargetsAreSentToMembersOfTheirZone(t *testing.T) {
	now := time.Unix(1000, 0)
	distributor := NewDistributor(WithZone("north"), WithClock(func() time.Time { return now }))
	assert.Empty(t, distributor.Assign("south", "i-0"), "no members known")
	distributor.SetMembers(map[string][]string{"north": {"m1"}, "south": {"m2", "m3"}})
	assert.Empty(t, distributor.Assign("north", "i-1"), "target of the member's own zone")
	assert.Empty(t, distributor.Assign("west", "i-1"), "zone without members")
	assigned := map[string]bool{}
	for number := range 20 {
		assigned[distributor.Assign("south", fmt.Sprint("i-", number))] = true
	}
	assert.Equal(t, map[string]bool{"m2": true, "m3": true}, assigned)
}

// A target returns if the member of its zone is down or unreachable.
func TestReturningTargetStaysWithMember(t *testing.T) {
	now := time.Unix(1000, 0)
	distributor := NewDistributor(WithZone("north"), WithClock(func() time.Time { return now }))
	distributor.SetMembers(map[string][]string{"south": {"m2"}})
	assert.Equal(t, "m2", distributor.Assign("south", "i-1"))
	assignedAt := now
	for ; now.Sub(assignedAt) < reassignTime-time.Second; now = now.Add(time.Second) {
		assert.Empty(t, distributor.Assign("south", "i-1"), "after %v", now.Sub(assignedAt))
	}
	now = assignedAt.Add(2*reassignTime + time.Second)
	assert.Empty(t, distributor.Assign("west", "i-9"))
	assert.Equal(t, "m2", distributor.Assign("south", "i-1"), "assigned again after the assignment expired")
}

func TestHeartbeatsOfEarlierStartAreNotAcknowledged(t *testing.T) {
	cache := NewCache()
	first := directory.Target{ID: "i-1", StartTime: 10, Token: 7, State: directory.TargetDraining}
	later := directory.Target{ID: "i-1", StartTime: 20, Token: 8, State: directory.TargetReady}
	cache.Update([]directory.Target{first})
	assert.False(t, cache.Acknowledge(later.Start(), directory.TargetReady), "not registered yet")
	ended := first
	ended.State = directory.TargetEnded
	for _, order := range [][]directory.Target{{ended, later}, {later, ended}} {
		cache.Reset()
		cache.Update(order)
		assert.True(t, cache.Acknowledge(later.Start(), directory.TargetReady))
		assert.Equal(t, []directory.Token{8}, cache.TakeAcknowledged())
		assert.False(t, cache.Acknowledge(first.Start(), directory.TargetReady), "late heartbeat of the earlier start")
		assert.False(t, cache.Acknowledge(directory.Start{ID: "i-1"}, directory.TargetReady), "heartbeat without a start")
		assert.Empty(t, cache.TakeAcknowledged())
	}
}
