package steer

import (
	"math/rand/v2"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

// rate returns the number of requests that a target serves in the mean time of one.
func (c Candidate) rate() float64 { return float64(max(c.Slots, 1)) / c.RelativeTime }

// queueTime returns how long a new flow queues behind this node's waiting flows, in mean
// request times.
func (c Candidate) queueTime() float64 { return float64(c.Waiting) / c.rate() }

// spillThreshold is the ratio of local to remote request time above which flows spill to
// other zones; smaller differences may be noise.
const spillThreshold = 1.1

// spill returns the share of flows to send to other zones. It is zero while local targets
// are about as fast as remote ones, and grows with the local capacity that is missing.
// Skipped targets count as zero capacity, so that the rest of their zone is not overloaded.
// Request times include queueing at the target, so they reflect the load that other nodes
// put on the zone.
func (c Choice) spill() float64 {
	if c.LocalSlots == 0 || c.RemoteSlots == 0 {
		return 0
	}
	localRate, remoteRate := 0.0, 0.0
	for _, candidate := range c.Candidates {
		if candidate.Local {
			localRate += candidate.rate()
		} else {
			remoteRate += candidate.rate()
		}
	}
	capacityAtRemoteSpeed := remoteRate / float64(c.RemoteSlots) * float64(c.LocalSlots)
	if capacityAtRemoteSpeed <= spillThreshold*localRate {
		return 0
	}
	return 1 - spillThreshold*localRate/capacityAtRemoteSpeed
}

// rateChoice selects the candidate with the shortest queue and breaks ties at random in
// proportion to the service rate. In a large fleet most nodes have no flows at most targets;
// always selecting the fastest one would make all nodes overload it. The spill to other
// zones is randomized for the same reason. At equal speeds it behaves like nearbyChoice.
type rateChoice struct{}

var _ Chooser = (*rateChoice)(nil)

// PluginID implements kernel.Plugin.
func (*rateChoice) PluginID() kernel.PluginID { return ChoiceByRate }

// Choose implements Chooser.
func (*rateChoice) Choose(choice Choice, random *rand.Rand) int {
	spill := choice.spill()
	prefersLocal := spill == 0 || random.Float64() >= spill
	best := 0
	lowest, rates := 0.0, 0.0
	for position, candidate := range choice.Candidates {
		cost := candidate.queueTime()
		if candidate.Local != prefersLocal {
			cost += crossZoneCost
		}
		rate := candidate.rate()
		switch {
		case position == 0 || cost < lowest:
			best, lowest, rates = position, cost, rate
		case cost == lowest:
			rates += rate
			if random.Float64()*rates < rate {
				best = position
			}
		}
	}
	return best
}
