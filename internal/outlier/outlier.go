// Package outlier finds the targets of a service that fail their work while the
// others do not, from counts of how exchanges with them ended at many nodes. It
// decides without a clock or a network of its own.
//
// A target is judged against the other targets of its service, never against a
// fixed share of failures: when all of them fail more than usual, the cause is a
// common one, there is nowhere better to go, and none is left out.
package outlier

import (
	"cmp"
	"slices"

	"github.com/beamdoor/beamdoor/internal/directory"
)

// Count is what is known of some exchanges.
type Count struct{ Exchanges, Failures uint32 }

// CountOf returns how many exchanges there were and how many of them failed. A slow
// answer is an answer: where work goes by the time it takes is a matter of placement.
func CountOf(outcomes directory.Outcomes) Count {
	failures := outcomes.Unanswered + outcomes.Short
	return Count{Exchanges: outcomes.Answered + outcomes.Slow + failures, Failures: failures}
}

// Add returns the sum of two counts.
func (c Count) Add(other Count) Count {
	return Count{Exchanges: c.Exchanges + other.Exchanges, Failures: c.Failures + other.Failures}
}

// Sub returns what is left of a count without a part of it.
func (c Count) Sub(part Count) Count {
	return Count{Exchanges: c.Exchanges - part.Exchanges, Failures: c.Failures - part.Failures}
}

// FailureRate returns the part of the exchanges that failed; 0 where there were none.
func (c Count) FailureRate() float64 {
	if c.Exchanges == 0 {
		return 0
	}
	return float64(c.Failures) / float64(c.Exchanges)
}

// expected returns the part of further exchanges that is to be expected to fail, by the
// rule of succession.
func (c Count) expected() float64 {
	return float64(c.Failures+1) / float64(c.Exchanges+2)
}

const (
	// usualShare is the part of the exchanges with healthy targets that may look failed
	// where others show none: lost packets and callers that go away. The others' failures
	// come on top.
	usualShare = 0.005
	// trimDivisor leaves the worst part in so many of the targets out of the
	// reference: as many as may be ejected at once do not spoil it.
	trimDivisor = ejectedShareDivisor
	// referenceFactor makes up for the healthy targets that are among the worst by
	// chance: without them the rest looks up to twice as good as it is.
	referenceFactor = 2
	// referenceExchanges is the least number of exchanges with the other targets that
	// tells what is usual: with a tenth of them failed, 20 show two on average.
	referenceExchanges = 20
	// commonShare is the reference from which on nobody is judged: a quarter of the
	// work of the better targets fails too.
	commonShare = 0.25
)

// Baseline returns the part of the exchanges that is to be expected to fail at a
// healthy target, from the counts of all targets of a service. It is false when too
// little is known, or when the cause of what fails is a common one.
func Baseline(counts []Count) (float64, bool) {
	seen := make([]Count, 0, len(counts))
	for _, count := range counts {
		if count.Exchanges > 0 {
			seen = append(seen, count)
		}
	}
	slices.SortFunc(seen, func(a, b Count) int { return cmp.Compare(a.FailureRate(), b.FailureRate()) })
	var pooled Count
	for _, count := range seen[:len(seen)-len(seen)/trimDivisor] {
		pooled = pooled.Add(count)
	}
	reference := usualShare + referenceFactor*pooled.FailureRate()
	return reference, pooled.Exchanges >= referenceExchanges && reference < commonShare
}
