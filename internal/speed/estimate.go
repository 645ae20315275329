package speed

import "math"

const (
	// minVariance bounds the variance of single samples from below: equal requests on
	// an idle machine still differ by a few percent.
	minVariance = 0.01
	// minCountForSpread is the number of samples of a target from which on it tells how far
	// the targets of its service differ.
	minCountForSpread = 2
)

// Estimate returns the logarithm of the relative time of each target of a service, less
// their mean. Each is shrunk towards 0 by how far its samples can be off compared with
// how far the targets differ (empirical Bayes): targets that are alike, and those of
// which little was seen, come out at 0.
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
			// A word may claim fewer squares than its mean makes.
			squares += max(target.Squares-target.Total*target.Mean(), 0)
			freedom += target.Count - 1
		}
	}
	if freedom <= 0 {
		return minVariance
	}
	return max(squares/freedom, minVariance)
}

// doubt is the number of standard errors that targets must differ by beyond chance.
const spreadStandardErrors = 2

// meanAndSpread returns the mean over the targets and the variance of what is true of them:
// that of their means, less what chance explains.
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

// centred moves the estimates so that their mean is 0.
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

// stepsPerUnit is the precision of a told time: 6 percent.
const stepsPerUnit = 16

// maxStep bounds a told time to either side.
const maxStep = MaxSample * stepsPerUnit

// hysteresis is how far an estimate must be from the told step, in steps, to change it.
const hysteresis = 1.25

// Step is a relative time as it is told: its natural logarithm in steps of a sixteenth.
type Step int8

// Next returns the step to tell where another one was told before.
func (s Step) Next(estimate float64) Step {
	exact := min(max(estimate*stepsPerUnit, -maxStep), maxStep)
	if math.Abs(exact-float64(s)) < hysteresis {
		return s
	}
	return Step(math.Round(exact))
}

// TimeRatio returns the time that a target takes as a multiple of what is usual.
func (s Step) TimeRatio() float64 { return math.Exp(float64(s) / stepsPerUnit) }
