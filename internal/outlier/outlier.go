// Package outlier detects the targets of a service whose failure rate exceeds that of the
// other targets, from exchange counts reported by many nodes. It does no I/O and takes
// the current time as an argument.
//
// A target is compared with the other targets of its service, not with a fixed failure
// rate: when all of them fail more often, the cause is shared, ejecting would not help,
// and no target is ejected.
package outlier

import (
	"cmp"
	"slices"

	"github.com/beamdoor/beamdoor/internal/directory"
)

// Count holds the number of exchanges and how many of them failed.
type Count struct{ Exchanges, Failures uint32 }

// CountOf converts reported outcomes to a Count. Slow answers count as successes: latency
// is handled by target selection.
func CountOf(outcomes directory.Outcomes) Count {
	failures := outcomes.Unanswered + outcomes.Short
	return Count{Exchanges: outcomes.Answered + outcomes.Slow + failures, Failures: failures}
}

// Add returns the sum of two counts.
func (c Count) Add(other Count) Count {
	return Count{Exchanges: c.Exchanges + other.Exchanges, Failures: c.Failures + other.Failures}
}

// Sub returns the difference of two counts.
func (c Count) Sub(part Count) Count {
	return Count{Exchanges: c.Exchanges - part.Exchanges, Failures: c.Failures - part.Failures}
}

// FailureRate returns the failed fraction of the exchanges, or 0 if there were none.
func (c Count) FailureRate() float64 {
	if c.Exchanges == 0 {
		return 0
	}
	return float64(c.Failures) / float64(c.Exchanges)
}

// smoothedRate estimates the failure rate by the rule of succession.
func (c Count) smoothedRate() float64 {
	return float64(c.Failures+1) / float64(c.Exchanges+2)
}

const (
	// baseFailureRate is the failure rate expected of a healthy target in a service
	// without other failures: lost packets and callers that disconnect. The failure rate
	// of the other targets is added to it.
	baseFailureRate = 0.005
	// trimDivisor excludes the worst 1/trimDivisor of the targets from the baseline, so
	// that as many failing targets as may be ejected do not raise it.
	trimDivisor = ejectedShareDivisor
	// baselineFactor compensates for trimming: healthy targets may be among those
	// excluded by chance, which makes the rest look better than they are.
	baselineFactor = 2
	// minBaselineExchanges is the minimum number of exchanges needed to compute a
	// baseline.
	minBaselineExchanges = 20
	// maxBaseline is the baseline from which on no target is ejected, since the failures
	// have a common cause.
	maxBaseline = 0.25
)

// Baseline returns the failure rate expected of a healthy target, computed from the
// counts of all targets of a service. It returns false if there are too few exchanges or
// if the baseline is so high that the failures have a common cause.
func Baseline(counts []Count) (float64, bool) {
	nonempty := make([]Count, 0, len(counts))
	for _, count := range counts {
		if count.Exchanges > 0 {
			nonempty = append(nonempty, count)
		}
	}
	slices.SortFunc(nonempty, func(a, b Count) int { return cmp.Compare(a.FailureRate(), b.FailureRate()) })
	var pooled Count
	for _, count := range nonempty[:len(nonempty)-len(nonempty)/trimDivisor] {
		pooled = pooled.Add(count)
	}
	baseline := baseFailureRate + baselineFactor*pooled.FailureRate()
	return baseline, pooled.Exchanges >= minBaselineExchanges && baseline < maxBaseline
}
