package outlier

import (
	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

// Orders of operators come before what is seen. A target that one keeps out counts
// among those that are left out, but no share bounds it.

// obey carries out the newest order about a target. It reports whether the target is
// judged after that.
func (j *Detector) obey(now kernel.Instant, target Target) bool {
	order := target.Order
	switch order.Rule {
	case directory.RuleEjected:
		kept := j.record(target.Token)
		kept.stage = ejected
		kept.byHand = true
		return false
	case directory.RuleExempt:
		j.giveBack(now, target)
		return false
	}
	kept, exists := j.records[target.Token]
	if exists && (kept.byHand || order.Revision > max(kept.obeyed, j.knownRevision)) {
		j.giveBack(now, target)
		kept.obeyed = order.Revision
	}
	return true
}

// giveBack lets a target get new flows as the others do: what was seen of it is
// forgotten.
func (j *Detector) giveBack(now kernel.Instant, target Target) {
	kept, exists := j.records[target.Token]
	if !exists || kept.stage == fair {
		return
	}
	kept.try(now)
	kept.byHand = false
	kept.ejections = 0
	kept.readmit(now)
}
