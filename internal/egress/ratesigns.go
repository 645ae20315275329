package egress

import "github.com/beamdoor/beamdoor/internal/kernel"

// lookForOutage lowers the rate when next to nothing gets through of much that was sent:
// when most is lost, so are the copies that would tell.
func (r *RateEstimator) lookForOutage(now kernel.Instant) {
	seen := slotNumber(now.Add(-outageAge))
	first := max(slotNumber(now.Add(-outageAge-outageTime)), slotNumber(r.reducedAt)+1, 0)
	var before, since rateSlot
	for number := first; number <= r.newest; number++ {
		if number < seen {
			before.add(r.slots[number%slotCount])
		}
		since.add(r.slots[number%slotCount])
	}
	before.delivered = since.delivered
	if before.sent < outageBytes || !before.isOutage() {
		return
	}
	r.reduce(now, r.slots[first%slotCount].rate, 1-float64(before.delivered)/float64(before.sent))
}

// learnBackground learns the share that is lost without congestion from the slots up to
// a number: those sent at the stated rate, or soon after it was lowered to what gets
// through.
func (r *RateEstimator) learnBackground(last int64) {
	for number := max(r.matured+1, r.newest-slotCount+1, 0); number <= min(last, r.newest); number++ {
		r.learnFrom(number)
	}
	r.matured = max(r.matured, last)
}

func (r *RateEstimator) learnFrom(number int64) {
	slot := &r.slots[number%slotCount]
	begin := kernel.Instant(number * int64(slotTime))
	learned := slot.lost + slot.delivered
	if learned == 0 || begin.Before(r.reducedAt) {
		return
	}
	if slot.rate < r.stated && slot.rate > r.reduced {
		return
	}
	part := min(float64(learned)/backgroundBytes, 1)
	share := min(slot.lostShare(), largestBackground)
	r.background += (share - r.background) * part
}
