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

// eagerSpread passes every target on.
func eagerSpread() (*Distributor, *time.Time) {
	now := time.Unix(1000, 0)
	return NewDistributor(WithLocalRate(0), WithClock(func() time.Time { return now })), &now
}

// shares returns where the targets of a zone go, each of which has never called before.
func shares(s *Distributor, now *time.Time, zone string) []string {
	*now = now.Add(2*returnTime + time.Second)
	var chosen []string
	for number := range 300 {
		chosen = append(chosen, s.Assign(zone, fmt.Sprint("i-", number)))
	}
	return chosen
}

func TestOneNodeMovesOnlyItsOwnTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now := eagerSpread()
		share := rapid.Float64Range(0.05, 0.3)
		nodes := rapid.IntRange(3, 30).Draw(t, "nodes")
		for key := range uint64(nodes) {
			s.AddNode(key, "north", fmt.Sprint("n-", key))
			s.SetStrength(key, strength.Resources{CPUShare: 0.2})
		}
		before := shares(s, now, "north")
		moved := uint64(rapid.IntRange(0, nodes-1).Draw(t, "moved"))
		if rapid.Bool().Draw(t, "leaves") {
			s.RemoveNode(moved)
		} else {
			s.SetStrength(moved, strength.Resources{CPUShare: share.Draw(t, "share")})
		}
		after := shares(s, now, "north")
		address := fmt.Sprint("n-", moved)
		for number := range before {
			if before[number] != after[number] {
				assert.True(t, before[number] == address || after[number] == address)
			}
		}
	})
}

// A node of 3.4 times the processor takes 3.4 times the heartbeats; a false word gets a
// bounded part, and a node that states nothing that of the one in the middle.
func TestHeartbeatsGoByTheProcessor(t *testing.T) {
	s, _ := eagerSpread()
	stated := map[string]float64{"small-1": 0.045, "small-2": 0.045, "small-3": 0.045, "large": 0.153, "false": 1024, "old": 0}
	for address, share := range stated {
		key := rendezvous.Hash(address)
		s.AddNode(key, "north", address)
		s.SetStrength(key, strength.Resources{CPUShare: share})
	}
	const targets = 20_000
	counts := map[string]float64{}
	for number := range targets {
		counts[s.Assign("north", fmt.Sprint("t-", number))]++
	}
	whole := 0.045*4 + 0.153 + 8*0.045
	for address, share := range stated {
		weight := share
		switch address {
		case "false":
			weight = 8 * 0.045
		case "old":
			weight = 0.045
		}
		assert.InDelta(t, weight/whole, counts[address]/targets, 0.015, address)
	}
}

// A node at the limit of its descriptors refuses heartbeats: its targets come back.
func TestATargetThatComesBackIsToldAnotherNode(t *testing.T) {
	s, now := eagerSpread()
	for key, address := range []string{"n1", "n2", "n3"} {
		s.AddNode(uint64(key), "north", address)
	}
	first := s.Assign("north", "i-1")
	second := s.Assign("north", "i-1")
	third := s.Assign("north", "i-1")
	assert.ElementsMatch(t, []string{"n1", "n2", "n3"}, []string{first, second, third})
	assert.NotEmpty(t, s.Assign("north", "i-1"), "all have refused it: it is told one of them")
	*now = now.Add(2*returnTime + time.Second)
	assert.Equal(t, first, s.Assign("north", "i-1"), "it is long ago")
}

// One that never takes the word goes through some of the nodes, however often it calls.
func TestATargetThatKeepsComingBackIsToldFewNodes(t *testing.T) {
	s, _ := eagerSpread()
	for key := range uint64(100) {
		s.AddNode(key, "north", fmt.Sprint("n-", key))
	}
	told := map[string]int{}
	for range 20 * maxTold {
		told[s.Assign("north", "i-1")]++
	}
	assert.Len(t, told, maxTold)
	for address, times := range told {
		assert.Equal(t, 20, times, address)
	}
}

// Callers choose the ids: those of all calls together take a bounded room.
func TestTargetsThatAreNotedAreBounded(t *testing.T) {
	s, now := eagerSpread()
	s.AddNode(1, "north", "n-1")
	s.SetMembers(map[string][]string{"south": {"m-1"}})
	for number := range maxRecent + 100 {
		id := fmt.Sprint("i-", number)
		assert.Equal(t, "n-1", s.Assign("north", id))
		assert.Equal(t, "m-1", s.Assign("south", id))
	}
	assert.Equal(t, maxRecent, len(s.passed.lately))
	assert.Equal(t, maxRecent, len(s.sent.lately))
	*now = now.Add(returnTime)
	s.Assign("south", "i-0")
	assert.Equal(t, 1, s.sent.times("i-0"), "those that had room are known still")
}

// Strengths change while heartbeats come: each target has a node that is there.
func TestStrengthsThatChangeUnderLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now := eagerSpread()
		there := map[string]bool{}
		for range 200 {
			key := uint64(rapid.IntRange(0, 8).Draw(t, "node"))
			address := fmt.Sprint("n-", key)
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				s.AddNode(key, "north", address)
				there[address] = true
			case 1:
				s.RemoveNode(key)
				delete(there, address)
			case 2:
				s.SetStrength(key, strength.Resources{CPUShare: rapid.Float64Range(0, 4000).Draw(t, "share")})
			case 3:
				*now = now.Add(time.Second)
			}
			chosen := s.Assign("north", fmt.Sprint("i-", rapid.IntRange(0, 20).Draw(t, "target")))
			assert.Equal(t, len(there) > 0, there[chosen], "%q of %v", chosen, there)
		}
	})
}

func BenchmarkChooseAmongAThousand(b *testing.B) {
	s := NewDistributor(WithLocalRate(0))
	for key := range uint64(1000) {
		s.AddNode(key, "north", fmt.Sprint("10.0.0.1:", key))
		s.SetStrength(key, strength.Resources{CPUShare: 0.045 * float64(1+key%4)})
	}
	b.Run("each once", func(b *testing.B) {
		number := 0
		for b.Loop() {
			number++
			s.Assign("north", fmt.Sprint("i-", number))
		}
	})
	b.Run("one again and again", func(b *testing.B) {
		for b.Loop() {
			s.Assign("north", "i")
		}
	})
}
