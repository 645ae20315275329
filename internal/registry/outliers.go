package registry

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/outlier"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// Nodes count how exchanges with targets end. One node sees few of a target; a member
// sums up what its nodes report, the leader what all members report, and judges each
// target against the others of its service (package outlier). The sums are not
// replicated: a new leader begins with none, keeps for a while what the old one left
// out, and tries that again.

const (
	// spreadTime is the time after which a member forgets what it knows of the spread of
	// failures over its nodes from before the last such time: two to four seconds are
	// known, no more than the window of the judge.
	spreadTime = 2 * time.Second
	// poorReports is the number of targets with failures from which on a node can be a
	// poor witness, and poorDivisor the part of all that it reported: half.
	poorReports = 4
	poorDivisor = 2
	// judgePause is the time between two judgements for each target that is judged: it
	// bounds their cost to an eighth of what a small member has. Up to 3,333 targets each
	// message to the leader is judged; 36,000 are judged each second.
	judgePause = 30 * time.Microsecond
)

// nodeReports counts what a node told lately: the targets that it reported, and those
// of them with failures.
type nodeReports struct{ targets, failing uint32 }

// failureSpread holds the failures of each target by the name of the node that saw them.
type failureSpread struct {
	failures map[directory.Token]map[string]uint32
	reports  map[string]nodeReports
}

func newFailureSpread() failureSpread {
	return failureSpread{failures: map[directory.Token]map[string]uint32{}, reports: map[string]nodeReports{}}
}

// outcomeTable holds how exchanges ended as nodes report it.
type outcomeTable struct {
	unsent map[directory.Token]directory.Outcomes
	// spread is that of the time since turnAt, before that of the time before it.
	spread, before failureSpread
	turnAt         kernel.Instant
	judge          *outlier.Detector
	// judgeAt is when the targets are judged next.
	judgeAt kernel.Instant
}

// newOutcomeTable begins anew with what the last leader left out.
func newOutcomeTable(now kernel.Instant, revision uint64, verdicts directory.Verdicts) outcomeTable {
	table := outcomeTable{
		unsent: map[directory.Token]directory.Outcomes{},
		spread: newFailureSpread(),
		before: newFailureSpread(),
		turnAt: now.Add(spreadTime),
		judge:  outlier.NewDetector(),
	}
	table.judge.Restore(now, revision, verdicts.Ejected, verdicts.Probation)
	return table
}

// add sums up the report of a node. The failures that a node sees at most of the
// targets that it reports are its own: its link, or its process, is choked.
func (o *outcomeTable) add(now kernel.Instant, node string, list []directory.Outcomes) {
	o.turn(now)
	o.countReports(node, list)
	if o.isPoorWitness(node) {
		return
	}
	for _, counted := range list {
		sum := o.unsent[counted.Token]
		sum.Token = counted.Token
		o.unsent[counted.Token] = sum.Add(counted)
		if failures := outlier.CountOf(counted).Failures; failures > 0 {
			o.noteFailures(node, counted.Token, failures)
		}
	}
}

func (o *outcomeTable) turn(now kernel.Instant) {
	if now.Before(o.turnAt) {
		return
	}
	if now.Sub(o.turnAt) >= spreadTime {
		o.spread = newFailureSpread()
	}
	o.before = o.spread
	o.spread = newFailureSpread()
	o.turnAt = now.Add(spreadTime)
}

func (o *outcomeTable) countReports(node string, list []directory.Outcomes) {
	known := o.spread.reports[node]
	for _, counted := range list {
		known.targets++
		if outlier.CountOf(counted).Failures > 0 {
			known.failing++
		}
	}
	o.spread.reports[node] = known
}

// isPoorWitness reports whether a node has lately seen failures at most targets.
func (o *outcomeTable) isPoorWitness(node string) bool {
	lately, before := o.spread.reports[node], o.before.reports[node]
	failing := lately.failing + before.failing
	return failing >= poorReports && failing*poorDivisor > lately.targets+before.targets
}

func (o *outcomeTable) noteFailures(node string, token directory.Token, failures uint32) {
	byNode, known := o.spread.failures[token]
	if !known {
		byNode = map[string]uint32{}
		o.spread.failures[token] = byNode
	}
	byNode[node] += failures
}

// take returns the sums since the last call.
func (o *outcomeTable) take(now kernel.Instant) []outlier.Report {
	o.turn(now)
	reports := make([]outlier.Report, 0, len(o.unsent))
	for token, sum := range o.unsent {
		report := outlier.Report{Outcomes: sum}
		report.FailingNodes, report.RecentFailures, report.TopFailures, report.TopNode = o.spreadOf(token)
		reports = append(reports, report)
	}
	clear(o.unsent)
	slices.SortFunc(reports, func(a, b outlier.Report) int { return cmp.Compare(a.Token, b.Token) })
	return reports
}

// spreadOf returns the number of nodes that lately saw failures of a target, that of
// these failures, those that the node with the most of them saw, and its key.
func (o *outcomeTable) spreadOf(token directory.Token) (nodes, seen, most, witness uint32) {
	byNode := maps.Clone(o.spread.failures[token])
	if byNode == nil {
		byNode = map[string]uint32{}
	}
	for node, failures := range o.before.failures[token] {
		byNode[node] += failures
	}
	for node, failures := range byNode {
		seen += failures
		key := directory.NodeKey(node)
		if failures > most || failures == most && key < witness {
			most, witness = failures, key
		}
	}
	return uint32(len(byNode)), seen, most, witness
}

// noteOutcomes enters a member's sums into the leader's.
func (c *Core) noteOutcomes(now kernel.Instant, seen observations) {
	for _, report := range seen.Outcomes {
		c.outcomes.judge.AddReport(now, seen.From, report)
	}
}

// ejectOutliers adds the targets that fail their work to the verdicts. Those that take
// no new flows anyway, also in evacuated zones, or are held for lost, are not judged and
// forgotten; they bear nothing, so they do not count in the share that may be left out.
func (c *Core) ejectOutliers(now kernel.Instant, next *leaderVerdicts) {
	if now.Before(c.outcomes.judgeAt) {
		next.Ejected = c.liveness.verdicts.Ejected
		next.Probation = c.liveness.verdicts.Probation
		return
	}
	var targets []outlier.Target
	c.state.EachTarget(func(target *directory.Target) {
		if target.State == directory.TargetReady && !slices.Contains(next.Lost, target.Token) && !c.state.Evacuation(target.Zone).Active {
			targets = append(targets, c.judged(now, target))
		}
	})
	c.outcomes.judgeAt = now.Add(time.Duration(len(targets)) * judgePause)
	decision := c.outcomes.judge.Decide(now, targets)
	next.Ejected = decision.Ejected
	next.Probation = decision.Probation
	for _, change := range decision.Changes {
		c.logOutlier(change)
	}
	for _, change := range decision.Versions {
		c.logVersion(change)
	}
}

// judged returns what the judge needs to know of a target. One that is cold, or was within
// the judge's window, tells nothing of its version.
func (c *Core) judged(now kernel.Instant, target *directory.Target) outlier.Target {
	return outlier.Target{
		Token: target.Token, Service: target.Service, Zone: target.Zone, Order: c.state.TargetOrder(target.ID),
		Version: target.Version, VersionRule: c.state.VersionOrder(target.ServiceVersion()).Rule, RegisteredAt: target.Revision, Slots: target.Slots,
		WarmingUp: target.Warmup != nil && c.warmups.leftOf(now, *target) > -outlier.WindowTime,
	}
}

func (c *Core) logOutlier(change outlier.Change) {
	target, _ := c.state.TargetByToken(change.Token)
	fields := []any{"target", target.ID, "token", target.Token, "service", target.Service, "zone", target.Zone}
	switch change.Kind {
	case outlier.Ejected:
		fields = append(fields, "reason", failedText(change.Count), "nodes", change.FailingNodes, "usual_share", shareText(change.Baseline), "hold", change.Hold)
		c.logEvent(eventlog.TargetEjected, fields...)
	case outlier.OnProbation:
		c.logEvent(eventlog.TargetOnProbation, fields...)
	case outlier.Readmitted:
		c.logEvent(eventlog.TargetReadmitted, append(fields, "reason", failedText(change.Count))...)
	}
}

func (c *Core) logVersion(change outlier.VersionChange) {
	fields := []any{"service", change.Service, "version", change.Version, "targets", change.Targets, "cause", change.Cause}
	if change.Count.Exchanges > 0 {
		fields = append(fields, "reason", failedText(change.Count))
	}
	switch change.Kind {
	case outlier.Ejected:
		c.logEvent(eventlog.VersionHeld, append(fields, "usual_share", shareText(change.Baseline), "hold", change.Hold)...)
	case outlier.OnProbation:
		c.logEvent(eventlog.VersionOnTrial, fields...)
	case outlier.Readmitted:
		c.logEvent(eventlog.VersionReadmitted, fields...)
	}
}

// failedText returns a count as words for operators.
func failedText(count outlier.Count) string {
	return fmt.Sprintf("%d of %d exchanges ended unanswered", count.Failures, count.Exchanges)
}

func shareText(share float64) string { return fmt.Sprintf("%.3f", share) }

// smallestReport is the encoded size in bytes of a report with small counts. A member
// of nine, with 1,200 exchanges a second in all, sends the leader 1.5 kB/s of them.
const smallestReport = 11

func encodeReports(encoder *wire.Encoder, reports []outlier.Report) {
	encoder.Uint32(uint32(len(reports)))
	for _, report := range reports {
		encoder.Uint32(uint32(report.Token))
		for _, number := range []uint32{report.Answered, report.Unanswered, report.Short, report.Slow, report.FailingNodes, report.RecentFailures, report.TopFailures} {
			encoder.CompactUint32(number)
		}
		if report.TopFailures > 0 {
			encoder.Uint32(report.TopNode)
		}
	}
}

func decodeReports(decoder *wire.Decoder) []outlier.Report {
	var reports []outlier.Report
	for count := decoder.Count(smallestReport); count > 0; count-- {
		report := outlier.Report{Outcomes: directory.Outcomes{Token: directory.Token(decoder.Uint32())}}
		for _, number := range []*uint32{&report.Answered, &report.Unanswered, &report.Short, &report.Slow, &report.FailingNodes, &report.RecentFailures, &report.TopFailures} {
			*number = decoder.CompactUint32()
		}
		if report.TopFailures > 0 {
			report.TopNode = decoder.Uint32()
		}
		reports = append(reports, report)
	}
	return reports
}
