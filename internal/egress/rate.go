package egress

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

const (
	// lossWindow is the time over which losses are evaluated: the transmission time of a
	// caller's window at half a Mbit/s.
	lossWindow = 400 * time.Millisecond
	// evaluationDelay is the time from the first loss to the evaluation. Callers
	// retransmit all missing data within a few milliseconds.
	evaluationDelay = 25 * time.Millisecond
	// maturityAge is the age at which all losses of a slot have been detected.
	maturityAge = 500 * time.Millisecond
	// busyFraction is the fraction of the rate from which on traffic is enough to test
	// the rate.
	busyFraction = 0.5
	// idleWeight is the weight in lossFreeTime of time with too little traffic to test
	// the rate. It lets a reduced rate recover without traffic.
	idleWeight = 0.3
	// backgroundBytes is the number of bytes over which the background loss is averaged:
	// those of about a second at half a Mbit/s.
	backgroundBytes = 64 * 1024
	// maxBackground caps the background loss. A link with a higher one is unusable in
	// any case, and a higher value would hide congestion.
	maxBackground = 0.3
	// writeErrorSize is the size counted for a datagram that the system rejected because
	// its send queue was full: that of a full datagram.
	writeErrorSize = 1240
	// ingressWindow is the time over which the load of the incoming link is measured.
	// It is longer than the callers' initial retransmission timeout of 200 ms. The link
	// counts as busy from ingressBusyFraction of the configured rate.
	ingressWindow       = 250 * time.Millisecond
	ingressBusyFraction = 0.7
	// minRate is the lowest estimated rate in bytes per second. It carries a caller's
	// window of 16 packets within the longest retransmission timeout of 1.6 s, so that
	// no caller gives up only because the rate was lowered.
	minRate = 16 * writeErrorSize / 1.6
)

// maxEstimatedRate is the configured rate in bytes per second above which no rate is
// estimated: the records of sent data would be overwritten within 250 ms, before callers
// retransmit the data.
const maxEstimatedRate = dataRecordCount * writeErrorSize / 0.25

// RateOption configures a RateEstimator.
type RateOption func(r *RateEstimator)

// WithPolicy sets how the rate follows losses. The default is DeliveredRate.
func WithPolicy(policy RatePolicy) RateOption {
	return func(r *RateEstimator) { r.policy = policy }
}

// RateEstimator estimates the rate that the node's own link currently carries, for
// links that are shared or temporarily slower than configured. It lowers the rate when
// callers retransmit data that the node has sent, and raises it again up to the
// configured rate. It has no clock and must be used by one goroutine.
type RateEstimator struct {
	configured float64
	// disabled is set if no rate is estimated.
	disabled bool
	policy   RatePolicy
	detector lossDetector
	slots    [slotCount]rateSlot
	// newestSlot is the number of the current slot, and maturedSlot that of the newest
	// slot that learnBackground has processed.
	newestSlot, maturedSlot int64
	// reducedRate is the rate set by the last reduction, at reducedAt; 0 if there was
	// none.
	reducedRate float64
	reducedAt   kernel.Instant
	// lossFreeTime is the weighted time since reducedAt without excessive loss.
	lossFreeTime time.Duration
	// lastLostSentAt is when the most recently sent of the lost packets was sent.
	lastLostSentAt kernel.Instant
	// evaluateAt is when the next evaluation is due; 0 if no losses are pending.
	evaluateAt kernel.Instant
	// backgroundLoss is the fraction of bytes that is lost without congestion.
	backgroundLoss float64
	reductions     uint64
}

// NewRateEstimator returns an estimator for a link with a configured rate in bytes per
// second; 0 means unlimited. If the configured rate is 0 or above maxEstimatedRate, no
// rate is estimated and Rate returns the configured one.
func NewRateEstimator(configured float64, opts ...RateOption) *RateEstimator {
	r := &RateEstimator{configured: configured, disabled: configured <= 0 || configured > maxEstimatedRate, policy: DeliveredRate()}
	r.detector = newLossDetector(observer{lost: r.recordLoss, delivered: r.recordDelivered})
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// ConfiguredRate returns the configured rate in bytes per second.
func (r *RateEstimator) ConfiguredRate() float64 { return r.configured }

// Reductions returns how often the rate was lowered.
func (r *RateEstimator) Reductions() uint64 { return r.reductions }

// Rate returns the estimated rate in bytes per second.
func (r *RateEstimator) Rate(now kernel.Instant) float64 {
	if r.disabled {
		return r.configured
	}
	r.advance(now)
	return r.current()
}

// current returns the rate as of the last call to advance.
func (r *RateEstimator) current() float64 {
	if r.reducedRate == 0 {
		return r.configured
	}
	return min(r.policy.Increase(r.reducedRate, r.configured, r.lossFreeTime), r.configured)
}

// RecordSent records a datagram that the node has sent.
func (r *RateEstimator) RecordSent(now kernel.Instant, sent SentDatagram) {
	if r.disabled {
		return
	}
	r.advance(now)
	slot := r.slotAt(now)
	slot.sent += sent.Size
	if r.detector.recordSent(now, sent) {
		slot.sentToLive += sent.Size
	}
}

// RecordPacket records a packet of an open flow received from a caller.
func (r *RateEstimator) RecordPacket(now kernel.Instant, packet ReceivedPacket) {
	if r.disabled {
		return
	}
	r.advance(now)
	r.detector.recordPacket(now, packet)
}

// RecordReceived records the size of a received datagram.
func (r *RateEstimator) RecordReceived(now kernel.Instant, bytes int) {
	if r.disabled {
		return
	}
	r.advance(now)
	r.slotAt(now).received += bytes
}

// isIngressBusy reports whether the incoming link was recently busy. Callers then
// retransmit data that still waits in front of that link, although nothing was lost.
func (r *RateEstimator) isIngressBusy() bool {
	received := 0
	first := max(r.newestSlot-int64(ingressWindow/slotTime), 0)
	for number := first; number < r.newestSlot; number++ {
		received += r.slots[number%slotCount].received
	}
	return float64(received) >= ingressBusyFraction*r.configured*ingressWindow.Seconds()
}

// RecordWriteError records a datagram that the system rejected because its send queue
// was full.
func (r *RateEstimator) RecordWriteError(now kernel.Instant) {
	if r.disabled {
		return
	}
	r.advance(now)
	r.countLoss(now, loss{sentAt: now, size: writeErrorSize})
}

func slotNumber(at kernel.Instant) int64 { return int64(at) / int64(slotTime) }

func (r *RateEstimator) slotAt(at kernel.Instant) *rateSlot {
	return &r.slots[slotNumber(at)%slotCount]
}

// recordLoss records a loss inferred from a caller's retransmission, unless the
// incoming link is busy.
func (r *RateEstimator) recordLoss(now kernel.Instant, lost loss) {
	if !r.isIngressBusy() {
		r.countLoss(now, lost)
	}
}

func (r *RateEstimator) countLoss(now kernel.Instant, lost loss) {
	if lost.sentAt.Before(r.reducedAt) {
		return
	}
	slot := r.slotAt(now)
	slot.lost += lost.size
	slot.lostPackets++
	r.lastLostSentAt = max(r.lastLostSentAt, lost.sentAt)
	if r.evaluateAt == 0 {
		r.evaluateAt = now.Add(evaluationDelay)
	}
}

func (r *RateEstimator) recordDelivered(now kernel.Instant, bytes int) {
	r.slotAt(now).delivered += bytes
}

// advance starts the slots up to now, updates the background loss and evaluates pending
// losses that are due.
func (r *RateEstimator) advance(now kernel.Instant) {
	if number := slotNumber(now); number > r.newestSlot {
		r.learnBackground(number - int64(maturityAge/slotTime))
		r.beginSlots(number)
		r.detectOutage(now)
	}
	if r.evaluateAt > 0 && !now.Before(r.evaluateAt) {
		r.evaluateAt = 0
		r.evaluate(now)
	}
}

// beginSlots starts the slots up to the given number. Time for which there are no slots
// counts as idle.
func (r *RateEstimator) beginSlots(number int64) {
	if passed := number - r.newestSlot - slotCount; passed > 0 {
		r.lossFreeTime += time.Duration(idleWeight * float64(passed) * float64(slotTime))
	}
	for begun := max(r.newestSlot+1, number-slotCount+1); begun <= number; begun++ {
		r.countLossFreeTime(&r.slots[(begun-1)%slotCount])
		r.slots[begun%slotCount] = rateSlot{rate: r.current()}
	}
	r.newestSlot = number
}

// countLossFreeTime adds the weighted time of a finished slot to lossFreeTime, unless
// recent losses were excessive or there was an outage.
func (r *RateEstimator) countLossFreeTime(slot *rateSlot) {
	recent := r.recentTotals()
	if recent.lossFraction() > toleratedLoss+r.backgroundLoss || recent.sent >= minOutageBytes/2 && recent.isOutage() {
		return
	}
	weight := idleWeight
	if float64(recent.sent) >= busyFraction*slot.rate*lossWindow.Seconds() {
		weight = 1
	}
	r.lossFreeTime += time.Duration(weight * float64(slotTime))
}

// evaluate lowers the rate if recent losses were excessive. The reduction starts from
// the rate at which the most recently sent of the lost packets was sent.
func (r *RateEstimator) evaluate(now kernel.Instant) {
	totals := r.recentTotals()
	if !totals.isExcessive(r.backgroundLoss) {
		return
	}
	r.reduce(now, r.slots[slotNumber(r.lastLostSentAt)%slotCount].rate, totals.excessFraction(r.backgroundLoss))
}

// reduce lowers the rate after a fraction of the data sent at the given rate was lost.
func (r *RateEstimator) reduce(now kernel.Instant, rate, lost float64) {
	r.reducedRate = max(r.policy.Decrease(rate, r.configured, lost), min(minRate, r.configured))
	r.reducedAt = now
	r.lossFreeTime = 0
	r.reductions++
}

// recentTotals sums up the slots of the loss window, but none before the last reduction.
func (r *RateEstimator) recentTotals() rateSlot {
	var totals rateSlot
	first := max(r.newestSlot-int64(lossWindow/slotTime), slotNumber(r.reducedAt), 0)
	for number := first; number <= r.newestSlot; number++ {
		totals.add(r.slots[number%slotCount])
	}
	return totals
}
