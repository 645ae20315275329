package outlier

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

// A version of a service's software is judged against the versions that registered
// before it, in the same zones and the same time. One that is worse beyond chance is
// held: its targets get no new flows while the others can bear the service, and later
// a few of them are tried.

const (
	// bearDivisor is the part of a service's slots, one in so many, that must be left to
	// its other versions while one is held.
	bearDivisor = 2
	// fewestTargets is the number of a version's targets from which on it is judged: of
	// one target nothing tells whether it or its version is ill.
	fewestTargets = 2
	// trialDivisor is the part of a held version's targets that are tried at once, and
	// fewestTrials their least number: what is still ill fails few callers.
	trialDivisor = 10
	fewestTrials = 3
)

// VersionCause says why a version is held or not.
type VersionCause uint8

// The causes.
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

// String returns the cause as words for operators.
func (v VersionCause) String() string {
	names := [...]string{
		"it fails its work far more than the version before", "ordered", "held by the leader before", "the hold is over", "it serves again",
		"nothing tells that it fails", "the other versions do not bear the service", "there is no other version",
	}
	if int(v) >= len(names) {
		return "unknown"
	}
	return names[v]
}

// VersionChange tells what became of a version and why.
type VersionChange struct {
	Kind ChangeKind
	directory.ServiceVersion
	Cause VersionCause
	// Count is what was seen of the version, and Usual the part of the exchanges that is
	// to be expected to fail by the versions before.
	Count    Count
	Baseline float64
	// Targets is the number of the version's targets.
	Targets int
	// Hold is how long the version is held at least.
	Hold time.Duration
}

// version is what is known of a version.
type version struct {
	standing
	// decidedAt is when it was judged last.
	decidedAt kernel.Instant
	// since is the log position at which its first target registered.
	since uint64
	// shown is what it was found worse by.
	shown Count
	// byHand is set while an operator holds it.
	byHand bool
	// trials counts the probations, and tried holds what is seen of the targets on trial.
	trials int
	tried  map[directory.Token]*record
}

// sibling is one of the versions of a service.
type sibling struct {
	*version
	name    directory.ServiceVersion
	rule    directory.VersionRule
	targets []Target
}

// siblingsOf returns the versions of a service in the order of their first targets. Where
// all targets state the same one, or none, there is nothing to judge.
func (j *Detector) siblingsOf(now kernel.Instant, targets []Target) []*sibling {
	if !j.hasVersions(targets) {
		return nil
	}
	byName := map[string]*sibling{}
	for _, target := range targets {
		if target.Version == "" {
			continue
		}
		known, exists := byName[target.Version]
		if !exists {
			name := directory.ServiceVersion{Service: target.Service, Version: target.Version}
			known = &sibling{version: j.version(now, name, target.RegisteredAt), name: name, rule: target.VersionRule}
			byName[target.Version] = known
		}
		known.since = min(known.since, target.RegisteredAt)
		known.targets = append(known.targets, target)
	}
	return slices.SortedFunc(maps.Values(byName), func(a, b *sibling) int {
		return cmp.Or(cmp.Compare(a.since, b.since), cmp.Compare(a.name.Version, b.name.Version))
	})
}

// hasVersions reports whether the targets of a service state several versions, or one
// that is held or ordered to be.
func (j *Detector) hasVersions(targets []Target) bool {
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
	known, exists := j.versions[directory.ServiceVersion{Service: targets[0].Service, Version: first}]
	return exists && known.stage != fair
}

func (j *Detector) version(now kernel.Instant, name directory.ServiceVersion, since uint64) *version {
	known, exists := j.versions[name]
	if !exists {
		known = &version{since: since}
		j.versions[name] = known
	}
	known.decidedAt = now
	return known
}

// forgetVersions forgets the versions that were not judged, and notes which targets are
// on trial.
func (j *Detector) forgetVersions(now kernel.Instant) {
	maps.DeleteFunc(j.versions, func(_ directory.ServiceVersion, known *version) bool { return known.decidedAt != now })
	j.trials = map[directory.Token]*record{}
	for _, known := range j.versions {
		maps.Copy(j.trials, known.tried)
	}
}

// HeldVersions returns the number of versions that are held.
func (j *Detector) HeldVersions() int {
	held := 0
	for _, known := range j.versions {
		if known.stage != fair {
			held++
		}
	}
	return held
}

// decideVersions judges the versions of a service. It returns the targets that are left
// to be judged one by one.
func (j *Detector) decideVersions(now kernel.Instant, targets []Target, decision *Decision) []Target {
	siblings := j.siblingsOf(now, targets)
	isHeld := false
	for position, one := range siblings {
		if change := j.advanceVersion(now, targets, siblings, position); change != nil {
			change.ServiceVersion, change.Targets = one.name, len(one.targets)
			decision.Versions = append(decision.Versions, *change)
		}
		isHeld = isHeld || one.stage != fair
		one.tell(decision)
	}
	if !isHeld {
		return targets
	}
	return slices.DeleteFunc(targets, func(target Target) bool {
		known, exists := j.versions[directory.ServiceVersion{Service: target.Service, Version: target.Version}]
		return exists && known.holds(target)
	})
}

// holds reports whether one of the version's targets gets trial flows at most. What an
// operator has ordered about a single target comes first.
func (v *version) holds(target Target) bool {
	return v.stage != fair && target.Order.Rule == directory.RuleJudged
}

// tell enters the targets of a held version into the verdicts.
func (s *sibling) tell(decision *Decision) {
	if s.stage == fair {
		return
	}
	for _, target := range s.targets {
		if !s.holds(target) {
			continue
		}
		if _, onTrial := s.tried[target.Token]; onTrial {
			decision.Probation = append(decision.Probation, target.Token)
		} else {
			decision.Ejected = append(decision.Ejected, target.Token)
		}
	}
}

// advanceVersion brings a version to its next stage. It returns nil where it stays.
func (j *Detector) advanceVersion(now kernel.Instant, targets []Target, siblings []*sibling, position int) *VersionChange {
	one := siblings[position]
	if one.rule != directory.VersionJudged || one.byHand {
		return j.obeyVersion(now, one)
	}
	var older []Target
	for _, other := range siblings[:position] {
		if other.stage == fair {
			older = append(older, other.targets...)
		}
	}
	bears := bearsWithout(one, siblings, targets)
	switch {
	case one.stage == fair:
		if !bears || len(older) == 0 {
			return nil
		}
		return j.accuse(now, one, older)
	case len(siblings) == 1:
		return j.release(now, one, NoOtherVersion)
	case !bears:
		return j.release(now, one, InsufficientCapacity)
	case one.stage == ejected && now >= one.until:
		return one.try(now)
	case one.stage == onProbation:
		return j.endTrial(now, one, older)
	}
	return nil
}

// bearsWithout reports whether the targets of a service that are left bear it while a
// version is held.
func bearsWithout(one *sibling, siblings []*sibling, targets []Target) bool {
	var all, out uint64
	for _, target := range targets {
		all += uint64(target.Slots)
	}
	for _, other := range siblings {
		if other != one && other.stage == fair {
			continue
		}
		for _, target := range other.targets {
			out += uint64(target.Slots)
		}
	}
	return (all-out)*bearDivisor >= all
}

// obeyVersion carries out an operator's order. No share bounds it.
func (j *Detector) obeyVersion(now kernel.Instant, one *sibling) *VersionChange {
	hold := one.rule == directory.VersionHeld
	one.byHand = hold
	switch {
	case hold && one.stage == fair:
		return j.hold(now, one, VersionChange{Cause: OperatorOrder})
	case hold:
		one.stage = ejected
		one.tried = nil
		return nil
	case one.stage != fair:
		one.ejections = 0
		return j.release(now, one, OperatorOrder)
	}
	return nil
}

// accuse holds a version that is worse than the ones before it.
func (j *Detector) accuse(now kernel.Instant, one *sibling, older []Target) *VersionChange {
	if j.wasHeld(one) {
		return j.hold(now, one, VersionChange{Cause: HeldByPreviousLeader})
	}
	evidence, shown := j.versionEvidence(now, one.targets, older)
	if evidence < alarm {
		return nil
	}
	one.shown = shown
	return j.hold(now, one, VersionChange{Cause: HighFailureRate, Count: shown, Baseline: j.usualOf(now, older)})
}

// wasHeld reports whether another judge has left out the targets of the version, but for
// a few that may have registered since.
func (j *Detector) wasHeld(one *sibling) bool {
	out := 0
	for _, target := range one.targets {
		if j.inherited[target.Token] {
			out++
		}
	}
	return len(one.targets) >= fewestTargets && len(one.targets)-out <= len(one.targets)/trimDivisor
}

// hold leaves out the targets of a version.
func (j *Detector) hold(now kernel.Instant, one *sibling, change VersionChange) *VersionChange {
	j.forgetTargets(one)
	change.Kind = Ejected
	change.Hold = one.eject(now)
	one.tried = nil
	return &change
}

// release sends new flows to a version as to the others.
func (j *Detector) release(now kernel.Instant, one *sibling, cause VersionCause) *VersionChange {
	change := VersionChange{Kind: Readmitted, Cause: cause, Count: one.trial(now).count}
	j.forgetTargets(one)
	one.readmit(now)
	one.tried = nil
	return &change
}

// forgetTargets forgets what was seen of each of a version's targets: the stages of the
// version come first, and what came before counts no more after them.
func (j *Detector) forgetTargets(one *sibling) {
	for _, target := range one.targets {
		if target.Order.Rule == directory.RuleJudged {
			delete(j.records, target.Token)
		}
	}
}

// try sends a few flows to some of a version's targets, to others each time. Cold ones
// tell nothing.
func (s *sibling) try(now kernel.Instant) *VersionChange {
	var warm []Target
	for _, target := range s.targets {
		if !target.WarmingUp && target.Order.Rule == directory.RuleJudged {
			warm = append(warm, target)
		}
	}
	if len(warm) == 0 {
		return nil
	}
	s.beginProbation(now)
	s.tried = map[directory.Token]*record{}
	count := min(len(warm), max(fewestTrials, len(warm)/trialDivisor))
	for number := range count {
		s.tried[warm[(s.trials*count+number)%len(warm)].Token] = newRecord()
	}
	s.trials++
	return &VersionChange{Kind: OnProbation, Cause: HoldExpired}
}

// endTrial gives the verdict on a version that was tried, once there is one.
func (j *Detector) endTrial(now kernel.Instant, one *sibling, older []Target) *VersionChange {
	usual := j.usualOf(now, older)
	judged := usual < commonShare
	trial := one.trial(now)
	switch {
	case judged && trial.isIll(usual), now >= one.until && trial.leansIll(usual):
		one.shown = one.shown.Add(trial.count)
		return j.hold(now, one, VersionChange{Cause: HighFailureRate, Count: trial.count, Baseline: usual})
	case judged && trial.isWell(usual):
		return j.release(now, one, Recovered)
	case now >= one.until:
		return j.release(now, one, Inconclusive)
	}
	return nil
}
