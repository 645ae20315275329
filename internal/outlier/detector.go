package outlier

import (
	"cmp"
	"slices"
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

const (
	// ejectedShareDivisor limits the targets of a service that are ejected or on probation
	// to 1/ejectedShareDivisor, so that the others get at most half as much load again. A
	// service with fewer targets than ejectedShareDivisor has none ejected.
	ejectedShareDivisor = 3
	// zoneShareDivisor limits them within a zone to 1/zoneShareDivisor, or to one target if
	// that is more: when a whole zone fails, the network path to it is the likelier cause.
	// The limit does not apply to a service in a single zone.
	zoneShareDivisor = 2
)

// Target describes a target to the detector.
type Target struct {
	Token         directory.Token
	Service, Zone string
	// Order is the operator's order for this target.
	Order directory.TargetOrder
	// Version is the target's software version, or empty if unknown. VersionRule is the
	// operator's rule for that version.
	Version     string
	VersionRule directory.VersionRule
	// RegisteredAt is the log position of the registration.
	RegisteredAt uint64
	// Slots is the number of requests that the target serves concurrently.
	Slots uint32
	// WarmingUp is set during warm-up and until its exchanges have left the window. They
	// are not evidence against the target's version.
	WarmingUp bool
}

// ChangeKind is the stage that a target or a version has entered.
type ChangeKind uint8

// The kinds of changes.
const (
	Ejected ChangeKind = iota
	OnProbation
	Readmitted
)

// Change is a change of a target's stage and its reason.
type Change struct {
	Kind  ChangeKind
	Token directory.Token
	// Count is the evidence, and FailingNodes the number of nodes that saw failures.
	Count        Count
	FailingNodes uint32
	// Baseline is the failure rate expected of a healthy target of the service.
	Baseline float64
	// Hold is the time from the ejection to the probation.
	Hold time.Duration
}

// Decision lists the ejected targets, those on probation, and what has changed since the
// previous decision.
type Decision struct {
	Ejected, Probation []directory.Token
	Changes            []Change
	Versions           []VersionChange
}

// Detector ejects failing targets and versions. It is not safe for concurrent use.
type Detector struct {
	records map[directory.Token]*targetRecord
	// versions holds the versions of services with more than one.
	versions map[directory.ServiceVersion]*versionRecord
	// trialRecords holds the counts of the targets that are on trial for their version.
	trialRecords map[directory.Token]*targetRecord
	// restored holds the targets ejected or on probation at the previous leader, until
	// the first decision.
	restored map[directory.Token]bool
	// appliedRevision is the log position up to which the previous leader applied orders.
	appliedRevision uint64
}

// NewDetector returns a detector without any counts.
func NewDetector() *Detector {
	return &Detector{records: map[directory.Token]*targetRecord{}, versions: map[directory.ServiceVersion]*versionRecord{}}
}

// Restore takes over the decisions of a previous leader. Since its evidence is unknown,
// ejected targets stay ejected for minHold before their probation. Orders up to the
// revision are not applied again.
func (d *Detector) Restore(now kernel.Instant, revision uint64, ejected, probation []directory.Token) {
	d.appliedRevision = revision
	d.restored = map[directory.Token]bool{}
	for _, token := range slices.Concat(ejected, probation) {
		d.restored[token] = true
	}
	for _, token := range ejected {
		d.targetRecord(token).eject(now)
	}
	for _, token := range probation {
		rec := d.targetRecord(token)
		rec.ejections = 1
		rec.startProbation(now)
	}
}

// AddReport adds a member's report.
func (d *Detector) AddReport(now kernel.Instant, from string, report Report) {
	d.targetRecord(report.Token).addReport(now, from, report)
	if trial, exists := d.trialRecords[report.Token]; exists {
		trial.addReport(now, from, report)
	}
}

func (d *Detector) targetRecord(token directory.Token) *targetRecord {
	rec, exists := d.records[token]
	if !exists {
		rec = newTargetRecord()
		d.records[token] = rec
	}
	return rec
}

// Decide updates the stages of the targets and versions and returns the result. Records
// of targets that are not listed are deleted.
func (d *Detector) Decide(now kernel.Instant, targets []Target) Decision {
	var decision Decision
	kept := make(map[directory.Token]*targetRecord, len(d.records))
	for _, target := range targets {
		if rec, exists := d.records[target.Token]; exists && !rec.isIdle(now) {
			kept[target.Token] = rec
		}
	}
	d.records = kept
	for _, service := range byService(targets) {
		slices.SortFunc(service, func(a, b Target) int { return cmp.Compare(a.Token, b.Token) })
		service = d.decideVersions(now, service, &decision)
		d.decideService(now, service, &decision)
	}
	d.pruneVersions(now)
	d.restored = nil
	decision.sort()
	return decision
}

// byService groups targets by service.
func byService(targets []Target) map[string][]Target {
	counts := map[string]int{}
	for _, target := range targets {
		counts[target.Service]++
	}
	services := make(map[string][]Target, len(counts))
	for service, count := range counts {
		services[service] = make([]Target, 0, count)
	}
	for _, target := range targets {
		services[target.Service] = append(services[target.Service], target)
	}
	return services
}

// sort makes the order of the lists deterministic.
func (d *Decision) sort() {
	slices.Sort(d.Ejected)
	slices.Sort(d.Probation)
	slices.SortStableFunc(d.Changes, func(a, b Change) int { return cmp.Compare(a.Token, b.Token) })
	slices.SortStableFunc(d.Versions, func(a, b VersionChange) int { return cmp.Compare(a.Service, b.Service) })
}

// decideService updates the targets of one service.
func (d *Detector) decideService(now kernel.Instant, targets []Target, decision *Decision) {
	baseline, known := d.baseline(now, targets)
	eligible := make([]Target, 0, len(targets))
	for _, target := range targets {
		if !d.applyOrder(now, target) {
			continue
		}
		eligible = append(eligible, target)
		if rec, exists := d.records[target.Token]; exists {
			d.advanceTarget(now, target, rec, baseline, known, decision)
		}
	}
	if known {
		d.ejectWorst(now, targets, eligible, baseline, decision)
	}
	for _, target := range targets {
		rec, exists := d.records[target.Token]
		switch {
		case !exists:
		case rec.stage == ejected:
			decision.Ejected = append(decision.Ejected, target.Token)
		case rec.stage == onProbation:
			decision.Probation = append(decision.Probation, target.Token)
		}
	}
}

// baseline returns the baseline of a service over the whole window or over the newest
// buckets, whichever is higher, so that failures with a common cause raise it at once. It
// returns false if no target may be ejected by it.
func (d *Detector) baseline(now kernel.Instant, targets []Target) (float64, bool) {
	var whole, recent []Count
	d.eachActive(targets, func(rec *targetRecord) {
		whole = append(whole, rec.window.Total(now))
		recent = append(recent, rec.window.Recent(now))
	})
	baseline, known := Baseline(whole)
	recentBaseline, _ := Baseline(recent)
	baseline = max(baseline, recentBaseline)
	return baseline, known && baseline < maxBaseline
}

// eachActive calls visit for the records of the active targets.
func (d *Detector) eachActive(targets []Target, visit func(rec *targetRecord)) {
	for _, target := range targets {
		if rec, exists := d.records[target.Token]; exists && rec.stage == active {
			visit(rec)
		}
	}
}

// advanceTarget ends an ejection or a probation when due.
func (d *Detector) advanceTarget(now kernel.Instant, target Target, rec *targetRecord, baseline float64, known bool, decision *Decision) {
	switch {
	case rec.stage == ejected && now >= rec.until:
		rec.startProbation(now)
		decision.Changes = append(decision.Changes, Change{Kind: OnProbation, Token: target.Token, Baseline: baseline})
	case rec.stage == onProbation && known:
		d.evaluateProbation(now, target, rec, baseline, decision)
	case rec.stage == onProbation && now >= rec.until:
		d.readmit(now, target, rec, baseline, decision)
	}
}

// evaluateProbation ends a probation once it has a result or times out.
func (d *Detector) evaluateProbation(now kernel.Instant, target Target, rec *targetRecord, baseline float64, decision *Decision) {
	switch {
	case rec.probation().stillFails(baseline):
		rec.ejectionCount = rec.ejectionCount.Add(rec.probationCount)
		d.eject(now, target, rec, baseline, decision)
	case rec.probation().hasRecovered(baseline) || now >= rec.until:
		d.readmit(now, target, rec, baseline, decision)
	}
}

func (d *Detector) eject(now kernel.Instant, target Target, rec *targetRecord, baseline float64, decision *Decision) {
	change := Change{Kind: Ejected, Token: target.Token, Count: rec.window.Total(now), Baseline: baseline}
	_, change.FailingNodes = rec.independentFailures(now)
	change.Hold = rec.eject(now)
	decision.Changes = append(decision.Changes, change)
}

func (d *Detector) readmit(now kernel.Instant, target Target, rec *targetRecord, baseline float64, decision *Decision) {
	change := Change{Kind: Readmitted, Token: target.Token, Count: rec.probationCount, Baseline: baseline}
	rec.readmit(now)
	decision.Changes = append(decision.Changes, change)
}
