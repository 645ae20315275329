package steer

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

// warmingTarget registers a target that warms up.
func (b *coreFixture) warmingTarget(now kernel.Instant, id, zone, address string, warmup directory.Warmup) directory.Target {
	b.apply(now, directory.Command{Kind: directory.CommandPutTarget, Target: directory.Target{
		ID: id, Service: "booking", Zone: zone, Slots: 2, State: directory.TargetReady, Address: netip.MustParseAddrPort(address), Warmup: &warmup,
	}})
	target, _ := b.state.Target(id)
	return target
}

func TestShareOfWarmingTargetGrows(t *testing.T) {
	b := newBookingFixture(t)
	b.target(start, "i-1", "booking", "north", "10.0.0.1:1", directory.TargetReady)
	b.warmingTarget(start, "i-2", "north", "10.0.0.2:1", directory.Warmup{Remaining: 2 * time.Second})
	counts := map[int]int{}
	const flowsEach = 400
	port := uint16(0)
	for quarter := range 5 {
		now := start.Add(time.Duration(quarter) * 500 * time.Millisecond)
		for range flowsEach {
			port++
			decision := b.core.Decide(now, opening(port, 0))
			if decision.Target.ID == "i-2" {
				counts[quarter]++
			}
			// The answer makes the flow idle, so that waiting flows do not affect the choice.
			b.core.Decide(now, flowPacket(port, decision.Target.Token, 1))
		}
	}
	assert.Zero(t, counts[0])
	assert.Positive(t, counts[1])
	assert.Greater(t, counts[2], counts[1])
	assert.Greater(t, counts[3], counts[2])
}

func TestWarmingTargetServesWhenAlone(t *testing.T) {
	b := newBookingFixture(t)
	warming := b.warmingTarget(start, "i-2", "north", "10.0.0.2:1", directory.Warmup{Remaining: 2 * time.Second})
	assert.Equal(t, warming.ID, b.core.Decide(start, opening(1, 0)).Target.ID, "no budget is set")
}

// If only warming targets without budget are left, new flows are reset at once.
func TestExhaustedWarmingTargetsResetNewFlows(t *testing.T) {
	b := newBookingFixture(t)
	b.core.nodeKey = directory.NodeKey("me")
	now := start.Add(2 * budgetWindow)
	b.warmingTarget(start.Add(-time.Hour), "i-2", "north", "10.0.0.2:1", directory.Warmup{
		Remaining: 2 * time.Hour, Budget: 1, AssignedNodes: []uint32{directory.NodeKey("me")},
	})
	assert.Equal(t, ActionForward, b.core.Decide(now, opening(1, 0)).Action)
	decision := b.core.Decide(now, opening(2, 0))
	assert.Equal(t, ActionReset, decision.Action)
	assert.Equal(t, ReasonCold, decision.Reason)
	assert.Equal(t, ActionForward, b.core.Decide(now.Add(budgetWindow), opening(3, 0)).Action)
	b.core.nodeKey = directory.NodeKey("other")
	b.warmingTarget(start, "i-3", "north", "10.0.0.3:1", directory.Warmup{
		Remaining: time.Hour, Budget: 1, AssignedNodes: []uint32{directory.NodeKey("me")},
	})
	assert.Equal(t, ReasonCold, b.core.Decide(now, opening(4, 0)).Reason, "a node that is not assigned sends nothing")
}

func TestZoneWarmsUpAfterEvacuation(t *testing.T) {
	b := newBookingFixture(t)
	b.target(start, "i-1", "booking", "north", "10.0.0.1:1", directory.TargetReady)
	b.target(start, "i-2", "booking", "south", "10.0.0.2:1", directory.TargetReady)
	b.setEvacuated(start, "north", true)
	order := directory.Evacuation{Zone: "north", Revision: b.state.Evacuation("north").Revision, Warmups: []directory.ServiceWarmup{
		{Service: "booking", Warmup: directory.Warmup{Remaining: 2 * time.Second}},
	}}
	b.apply(start, directory.Command{Kind: directory.CommandEvacuate, Evacuation: order})
	assert.Equal(t, "i-2", b.core.Decide(start, opening(1, 0)).Target.ID)
	b.apply(start.Add(time.Second), directory.Command{Kind: directory.CommandPutTarget, Target: directory.Target{
		ID: "i-9", Service: "other", Zone: "south", State: directory.TargetReady, Address: netip.MustParseAddrPort("10.0.0.9:1"),
	}})
	warm := start.Add(3 * time.Second)
	assert.Equal(t, "i-1", b.core.Decide(warm, opening(2, 0)).Target.ID, "the local target is warm")
}

// A node that starts after the end of an evacuation must not use the zone's budget for a
// target that has registered since and has assigned nodes of its own.
func TestTargetRegisteredAfterEvacuationKeepsItsAssignedNodes(t *testing.T) {
	b := newBookingFixture(t)
	b.core.nodeKey = directory.NodeKey("me")
	b.setEvacuated(start, "north", true)
	order := directory.Evacuation{Zone: "north", Revision: b.state.Evacuation("north").Revision, Warmups: []directory.ServiceWarmup{
		{Service: "booking", Warmup: directory.Warmup{Remaining: time.Hour, Budget: 2, AssignedNodes: []uint32{directory.NodeKey("me")}}},
	}}
	b.apply(start, directory.Command{Kind: directory.CommandEvacuate, Evacuation: order})
	b.warmingTarget(start, "i-1", "north", "10.0.0.1:1", directory.Warmup{
		Remaining: time.Hour, Budget: 2, AssignedNodes: []uint32{directory.NodeKey("other")},
	})
	fresh := New(b.core.settings)
	fresh.nodeKey = directory.NodeKey("me")
	require.True(t, fresh.Update(start, b.state.UpdateSince(0)))
	assert.Equal(t, ReasonCold, fresh.Decide(start.Add(2*budgetWindow), opening(1, 0)).Reason)
}

// warmupSimulation lets a fleet of nodes open flows to warming targets and records what each
// target gets. Nodes restart, and learn of targets late.
type warmupSimulation struct {
	random  *rand.Rand
	state   *directory.State
	nodes   []*Core
	budget  uint32
	arrived map[string][]kernel.Instant
}

const (
	warmupNodes    = 24
	warmupTargets  = 12
	warmupDuration = 2 * time.Second
	warmupStep     = 5 * time.Millisecond
	// flowsPerStep is the largest number of new flows at a node per step.
	flowsPerStep = 4
)

func newWarmupSimulation(seed uint64, budget uint32) *warmupSimulation {
	r := &warmupSimulation{random: rand.New(rand.NewPCG(seed, 9)), state: directory.New(), budget: budget, arrived: map[string][]kernel.Instant{}}
	edit := directory.Difference(directory.Configuration{}, directory.Configuration{
		Version: 1, Routes: []directory.Route{route("r", bookingAddress, directory.Backend{Service: "booking", Weight: 1})},
	})
	r.state.Apply(1, directory.Command{Kind: directory.CommandPublish, Edit: edit})
	for number := range warmupNodes {
		r.nodes = append(r.nodes, r.newNode(number))
	}
	return r
}

func (r *warmupSimulation) newNode(number int) *Core {
	settings := DefaultSettings()
	settings.Name = fmt.Sprint("node-", number)
	settings.Random = r.random
	return New(settings)
}

// register registers a warming target with some of the nodes assigned to it.
func (r *warmupSimulation) register(position uint64) {
	warmup := directory.Warmup{Remaining: warmupDuration, Budget: r.budget}
	for _, number := range r.random.Perm(warmupNodes)[:min(int(r.budget), 4)] {
		warmup.AssignedNodes = append(warmup.AssignedNodes, directory.NodeKey(fmt.Sprint("node-", number)))
	}
	r.state.Apply(position, directory.Command{Kind: directory.CommandPutTarget, Target: directory.Target{
		ID: fmt.Sprint("i-", position), Service: "booking", Slots: 2, State: directory.TargetReady, Warmup: &warmup,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(position >> 8), byte(position)}), 1),
	}})
}

// run returns the largest number of opening packets that a warming target got in any second.
func (r *warmupSimulation) run() int {
	end := start.Add(5 * time.Second)
	registeredAt := map[string]kernel.Instant{}
	position := uint64(1)
	port := uint16(0)
	for now := start; now < end; now = now.Add(warmupStep) {
		if now.Sub(start) < time.Second && int(position) <= warmupTargets {
			position++
			r.register(position)
			registeredAt[fmt.Sprint("i-", position)] = now
		}
		for number, node := range r.nodes {
			switch chance := r.random.IntN(1000); {
			case chance == 0:
				r.nodes[number] = r.newNode(number)
				continue
			case chance < 100:
				node.Update(now, r.state.UpdateSince(node.Revision()))
			}
			for range r.random.IntN(flowsPerStep + 1) {
				port++
				decision := node.Decide(now, opening(port, 0))
				if decision.Action == ActionForward {
					id := decision.Target.ID
					r.arrived[id] = append(r.arrived[id], now)
				}
			}
		}
	}
	highest := 0
	for id, times := range r.arrived {
		first := 0
		for last, at := range times {
			if at.Sub(registeredAt[id]) >= warmupDuration {
				break
			}
			for at.Sub(times[first]) >= time.Second {
				first++
			}
			highest = max(highest, last-first+1)
		}
	}
	return highest
}

// warmupSeeds returns the number of seeds, which an environment variable may set.
func warmupSeeds() int {
	if count, err := strconv.Atoi(os.Getenv("BEAMDOOR_COLD_SEEDS")); err == nil {
		return count
	}
	return 60
}

// All nodes together keep to the budget of a warming target, though they learn of it late and
// restart.
func TestWarmupBudgetHoldsOverAllNodes(t *testing.T) {
	used := 0
	for seed := range uint64(warmupSeeds()) {
		budget := []uint32{1, 3, 7, 100}[seed%4]
		highest := newWarmupSimulation(seed, budget).run()
		require.LessOrEqual(t, highest, int(budget), "seed %d", seed)
		if highest > 0 {
			used++
		}
	}
	assert.Greater(t, used, warmupSeeds()*3/4, "budgets are used")
}
