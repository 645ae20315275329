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
func (t *lossTracker) addAnswered(resent int) {
	t.answered++
	if resent > 0 {
		t.recovered++
	}
}

// decay reduces the counts by the time that has passed.
func (t *lossTracker) decay(passed time.Duration) {
	factor := max(0, 1-passed.Seconds()/lossDecayTime.Seconds())
	t.answered *= factor
	t.recovered *= factor
}

// isLossy reports whether much data to live targets gets lost.
func (t *lossTracker) isLossy() bool {
	return t.recovered >= minRecovered && t.recovered >= lossThreshold*t.answered
}
