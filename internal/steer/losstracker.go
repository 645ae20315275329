package steer

import "time"

const (
	// lossDecayTime is the approximate time over which losses decay: a few times a caller's
	// first two retransmission timeouts, 200 and 400 ms.
	lossDecayTime = 2 * time.Second
	// lossThreshold is the share of retransmitted data among answered data from which on
	// packets are likely lost on the path rather than at targets.
	lossThreshold = 0.125
	// minRecovered is the decayed count of recovered losses below which they are too old to
	// count.
	minRecovered = 0.5
)

// lossTracker measures packet loss on the path. Data that was answered only after a
// retransmission counts as lost on the way to a live target.
type lossTracker struct {
	answered, recovered float64
}

// addAnswered counts answered data, given its number of retransmissions.
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

// isLossy reports whether a large share of the data to live targets is lost.
func (t *lossTracker) isLossy() bool {
	return t.recovered >= minRecovered && t.recovered >= lossThreshold*t.answered
}
