package outlier

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

// A version of a service's software is compared with the versions that registered before
// it, in the same zones over the same period. One with a significantly higher failure
// rate is ejected, provided that the remaining targets have enough capacity. Later it is
// on probation, also called its trial, while some of its targets receive flows again. A
// version that is ejected or on probation is held.
const (
	// capacityDivisor sets the fraction of a service's slots, 1/capacityDivisor, that must
	// remain available while a version is held.
	capacityDivisor = 2
	// minTargets is the minimum number of targets needed to evaluate a version: with a
	// single one, a failure of the target cannot be told from one of the version.
	minTargets = 2
	// trialDivisor sets the fraction of a version's targets, 1/trialDivisor, that are in
	// its trial, and minTrialTargets their minimum number.
	trialDivisor    = 10
	minTrialTargets = 3
)

// VersionCause is the reason for a version's change of stage.
type VersionCause uint8

// The causes of version changes.
const (
	HighFailureRate VersionCause = iota
	OperatorOrder
	HeldByPreviousLeader
	HoldExpired
	Recovered
	Inconclusive
	InsufficientCapacity
	NoOtherVersion
)

// String returns the cause as shown to operators.
func (v VersionCause) String() string {
	names := [...]string{
		"it fails far more requests than the earlier versions", "ordered", "held by the previous leader", "the hold has expired", "it has recovered",
		"the trial was inconclusive", "the other versions lack capacity", "there is no other version",
	}
	if int(v) >= len(names) {
		return "unknown"
	}
	return names[v]
}

// VersionChange is a change of a version's stage and its reason.
type VersionChange struct {
	Kind ChangeKind
	directory.ServiceVersion
	Cause VersionCause
	// Count is the evidence, and Baseline the failure rate expected from the earlier
	// versions.
	Count    Count
	Baseline float64
	// Targets is the number of the version's targets.
	Targets int
	// Hold is the time from the ejection until the trial may start. It does not apply to
	// an ejection by an operator's order.
	Hold time.Duration
}

// versionRecord is the state kept for one version.
type versionRecord struct {
	ejectionState
	// evaluatedAt is the time of the last decision that included the version.
	evaluatedAt kernel.Instant
	// registeredAt is the log position at which its first target registered.
	registeredAt uint64
	// ejectionCount is the count for which the version was ejected.
	ejectionCount Count
	// byOperator is set while an operator's order holds the version.
	byOperator bool
	// trialCount is the number of trials so far. trialTargets holds the counts of the
	// targets in the current trial.
	trialCount   int
	trialTargets map[directory.Token]*targetRecord
}

// versionGroup is a version with its targets.
type versionGroup struct {
	*versionRecord
	name    directory.ServiceVersion
	rule    directory.VersionRule
	targets []Target
}

// versionGroups returns the versions of a service in the order of their first
// registration. It returns nil if there are no versions to compare.
func (d *Detector) versionGroups(now kernel.Instant, targets []Target) []*versionGroup {
	if !d.needsVersionCheck(targets) {
		return nil
	}
	byName := map[string]*versionGroup{}
	for _, target := range targets {
		if target.Version == "" {
			continue
		}
		group, exists := byName[target.Version]
		if !exists {
			name := directory.ServiceVersion{Service: target.Service, Version: target.Version}
			group = &versionGroup{versionRecord: d.versionRecord(now, name, target.RegisteredAt), name: name, rule: target.VersionRule}
			byName[target.Version] = group
		}
		group.registeredAt = min(group.registeredAt, target.RegisteredAt)
		group.targets = append(group.targets, target)
	}
	return slices.SortedFunc(maps.Values(byName), func(a, b *versionGroup) int {
		return cmp.Or(cmp.Compare(a.registeredAt, b.registeredAt), cmp.Compare(a.name.Version, b.name.Version))
	})
}

// needsVersionCheck reports whether a service has several versions, or one that is held
// or subject to an order.
func (d *Detector) needsVersionCheck(targets []Target) bool {
	first := ""
	for _, target := range targets {
		if target.Version == "" {
			continue
		}
		if target.VersionRule != directory.VersionJudged || first != "" && target.Version != first {
			return true
		}
		first = target.Version
	}
	known, exists := d.versions[directory.ServiceVersion{Service: targets[0].Service, Version: first}]
	return exists && known.stage != active
}

func (d *Detector) versionRecord(now kernel.Instant, name directory.ServiceVersion, registeredAt uint64) *versionRecord {
	known, exists := d.versions[name]
	if !exists {
		known = &versionRecord{registeredAt: registeredAt}
		d.versions[name] = known
	}
	known.evaluatedAt = now
	return known
}

// pruneVersions deletes the versions that were not part of the current decision and
// collects the targets of all trials.
func (d *Detector) pruneVersions(now kernel.Instant) {
	maps.DeleteFunc(d.versions, func(_ directory.ServiceVersion, known *versionRecord) bool { return known.evaluatedAt != now })
	d.trialRecords = map[directory.Token]*targetRecord{}
	for _, known := range d.versions {
		maps.Copy(d.trialRecords, known.trialTargets)
	}
}

// HeldVersions returns the number of versions that are held, that is, ejected or on
// probation.
func (d *Detector) HeldVersions() int {
	held := 0
	for _, known := range d.versions {
		if known.stage != active {
			held++
		}
	}
	return held
}

// decideVersions updates the versions of a service. It returns the targets that are to be
// evaluated individually.
func (d *Detector) decideVersions(now kernel.Instant, targets []Target, decision *Decision) []Target {
	groups := d.versionGroups(now, targets)
	anyHeld := false
	for position, group := range groups {
		if change := d.advanceVersion(now, targets, groups, position); change != nil {
			change.ServiceVersion, change.Targets = group.name, len(group.targets)
			decision.Versions = append(decision.Versions, *change)
		}
		anyHeld = anyHeld || group.stage != active
		group.appendTo(decision)
	}
	if !anyHeld {
		return targets
	}
	return slices.DeleteFunc(targets, func(target Target) bool {
		known, exists := d.versions[directory.ServiceVersion{Service: target.Service, Version: target.Version}]
		return exists && known.holds(target)
	})
}

// holds reports whether a target is held with its version. An order for an individual
// target takes precedence.
func (v *versionRecord) holds(target Target) bool {
	return v.stage != active && target.Order.Rule == directory.RuleJudged
}

// appendTo adds the targets of a held version to the decision.
func (g *versionGroup) appendTo(decision *Decision) {
	if g.stage == active {
		return
	}
	for _, target := range g.targets {
		if !g.holds(target) {
			continue
		}
		if _, onTrial := g.trialTargets[target.Token]; onTrial {
			decision.Probation = append(decision.Probation, target.Token)
		} else {
			decision.Ejected = append(decision.Ejected, target.Token)
		}
	}
}

// advanceVersion moves a version to its next stage. It returns nil if there is no change.
func (d *Detector) advanceVersion(now kernel.Instant, targets []Target, groups []*versionGroup, position int) *VersionChange {
	group := groups[position]
	if group.rule != directory.VersionJudged || group.byOperator {
		return d.applyVersionOrder(now, group)
	}
	var older []Target
	for _, other := range groups[:position] {
		if other.stage == active {
			older = append(older, other.targets...)
		}
	}
	hasCapacity := hasCapacityWithout(group, groups, targets)
	switch {
	case group.stage == active:
		if !hasCapacity || len(older) == 0 {
			return nil
		}
		return d.checkVersion(now, group, older)
	case len(groups) == 1:
		return d.readmitVersion(now, group, NoOtherVersion)
	case !hasCapacity:
		return d.readmitVersion(now, group, InsufficientCapacity)
	case group.stage == ejected && now >= group.until:
		return group.startTrial(now)
	case group.stage == onProbation:
		return d.evaluateTrial(now, group, older)
	}
	return nil
}

// hasCapacityWithout reports whether enough slots remain without those of the given
// version and of the held ones.
func hasCapacityWithout(group *versionGroup, groups []*versionGroup, targets []Target) bool {
	var all, unavailable uint64
	for _, target := range targets {
		all += uint64(target.Slots)
	}
	for _, other := range groups {
		if other != group && other.stage == active {
			continue
		}
		for _, target := range other.targets {
			unavailable += uint64(target.Slots)
		}
	}
	return (all-unavailable)*capacityDivisor >= all
}

// applyVersionOrder applies the operator's rule for a version, whatever capacity remains.
func (d *Detector) applyVersionOrder(now kernel.Instant, group *versionGroup) *VersionChange {
	hold := group.rule == directory.VersionHeld
	group.byOperator = hold
	switch {
	case hold && group.stage == active:
		return d.ejectVersion(now, group, VersionChange{Cause: OperatorOrder})
	case hold:
		group.stage = ejected
		group.trialTargets = nil
		return nil
	case group.stage != active:
		group.ejections = 0
		return d.readmitVersion(now, group, OperatorOrder)
	}
	return nil
}

// checkVersion ejects a version that fails more often than the earlier ones.
func (d *Detector) checkVersion(now kernel.Instant, group *versionGroup, older []Target) *VersionChange {
	if d.wasHeldBefore(group) {
		return d.ejectVersion(now, group, VersionChange{Cause: HeldByPreviousLeader})
	}
	evidence, peak := d.versionEvidence(now, group.targets, older)
	if evidence < alarmThreshold {
		return nil
	}
	group.ejectionCount = peak
	return d.ejectVersion(now, group, VersionChange{Cause: HighFailureRate, Count: peak, Baseline: d.windowBaseline(now, older)})
}

// wasHeldBefore reports whether the version was held at the previous leader. Some of its
// targets may have registered since.
func (d *Detector) wasHeldBefore(group *versionGroup) bool {
	restored := 0
	for _, target := range group.targets {
		if d.restored[target.Token] {
			restored++
		}
	}
	return len(group.targets) >= minTargets && len(group.targets)-restored <= len(group.targets)/trimDivisor
}

// ejectVersion ejects a version and returns the change, completed from the given one.
func (d *Detector) ejectVersion(now kernel.Instant, group *versionGroup, change VersionChange) *VersionChange {
	d.forgetTargets(group)
	change.Kind = Ejected
	change.Hold = group.eject(now)
	group.trialTargets = nil
	return &change
}

// readmitVersion makes a held version active.
func (d *Detector) readmitVersion(now kernel.Instant, group *versionGroup, cause VersionCause) *VersionChange {
	change := VersionChange{Kind: Readmitted, Cause: cause, Count: group.probation(now).count}
	d.forgetTargets(group)
	group.readmit(now)
	group.trialTargets = nil
	return &change
}

// forgetTargets deletes the records of a version's targets, except those with an order of
// their own, so that counts from before the change of stage are not used after it.
func (d *Detector) forgetTargets(group *versionGroup) {
	for _, target := range group.targets {
		if target.Order.Rule == directory.RuleJudged {
			delete(d.records, target.Token)
		}
	}
}

// startTrial starts a trial with some of the version's targets, the next ones in turn for
// each trial. Targets that are warming up or have an order of their own are not selected.
func (g *versionGroup) startTrial(now kernel.Instant) *VersionChange {
	var warm []Target
	for _, target := range g.targets {
		if !target.WarmingUp && target.Order.Rule == directory.RuleJudged {
			warm = append(warm, target)
		}
	}
	if len(warm) == 0 {
		return nil
	}
	g.enterProbation(now)
	g.trialTargets = map[directory.Token]*targetRecord{}
	count := min(len(warm), max(minTrialTargets, len(warm)/trialDivisor))
	for number := range count {
		g.trialTargets[warm[(g.trialCount*count+number)%len(warm)].Token] = newTargetRecord()
	}
	g.trialCount++
	return &VersionChange{Kind: OnProbation, Cause: HoldExpired}
}

// evaluateTrial ends the trial of a version once it has a result or times out.
func (d *Detector) evaluateTrial(now kernel.Instant, group *versionGroup, older []Target) *VersionChange {
	baseline := d.windowBaseline(now, older)
	comparable := baseline < maxBaseline
	result := group.probation(now)
	switch {
	case comparable && result.stillFails(baseline), now >= group.until && result.likelyFails(baseline):
		group.ejectionCount = group.ejectionCount.Add(result.count)
		return d.ejectVersion(now, group, VersionChange{Cause: HighFailureRate, Count: result.count, Baseline: baseline})
	case comparable && result.hasRecovered(baseline):
		return d.readmitVersion(now, group, Recovered)
	case now >= group.until:
		return d.readmitVersion(now, group, Inconclusive)
	}
	return nil
}
