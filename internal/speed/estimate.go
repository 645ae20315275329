package speed

import "math"

const (
	// minVariance is the lower bound of the variance of single samples. It is that of
	// equal requests on an idle machine, whose standard deviation is 10 percent.
	minVariance = 0.01
	// minCountForSpread is the number of samples that a target needs to be included in
	// the variance and the spread of its service.
	minCountForSpread = 2
)

// Estimate returns the logarithm of each target's time relative to its service. The
// estimates have a mean of 0. Each is shrunk towards 0, the more the larger its sampling
// error is compared with the spread of the targets (empirical Bayes), so the estimates
// of similar targets and of those with few samples are close to 0.
func Estimate(targets []Sums) []float64 {
	estimates := make([]float64, len(targets))
	noise := variance(targets)
	mean, spread := meanAndSpread(targets, noise)
	if spread <= 0 {
		return estimates
	}
	for position, target := range targets {
		if target.Count > 0 {
			estimates[position] = (target.Mean() - mean) * spread / (spread + noise/target.Count)
		}
	}
	return center(estimates)
}

// variance returns the variance of single samples about the mean of their target.
func variance(targets []Sums) float64 {
	squares, freedom := 0.0, 0.0
	for _, target := range targets {
		if target.Count >= minCountForSpread {
			// The difference is negative if a received report understates the squares.
			squares += max(target.Squares-target.Total*target.Mean(), 0)
			freedom += target.Count - 1
		}
	}
	if freedom <= 0 {
		return minVariance
	}
	return max(squares/freedom, minVariance)
}

// spreadStandardErrors is the number of standard errors by which the variance of the
// targets must exceed that explained by chance.
const spreadStandardErrors = 2

// meanAndSpread returns the mean of the targets' means, and their variance without the
// part that is explained by chance. The spread may be negative.
func meanAndSpread(targets []Sums, noise float64) (mean, spread float64) {
	known := 0.0
	for _, target := range targets {
		if target.Count >= minCountForSpread {
			mean += target.Mean()
			known++
		}
	}
	if known < 2 {
		return 0, 0
	}
	mean /= known
	squares, errors := 0.0, 0.0
	for _, target := range targets {
		if target.Count >= minCountForSpread {
			chance := noise / target.Count
			squares += (target.Mean()-mean)*(target.Mean()-mean) - chance
			errors += 2 * chance * chance
		}
	}
	return mean, (squares - spreadStandardErrors*math.Sqrt(errors)) / (known - 1)
}

// center shifts the estimates to a mean of 0.
func center(estimates []float64) []float64 {
	mean := 0.0
	for _, estimate := range estimates {
		mean += estimate
	}
	mean /= float64(len(estimates))
	for position := range estimates {
		estimates[position] -= mean
	}
	return estimates
}

// stepsPerUnit is the number of steps per unit of the logarithm. One step is a
// difference of 6 percent.
const stepsPerUnit = 16

// maxStep is the largest absolute value of a step.
const maxStep = MaxSample * stepsPerUnit

// hysteresis is the distance in steps from the current step at which an estimate
// changes it.
const hysteresis = 1.25

// Step is the natural logarithm of a target's relative time, in sixteenths.
type Step int8

// Next returns the step for a new estimate, which is s if the estimate is within
// hysteresis of it.
func (s Step) Next(estimate float64) Step {
	exact := min(max(estimate*stepsPerUnit, -maxStep), maxStep)
	if math.Abs(exact-float64(s)) < hysteresis {
		return s
	}
	return Step(math.Round(exact))
}

// TimeRatio returns the target's time as a multiple of what is usual for its service.
func (s Step) TimeRatio() float64 { return math.Exp(float64(s) / stepsPerUnit) }
