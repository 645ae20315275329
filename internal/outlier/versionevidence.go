package outlier

import (
	"cmp"
	"slices"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

// versionExcess is the failure rate above the baseline that the test for a failing
// version assumes. Ejecting a version that fails less often is not worth the load it adds
// to the others.
const versionExcess = 0.2

// suffixSums holds the summed counts of some targets for each suffix of the window.
type suffixSums [windowBuckets]Count

func (s *suffixSums) add(rec *targetRecord, capFailures func(suffix Count) Count) {
	rec.window.eachSuffix(func(suffix Count, buckets int) bool {
		s[buckets-1] = s[buckets-1].Add(capFailures(suffix))
		return true
	})
}

// zoneComparison compares a version with the earlier ones within one zone, so that a
// failing zone is not attributed to the version that most of its targets run.
type zoneComparison struct {
	newer, older suffixSums
	// spread is the distribution of the newer targets' failures over nodes.
	spread *failureSpread
}

// versionEvidence returns the highest log-likelihood ratio over the suffixes of the
// window, and the count that produced it, for a version that fails versionExcess above
// the baseline of the earlier versions.
func (d *Detector) versionEvidence(now kernel.Instant, newer, older []Target) (highest float64, peak Count) {
	zones := d.compareZones(now, newer, older)
	for buckets := range windowBuckets {
		var ratio float64
		var sum Count
		for _, zone := range zones {
			baseline := versionBaseline(zone.older[buckets])
			if baseline >= maxBaseline {
				continue
			}
			count := zone.newer[buckets]
			count.Failures = zone.spread.discount(count.Failures)
			ratio += logLikelihoodRatio(count, baseline, versionExcess)
			sum = sum.Add(count)
		}
		if ratio > highest {
			highest, peak = ratio, sum
		}
	}
	return highest, peak
}

// compareZones sums the counts of the newer and older targets by zone. It returns nil if
// there is no evidence against the newer ones: too few are warm, or none had a failure.
func (d *Detector) compareZones(now kernel.Instant, newer, older []Target) []*zoneComparison {
	warm := d.warmTargets(now, newer)
	if len(warm) < minTargets || !slices.ContainsFunc(warm, func(target warmTarget) bool { return target.record.window.total.Failures > 0 }) {
		return nil
	}
	slices.SortStableFunc(warm, func(a, b warmTarget) int {
		return cmp.Compare(a.record.window.total.FailureRate(), b.record.window.total.FailureRate())
	})
	zones := map[string]*zoneComparison{}
	var inOrder []*zoneComparison
	better := len(warm) - trimCount(len(warm))
	for position, target := range warm {
		zone, known := zones[target.zone]
		if !known {
			zone = &zoneComparison{spread: newFailureSpread()}
			zones[target.zone] = zone
			inOrder = append(inOrder, zone)
		}
		zone.newer.add(target.record, failureCap(position >= better))
		zone.spread.add(now, target.record)
	}
	for _, target := range d.warmTargets(now, older) {
		// A window that was cleared at the start of a probation lacks the failures before
		// it, which would make the older version look better than it is.
		if zone, known := zones[target.zone]; known && target.record.hasFullWindow(now) {
			zone.older.add(target.record, failureCap(false))
		}
	}
	return inOrder
}

// warmTarget is a target whose exchanges are evidence about its version.
type warmTarget struct {
	record *targetRecord
	zone   string
}

// warmTargets returns the targets that have exchanges in the window, are not warming up
// and have no order of their own.
func (d *Detector) warmTargets(now kernel.Instant, targets []Target) []warmTarget {
	var warm []warmTarget
	for _, target := range targets {
		rec, exists := d.records[target.Token]
		if !exists || target.WarmingUp || target.Order.Rule != directory.RuleJudged || rec.window.Total(now).Exchanges == 0 {
			continue
		}
		warm = append(warm, warmTarget{record: rec, zone: target.Zone})
	}
	return warm
}

// trimCount returns how many of a version's targets have their failures capped, since
// they may fail independently of the version.
func trimCount(targets int) int { return (targets + trimDivisor - 1) / trimDivisor }

// versionBaseline returns the failure rate expected of a version from the counts of the
// earlier ones over the same period. One failure is added and the rate is doubled to
// allow for chance.
func versionBaseline(older Count) float64 {
	return baseFailureRate + baselineFactor*older.Add(Count{Exchanges: 1, Failures: 1}).FailureRate()
}

// windowBaseline returns the version baseline over the whole window and all zones.
func (d *Detector) windowBaseline(now kernel.Instant, older []Target) float64 {
	var sum Count
	for _, warm := range d.warmTargets(now, older) {
		sum = sum.Add(warm.record.window.total)
	}
	return versionBaseline(sum)
}

// probation returns the results of the trial. The failures of the worst targets are
// capped, and only independent failures count.
func (g *versionGroup) probation(now kernel.Instant) probation {
	var records []*targetRecord
	spread := newFailureSpread()
	for _, rec := range g.trialTargets {
		records = append(records, rec)
		spread.add(now, rec)
	}
	slices.SortFunc(records, func(a, b *targetRecord) int {
		return cmp.Compare(a.probationCount.FailureRate(), b.probationCount.FailureRate())
	})
	var count Count
	better := len(records) - trimCount(len(records))
	for position, rec := range records {
		count = count.Add(failureCap(position >= better)(rec.probationCount))
	}
	count.Failures = spread.discount(count.Failures)
	return probation{count: count, ejectionCount: g.ejectionCount, excess: versionExcess}
}
