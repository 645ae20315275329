package outlier

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// The stated rate of false alarms is kept, whatever is usual: none in a million
// exchanges, a thousandth of what the bound allows one in.
func TestFalseAlarmsAreAsRareAsStated(t *testing.T) {
	for _, share := range []float64{0.001, 0.005, 0.01, 0.03, 0.1} {
		exchanges := 0.0
		for seed := range uint64(10) {
			f := newFleet(seed, 40, 80)
			f.fails = func(int, int) float64 { return share }
			f.run(40 * time.Second)
			assert.Empty(t, f.ejections(), "share %v, seed %d", share, seed)
			exchanges += f.rate * 40 * 40
		}
		assert.Greater(t, exchanges, 1e5)
	}
}
