package room

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

// retryNodeDivisor is the share of nodes, one in so many, whose wait stands for what a
// refused caller may find: of its two further tries one in four finds such a node.
const retryNodeDivisor = 8

// ZoneView is what a node knows of the links of its zone.
type ZoneView struct {
	summary   ZoneSummary
	term      uint64
	updatedAt kernel.Instant
	valid     bool
}

// Update takes the fleet's sums as far as they are of the node's zone. Those of a leader
// that has been replaced are left out while newer ones count.
func (v *ZoneView) Update(now kernel.Instant, zone string, message Message) {
	if v.IsCurrent(now) && message.Term < v.term {
		return
	}
	for _, sum := range message.Zones {
		if sum.Zone == zone {
			*v = ZoneView{summary: sum, term: message.Term, updatedAt: now, valid: true}
		}
	}
}

// IsCurrent reports whether the view counts still, and there are other nodes.
func (v *ZoneView) IsCurrent(now kernel.Instant) bool {
	return v.valid && now.Sub(v.updatedAt) < ReportLifetime && v.summary.Nodes() > 1
}

// Summary returns the newest sum of the zone.
func (v *ZoneView) Summary() ZoneSummary { return v.summary }

// RetryWait returns the longest wait at the eighth of the nodes whose waits are shortest,
// one at least.
func (v *ZoneView) RetryWait() time.Duration {
	needed := max(1, v.summary.Nodes()/retryNodeDivisor)
	for step, count := range v.summary.NodesByWait {
		needed -= int(count)
		if needed <= 0 {
			return StepToWait(uint8(step))
		}
	}
	return StepToWait(WaitSteps - 1)
}
