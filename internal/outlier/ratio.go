package outlier

import "math"

const (
	// targetExcess is the failure rate above the baseline that the test for a failing
	// target assumes. Ejecting a target that fails less often is not worth the load it
	// adds to the others.
	targetExcess = 0.4
	// exchangesPerFalseAlarm is the minimum mean number of exchanges with healthy targets
	// between two false alarms, provided that failures are independent.
	exchangesPerFalseAlarm = 1e9
	// onsetOdds is the number of windows without the onset of a common failure for each
	// window with one. It lowers the threshold of the comparison over the same period.
	onsetOdds = 1000
)

// alarmThreshold is the log-likelihood ratio at which a target counts as failing compared
// with the baseline, and onsetThreshold that compared with the other targets over the
// same period.
var (
	alarmThreshold = math.Log(exchangesPerFalseAlarm)
	onsetThreshold = math.Log(exchangesPerFalseAlarm / onsetOdds)
)

// logLikelihoodRatio returns the log-likelihood ratio of a count under two hypotheses: a
// target whose failure rate exceeds the baseline by the excess, and a healthy target.
func logLikelihoodRatio(count Count, baseline, excess float64) float64 {
	failing := baseline + excess*(1-baseline)
	failures := float64(count.Failures)
	successes := float64(count.Exchanges) - failures
	return failures*math.Log(failing/baseline) + successes*math.Log((1-failing)/(1-baseline))
}

// baselineFunc returns the failure rate expected of a healthy target over the given
// number of newest buckets. suffix is the target's own count over these buckets.
type baselineFunc func(suffix Count, buckets int) float64

// LikelihoodRatio runs a sequential likelihood ratio test over the suffixes of the
// window. Like Page's CUSUM it detects a change that began at any time within the window,
// with at least exchangesPerFalseAlarm exchanges between two false alarms on average. It
// returns the highest log-likelihood ratio and the count that produced it. At most limit
// failures of each suffix are counted.
func LikelihoodRatio(window *Window, baselineOf baselineFunc, limit uint32) (highest float64, peak Count) {
	if window.total.Failures == 0 {
		return 0, Count{}
	}
	window.eachSuffix(func(suffix Count, buckets int) bool {
		expected := baselineOf(suffix, buckets)
		suffix.Failures = min(suffix.Failures, limit)
		if ratio := logLikelihoodRatio(suffix, expected, targetExcess); ratio > highest {
			highest, peak = ratio, suffix
		}
		return true
	})
	return highest, peak
}
