package steer

import "time"

const (
	// lossDecayTime is the approximate time over which losses decay.
	lossDecayTime = 2 * time.Second
	// lossThreshold is the share of retransmitted data among answered data above which
	// packets are likely lost on the path rather than at targets.
	lossThreshold = 0.125
	// minRecovered is the least decayed count of losses that counts; single losses do not.
	minRecovered = 0.5
)

// lossTracker measures packet loss on the path: data that was retransmitted and then
// answered was lost although its target is alive.
type lossTracker struct {
	answered, recovered float64
}

// addAnswered counts answered data with its number of retransmissions.
func (w *lossTracker) addAnswered(resent int) {
	w.answered++
	if resent > 0 {
		w.recovered++
	}
}

// decay reduces the counts by the time that has passed.
func (w *lossTracker) decay(passed time.Duration) {
	factor := max(0, 1-passed.Seconds()/lossDecayTime.Seconds())
	w.answered *= factor
	w.recovered *= factor
}

// isLossy reports whether much data to live targets gets lost.
func (w *lossTracker) isLossy() bool {
	return w.recovered >= minRecovered && w.recovered >= lossThreshold*w.answered
}
