package outlier

import (
	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

// Report is a member's report on one target: the outcomes counted by the member's nodes
// since its last report, and the distribution of recent failures over these nodes.
type Report struct {
	directory.Outcomes
	// FailingNodes is the number of nodes that recently saw failures, RecentFailures the
	// number of these failures and TopFailures the number seen by the node that saw the
	// most.
	FailingNodes, RecentFailures, TopFailures uint32
	// TopNode is the key of the node that saw the most failures.
	TopNode uint32
}

// targetRecord is the state kept for one target.
type targetRecord struct {
	window Window
	// spreads holds the latest failure distribution by member address.
	spreads map[string]memberSpread
	ejectionState
	// clearedAt is when the window was last cleared, or 0 if never.
	clearedAt kernel.Instant
	// probationCount counts the exchanges since the latest probation began.
	probationCount Count
	// ejectionCount is the count for which the target was ejected, or zero if unknown.
	ejectionCount Count
	// byOperator is set while an operator's order keeps the target ejected.
	// appliedRevision is the log position of the last applied order that reinstated it.
	byOperator      bool
	appliedRevision uint64
}

func newTargetRecord() *targetRecord { return &targetRecord{spreads: map[string]memberSpread{}} }

func (r *targetRecord) addReport(now kernel.Instant, from string, report Report) {
	count := CountOf(report.Outcomes)
	r.window.Add(now, count)
	r.probationCount = r.probationCount.Add(count)
	if report.FailingNodes > 0 {
		r.spreads[from] = memberSpread{nodes: report.FailingNodes, failures: report.RecentFailures, topFailures: report.TopFailures, topNode: report.TopNode, receivedAt: now}
	}
}

// independentFailures returns the maximum number of failures that count as evidence and
// the number of nodes that saw failures.
func (r *targetRecord) independentFailures(now kernel.Instant) (failures, nodes uint32) {
	if len(r.spreads) == 0 {
		return 0, 0
	}
	spread := newFailureSpread()
	spread.add(now, r)
	return spread.independentFailures()
}

// evidence returns the highest log-likelihood ratio over the window and the count that
// produced it.
func (r *targetRecord) evidence(now kernel.Instant, baseline baselineFunc) (float64, Count) {
	failures, _ := r.independentFailures(now)
	if failures == 0 {
		return 0, Count{}
	}
	return LikelihoodRatio(&r.window, baseline, failures)
}

// probation returns the target's results on probation.
func (r *targetRecord) probation() probation {
	return probation{count: r.probationCount, ejectionCount: r.ejectionCount, excess: targetExcess}
}

// startProbation puts the target on probation and clears its counts.
func (r *targetRecord) startProbation(now kernel.Instant) {
	r.enterProbation(now)
	r.probationCount = Count{}
	r.window = Window{}
	r.clearedAt = now
	clear(r.spreads)
}

// hasFullWindow reports whether the window has not been cleared during the last
// WindowTime.
func (r *targetRecord) hasFullWindow(now kernel.Instant) bool {
	return r.clearedAt == 0 || now.Sub(r.clearedAt) >= WindowTime
}

// isIdle reports whether the record can be deleted.
func (r *targetRecord) isIdle(now kernel.Instant) bool {
	return r.stage == active && r.window.Total(now) == Count{} && now.Sub(r.activeSince) >= ejectionMemory
}
