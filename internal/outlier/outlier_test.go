package outlier

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/beamdoor/beamdoor/internal/directory"
)

func TestBaselineIgnoresWorstTargets(t *testing.T) {
	healthy := Count{Exchanges: 50}
	cases := []struct {
		name     string
		counts   []Count
		baseline float64
		known    bool
	}{
		{"no counts", nil, baseFailureRate, false},
		{"all healthy", []Count{healthy, healthy, healthy}, baseFailureRate, true},
		{"too few exchanges", []Count{{Exchanges: 9}, {Exchanges: 9}}, baseFailureRate, false},
		{"a third of the targets fails", []Count{healthy, healthy, {Exchanges: 50, Failures: 50}}, baseFailureRate, true},
		{"all targets fail at a low rate", []Count{{Exchanges: 50, Failures: 2}, {Exchanges: 50, Failures: 2}, {Exchanges: 50, Failures: 2}}, 0.085, true},
		{"all targets fail at a high rate", []Count{{Exchanges: 80, Failures: 10}, {Exchanges: 80, Failures: 10}, {Exchanges: 80, Failures: 10}}, 0.255, false},
		{"targets without exchanges", []Count{healthy, {}, {}}, baseFailureRate, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			baseline, known := Baseline(test.counts)
			assert.InDelta(t, test.baseline, baseline, 1e-9)
			assert.Equal(t, test.known, known)
		})
	}
}

func TestSlowAnswersAreNotFailures(t *testing.T) {
	assert.Equal(t, Count{Exchanges: 10, Failures: 3}, CountOf(directory.Outcomes{Answered: 4, Unanswered: 2, Short: 1, Slow: 3}))
}
