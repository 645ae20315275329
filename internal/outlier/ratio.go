package outlier

import "math"

const (
	// illShare is the part of its work that a target fails, beyond what is usual, for
	// it to be worth leaving out: the work of a third of a service's targets then goes
	// to the others, which bear half as much again.
	illShare = 0.4
	// exchangesPerFalseAlarm states the rate of false alarms: one in so many exchanges
	// with healthy targets whose exchanges fail independently as often as is usual. That
	// is a bound. A fleet has 1e8 exchanges a day.
	exchangesPerFalseAlarm = 1e9
	// onsetOdds is the number of windows in which all goes on as usual for each in which a
	// cause common to all targets begins: one in about an hour.
	onsetOdds = 1000
)

// alarm is the log of the likelihood ratio from which on a target is ill, and onsetAlarm
// that against a common cause that has just begun.
var (
	alarm      = math.Log(exchangesPerFalseAlarm)
	onsetAlarm = math.Log(exchangesPerFalseAlarm / onsetOdds)
)

// logRatio returns the log of the ratio of two likelihoods of a count: that of a
// target that fails a share of what others do not, to that of a healthy one.
func logRatio(count Count, reference, share float64) float64 {
	ill := reference + share*(1-reference)
	failures := float64(count.Failures)
	answers := float64(count.Exchanges) - failures
	return failures*math.Log(ill/reference) + answers*math.Log((1-ill)/(1-reference))
}

// reference returns the part of the exchanges that is to be expected to fail at a
// healthy target, in so many of the newest buckets of which its own count is given.
type reference func(suffix Count, buckets int) float64

// LikelihoodRatio is a sequential test of the likelihood ratio over a window. It finds a change
// at any time in the window: the mean number of exchanges between two false alarms is
// at least that of exchangesPerFalseAlarm, as with Page's cumulative sum. With the
// highest ratio comes the count that has it.
//
// At most the stated number of failures count, whatever the window holds.
func LikelihoodRatio(window *Window, usual reference, failures uint32) (highest float64, shown Count) {
	if window.total.Failures == 0 {
		return 0, Count{}
	}
	window.eachSuffix(func(suffix Count, buckets int) bool {
		expected := usual(suffix, buckets)
		suffix.Failures = min(suffix.Failures, failures)
		if ratio := logRatio(suffix, expected, illShare); ratio > highest {
			highest, shown = ratio, suffix
		}
		return true
	})
	return highest, shown
}
