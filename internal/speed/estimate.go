package speed

import "math"

const (
	// minVariance is the minimum variance of single samples, for equal requests on an
	// idle machine: a standard deviation of 10 percent.
	minVariance = 0.01
	// minCountForSpread is the number of samples from which on a target counts in the
	// spread of its service.
	minCountForSpread = 2
)

// Estimate returns the logarithm of each target's time relative to its service,
// centered on 0. Each is shrunk towards 0 by its sampling error compared with the
// spread of the targets (empirical Bayes), so that similar targets and those with few
// samples come out at 0.
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
			// A received report may understate the squares.
			squares += max(target.Squares-target.Total*target.Mean(), 0)
			freedom += target.Count - 1
		}
	}
	if freedom <= 0 {
		return minVariance
	}
	return max(squares/freedom, minVariance)
}

// spreadStandardErrors is the number of standard errors by which the targets must
// differ beyond chance.
const spreadStandardErrors = 2

// meanAndSpread returns the mean of the targets' means and their variance, less the
// part that chance explains.
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

// stepsPerUnit is the resolution of a step: 6 percent.
const stepsPerUnit = 16

// maxStep bounds a step in both directions.
const maxStep = MaxSample * stepsPerUnit

// hysteresis is the distance, in steps, that an estimate must have from the current
// step to change it.
const hysteresis = 1.25

// Step is the natural logarithm of a target's relative time, in units of one sixteenth.
type Step int8

// Next returns the step for a new estimate, given the current one.
func (s Step) Next(estimate float64) Step {
	exact := min(max(estimate*stepsPerUnit, -maxStep), maxStep)
	if math.Abs(exact-float64(s)) < hysteresis {
		return s
	}
	return Step(math.Round(exact))
}

// TimeRatio returns the target's time as a multiple of what is usual for its service.
func (s Step) TimeRatio() float64 { return math.Exp(float64(s) / stepsPerUnit) }
