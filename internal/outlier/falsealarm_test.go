package outlier

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// No healthy target is ejected, whatever the common failure rate.
func TestFalseAlarmRate(t *testing.T) {
	for _, rate := range []float64{0.001, 0.005, 0.01, 0.03, 0.1} {
		exchanges := 0.0
		for seed := range uint64(10) {
			f := newFleet(seed, 40, 80)
			f.failureRate = func(int, int) float64 { return rate }
			f.run(40 * time.Second)
			assert.Empty(t, f.ejections(), "rate %v, seed %d", rate, seed)
			exchanges += f.rate * 40 * 40
		}
		assert.Greater(t, exchanges, 1e5)
	}
}
