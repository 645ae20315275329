package steer

import (
	"math/rand/v2"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

// Candidate is a target that could take a new flow.
type Candidate struct {
	// Waiting is the number of its flows at this node whose callers wait for an
	// answer.
	Waiting int
	Slots   int
	// Local is set when the target stands in the node's own zone.
	Local bool
	// RelativeTime is the time that the target takes for a request, as a multiple of what is
	// usual for its service.
	RelativeTime float64
}

// Choice is what a target is chosen from.
type Choice struct {
	// Candidates holds at least one.
	Candidates []Candidate
	// LocalSlots and RemoteSlots are the slots of the candidates in the own zone and in the others, and
	// of those that are passed over since they fail or do not answer. RemoteSlots also holds those
	// that are spared.
	LocalSlots, RemoteSlots int
}

// Chooser picks the target of a new flow.
type Chooser interface {
	kernel.Plugin
	// Choose returns the position of the target.
	Choose(choice Choice, random *rand.Rand) int
}

const (
	// ChoiceRandom gives every target the same share.
	ChoiceRandom kernel.PluginID = "steer.choice.random"
	// ChoiceNearby takes the target with the fewest flows and prefers the own zone.
	ChoiceNearby kernel.PluginID = "steer.choice.nearby"
	// ChoiceByRate does the same by the time that flows wait, and draws among equal
	// targets by the rate at which they serve.
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

// farCost is the cost of each slot of a target in another zone, in flows that
// wait for an answer.
const crossZoneCost = 0.5

// nearbyChoice takes the candidate with the fewest waiting flows a slot. Flows
// that rest do not count: a target that has just started has none, and all
// nodes would send all new flows there. Equal candidates are drawn by lot, so
// that many nodes do not all pick the same.
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
