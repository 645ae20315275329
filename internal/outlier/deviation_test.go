package outlier

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const (
	// deviations is the number of standard deviations beyond the median from which on
	// a target is an outlier: one in 3.5 million of a normal distribution.
	deviations = 5
	// deviationExchanges is the least number of exchanges that is judged.
	deviationExchanges = 4
	// scaleOfMedian turns the median of absolute deviations into the standard
	// deviation of a normal distribution.
	scaleOfMedian = 1.4826
)

// Deviants reports for each target of a service whether its share of failures lies
// far beyond the median of all: the usual way to find outliers, which the sequential
// test is measured against.
func Deviants(counts []Count) []bool {
	ill := make([]bool, len(counts))
	var shares []float64
	for _, count := range counts {
		if count.Exchanges >= deviationExchanges {
			shares = append(shares, count.FailureRate())
		}
	}
	if len(shares) < trimDivisor {
		return ill
	}
	middle := median(shares)
	distances := make([]float64, 0, len(shares))
	for _, share := range shares {
		distances = append(distances, math.Abs(share-middle))
	}
	spread := scaleOfMedian * median(distances)
	for position, count := range counts {
		if count.Exchanges < deviationExchanges {
			continue
		}
		usual := max(middle, usualShare)
		chance := math.Sqrt(usual * (1 - usual) / float64(count.Exchanges))
		ill[position] = count.FailureRate()-middle > deviations*max(spread, chance)
	}
	return ill
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// recentCounts returns the counts of the last second.
func (f *fleet) recentCounts() []Count {
	var counts []Count
	for _, target := range f.targets {
		counts = append(counts, f.judge.record(target.Token).window.Recent(f.now))
	}
	return counts
}

// On the same counts the median deviation is tenths of a second faster for a target that
// fails all its work, and accuses healthy ones each second: the sequential test
// is what judges.
func TestTheMedianDeviationAccusesHealthyTargets(t *testing.T) {
	wrong, judged := 0, 0
	var byDeviation, byRatio []time.Duration
	for seed := range uint64(200) {
		f := newFleet(seed, 40, 80)
		f.run(5 * time.Second)
		for _, ill := range Deviants(f.recentCounts()) {
			judged++
			if ill {
				wrong++
			}
		}
		assert.Empty(t, f.ejections())
		f.ill(4)
		begin := f.now
		found := false
		for len(f.ejections()) == 0 {
			f.step()
			if !found && Deviants(f.recentCounts())[4] {
				found = true
				byDeviation = append(byDeviation, f.now.Sub(begin))
			}
		}
		byRatio = append(byRatio, f.now.Sub(begin))
	}
	t.Logf("%d of %d healthy targets accused; median time %v, by the ratio %v", wrong, judged, medianTime(byDeviation), medianTime(byRatio))
	assert.Positive(t, wrong)
}
