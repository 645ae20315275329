package steer

import (
	"math/rand/v2"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

// Candidate is a target that can take a new flow.
type Candidate struct {
	// Waiting is the number of its flows at this node whose callers wait for an answer.
	Waiting int
	// Slots is the number of requests that the target serves concurrently.
	Slots int
	// Local is set when the target is in the node's zone.
	Local bool
	// RelativeTime is the target's time per request, relative to its service's mean.
	RelativeTime float64
}

// Choice is the input of a Chooser.
type Choice struct {
	// Candidates are never empty.
	Candidates []Candidate
	// LocalSlots and RemoteSlots are the slots of the candidates in the node's zone and in
	// other zones, plus those of targets skipped because they fail or do not answer.
	// RemoteSlots include the slots of targets skipped because they are warming up;
	// LocalSlots do not.
	LocalSlots, RemoteSlots int
}

// Chooser selects the target of a new flow.
type Chooser interface {
	kernel.Plugin
	// Choose returns the index of the chosen candidate.
	Choose(choice Choice, random *rand.Rand) int
}

const (
	// ChoiceRandom selects uniformly at random.
	ChoiceRandom kernel.PluginID = "steer.choice.random"
	// ChoiceNearby selects the target with the fewest waiting flows per slot, and prefers
	// the node's zone.
	ChoiceNearby kernel.PluginID = "steer.choice.nearby"
	// ChoiceByRate selects the target with the shortest expected queue, prefers the node's
	// zone, and breaks ties at random in proportion to the service rate.
	ChoiceByRate kernel.PluginID = "steer.choice.by-rate"
)

func init() {
	kernel.Register(func() kernel.Plugin { return &randomChoice{} })
	kernel.Register(func() kernel.Plugin { return &nearbyChoice{} })
	kernel.Register(func() kernel.Plugin { return &rateChoice{} })
}

type randomChoice struct{}

var _ Chooser = (*randomChoice)(nil)

// PluginID implements kernel.Plugin.
func (*randomChoice) PluginID() kernel.PluginID { return ChoiceRandom }

// Choose implements Chooser.
func (*randomChoice) Choose(choice Choice, random *rand.Rand) int {
	return random.IntN(len(choice.Candidates))
}

// crossZoneCost is added to the cost of targets in another zone or, for a flow that spills to
// other zones, of those in the node's own zone. The unit is waiting flows per slot.
const crossZoneCost = 0.5

// nearbyChoice selects the candidate with the fewest waiting flows per slot. Idle flows are
// not counted; a newly started target has none and would attract the new flows of every
// node. Ties are broken at random, so that nodes do not all select the same target.
type nearbyChoice struct{}

var _ Chooser = (*nearbyChoice)(nil)

// PluginID implements kernel.Plugin.
func (*nearbyChoice) PluginID() kernel.PluginID { return ChoiceNearby }

// Choose implements Chooser.
func (*nearbyChoice) Choose(choice Choice, random *rand.Rand) int {
	best := 0
	equal := 0
	lowest := 0.0
	for position, candidate := range choice.Candidates {
		cost := costOf(candidate)
		switch {
		case position == 0 || cost < lowest:
			best, lowest, equal = position, cost, 1
		case cost == lowest:
			equal++
			if random.IntN(equal) == 0 {
				best = position
			}
		}
	}
	return best
}

func costOf(candidate Candidate) float64 {
	cost := float64(candidate.Waiting) / float64(max(candidate.Slots, 1))
	if !candidate.Local {
		cost += crossZoneCost
	}
	return cost
}
