package outlier

import (
	"cmp"
	"slices"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

// suspect is a target found to be failing.
type suspect struct {
	target   Target
	record   *targetRecord
	evidence float64
	count    Count
}

// ejectWorst ejects failing targets, those with the strongest evidence first, within the
// limits for the service and its zones. Only the eligible targets can be ejected, but the
// limits apply to all.
func (d *Detector) ejectWorst(now kernel.Instant, targets, eligible []Target, baseline float64, decision *Decision) {
	ejectedCount := 0
	zoneSizes, zoneEjected := map[string]int{}, map[string]int{}
	for _, target := range targets {
		zoneSizes[target.Zone]++
		rec, exists := d.records[target.Token]
		if !exists {
			continue
		}
		if rec.stage != active {
			ejectedCount++
			zoneEjected[target.Zone]++
		}
	}
	limit := len(targets) / ejectedShareDivisor
	if ejectedCount >= limit {
		return
	}
	suspects := d.suspects(now, targets, eligible, baseline)
	slices.SortStableFunc(suspects, func(a, b suspect) int { return cmp.Compare(b.evidence, a.evidence) })
	for _, suspect := range suspects {
		zone := suspect.target.Zone
		if ejectedCount >= limit {
			return
		}
		if len(zoneSizes) > 1 && zoneEjected[zone] >= max(1, zoneSizes[zone]/zoneShareDivisor) {
			continue
		}
		suspect.record.ejectionCount = suspect.count
		d.eject(now, suspect.target, suspect.record, baseline, decision)
		ejectedCount++
		zoneEjected[zone]++
	}
}

// suspects returns the eligible targets that are failing both by the baseline and compared
// with the other targets over the same period. The second comparison is made only for
// targets that are failing by the first.
func (d *Detector) suspects(now kernel.Instant, targets, eligible []Target, baseline float64) []suspect {
	var suspects []suspect
	var concurrent *concurrentCounts
	for _, target := range eligible {
		rec, exists := d.records[target.Token]
		if !exists || rec.stage != active {
			continue
		}
		evidence, peak := rec.evidence(now, func(Count, int) float64 { return baseline })
		if evidence < alarmThreshold {
			continue
		}
		if concurrent == nil {
			concurrent = d.concurrentCounts(now, targets)
		}
		if atOnset, _ := rec.evidence(now, concurrent.baselineFor(rec, baseline)); atOnset >= onsetThreshold {
			suspects = append(suspects, suspect{target: target, record: rec, evidence: evidence, count: peak})
		}
	}
	return suspects
}
