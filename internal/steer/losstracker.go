package steer

import "time"

const (
	// lossHorizon is about how long what callers had to send again is remembered: some
	// of a caller's first two pauses (200 and 400 ms).
	lossDecayTime = 2 * time.Second
	// lossShare is the share of answered data that had to be sent again from which on
	// packets get lost on their way rather than at targets.
	lossThreshold = 0.125
	// leastRecovered is the least number of such data: single ones are no pattern.
	minRecovered = 0.5
)

// witness judges how good a witness this node is: data that was sent again and then
// answered was lost on its way, at targets that live.
type lossTracker struct {
	answered, recovered float64
}

// noteAnswered notes an answer to data that was sent again so many times.
func (w *lossTracker) addAnswered(resent int) {
	w.answered++
	if resent > 0 {
		w.recovered++
	}
}

// age lets what was seen count less, after some time has passed.
func (w *lossTracker) decay(passed time.Duration) {
	kept := max(0, 1-passed.Seconds()/lossDecayTime.Seconds())
	w.answered *= kept
	w.recovered *= kept
}

// loses reports whether much gets lost between callers and targets that live.
func (w *lossTracker) isLossy() bool {
	return w.recovered >= minRecovered && w.recovered >= lossThreshold*w.answered
}
