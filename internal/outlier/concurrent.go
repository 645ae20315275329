package outlier

import (
	"cmp"
	"slices"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

// concurrentCounts sums the counts of a service's active targets over each suffix of the
// window. At the onset of a common failure the baseline still lags, but the other targets
// over the same period already show it.
type concurrentCounts struct {
	sums suffixSums
	// worst holds the targets with the highest failure rates, as many as may be ejected.
	// Their failures are capped so that they do not distort the comparison.
	worst map[*targetRecord]bool
}

// worstFailureCap is the number of failures counted for each of the worst targets. At the
// onset of a common failure a healthy target may be among them.
const worstFailureCap = 2

func (d *Detector) concurrentCounts(now kernel.Instant, targets []Target) *concurrentCounts {
	var records []*targetRecord
	d.eachActive(targets, func(rec *targetRecord) {
		if rec.window.Total(now).Exchanges > 0 {
			records = append(records, rec)
		}
	})
	slices.SortStableFunc(records, func(a, b *targetRecord) int {
		return cmp.Compare(a.window.total.FailureRate(), b.window.total.FailureRate())
	})
	c := &concurrentCounts{worst: map[*targetRecord]bool{}}
	better := len(records) - len(records)/trimDivisor
	for _, rec := range records[better:] {
		c.worst[rec] = true
	}
	for position, rec := range records {
		c.sums.add(rec, failureCap(position >= better))
	}
	return c
}

// failureCap returns a function that caps the failures of a count if the target is one of
// the worst.
func failureCap(worst bool) func(suffix Count) Count {
	return func(suffix Count) Count {
		if worst {
			suffix.Failures = min(suffix.Failures, worstFailureCap)
		}
		return suffix
	}
}

// baselineFor returns the failure rate expected of a target: the baseline or the failure
// rate of the other targets over the same period, whichever is higher. One failed exchange
// is added to the counts of the others, so that their rate is high while they have had few
// exchanges.
func (c *concurrentCounts) baselineFor(rec *targetRecord, baseline float64) baselineFunc {
	capFailures := failureCap(c.worst[rec])
	return func(suffix Count, buckets int) float64 {
		others := c.sums[buckets-1].Sub(capFailures(suffix))
		return max(baseline, others.Add(Count{Exchanges: 1, Failures: 1}).FailureRate())
	}
}
