package outlier

import (
	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

// applyOrder applies the operator's newest order for a target. It reports whether the
// target remains subject to automatic ejection. Orders are not subject to the ejection
// limits, but targets ejected by an order count towards them.
func (d *Detector) applyOrder(now kernel.Instant, target Target) bool {
	order := target.Order
	switch order.Rule {
	case directory.RuleEjected:
		rec := d.targetRecord(target.Token)
		rec.stage = ejected
		rec.byOperator = true
		return false
	case directory.RuleExempt:
		d.reinstate(now, target)
		return false
	}
	rec, exists := d.records[target.Token]
	if exists && (rec.byOperator || order.Revision > max(rec.appliedRevision, d.appliedRevision)) {
		d.reinstate(now, target)
		rec.appliedRevision = order.Revision
	}
	return true
}

// reinstate readmits a target that is ejected or on probation, and clears its counts and
// ejection history.
func (d *Detector) reinstate(now kernel.Instant, target Target) {
	rec, exists := d.records[target.Token]
	if !exists || rec.stage == active {
		return
	}
	rec.startProbation(now)
	rec.byOperator = false
	rec.ejections = 0
	rec.readmit(now)
}
