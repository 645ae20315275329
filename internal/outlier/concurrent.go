package outlier

import (
	"cmp"
	"slices"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

// contemporaries is what the targets of a service showed in the newest one, two and
// more buckets of time. When a cause that is common to all targets begins, the last
// seconds do not tell yet what is usual, but the others of the same time do.
type contemporaries struct {
	sums sums
	// worst holds the targets of which few failures count: as many as may be ejected at
	// once do not spoil the reference.
	worst map[*record]bool
}

// worstFailures is the number of failures that count at most of one of the worst targets:
// when a common cause begins, healthy targets are among them that show one or two more
// than the others.
const worstFailures = 2

func (j *Detector) contemporaries(now kernel.Instant, targets []Target) *contemporaries {
	var seen []*record
	j.eachFair(targets, func(kept *record) {
		if kept.window.Total(now).Exchanges > 0 {
			seen = append(seen, kept)
		}
	})
	slices.SortStableFunc(seen, func(a, b *record) int { return cmp.Compare(a.window.total.FailureRate(), b.window.total.FailureRate()) })
	c := &contemporaries{worst: map[*record]bool{}}
	better := len(seen) - len(seen)/trimDivisor
	for _, kept := range seen[better:] {
		c.worst[kept] = true
	}
	for position, kept := range seen {
		c.sums.add(kept, countedOf(position >= better))
	}
	return c
}

// countedOf returns what counts in the sums of one of the worst targets, or of another.
func countedOf(worst bool) func(suffix Count) Count {
	return func(suffix Count) Count {
		if worst {
			suffix.Failures = min(suffix.Failures, worstFailures)
		}
		return suffix
	}
}

// expected returns the part of the exchanges that is to be expected to fail at a target,
// from what is usual and from what the others showed in the same time. One failure more
// counts: little that is known accuses nobody.
func (c *contemporaries) expected(kept *record, usual float64) reference {
	counted := countedOf(c.worst[kept])
	return func(suffix Count, buckets int) float64 {
		others := c.sums[buckets-1].Sub(counted(suffix))
		return max(usual, others.Add(Count{Exchanges: 1, Failures: 1}).FailureRate())
	}
}
