package heartbeat

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/beamdoor/beamdoor/internal/rendezvous"
	"github.com/beamdoor/beamdoor/internal/strength"
)

// distributorWithoutLocalTargets returns a distributor that keeps no target.
func distributorWithoutLocalTargets() (*Distributor, *time.Time) {
	now := time.Unix(1000, 0)
	return NewDistributor(WithLocalRate(0), WithClock(func() time.Time { return now })), &now
}

// assignAll returns the addresses of targets without recent assignments.
func assignAll(d *Distributor, now *time.Time, zone string) []string {
	*now = now.Add(2*reassignTime + time.Second)
	var assigned []string
	for number := range 300 {
		assigned = append(assigned, d.Assign(zone, fmt.Sprint("i-", number)))
	}
	return assigned
}

func TestChangedNodeMovesOnlyItsTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d, now := distributorWithoutLocalTargets()
		share := rapid.Float64Range(0.05, 0.3)
		nodes := rapid.IntRange(3, 30).Draw(t, "nodes")
		for key := range uint64(nodes) {
			d.AddNode(key, "north", fmt.Sprint("n-", key))
			d.SetStrength(key, strength.Resources{CPUShare: 0.2})
		}
		before := assignAll(d, now, "north")
		moved := uint64(rapid.IntRange(0, nodes-1).Draw(t, "moved"))
		if rapid.Bool().Draw(t, "leaves") {
			d.RemoveNode(moved)
		} else {
			d.SetStrength(moved, strength.Resources{CPUShare: share.Draw(t, "share")})
		}
		after := assignAll(d, now, "north")
		address := fmt.Sprint("n-", moved)
		for number := range before {
			if before[number] != after[number] {
				assert.True(t, before[number] == address || after[number] == address)
			}
		}
	})
}

// Targets are assigned in proportion to the processor share. An excessive value is
// capped, and a node that states none gets the median.
func TestAssignmentFollowsProcessorShare(t *testing.T) {
	d, _ := distributorWithoutLocalTargets()
	shares := map[string]float64{"small-1": 0.045, "small-2": 0.045, "small-3": 0.045, "large": 0.153, "false": 1024, "old": 0}
	for address, share := range shares {
		key := rendezvous.Hash(address)
		d.AddNode(key, "north", address)
		d.SetStrength(key, strength.Resources{CPUShare: share})
	}
	const targets = 20_000
	counts := map[string]float64{}
	for number := range targets {
		counts[d.Assign("north", fmt.Sprint("t-", number))]++
	}
	total := 0.045*4 + 0.153 + 8*0.045
	for address, share := range shares {
		weight := share
		switch address {
		case "false":
			weight = 8 * 0.045
		case "old":
			weight = 0.045
		}
		assert.InDelta(t, weight/total, counts[address]/targets, 0.015, address)
	}
}

// A node at its file descriptor limit refuses heartbeats, so its targets return.
func TestReturningTargetGetsAnotherNode(t *testing.T) {
	d, now := distributorWithoutLocalTargets()
	for key, address := range []string{"n1", "n2", "n3"} {
		d.AddNode(uint64(key), "north", address)
	}
	first := d.Assign("north", "i-1")
	second := d.Assign("north", "i-1")
	third := d.Assign("north", "i-1")
	assert.ElementsMatch(t, []string{"n1", "n2", "n3"}, []string{first, second, third})
	assert.NotEmpty(t, d.Assign("north", "i-1"), "refused by all nodes, starts over")
	*now = now.Add(2*reassignTime + time.Second)
	assert.Equal(t, first, d.Assign("north", "i-1"), "the assignments have expired")
}

// A target that keeps returning is assigned no more than maxNodesTried nodes.
func TestTargetCyclesThroughBoundedNodes(t *testing.T) {
	d, _ := distributorWithoutLocalTargets()
	for key := range uint64(100) {
		d.AddNode(key, "north", fmt.Sprint("n-", key))
	}
	assigned := map[string]int{}
	for range 20 * maxNodesTried {
		assigned[d.Assign("north", "i-1")]++
	}
	assert.Len(t, assigned, maxNodesTried)
	for address, times := range assigned {
		assert.Equal(t, 20, times, address)
	}
}

// Clients choose the target IDs, so the memory for them must be bounded.
func TestRecordedAssignmentsAreBounded(t *testing.T) {
	d, now := distributorWithoutLocalTargets()
	d.AddNode(1, "north", "n-1")
	d.SetMembers(map[string][]string{"south": {"m-1"}})
	for number := range maxAssignments + 100 {
		id := fmt.Sprint("i-", number)
		assert.Equal(t, "n-1", d.Assign("north", id))
		assert.Equal(t, "m-1", d.Assign("south", id))
	}
	assert.Equal(t, maxAssignments, len(d.sentToNode.current))
	assert.Equal(t, maxAssignments, len(d.sentToMember.current))
	*now = now.Add(reassignTime)
	d.Assign("south", "i-0")
	assert.Equal(t, 1, d.sentToMember.count("i-0"), "recorded assignments are kept for another period")
}

// Each target is assigned to a present node while nodes and strengths change.
func TestStrengthChangesDuringHeartbeats(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d, now := distributorWithoutLocalTargets()
		present := map[string]bool{}
		for range 200 {
			key := uint64(rapid.IntRange(0, 8).Draw(t, "node"))
			address := fmt.Sprint("n-", key)
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				d.AddNode(key, "north", address)
				present[address] = true
			case 1:
				d.RemoveNode(key)
				delete(present, address)
			case 2:
				d.SetStrength(key, strength.Resources{CPUShare: rapid.Float64Range(0, 4000).Draw(t, "share")})
			case 3:
				*now = now.Add(time.Second)
			}
			assigned := d.Assign("north", fmt.Sprint("i-", rapid.IntRange(0, 20).Draw(t, "target")))
			assert.Equal(t, len(present) > 0, present[assigned], "%q of %v", assigned, present)
		}
	})
}

func BenchmarkAssignThousandNodes(b *testing.B) {
	d := NewDistributor(WithLocalRate(0))
	for key := range uint64(1000) {
		d.AddNode(key, "north", fmt.Sprint("10.0.0.1:", key))
		d.SetStrength(key, strength.Resources{CPUShare: 0.045 * float64(1+key%4)})
	}
	b.Run("different targets", func(b *testing.B) {
		number := 0
		for b.Loop() {
			number++
			d.Assign("north", fmt.Sprint("i-", number))
		}
	})
	b.Run("same target", func(b *testing.B) {
		for b.Loop() {
			d.Assign("north", "i")
		}
	})
}
