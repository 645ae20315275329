package outlier

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const (
	// deviations is the number of standard deviations above the median at which a target
	// is an outlier.
	deviations = 5
	// minDeviationExchanges is the minimum number of exchanges needed to evaluate a
	// target.
	minDeviationExchanges = 4
	// scaleOfMedian converts the median absolute deviation to the standard deviation of a
	// normal distribution.
	scaleOfMedian = 1.4826
)

// medianDeviationOutliers reports for each target whether its failure rate is an outlier
// by the median absolute deviation, the method to which the sequential test is compared.
func medianDeviationOutliers(counts []Count) []bool {
	outliers := make([]bool, len(counts))
	var rates []float64
	for _, count := range counts {
		if count.Exchanges >= minDeviationExchanges {
			rates = append(rates, count.FailureRate())
		}
	}
	if len(rates) < trimDivisor {
		return outliers
	}
	middle := median(rates)
	distances := make([]float64, 0, len(rates))
	for _, rate := range rates {
		distances = append(distances, math.Abs(rate-middle))
	}
	spread := scaleOfMedian * median(distances)
	for position, count := range counts {
		if count.Exchanges < minDeviationExchanges {
			continue
		}
		expected := max(middle, baseFailureRate)
		standardError := math.Sqrt(expected * (1 - expected) / float64(count.Exchanges))
		outliers[position] = count.FailureRate()-middle > deviations*max(spread, standardError)
	}
	return outliers
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// recentCounts returns the recent counts of all targets.
func (f *fleet) recentCounts() []Count {
	var counts []Count
	for _, target := range f.targets {
		counts = append(counts, f.detector.targetRecord(target.Token).window.Recent(f.now))
	}
	return counts
}

// On the same counts the median absolute deviation flags healthy targets, while the
// sequential test ejects none of them.
func TestMedianDeviationFlagsHealthyTargets(t *testing.T) {
	falsePositives, checked := 0, 0
	var byDeviation, byLikelihoodRatio []time.Duration
	for seed := range uint64(200) {
		f := newFleet(seed, 40, 80)
		f.run(5 * time.Second)
		for _, flagged := range medianDeviationOutliers(f.recentCounts()) {
			checked++
			if flagged {
				falsePositives++
			}
		}
		assert.Empty(t, f.ejections())
		f.failTarget(4)
		begin := f.now
		found := false
		for len(f.ejections()) == 0 {
			f.step()
			if !found && medianDeviationOutliers(f.recentCounts())[4] {
				found = true
				byDeviation = append(byDeviation, f.now.Sub(begin))
			}
		}
		byLikelihoodRatio = append(byLikelihoodRatio, f.now.Sub(begin))
	}
	t.Logf("%d of %d healthy targets flagged; median detection time %v, by the likelihood ratio %v", falsePositives, checked, medianTime(byDeviation), medianTime(byLikelihoodRatio))
	assert.Positive(t, falsePositives)
}
