package outlier

import (
	"cmp"
	"slices"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

// worseShare is the part of its work that a version fails, beyond what is usual, for it to
// be worth holding: its targets' work then goes to the others for as long.
const worseShare = 0.2

// sums are the counts of some targets in the newest one, two and more buckets.
type sums [windowBuckets]Count

func (s *sums) add(kept *record, counted func(suffix Count) Count) {
	kept.window.eachSuffix(func(suffix Count, buckets int) bool {
		s[buckets-1] = s[buckets-1].Add(counted(suffix))
		return true
	})
}

// comparison holds a version against the ones before it within a zone: a fault of a zone
// is not one of the version that most of its targets have.
type comparison struct {
	newer, older sums
	// spread is that of the newer targets' failures.
	spread *spread
}

// versionEvidence returns the highest log of the likelihood ratio of a version that fails
// worseShare of what the ones before do not, to one that is as they are, over the suffixes
// of the window, and the count that has it.
func (j *Detector) versionEvidence(now kernel.Instant, newer, older []Target) (highest float64, shown Count) {
	zones := j.compare(now, newer, older)
	for buckets := range windowBuckets {
		var ratio float64
		var sum Count
		for _, zone := range zones {
			usual := usualBeside(zone.older[buckets])
			if usual >= commonShare {
				continue
			}
			count := zone.newer[buckets]
			count.Failures = zone.spread.believed(count.Failures)
			ratio += logRatio(count, usual, worseShare)
			sum = sum.Add(count)
		}
		if ratio > highest {
			highest, shown = ratio, sum
		}
	}
	return highest, shown
}

// compare sums up what versions show in each zone. It is empty when the newer one shows
// nothing that could hold it.
func (j *Detector) compare(now kernel.Instant, newer, older []Target) []*comparison {
	seen := j.warmOf(now, newer)
	if len(seen) < fewestTargets || !slices.ContainsFunc(seen, func(one warm) bool { return one.kept.window.total.Failures > 0 }) {
		return nil
	}
	slices.SortStableFunc(seen, func(a, b warm) int {
		return cmp.Compare(a.kept.window.total.FailureRate(), b.kept.window.total.FailureRate())
	})
	zones := map[string]*comparison{}
	var inOrder []*comparison
	better := len(seen) - worstOf(len(seen))
	for position, one := range seen {
		zone, known := zones[one.zone]
		if !known {
			zone = &comparison{spread: newSpread()}
			zones[one.zone] = zone
			inOrder = append(inOrder, zone)
		}
		zone.newer.add(one.kept, countedOf(position >= better))
		zone.spread.add(now, one.kept)
	}
	for _, one := range j.warmOf(now, older) {
		// Without the failures for which it was ejected an older target looks well beside
		// newer ones that had the same.
		if zone, known := zones[one.zone]; known && one.kept.tellsWindow(now) {
			zone.older.add(one.kept, countedOf(false))
		}
	}
	return inOrder
}

// warm is a target whose exchanges tell of its version.
type warm struct {
	kept *record
	zone string
}

// warmOf returns the warm ones of some targets with exchanges.
func (j *Detector) warmOf(now kernel.Instant, targets []Target) []warm {
	var seen []warm
	for _, target := range targets {
		kept, exists := j.records[target.Token]
		if !exists || target.WarmingUp || target.Order.Rule != directory.RuleJudged || kept.window.Total(now).Exchanges == 0 {
			continue
		}
		seen = append(seen, warm{kept: kept, zone: target.Zone})
	}
	return seen
}

// worstOf returns the number of the worst of some targets of a version, of which few
// failures count: that many may be ill by themselves.
func worstOf(targets int) int { return (targets + trimDivisor - 1) / trimDivisor }

// usualBeside returns the part of the exchanges that is to be expected to fail, from what
// the versions before showed in the same time. One failure more counts, and twice what
// they showed: they may have been lucky.
func usualBeside(older Count) float64 {
	return usualShare + referenceFactor*older.Add(Count{Exchanges: 1, Failures: 1}).FailureRate()
}

// usualOf returns the same of some targets over the whole window.
func (j *Detector) usualOf(now kernel.Instant, older []Target) float64 {
	var sum Count
	for _, one := range j.warmOf(now, older) {
		sum = sum.Add(one.kept.window.total)
	}
	return usualBeside(sum)
}

// trial returns what the targets on trial show, of the worst third few failures.
func (s *sibling) trial(now kernel.Instant) trial {
	var seen []*record
	nodes := newSpread()
	for _, kept := range s.tried {
		seen = append(seen, kept)
		nodes.add(now, kept)
	}
	slices.SortFunc(seen, func(a, b *record) int { return cmp.Compare(a.tried.FailureRate(), b.tried.FailureRate()) })
	var count Count
	better := len(seen) - worstOf(len(seen))
	for position, kept := range seen {
		count = count.Add(countedOf(position >= better)(kept.tried))
	}
	count.Failures = nodes.believed(count.Failures)
	return trial{count: count, shown: s.shown, share: worseShare}
}
