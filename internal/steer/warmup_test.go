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

// coldTarget registers a target that is cold for a time.
func (b *coreFixture) coldTarget(now kernel.Instant, id, zone, address string, warmup directory.Warmup) directory.Target {
	b.apply(now, directory.Command{Kind: directory.CommandPutTarget, Target: directory.Target{
		ID: id, Service: "booking", Zone: zone, Slots: 2, State: directory.TargetReady, Address: netip.MustParseAddrPort(address), Warmup: &warmup,
	}})
	target, _ := b.state.Target(id)
	return target
}

func TestShareOfColdTargetGrows(t *testing.T) {
	b := newBookingFixture(t)
	b.target(start, "i-1", "booking", "north", "10.0.0.1:1", directory.TargetReady)
	b.coldTarget(start, "i-2", "north", "10.0.0.2:1", directory.Warmup{Left: 2 * time.Second})
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
			// The caller is answered, so that waiting flows decide nothing.
			b.core.Decide(now, flowPacket(port, decision.Target.Token, 1))
		}
	}
	assert.Zero(t, counts[0])
	assert.Positive(t, counts[1])
	assert.Greater(t, counts[2], counts[1])
	assert.Greater(t, counts[3], counts[2])
}

func TestColdTargetServesWhenAlone(t *testing.T) {
	b := newBookingFixture(t)
	cold := b.coldTarget(start, "i-2", "north", "10.0.0.2:1", directory.Warmup{Left: 2 * time.Second})
	assert.Equal(t, cold.ID, b.core.Decide(start, opening(1, 0)).Target.ID, "no rate is stated")
}

// Where only cold targets are left that bear no more, callers hear it at once.
func TestExhaustedColdTargetsResetNewFlows(t *testing.T) {
	b := newBookingFixture(t)
	b.core.nodeKey = directory.NodeKey("me")
	now := start.Add(2 * budgetWindow)
	b.coldTarget(start.Add(-time.Hour), "i-2", "north", "10.0.0.2:1", directory.Warmup{
		Left: 2 * time.Hour, Budget: 1, Stewards: []uint32{directory.NodeKey("me")},
	})
	assert.Equal(t, ActionForward, b.core.Decide(now, opening(1, 0)).Action)
	decision := b.core.Decide(now, opening(2, 0))
	assert.Equal(t, ActionReset, decision.Action)
	assert.Equal(t, ReasonCold, decision.Reason)
	assert.Equal(t, ActionForward, b.core.Decide(now.Add(budgetWindow), opening(3, 0)).Action)
	b.core.nodeKey = directory.NodeKey("other")
	b.coldTarget(start, "i-3", "north", "10.0.0.3:1", directory.Warmup{
		Left: time.Hour, Budget: 1, Stewards: []uint32{directory.NodeKey("me")},
	})
	assert.Equal(t, ReasonCold, b.core.Decide(now, opening(4, 0)).Reason, "a node that is no steward sends nothing")
}

func TestZoneWarmsUpAfterEvacuation(t *testing.T) {
	b := newBookingFixture(t)
	b.target(start, "i-1", "booking", "north", "10.0.0.1:1", directory.TargetReady)
	b.target(start, "i-2", "booking", "south", "10.0.0.2:1", directory.TargetReady)
	b.setEvacuated(start, "north", true)
	order := directory.Evacuation{Zone: "north", Revision: b.state.Evacuation("north").Revision, Warmups: []directory.ServiceWarmup{
		{Service: "booking", Warmup: directory.Warmup{Left: 2 * time.Second}},
	}}
	b.apply(start, directory.Command{Kind: directory.CommandEvacuate, Evacuation: order})
	assert.Equal(t, "i-2", b.core.Decide(start, opening(1, 0)).Target.ID)
	b.apply(start.Add(time.Second), directory.Command{Kind: directory.CommandPutTarget, Target: directory.Target{
		ID: "i-9", Service: "other", Zone: "south", State: directory.TargetReady, Address: netip.MustParseAddrPort("10.0.0.9:1"),
	}})
	warm := start.Add(3 * time.Second)
	assert.Equal(t, "i-1", b.core.Decide(warm, opening(2, 0)).Target.ID, "near, and warm by now")
}

// Simulated fleet, seed 153: a node that started after a zone had been taken back, and
// after a target had registered there, was a steward of the zone and took the budget of
// the target's own steward besides.
func TestTargetRegisteredAfterEvacuationKeepsItsStewards(t *testing.T) {
	b := newBookingFixture(t)
	b.core.nodeKey = directory.NodeKey("me")
	b.setEvacuated(start, "north", true)
	order := directory.Evacuation{Zone: "north", Revision: b.state.Evacuation("north").Revision, Warmups: []directory.ServiceWarmup{
		{Service: "booking", Warmup: directory.Warmup{Left: time.Hour, Budget: 2, Stewards: []uint32{directory.NodeKey("me")}}},
	}}
	b.apply(start, directory.Command{Kind: directory.CommandEvacuate, Evacuation: order})
	b.coldTarget(start, "i-1", "north", "10.0.0.1:1", directory.Warmup{
		Left: time.Hour, Budget: 2, Stewards: []uint32{directory.NodeKey("other")},
	})
	fresh := New(b.core.settings)
	fresh.nodeKey = directory.NodeKey("me")
	require.True(t, fresh.Update(start, b.state.Since(0)))
	assert.Equal(t, ReasonCold, fresh.Decide(start.Add(2*budgetWindow), opening(1, 0)).Reason)
}

// coldRun plays a fleet of nodes that open flows to targets of which tens turn cold,
// and counts what each target takes. Nodes start anew, learn late and are frozen.
type coldSimulation struct {
	random  *rand.Rand
	state   *directory.State
	nodes   []*Core
	budget  uint32
	arrived map[string][]kernel.Instant
}

const (
	coldNodes   = 24
	coldTargets = 12
	coldLeft    = 2 * time.Second
	coldStep    = 5 * time.Millisecond
	// flowsPerStep is the number of flows that come to a node in each step at most.
	flowsPerStep = 4
)

func newColdSimulation(seed uint64, budget uint32) *coldSimulation {
	r := &coldSimulation{random: rand.New(rand.NewPCG(seed, 9)), state: directory.New(), budget: budget, arrived: map[string][]kernel.Instant{}}
	edit := directory.Difference(directory.Configuration{}, directory.Configuration{
		Version: 1, Routes: []directory.Route{route("r", bookingAddress, directory.Backend{Service: "booking", Weight: 1})},
	})
	r.state.Apply(1, directory.Command{Kind: directory.CommandPublish, Edit: edit})
	for number := range coldNodes {
		r.nodes = append(r.nodes, r.newNode(number))
	}
	return r
}

func (r *coldSimulation) newNode(number int) *Core {
	settings := DefaultSettings()
	settings.Name = fmt.Sprint("node-", number)
	settings.Random = r.random
	return New(settings)
}

// register lets a cold target register; some of the nodes are its stewards.
func (r *coldSimulation) register(position uint64) {
	warmup := directory.Warmup{Left: coldLeft, Budget: r.budget}
	for _, number := range r.random.Perm(coldNodes)[:min(int(r.budget), 4)] {
		warmup.Stewards = append(warmup.Stewards, directory.NodeKey(fmt.Sprint("node-", number)))
	}
	r.state.Apply(position, directory.Command{Kind: directory.CommandPutTarget, Target: directory.Target{
		ID: fmt.Sprint("i-", position), Service: "booking", Slots: 2, State: directory.TargetReady, Warmup: &warmup,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(position >> 8), byte(position)}), 1),
	}})
}

// play returns the largest number of opening packets that a cold target took in any
// second.
func (r *coldSimulation) run() int {
	end := start.Add(5 * time.Second)
	born := map[string]kernel.Instant{}
	position := uint64(1)
	port := uint16(0)
	for now := start; now < end; now = now.Add(coldStep) {
		if now.Sub(start) < time.Second && int(position) <= coldTargets {
			position++
			r.register(position)
			born[fmt.Sprint("i-", position)] = now
		}
		for number, node := range r.nodes {
			switch chance := r.random.IntN(1000); {
			case chance == 0:
				r.nodes[number] = r.newNode(number)
				continue
			case chance < 100:
				node.Update(now, r.state.Since(node.Revision()))
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
	most := 0
	for id, times := range r.arrived {
		first := 0
		for last, at := range times {
			if at.Sub(born[id]) >= coldLeft {
				break
			}
			for at.Sub(times[first]) >= time.Second {
				first++
			}
			most = max(most, last-first+1)
		}
	}
	return most
}

// coldSeeds is the number of seeds in CI; more by the environment variable.
func coldSeeds() int {
	if asked, err := strconv.Atoi(os.Getenv("BEAMDOOR_COLD_SEEDS")); err == nil {
		return asked
	}
	return 60
}

// Cold targets bear a number of requests a second that holds over all nodes together.
// A limit at each node by its number of nodes would need all of them to know it.
func TestColdBudgetHoldsOverAllNodes(t *testing.T) {
	used := 0
	for seed := range uint64(coldSeeds()) {
		budget := []uint32{1, 3, 7, 100}[seed%4]
		most := newColdSimulation(seed, budget).run()
		require.LessOrEqual(t, most, int(budget), "seed %d", seed)
		if most > 0 {
			used++
		}
	}
	assert.Greater(t, used, coldSeeds()*3/4, "budgets are used")
}
