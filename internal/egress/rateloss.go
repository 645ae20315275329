package egress

import "github.com/beamdoor/beamdoor/internal/kernel"

// detectOutage lowers the rate if much data was sent and almost none of it delivered.
// Losses are not detected then, because the retransmissions that would show them are
// lost as well.
func (r *RateEstimator) detectOutage(now kernel.Instant) {
	cutoff := slotNumber(now.Add(-outageDelay))
	first := max(slotNumber(now.Add(-outageDelay-outageWindow)), slotNumber(r.reducedAt)+1, 0)
	var before, since rateSlot
	for number := first; number <= r.newestSlot; number++ {
		if number < cutoff {
			before.add(r.slots[number%slotCount])
		}
		since.add(r.slots[number%slotCount])
	}
	before.delivered = since.delivered
	if before.sent < minOutageBytes || !before.isOutage() {
		return
	}
	r.reduce(now, r.slots[first%slotCount].rate, 1-float64(before.delivered)/float64(before.sent))
}

// learnBackground updates the background loss from the slots up to last whose losses
// have been detected. It ignores slots from before the last reduction, and those of
// probes: their rate is above the reduced one and below the configured one.
func (r *RateEstimator) learnBackground(last int64) {
	for number := max(r.maturedSlot+1, r.newestSlot-slotCount+1, 0); number <= min(last, r.newestSlot); number++ {
		r.learnFromSlot(number)
	}
	r.maturedSlot = max(r.maturedSlot, last)
}

func (r *RateEstimator) learnFromSlot(number int64) {
	slot := &r.slots[number%slotCount]
	start := kernel.Instant(number * int64(slotTime))
	learned := slot.lost + slot.delivered
	if learned == 0 || start.Before(r.reducedAt) {
		return
	}
	if slot.rate < r.configured && slot.rate > r.reducedRate {
		return
	}
	weight := min(float64(learned)/backgroundBytes, 1)
	loss := min(slot.lossFraction(), maxBackground)
	r.backgroundLoss += (loss - r.backgroundLoss) * weight
}
