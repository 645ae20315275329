package sim

import (
	"fmt"
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/lab/report"
	"github.com/beamdoor/beamdoor/internal/store"
)

// The rules that this package checks besides those of the report.
const (
	RuleNoRevert    = "accepted never reverts"
	RuleOneWinner   = "one winner for a base revision"
	RuleOnce        = "a resent write is made once"
	RuleRefused     = "a refused write is not made"
	RuleFreshRead   = "reads show every answered write"
	RuleStable      = "a member that comes back deposes no leader"
	RuleInForce     = "in force within seconds"
	RuleDrained     = "a leaving target gets no new work"
	RuleHearOfDeath = "callers hear of a target's death"
	RuleRecovers    = "the system recovers"
	RuleProgress    = "work gets done"
	RuleHealthy     = "healthy balancers stay in their view"
	RuleQuiet       = "all work gets done after the faults"
)

const (
	// drainLimit is the time from an accepted drain until no new flow may
	// reach the target.
	drainLimit = 3 * time.Second
	// inForceLimit is the time until an accepted configuration must be in
	// force on every balancer that gives new work.
	inForceLimit = 14 * time.Second
)

// quietWait is how long after the last fault a request may still end without
// an answer: a lease, then the span of lost records.
const quietWait = 3300*time.Millisecond + 10*time.Second + 4*time.Second + time.Second

// unfinishedRequest is one that ended as unknown or without an answer.
type unfinishedRequest struct {
	id      string
	started kernel.Instant
	outcome report.Outcome
}

func (w *World) judgeQuiet() {
	if w.plan.NeverQuiet {
		return
	}
	for _, request := range w.unfinished {
		if request.started > w.lastFault.Add(quietWait) {
			w.violate(RuleQuiet, "request %s, sent %s after the last fault, ended: %s", request.id, request.started.Sub(w.lastFault), request.outcome)
		}
	}
}

// watchWrites notes when each accepted write is in force, ten times a second.
func (w *World) watchWrites() {
	w.clock.After(100*time.Millisecond, w.watchWrites)
	oldest := w.oldestRevision()
	now := w.clock.Now()
	for _, current := range w.operators.writes {
		if !current.accepted() || current.inForceAt != 0 {
			continue
		}
		if oldest >= current.result.Revision {
			current.inForceAt = now
			if current.onInForce != nil {
				current.onInForce()
			}
			continue
		}
		if now.Sub(current.finished) > inForceLimit {
			current.inForceAt = now
			w.violate(RuleInForce, "%q, revision %d, is not in force after %s", current.summary, current.result.Revision, inForceLimit)
		}
	}
}

// oldestRevision returns the oldest revision on a balancer that may give new
// work by itself.
func (w *World) oldestRevision() uint64 {
	oldest := ^uint64(0)
	for _, b := range w.balancers {
		if b.up && !b.frozen && b.router.InView() && b.router.HasLease(b.now()) {
			oldest = min(oldest, b.router.Revision())
		}
	}
	return oldest
}

// judge checks the rules at the end of a run.
func (w *World) judge() {
	leader := w.leader()
	if leader == nil {
		w.violate(RuleRecovers, "no control member leads at the end")
		return
	}
	w.judgeWrites(leader.core.Store())
	w.judgeQuiet()
	if now := leader.core.Store().View(1).GetNumber(); w.plan.ViewsStay && now != w.firstView {
		w.violate(RuleHealthy, "view %d before the faults, view %d after", w.firstView, now)
	}
	for _, b := range w.balancers {
		if b.up && !b.frozen && !b.leaving && !b.router.InView() {
			w.violate(RuleRecovers, "%s is in no view at the end", b.name)
		}
	}
	if err := w.report.CheckProgress(w.plan.MostUnfinished); err != nil {
		w.violate(RuleProgress, "%v", err)
	}
}

func (w *World) judgeWrites(state *store.Store) {
	made := map[string]int{}
	revisions := map[string]uint64{}
	for _, entry := range state.History(store.HistoryLimit) {
		made[nameOf(entry)]++
		revisions[nameOf(entry)] = entry.Revision
	}
	winners := map[uint64]*write{}
	for _, current := range w.operators.writes {
		times := made[current.summary]
		switch {
		case current.accepted() && (times == 0 || revisions[current.summary] != current.result.Revision):
			w.violate(RuleNoRevert, "%q was accepted as revision %d and is not in the history", current.summary, current.result.Revision)
		case times > 1:
			w.violate(RuleOnce, "%q was made %d times", current.summary, times)
		case current.answered && !current.accepted() && times > 0:
			w.violate(RuleRefused, "%q was refused (%s) and is in the history", current.summary, current.result.Reason)
		}
		if !current.accepted() || current.kind != store.CommandApply {
			continue
		}
		if earlier := winners[current.base]; earlier != nil {
			w.violate(RuleOneWinner, "%q and %q both won on base %d", earlier.summary, current.summary, current.base)
		}
		winners[current.base] = current
	}
	w.judgeReads(revisions)
}

// judgeReads checks that a read that began after a write was answered shows
// this write or a later one.
func (w *World) judgeReads(revisions map[string]uint64) {
	for _, got := range w.operators.reads {
		for _, current := range w.operators.writes {
			answeredBefore := current.accepted() && current.finished < got.started
			if answeredBefore && revisions[got.newest] < current.result.Revision {
				w.violate(RuleFreshRead, "a read at %s showed %q after %q was answered", time.Duration(got.started), got.newest, current.summary)
				return
			}
		}
	}
}

// watchLeader checks that the leader of now is still the leader later.
func (w *World) watchLeader(wait time.Duration) {
	before := w.leader()
	if before == nil {
		return
	}
	term := before.core.Raft().Term()
	w.clock.After(wait, func() {
		after := w.leader()
		if after == nil || after.core.Raft().Term() != term {
			w.violate(RuleStable, "%s led in term %d and lost its place", before.name, term)
		}
	})
}

// slowestInForce returns the longest time an accepted write took to be in
// force, counted from its answer.
func (w *World) slowestInForce() time.Duration {
	var slowest time.Duration
	for _, current := range w.operators.writes {
		if current.inForceAt > 0 {
			slowest = max(slowest, current.inForceAt.Sub(current.finished))
		}
	}
	return slowest
}

// controlRate returns the largest number of control bytes a second that a
// balancer sent and received.
func (w *World) controlRate() float64 {
	largest := 0.0
	for _, b := range w.balancers {
		bytes := float64(b.spent + b.received)
		running := b.running
		if b.up {
			bytes += float64(b.router.Counters().ControlBytes)
			running += w.clock.Now().Sub(b.startedAt)
		}
		if running > 0 {
			largest = max(largest, bytes/running.Seconds())
		}
	}
	return largest
}

// Operation is a read or a write of the newest operator's write, for a check
// of linearizability.
type Operation struct {
	Write    bool
	Value    string
	Start    kernel.Instant
	End      kernel.Instant
	Answered bool
}

// Operations returns the history of reads and writes.
func (w *World) operations() []Operation {
	var list []Operation
	for _, current := range w.operators.writes {
		if current.answered && !current.accepted() {
			continue
		}
		list = append(list, Operation{
			Write:    true,
			Value:    current.summary,
			Start:    current.started,
			End:      current.finished,
			Answered: current.answered,
		})
	}
	for _, current := range w.operators.reads {
		list = append(list, Operation{Value: current.newest, Start: current.started, End: current.finished, Answered: true})
	}
	return list
}

func (r Result) String() string {
	return fmt.Sprintf("%s seed %d", r.Scenario, r.Seed)
}
