package outlier

import (
	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

// Report is what a member tells of one target: what its nodes counted since its last
// report, and how the failures of the last seconds are spread over them.
type Report struct {
	directory.Outcomes
	// FailingNodes is the number of nodes that saw failures lately, Seen the number of these
	// failures, and Most those that the node with the most of them saw.
	FailingNodes, RecentFailures, TopFailures uint32
	// TopNode is the key of that node.
	TopNode uint32
}

// record is what is known of one target.
type record struct {
	window Window
	// members holds the members' words on the spread of failures, by their addresses.
	members map[string]witnesses
	standing
	// clearedAt is when the window was emptied last; 0 where it never was.
	clearedAt kernel.Instant
	// tried counts the exchanges since the probation began.
	tried Count
	// shown is what it was found ill by; nothing where that is not known.
	shown Count
	// byHand is set while an operator keeps the target out, and obeyed is the log
	// position of the last order that gave it back.
	byHand bool
	obeyed uint64
}

func newRecord() *record { return &record{members: map[string]witnesses{}} }

// note enters a member's report.
func (r *record) note(now kernel.Instant, from string, report Report) {
	count := CountOf(report.Outcomes)
	r.window.Add(now, count)
	r.tried = r.tried.Add(count)
	if report.FailingNodes > 0 {
		r.members[from] = witnesses{nodes: report.FailingNodes, seen: report.RecentFailures, most: report.TopFailures, witness: report.TopNode, at: now}
	}
}

// failures returns the number of failures that count, and of nodes that saw some.
func (r *record) failures(now kernel.Instant) (failures, nodes uint32) {
	if len(r.members) == 0 {
		return 0, 0
	}
	seen := newSpread()
	seen.add(now, r)
	return seen.failures()
}

// evidence returns the highest log of the likelihood ratio over the window, and the
// count that has it.
func (r *record) evidence(now kernel.Instant, usual reference) (float64, Count) {
	failures, _ := r.failures(now)
	if failures == 0 {
		return 0, Count{}
	}
	return LikelihoodRatio(&r.window, usual, failures)
}

// trial returns what the target shows on probation.
func (r *record) trial() trial { return trial{count: r.tried, shown: r.shown, share: illShare} }

// try puts the target on probation: what came before counts no more.
func (r *record) try(now kernel.Instant) {
	r.beginProbation(now)
	r.tried = Count{}
	r.window = Window{}
	r.clearedAt = now
	clear(r.members)
}

// tellsWindow reports whether the window holds all that was seen in its time.
func (r *record) tellsWindow(now kernel.Instant) bool {
	return r.clearedAt == 0 || now.Sub(r.clearedAt) >= WindowTime
}

// isIdle reports whether nothing is remembered of the target that matters.
func (r *record) isIdle(now kernel.Instant) bool {
	return r.stage == fair && r.window.Total(now) == Count{} && now.Sub(r.fairSince) >= forgottenAfter
}
