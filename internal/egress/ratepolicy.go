package egress

import "time"

const (
	// additiveDecreaseFactor is what the additive policy leaves of the rate: the part of the
	// customary multiplicative decrease with which a link shared with others stays
	// used (RFC 9438, section 4.6).
	additiveDecreaseFactor = 0.7
	// additiveIncreaseFraction is the part of the stated rate that the additive policy adds a
	// second: from a quarter it is back in 1.5 s.
	additiveIncreaseFraction = 0.5

	// deliveredMaxFactor is the largest part of a rate that a verdict leaves: only the first
	// losses of each caller are known for sure, so a share is more often too small.
	deliveredMaxFactor = 0.7
	// deliveredMinFactor is the least part of a rate that one verdict leaves: what a window
	// under way has come to is not known in full, and the next verdict follows soon. It
	// is what the first one leaves: while a link is far too fast, most signs are lost too.
	deliveredMinFactor = 0.5
	// deliveredHoldTime is how long the rate that got through is kept before more is tried.
	// What is tried in vain is lost, so it is as long as the 2 s allow within which the
	// rate is to be back.
	deliveredHoldTime = 750 * time.Millisecond
	// probeInterval is the time between two rises: the queue on the link fills first, then
	// callers send again after 200 ms.
	probeInterval = 425 * time.Millisecond
	// firstProbeFactor is the factor of the first rise: enough to fill the queue within that
	// time, so that losses show.
	firstProbeFactor = 1.5
	// nextProbeFactor is the factor of further ones: the link has taken more than before.
	nextProbeFactor = 2.5
)

// RatePolicy tells how a rate follows losses.
type RatePolicy struct {
	// Reduced returns the rate after an undue share of what was sent at a rate was lost.
	Decrease func(rate, stated, share float64) float64
	// Grown returns the rate after so long a time without undue losses since it was
	// reduced.
	Increase func(reduced, stated float64, since time.Duration) float64
}

// AdditiveIncrease cuts the rate by a fixed part and raises it steadily.
func AdditiveIncrease() RatePolicy {
	return RatePolicy{
		Decrease: func(rate, _, _ float64) float64 { return rate * additiveDecreaseFactor },
		Increase: func(reduced, stated float64, since time.Duration) float64 {
			return reduced + stated*additiveIncreaseFraction*since.Seconds()
		},
	}
}

// DeliveredRate takes what got through, keeps it for a while and probes upwards.
func DeliveredRate() RatePolicy {
	return RatePolicy{
		Decrease: func(rate, stated, share float64) float64 {
			if rate >= stated {
				return rate * deliveredMinFactor
			}
			return rate * max(min(1-share, deliveredMaxFactor), deliveredMinFactor)
		},
		Increase: func(reduced, stated float64, since time.Duration) float64 {
			if since < deliveredHoldTime {
				return reduced
			}
			rate := reduced * firstProbeFactor
			for left := since - deliveredHoldTime; left >= probeInterval && rate < stated; left -= probeInterval {
				rate *= nextProbeFactor
			}
			return rate
		},
	}
}
