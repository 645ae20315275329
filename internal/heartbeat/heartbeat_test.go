package heartbeat

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/beamdoor/beamdoor/internal/directory"
)

func TestOnlyHeartbeatsThatChangeNothingAreTaken(t *testing.T) {
	cache := NewCache()
	target := directory.Target{ID: "i-1", Token: 7, State: directory.TargetReady}
	assert.False(t, cache.Acknowledge(directory.Start{ID: "i-1"}, directory.TargetReady), "not registered")
	cache.Update([]directory.Target{target})
	assert.True(t, cache.Acknowledge(directory.Start{ID: "i-1"}, directory.TargetReady))
	assert.False(t, cache.Acknowledge(directory.Start{ID: "i-1"}, directory.TargetDraining), "a drain must be on the disks of a quorum first")
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
	assert.False(t, cache.Acknowledge(directory.Start{ID: "i-1"}, directory.TargetReady), "another state")
}

func busySpread(t *testing.T) (*Distributor, *time.Time) {
	t.Helper()
	now := time.Unix(1000, 0)
	spread := NewDistributor(WithLocalRate(10), WithClock(func() time.Time { return now }))
	return spread, &now
}

// At 300 machines members spent all their time on heartbeats and none was
// acknowledged (sweep of swancoast-geo-grown, 36539bc3).
func TestABusyMemberPassesTargetsOnToNodesOfTheirZone(t *testing.T) {
	spread, now := busySpread(t)
	spread.AddNode(1, "north", "n1")
	spread.AddNode(2, "north", "n2")
	spread.AddNode(3, "south", "s1")
	spread.AddNode(4, "south", "")
	chosen := map[string]int{}
	for number := range 100 {
		chosen[spread.Assign("north", fmt.Sprint("i-", number))]++
	}
	assert.Equal(t, 10, chosen[""], "so many a second stay")
	assert.Greater(t, chosen["n1"], 20)
	assert.Greater(t, chosen["n2"], 20)
	assert.Zero(t, chosen["s1"])
	assert.Contains(t, []string{"n1", "n2", "s1"}, spread.Assign("west", "i-1"), "no node in its zone")
	*now = now.Add(1500 * time.Millisecond)
	assert.NotEmpty(t, spread.Assign("north", "i-1"), "busy in the last second")
	*now = now.Add(5 * time.Second)
	assert.Empty(t, spread.Assign("north", "i-1"), "idle again")
}

func TestNodesThatHaveGoneAreNotChosen(t *testing.T) {
	spread, _ := busySpread(t)
	spread.AddNode(1, "north", "n1")
	for range 20 {
		spread.Assign("north", "i-1")
	}
	assert.Equal(t, "n1", spread.Assign("north", "i-1"))
	spread.RemoveNode(1)
	assert.Empty(t, spread.Assign("north", "i-1"))
}

// Nearly all bytes between the zones of swancoast-geo-large were heartbeats of
// targets to members of other zones (sweep at 300 machines: 0.074 GB in 42 s).
func TestTargetsOfOtherZonesGoToMembersOfTheirOwn(t *testing.T) {
	now := time.Unix(1000, 0)
	spread := NewDistributor(WithZone("north"), WithClock(func() time.Time { return now }))
	assert.Empty(t, spread.Assign("south", "i-0"), "no member is known")
	spread.SetMembers(map[string][]string{"north": {"m1"}, "south": {"m2", "m3"}})
	assert.Empty(t, spread.Assign("north", "i-1"), "it is at home")
	assert.Empty(t, spread.Assign("west", "i-1"), "its zone has no member")
	named := map[string]bool{}
	for number := range 20 {
		named[spread.Assign("south", fmt.Sprint("i-", number))] = true
	}
	assert.Equal(t, map[string]bool{"m2": true, "m3": true}, named)
}

// A member that has died, or is cut off from its zone, answers no heartbeat: its
// targets come back and are kept.
func TestATargetThatComesBackFromItsZoneIsKept(t *testing.T) {
	now := time.Unix(1000, 0)
	spread := NewDistributor(WithZone("north"), WithClock(func() time.Time { return now }))
	spread.SetMembers(map[string][]string{"south": {"m2"}})
	assert.Equal(t, "m2", spread.Assign("south", "i-1"))
	kept := now
	for ; now.Sub(kept) < returnTime-time.Second; now = now.Add(time.Second) {
		assert.Empty(t, spread.Assign("south", "i-1"), "after %v", now.Sub(kept))
	}
	now = kept.Add(2*returnTime + time.Second)
	assert.Empty(t, spread.Assign("west", "i-9"))
	assert.Equal(t, "m2", spread.Assign("south", "i-1"), "it is tried again")
}

func TestHeartbeatsBelongToOneStart(t *testing.T) {
	cache := NewCache()
	first := directory.Target{ID: "i-1", Born: 10, Token: 7, State: directory.TargetDraining}
	later := directory.Target{ID: "i-1", Born: 20, Token: 8, State: directory.TargetReady}
	cache.Update([]directory.Target{first})
	assert.False(t, cache.Acknowledge(later.Start(), directory.TargetReady), "it is not registered yet")
	over := first
	over.State = directory.TargetEnded
	for _, order := range [][]directory.Target{{over, later}, {later, over}} {
		cache.Reset()
		cache.Update(order)
		assert.True(t, cache.Acknowledge(later.Start(), directory.TargetReady))
		assert.Equal(t, []directory.Token{8}, cache.TakeAcknowledged())
		assert.False(t, cache.Acknowledge(first.Start(), directory.TargetReady), "a late one of the start before")
		assert.False(t, cache.Acknowledge(directory.Start{ID: "i-1"}, directory.TargetReady), "one that does not tell its start")
		assert.Empty(t, cache.TakeAcknowledged())
	}
}
