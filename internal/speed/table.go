package speed

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

// timedSums holds sums as of an instant.
type timedSums struct {
	Sums
	at kernel.Instant
}

// Table keeps the latest reports of many sources, and the totals of each target.
type Table[Source comparable] struct {
	halfLife time.Duration
	reports  map[Source]map[directory.Token]timedSums
	// totals holds the sums over all sources. All reports decay alike, so a total is
	// updated by the difference between a report and the one that it replaces.
	totals map[directory.Token]timedSums
}

// NewTable returns an empty table whose reports decay with the given half-life.
func NewTable[Source comparable](halfLife time.Duration) Table[Source] {
	return Table[Source]{halfLife: halfLife, reports: map[Source]map[directory.Token]timedSums{}, totals: map[directory.Token]timedSums{}}
}

func (t *Table[Source]) decayed(now kernel.Instant, sums timedSums) Sums {
	return sums.Decayed(now.Sub(sums.at), t.halfLife)
}

// Record replaces the report of a source for a target.
func (t *Table[Source]) Record(now kernel.Instant, source Source, token directory.Token, sums Sums) {
	reports, known := t.reports[source]
	if !known {
		reports = map[directory.Token]timedSums{}
		t.reports[source] = reports
	}
	replaced := t.decayed(now, reports[token])
	reports[token] = timedSums{Sums: sums, at: now}
	t.addToTotal(now, token, sums.Plus(replaced.Scaled(-1)))
}

func (t *Table[Source]) addToTotal(now kernel.Instant, token directory.Token, sums Sums) {
	t.totals[token] = timedSums{Sums: t.decayed(now, t.totals[token]).Plus(sums), at: now}
}

// RetainSources removes the reports of all sources for which isKept returns false. It
// returns the targets of the removed reports, once per report.
func (t *Table[Source]) RetainSources(now kernel.Instant, isKept func(source Source) bool) []directory.Token {
	var changed []directory.Token
	for source, reports := range t.reports {
		if isKept(source) {
			continue
		}
		for token, report := range reports {
			t.addToTotal(now, token, t.decayed(now, report).Scaled(-1))
			changed = append(changed, token)
		}
		delete(t.reports, source)
	}
	return changed
}

// Total returns the sums of a target over all sources.
func (t *Table[Source]) Total(now kernel.Instant, token directory.Token) Sums {
	return t.decayed(now, t.totals[token])
}

// Tokens returns the targets that have reports, in no particular order.
func (t *Table[Source]) Tokens() []directory.Token {
	tokens := make([]directory.Token, 0, len(t.totals))
	for token := range t.totals {
		tokens = append(tokens, token)
	}
	return tokens
}

// Sweep removes reports whose count is below MinCount, and recomputes the totals so
// that rounding errors do not accumulate.
func (t *Table[Source]) Sweep(now kernel.Instant) {
	clear(t.totals)
	for source, reports := range t.reports {
		for token, report := range reports {
			if sums := t.decayed(now, report); sums.Count >= MinCount {
				t.addToTotal(now, token, sums)
			} else {
				delete(reports, token)
			}
		}
		if len(reports) == 0 {
			delete(t.reports, source)
		}
	}
}

// SweepInterval is the time between two sweeps of a table.
const SweepInterval = HalfLife
