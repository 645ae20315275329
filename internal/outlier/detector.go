package outlier

import (
	"cmp"
	"slices"
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

const (
	// ejectedShareDivisor bounds the targets of a service that are left out at once to
	// one part in so many: the others then bear half as much again, which they can
	// while they are at most two thirds busy. A service of two has none left out.
	ejectedShareDivisor = 3
	// zoneShareDivisor bounds those of a zone to half, one at least: what ails a whole
	// zone is more likely the way to it, and callers near it are served best there.
	zoneShareDivisor = 2
)

// Target is a target that may be judged.
type Target struct {
	Token         directory.Token
	Service, Zone string
	// Order is what an operator has ordered about it.
	Order directory.TargetOrder
	// Version is that of its software, empty where it states none, and VersionRule what
	// an operator has ordered about that.
	Version     string
	VersionRule directory.VersionRule
	// RegisteredAt is the log position at which it registered.
	RegisteredAt uint64
	// Slots is the number of requests that it works on at once.
	Slots uint32
	// WarmingUp is set while it has just started or had until lately: what it shows then tells
	// nothing of its version.
	WarmingUp bool
}

// ChangeKind tells what became of a target.
type ChangeKind uint8

// The kinds of changes.
const (
	Ejected ChangeKind = iota
	OnProbation
	Readmitted
)

// Change tells what became of a target and why.
type Change struct {
	Kind  ChangeKind
	Token directory.Token
	// Count is what was seen of the target, and Nodes the nodes that saw failures.
	Count        Count
	FailingNodes uint32
	// Baseline is the part of the exchanges that fails at the service's other targets.
	Baseline float64
	// Hold is how long the target is left out at least.
	Hold time.Duration
}

// Decision says which targets get no new flows, and which get a few.
type Decision struct {
	Ejected, Probation []directory.Token
	Changes            []Change
	// Versions tells what became of versions.
	Versions []VersionChange
}

// Detector judges the targets of a fleet. One goroutine owns it.
type Detector struct {
	records map[directory.Token]*record
	// versions holds those of services with more than one.
	versions map[directory.ServiceVersion]*version
	// trials holds what is seen of the targets of versions on trial.
	trials map[directory.Token]*record
	// inherited holds what the judge before left out, until the first decision.
	inherited map[directory.Token]bool
	// knownRevision is the log position up to which orders were obeyed by the judge
	// before.
	knownRevision uint64
}

// NewDetector returns a judge that knows nothing.
func NewDetector() *Detector {
	return &Detector{records: map[directory.Token]*record{}, versions: map[directory.ServiceVersion]*version{}}
}

// Restore takes over what another judge has decided. Its reasons are not known: what
// it left out stays so for the shortest time, then it is tried. Orders up to a log
// position were obeyed by then.
func (j *Detector) Restore(now kernel.Instant, revision uint64, ejected, probation []directory.Token) {
	j.knownRevision = revision
	j.inherited = map[directory.Token]bool{}
	for _, token := range slices.Concat(ejected, probation) {
		j.inherited[token] = true
	}
	for _, token := range ejected {
		j.record(token).eject(now)
	}
	for _, token := range probation {
		kept := j.record(token)
		kept.ejections = 1
		kept.try(now)
	}
}

// AddReport enters a member's report.
func (j *Detector) AddReport(now kernel.Instant, from string, report Report) {
	j.record(report.Token).note(now, from, report)
	if trial, exists := j.trials[report.Token]; exists {
		trial.note(now, from, report)
	}
}

func (j *Detector) record(token directory.Token) *record {
	known, exists := j.records[token]
	if !exists {
		known = newRecord()
		j.records[token] = known
	}
	return known
}

// Decide judges the targets; those that are not among them are forgotten.
func (j *Detector) Decide(now kernel.Instant, targets []Target) Decision {
	var decision Decision
	kept := make(map[directory.Token]*record, len(j.records))
	for _, target := range targets {
		if known, exists := j.records[target.Token]; exists && !known.isIdle(now) {
			kept[target.Token] = known
		}
	}
	j.records = kept
	for _, service := range byService(targets) {
		slices.SortFunc(service, func(a, b Target) int { return cmp.Compare(a.Token, b.Token) })
		service = j.decideVersions(now, service, &decision)
		j.decideService(now, service, &decision)
	}
	j.forgetVersions(now)
	j.inherited = nil
	decision.sort()
	return decision
}

// byService returns the targets of each service.
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

// sort puts the lists in a fixed order, so that a simulated run repeats.
func (d *Decision) sort() {
	slices.Sort(d.Ejected)
	slices.Sort(d.Probation)
	slices.SortStableFunc(d.Changes, func(a, b Change) int { return cmp.Compare(a.Token, b.Token) })
	slices.SortStableFunc(d.Versions, func(a, b VersionChange) int { return cmp.Compare(a.Service, b.Service) })
}

// decideService judges the targets of one service.
func (j *Detector) decideService(now kernel.Instant, targets []Target, decision *Decision) {
	usual, known := j.reference(now, targets)
	judged := make([]Target, 0, len(targets))
	for _, target := range targets {
		if !j.obey(now, target) {
			continue
		}
		judged = append(judged, target)
		if kept, exists := j.records[target.Token]; exists {
			j.advance(now, target, kept, usual, known, decision)
		}
	}
	if known {
		j.ejectWorst(now, targets, judged, usual, decision)
	}
	for _, target := range targets {
		kept, exists := j.records[target.Token]
		switch {
		case !exists:
		case kept.stage == ejected:
			decision.Ejected = append(decision.Ejected, target.Token)
		case kept.stage == onProbation:
			decision.Probation = append(decision.Probation, target.Token)
		}
	}
}

// reference returns what is usual among the targets of a service, by the last seconds
// or by the last one, whichever is worse: a common cause shows at once.
func (j *Detector) reference(now kernel.Instant, targets []Target) (float64, bool) {
	var long, recent []Count
	j.eachFair(targets, func(kept *record) {
		long = append(long, kept.window.Total(now))
		recent = append(recent, kept.window.Recent(now))
	})
	usual, known := Baseline(long)
	lately, _ := Baseline(recent)
	usual = max(usual, lately)
	return usual, known && usual < commonShare
}

// eachFair visits the records of the targets that tell what is usual.
func (j *Detector) eachFair(targets []Target, visit func(kept *record)) {
	for _, target := range targets {
		if kept, exists := j.records[target.Token]; exists && kept.stage == fair {
			visit(kept)
		}
	}
}

// advance ends a hold or a probation.
func (j *Detector) advance(now kernel.Instant, target Target, kept *record, usual float64, known bool, decision *Decision) {
	switch {
	case kept.stage == ejected && now >= kept.until:
		kept.try(now)
		decision.Changes = append(decision.Changes, Change{Kind: OnProbation, Token: target.Token, Baseline: usual})
	case kept.stage == onProbation && known:
		j.endProbation(now, target, kept, usual, decision)
	case kept.stage == onProbation && now >= kept.until:
		j.readmit(now, target, kept, usual, decision)
	}
}

// endProbation gives the verdict on a target that was tried, once there is one.
func (j *Detector) endProbation(now kernel.Instant, target Target, kept *record, usual float64, decision *Decision) {
	switch {
	case kept.trial().isIll(usual):
		kept.shown = kept.shown.Add(kept.tried)
		j.eject(now, target, kept, usual, decision)
	case kept.trial().isWell(usual) || now >= kept.until:
		j.readmit(now, target, kept, usual, decision)
	}
}

func (j *Detector) eject(now kernel.Instant, target Target, kept *record, usual float64, decision *Decision) {
	change := Change{Kind: Ejected, Token: target.Token, Count: kept.window.Total(now), Baseline: usual}
	_, change.FailingNodes = kept.failures(now)
	change.Hold = kept.eject(now)
	decision.Changes = append(decision.Changes, change)
}

func (j *Detector) readmit(now kernel.Instant, target Target, kept *record, usual float64, decision *Decision) {
	change := Change{Kind: Readmitted, Token: target.Token, Count: kept.tried, Baseline: usual}
	kept.readmit(now)
	decision.Changes = append(decision.Changes, change)
}
