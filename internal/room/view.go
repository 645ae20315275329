package room

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

// retryNodeDivisor is the inverse of the fraction of nodes that RetryWait considers. A
// refused caller that retries twice reaches one of these nodes with a probability of
// about one in four.
const retryNodeDivisor = 8

// ZoneView is a node's view of the load in its zone.
type ZoneView struct {
	summary   ZoneSummary
	term      uint64
	updatedAt kernel.Instant
	valid     bool
}

// Update replaces the view with the summary of the node's zone from a message with the
// fleet's summaries. A message of an older term is ignored while the view is current.
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

// IsCurrent reports whether the view is still valid and includes other nodes.
func (v *ZoneView) IsCurrent(now kernel.Instant) bool {
	return v.valid && now.Sub(v.updatedAt) < ReportLifetime && v.summary.Nodes() > 1
}

// Summary returns the latest summary of the zone.
func (v *ZoneView) Summary() ZoneSummary { return v.summary }

// RetryWait returns the wait that a refused caller can expect on a retry: the longest
// wait among the eighth of the nodes (at least one) with the shortest waits.
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
