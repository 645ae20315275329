package steer

import (
	"math/rand/v2"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

// rate returns the requests that a target serves in the usual time of one.
func (c Candidate) rate() float64 { return float64(max(c.Slots, 1)) / c.RelativeTime }

// wait returns the time that a new flow waits behind this node's own ones, in usual
// times of a request.
func (c Candidate) queueTime() float64 { return float64(c.Waiting) / c.rate() }

// spillStart is how many times as long near targets take as far ones before flows spill:
// less may be chance, and is not worth the way between zones.
const spillThreshold = 1.1

// spill returns the part of the flows that goes to far targets: none while near ones serve
// about as fast, and from then on as much as makes up for it. Targets that fail or do
// not answer serve nothing, so that a zone which has lost some is not made to bear their
// flows alone.
// Times hold the wait at a target too: that tells how the other nodes load the zone.
func (c Choice) spill() float64 {
	if c.LocalSlots == 0 || c.RemoteSlots == 0 {
		return 0
	}
	near, far := 0.0, 0.0
	for _, candidate := range c.Candidates {
		if candidate.Local {
			near += candidate.rate()
		} else {
			far += candidate.rate()
		}
	}
	slower := far / float64(c.RemoteSlots) * float64(c.LocalSlots)
	if slower <= spillThreshold*near {
		return 0
	}
	return 1 - spillThreshold*near/slower
}

// rateChoice takes the candidate with the shortest wait, and draws among equal ones by
// their rates. Most nodes of a fleet have no flow at most targets: to each of them the
// fastest target is the best at the same moment, and all would send it their flows. Drawn
// by rate, the flows of all nodes load fast and slow targets alike. For the same reason
// it is drawn whether a flow leaves the zone. Where all times are equal this is
// nearbyChoice.
type rateChoice struct{}

var _ Chooser = (*rateChoice)(nil)

// PluginID implements kernel.Plugin.
func (*rateChoice) PluginID() kernel.PluginID { return ChoiceByRate }

// Choose implements Chooser.
func (*rateChoice) Choose(choice Choice, random *rand.Rand) int {
	spill := choice.spill()
	wantsNear := spill == 0 || random.Float64() >= spill
	best := 0
	lowest, rates := 0.0, 0.0
	for position, candidate := range choice.Candidates {
		cost := candidate.queueTime()
		if candidate.Local != wantsNear {
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
