package steer

import (
	"math/rand/v2"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

// Alternative choosers, for comparison with rateChoice.

// delay returns the expected time of a new request: the queue and its own service.
func (c Candidate) delay() float64 {
	delay := float64(c.Waiting+1) / c.rate()
	if !c.Local {
		delay += crossZoneCost
	}
	return delay
}

// leastDelayChoice selects the candidate with the least expected delay and breaks ties at
// random. It suits few nodes that each see most of a target's flows.
type leastDelayChoice struct{}

var _ Chooser = (*leastDelayChoice)(nil)

// PluginID implements kernel.Plugin.
func (*leastDelayChoice) PluginID() kernel.PluginID { return "steer.choice.expected-delay" }

// Choose implements Chooser.
func (*leastDelayChoice) Choose(choice Choice, random *rand.Rand) int {
	best := 0
	equal := 0
	lowest := 0.0
	for position, candidate := range choice.Candidates {
		cost := candidate.delay()
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

// twoRandomChoice draws two candidates and selects the one with the smaller delay.
type twoRandomChoice struct{}

var _ Chooser = (*twoRandomChoice)(nil)

// PluginID implements kernel.Plugin.
func (*twoRandomChoice) PluginID() kernel.PluginID { return "steer.choice.two" }

// Choose implements Chooser.
func (*twoRandomChoice) Choose(choice Choice, random *rand.Rand) int {
	candidates := choice.Candidates
	first := random.IntN(len(candidates))
	second := random.IntN(len(candidates))
	if candidates[second].delay() < candidates[first].delay() {
		return second
	}
	return first
}
