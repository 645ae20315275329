package speed

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

// timedSums are sums as of an instant.
type timedSums struct {
	Sums
	at kernel.Instant
}

// Table adds up the newest words of many sources by target.
type Table[Source comparable] struct {
	halfLife time.Duration
	reports  map[Source]map[directory.Token]timedSums
	// totals are the sums over all sources. Words fade alike, so that a total is kept
	// up by the difference of a word and the one that it replaces.
	totals map[directory.Token]timedSums
}

// NewTable returns an empty table whose words count half after a time.
func NewTable[Source comparable](halfLife time.Duration) Table[Source] {
	return Table[Source]{halfLife: halfLife, reports: map[Source]map[directory.Token]timedSums{}, totals: map[directory.Token]timedSums{}}
}

func (t *Table[Source]) decayed(now kernel.Instant, sums timedSums) Sums {
	return sums.Decayed(now.Sub(sums.at), t.halfLife)
}

// Record replaces a source's last word on a target.
func (t *Table[Source]) Record(now kernel.Instant, source Source, token directory.Token, sums Sums) {
	words, known := t.reports[source]
	if !known {
		words = map[directory.Token]timedSums{}
		t.reports[source] = words
	}
	replaced := t.decayed(now, words[token])
	words[token] = timedSums{Sums: sums, at: now}
	t.addToTotal(now, token, sums.Plus(replaced.Scaled(-1)))
}

func (t *Table[Source]) addToTotal(now kernel.Instant, token directory.Token, sums Sums) {
	t.totals[token] = timedSums{Sums: t.decayed(now, t.totals[token]).Plus(sums), at: now}
}

// RetainSources forgets all words of the sources that are not kept, and returns their targets.
func (t *Table[Source]) RetainSources(now kernel.Instant, isKept func(source Source) bool) []directory.Token {
	var changed []directory.Token
	for source, words := range t.reports {
		if isKept(source) {
			continue
		}
		for token, word := range words {
			t.addToTotal(now, token, t.decayed(now, word).Scaled(-1))
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

// Tokens returns the targets with words, in no order.
func (t *Table[Source]) Tokens() []directory.Token {
	tokens := make([]directory.Token, 0, len(t.totals))
	for token := range t.totals {
		tokens = append(tokens, token)
	}
	return tokens
}

// Sweep forgets words that count next to nothing. Totals are made anew from what is
// left, so that errors of rounding do not add up.
func (t *Table[Source]) Sweep(now kernel.Instant) {
	clear(t.totals)
	for source, words := range t.reports {
		for token, word := range words {
			if sums := t.decayed(now, word); sums.Count >= MinCount {
				t.addToTotal(now, token, sums)
			} else {
				delete(words, token)
			}
		}
		if len(words) == 0 {
			delete(t.reports, source)
		}
	}
}

// SweepInterval is the time between two sweeps of a table.
const SweepInterval = HalfLife
