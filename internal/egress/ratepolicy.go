package egress

import "time"

const (
	// additiveDecreaseFactor is the multiplicative decrease of the additive policy, the
	// value of RFC 9438, section 4.6.
	additiveDecreaseFactor = 0.7
	// additiveIncreaseFraction is the fraction of the configured rate that the additive
	// policy adds per second.
	additiveIncreaseFraction = 0.5

	// deliveredMaxFactor is the largest factor of one reduction. Only the first loss of
	// each caller is certain, so the measured loss is usually too low.
	deliveredMaxFactor = 0.7
	// deliveredMinFactor is the smallest factor of one reduction. It is not yet known
	// how much of the window in flight is lost, and the next evaluation follows soon. A
	// reduction from the configured rate always uses it, because far above the link's
	// rate most of the retransmissions that would show losses are lost as well.
	deliveredMinFactor = 0.5
	// deliveredHoldTime is how long a reduced rate is kept before it is raised. Probes
	// above the link's rate cause losses, so it is as long as possible with a recovery
	// within 2 s.
	deliveredHoldTime = 750 * time.Millisecond
	// probeInterval is the time between two increases. Before losses show, the link's
	// queue has to fill and callers retransmit after 200 ms.
	probeInterval = 425 * time.Millisecond
	// firstProbeFactor is the factor of the first increase. It is large enough to fill
	// the link's queue within probeInterval, so that losses show.
	firstProbeFactor = 1.5
	// nextProbeFactor is the factor of further increases, which follow if the previous
	// one caused no excessive loss.
	nextProbeFactor = 2.5
)

// RatePolicy determines how the rate follows losses.
type RatePolicy struct {
	// Decrease returns the rate to use after excessive losses: lost is the lost fraction
	// of the data sent at rate.
	Decrease func(rate, configured, lost float64) float64
	// Increase returns the rate to use once the time since the reduction, counted without
	// time of excessive loss, is since.
	Increase func(reduced, configured float64, since time.Duration) float64
}

// AdditiveIncrease returns a policy of additive increase and multiplicative decrease.
func AdditiveIncrease() RatePolicy {
	return RatePolicy{
		Decrease: func(rate, _, _ float64) float64 { return rate * additiveDecreaseFactor },
		Increase: func(reduced, configured float64, since time.Duration) float64 {
			return reduced + configured*additiveIncreaseFraction*since.Seconds()
		},
	}
}

// DeliveredRate returns a policy that lowers the rate to the delivered rate, holds it
// for a while and then probes upwards.
func DeliveredRate() RatePolicy {
	return RatePolicy{
		Decrease: func(rate, configured, lost float64) float64 {
			if rate >= configured {
				return rate * deliveredMinFactor
			}
			return rate * max(min(1-lost, deliveredMaxFactor), deliveredMinFactor)
		},
		Increase: func(reduced, configured float64, since time.Duration) float64 {
			if since < deliveredHoldTime {
				return reduced
			}
			rate := reduced * firstProbeFactor
			for left := since - deliveredHoldTime; left >= probeInterval && rate < configured; left -= probeInterval {
				rate *= nextProbeFactor
			}
			return rate
		},
	}
}
