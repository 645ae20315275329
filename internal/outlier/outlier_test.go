package outlier

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/beamdoor/beamdoor/internal/directory"
)

func TestWhatIsUsualIsToldByTheBetterTargets(t *testing.T) {
	good := Count{Exchanges: 50}
	cases := []struct {
		name   string
		counts []Count
		usual  float64
		known  bool
	}{
		{"none", nil, usualShare, false},
		{"all well", []Count{good, good, good}, usualShare, true},
		{"too little seen", []Count{{Exchanges: 9}, {Exchanges: 9}}, usualShare, false},
		{"a third fails all", []Count{good, good, {Exchanges: 50, Failures: 50}}, usualShare, true},
		{"some fail everywhere", []Count{{Exchanges: 50, Failures: 2}, {Exchanges: 50, Failures: 2}, {Exchanges: 50, Failures: 2}}, 0.085, true},
		{"an eighth fails everywhere", []Count{{Exchanges: 80, Failures: 10}, {Exchanges: 80, Failures: 10}, {Exchanges: 80, Failures: 10}}, 0.255, false},
		{"targets that nothing is known of", []Count{good, {}, {}}, usualShare, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			usual, known := Baseline(test.counts)
			assert.InDelta(t, test.usual, usual, 1e-9)
			assert.Equal(t, test.known, known)
		})
	}
}

func TestSlowAnswersAreAnswers(t *testing.T) {
	assert.Equal(t, Count{Exchanges: 10, Failures: 3}, CountOf(directory.Outcomes{Answered: 4, Unanswered: 2, Short: 1, Slow: 3}))
}
