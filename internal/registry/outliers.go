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

// Nodes count the outcomes of exchanges with targets. Members add up the counts of their
// nodes and the leader those of all members; it compares each target with the others of its
// service (package outlier). The counts are not replicated: a new leader starts without
// any, keeps the ejections of the previous one for a while, and then puts the ejected
// targets on probation.

const (
	// failureWindow is the period after which failure counts by node are rotated. The
	// current and the previous period together cover at most the detector's window.
	failureWindow = 2 * time.Second
	// A node is unreliable when at least minFailingTargets of the targets that it reported
	// failed, and these are more than the share 1/failingShareDivisor of all.
	minFailingTargets   = 4
	failingShareDivisor = 2
	// evaluationTimePerTarget, times the number of targets, is the time between two
	// evaluations. It limits the CPU time that the leader of a large fleet spends on them: up
	// to 3,333 targets are evaluated with each message of the members, 36,000 about once a
	// second.
	evaluationTimePerTarget = 30 * time.Microsecond
)

// nodeReports counts the targets that a node reported in a period, and those among them
// with failures.
type nodeReports struct{ targets, failing uint32 }

// failureSpread holds the failures of each target by the name of the reporting node.
type failureSpread struct {
	failures map[directory.Token]map[string]uint32
	reports  map[string]nodeReports
}

func newFailureSpread() failureSpread {
	return failureSpread{failures: map[directory.Token]map[string]uint32{}, reports: map[string]nodeReports{}}
}

// outcomeTable holds the outcomes of exchanges that nodes report.
type outcomeTable struct {
	unsent map[directory.Token]directory.Outcomes
	// spread covers the time since the last rotation, and previous the period before it.
	spread, previous failureSpread
	nextRotation     kernel.Instant
	detector         *outlier.Detector
	// nextEvaluation is when the targets are evaluated next.
	nextEvaluation kernel.Instant
}

// newOutcomeTable returns an empty table that keeps the ejections and probations of the
// previous leader.
func newOutcomeTable(now kernel.Instant, revision uint64, verdicts directory.Verdicts) outcomeTable {
	table := outcomeTable{
		unsent:       map[directory.Token]directory.Outcomes{},
		spread:       newFailureSpread(),
		previous:     newFailureSpread(),
		nextRotation: now.Add(failureWindow),
		detector:     outlier.NewDetector(),
	}
	table.detector.Restore(now, revision, verdicts.Ejected, verdicts.Probation)
	return table
}

// add adds the report of a node. A node with failures at most of its targets is probably at
// fault itself, for example because its link is congested, and is ignored.
func (o *outcomeTable) add(now kernel.Instant, node string, list []directory.Outcomes) {
	o.rotate(now)
	o.countReports(node, list)
	if o.isUnreliable(node) {
		return
	}
	for _, counted := range list {
		sum := o.unsent[counted.Token]
		sum.Token = counted.Token
		o.unsent[counted.Token] = sum.Add(counted)
		if failures := outlier.CountOf(counted).Failures; failures > 0 {
			o.addFailures(node, counted.Token, failures)
		}
	}
}

func (o *outcomeTable) rotate(now kernel.Instant) {
	if now.Before(o.nextRotation) {
		return
	}
	if now.Sub(o.nextRotation) >= failureWindow {
		o.spread = newFailureSpread()
	}
	o.previous = o.spread
	o.spread = newFailureSpread()
	o.nextRotation = now.Add(failureWindow)
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

// isUnreliable reports whether a node has recently seen failures at most of its targets.
func (o *outcomeTable) isUnreliable(node string) bool {
	recent, previous := o.spread.reports[node], o.previous.reports[node]
	failing := recent.failing + previous.failing
	return failing >= minFailingTargets && failing*failingShareDivisor > recent.targets+previous.targets
}

func (o *outcomeTable) addFailures(node string, token directory.Token, failures uint32) {
	byNode, known := o.spread.failures[token]
	if !known {
		byNode = map[string]uint32{}
		o.spread.failures[token] = byNode
	}
	byNode[node] += failures
}

// drain returns and clears the sums since the last call.
func (o *outcomeTable) drain(now kernel.Instant) []outlier.Report {
	o.rotate(now)
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

// spreadOf returns how many nodes recently saw failures of a target, how many failures they
// saw in all, and the largest count of a single node with the key of that node.
func (o *outcomeTable) spreadOf(token directory.Token) (nodes, total, top, topNode uint32) {
	byNode := maps.Clone(o.spread.failures[token])
	if byNode == nil {
		byNode = map[string]uint32{}
	}
	for node, failures := range o.previous.failures[token] {
		byNode[node] += failures
	}
	for node, failures := range byNode {
		total += failures
		key := directory.NodeKey(node)
		if failures > top || failures == top && key < topNode {
			top, topNode = failures, key
		}
	}
	return uint32(len(byNode)), total, top, topNode
}

// recordOutcomes adds a member's sums to the leader's.
func (c *Core) recordOutcomes(now kernel.Instant, seen observations) {
	for _, report := range seen.Outcomes {
		c.outcomes.detector.AddReport(now, seen.From, report)
	}
}

// ejectOutliers adds the targets to eject and those on probation to the verdicts; between
// two evaluations these stay the same. Targets without new flows are left out: those not
// ready, marked as lost or in evacuated zones. They do not count towards the limit on the
// share of ejected targets either.
func (c *Core) ejectOutliers(now kernel.Instant, next *leaderVerdicts) {
	if now.Before(c.outcomes.nextEvaluation) {
		next.Ejected = c.liveness.verdicts.Ejected
		next.Probation = c.liveness.verdicts.Probation
		return
	}
	var targets []outlier.Target
	c.state.EachTarget(func(target *directory.Target) {
		if target.State == directory.TargetReady && !slices.Contains(next.Lost, target.Token) && !c.state.Evacuation(target.Zone).Active {
			targets = append(targets, c.outlierTarget(now, target))
		}
	})
	c.outcomes.nextEvaluation = now.Add(time.Duration(len(targets)) * evaluationTimePerTarget)
	decision := c.outcomes.detector.Decide(now, targets)
	next.Ejected = decision.Ejected
	next.Probation = decision.Probation
	for _, change := range decision.Changes {
		c.logTargetChange(change)
	}
	for _, change := range decision.Versions {
		c.logVersionChange(change)
	}
}

// outlierTarget returns the detector's input for a target. The outcomes of a target that is
// cold, or was within the detector's window, are no evidence about its version.
func (c *Core) outlierTarget(now kernel.Instant, target *directory.Target) outlier.Target {
	return outlier.Target{
		Token: target.Token, Service: target.Service, Zone: target.Zone, Order: c.state.TargetOrder(target.ID),
		Version: target.Version, VersionRule: c.state.VersionOrder(target.ServiceVersion()).Rule, RegisteredAt: target.Revision, Slots: target.Slots,
		WarmingUp: target.Warmup != nil && c.warmups.remaining(now, *target) > -outlier.WindowTime,
	}
}

func (c *Core) logTargetChange(change outlier.Change) {
	target, _ := c.state.TargetByToken(change.Token)
	fields := []any{"target", target.ID, "token", target.Token, "service", target.Service, "zone", target.Zone}
	switch change.Kind {
	case outlier.Ejected:
		fields = append(fields, "reason", failureText(change.Count), "nodes", change.FailingNodes, "usual_share", shareText(change.Baseline), "hold", change.Hold)
		c.logEvent(eventlog.TargetEjected, fields...)
	case outlier.OnProbation:
		c.logEvent(eventlog.TargetOnProbation, fields...)
	case outlier.Readmitted:
		c.logEvent(eventlog.TargetReadmitted, append(fields, "reason", failureText(change.Count))...)
	}
}

func (c *Core) logVersionChange(change outlier.VersionChange) {
	fields := []any{"service", change.Service, "version", change.Version, "targets", change.Targets, "cause", change.Cause}
	if change.Count.Exchanges > 0 {
		fields = append(fields, "reason", failureText(change.Count))
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

// failureText returns a count as text for operators.
func failureText(count outlier.Count) string {
	return fmt.Sprintf("%d of %d exchanges ended unanswered", count.Failures, count.Exchanges)
}

func shareText(share float64) string { return fmt.Sprintf("%.3f", share) }

// minReportSize is the smallest encoded size of a report in bytes.
const minReportSize = 11

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
	for count := decoder.Count(minReportSize); count > 0; count-- {
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
