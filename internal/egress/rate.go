package egress

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

const (
	// lossWindow is how far back a verdict looks: a caller's window takes so long on a
	// link of half a Mbit/s.
	lossWindow = 400 * time.Millisecond
	// evaluationDelay is the time from the first signs of loss to the verdict: callers send
	// all that is missing within a few milliseconds.
	evaluationDelay = 25 * time.Millisecond
	// maturityAge is the age of packets whose losses have been seen.
	maturityAge = 500 * time.Millisecond
	// busyFraction is the part of the rate from which on what is sent tests it.
	busyFraction = 0.5
	// idleWeight is the part with which time counts that does not test the rate: bursts
	// with pauses lose less, and a rate is not kept low for ever for lack of tests.
	idleWeight = 0.3
	// backgroundBytes is the number of bytes over which the usual share is averaged:
	// about a second of a link of half a Mbit/s.
	backgroundBytes = 64 * 1024
	// maxBackground is the largest usual share; beyond it a link is of no use, and
	// taking it for usual would hide any congestion.
	maxBackground = 0.3
	// writeErrorSize is the size in bytes of a datagram that the system did not take: it
	// tells no size, and full ones are what fills its queue.
	writeErrorSize = 1240
	// ingressWindow is the time over which the incoming link is looked at: callers wait 200 ms
	// before they send again. ingressBusyFraction is the part of the stated rate from which on it
	// counts as busy.
	ingressWindow       = 250 * time.Millisecond
	ingressBusyFraction = 0.7
	// minRate is the floor in bytes a second: a caller's whole window of 16 packets
	// gets through within its longest pause of 1.6 s, so that it never gives up a
	// flow for the rate alone.
	minRate = 16 * writeErrorSize / 1.6
)

// maxEstimatedRate is the rate in bytes a second beyond which nothing is learned: packets
// would be forgotten within the 250 ms until callers send them again.
const maxEstimatedRate = dataMarkCount * writeErrorSize / 0.25

// RateOption changes how a rate is learned.
type RateOption func(r *RateEstimator)

// WithPolicy sets how the rate follows losses; DeliveredRate when not given.
func WithPolicy(policy RatePolicy) RateOption {
	return func(r *RateEstimator) { r.policy = policy }
}

// RateEstimator learns the rate that a node's own link carries now. It answers links
// that are narrower than stated, for a while or since others share them: it lowers the
// rate when callers send again what has left the node, and raises it up to the stated
// one. It has no clock. One goroutine owns it.
type RateEstimator struct {
	configured float64
	// idle is set where nothing is learned.
	disabled bool
	policy   RatePolicy
	detector lossDetector
	slots    [slotCount]rateSlot
	// newest is the number of the newest slot, and matured that of the newest one
	// whose losses have been seen.
	newestSlot, maturedSlot int64
	// reduced is the rate after the last verdict, at reducedAt; 0 when there was none.
	reducedRate float64
	reducedAt   kernel.Instant
	// borne is the time since then for which the link has borne the rate.
	lossFreeTime time.Duration
	// lastLostSentAt is when the newest packet was sent that was lost.
	lastLostSentAt kernel.Instant
	// evaluateAt is when the next verdict is due; 0 while there are no signs.
	evaluateAt kernel.Instant
	// background is the usual share of bytes that are lost without congestion.
	backgroundLoss float64
	reductions     uint64
}

// NewRateEstimator returns a learner for a link of a stated rate in bytes a second. One
// of 0 bounds nothing and learns nothing; one beyond maxEstimatedRate keeps its rate.
func NewRateEstimator(stated float64, opts ...RateOption) *RateEstimator {
	r := &RateEstimator{configured: stated, disabled: stated <= 0 || stated > maxEstimatedRate, policy: DeliveredRate()}
	r.detector = newLossDetector(observer{lost: r.recordLoss, delivered: r.recordDelivered})
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// ConfiguredRate returns the stated rate in bytes a second.
func (r *RateEstimator) ConfiguredRate() float64 { return r.configured }

// Reductions returns how often the rate was lowered.
func (r *RateEstimator) Reductions() uint64 { return r.reductions }

// Rate returns the rate in bytes a second.
func (r *RateEstimator) Rate(now kernel.Instant) float64 {
	if r.disabled {
		return r.configured
	}
	r.advance(now)
	return r.current()
}

// current returns the rate at the time of the last look.
func (r *RateEstimator) current() float64 {
	if r.reducedRate == 0 {
		return r.configured
	}
	return min(r.policy.Increase(r.reducedRate, r.configured, r.lossFreeTime), r.configured)
}

// RecordSent notes a datagram that has left the node.
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

// RecordPacket notes a packet of an open flow that has come from a caller.
func (r *RateEstimator) RecordPacket(now kernel.Instant, packet ReceivedPacket) {
	if r.disabled {
		return
	}
	r.advance(now)
	r.detector.recordPacket(now, packet)
}

// RecordReceived notes a datagram that has come to the node.
func (r *RateEstimator) RecordReceived(now kernel.Instant, bytes int) {
	if r.disabled {
		return
	}
	r.advance(now)
	r.slotAt(now).received += bytes
}

// isIngressBusy reports whether the incoming link was busy lately. What waits there is not
// seen here, and its callers send it again though nothing was lost.
func (r *RateEstimator) isIngressBusy() bool {
	received := 0
	first := max(r.newestSlot-int64(ingressWindow/slotTime), 0)
	for number := first; number < r.newestSlot; number++ {
		received += r.slots[number%slotCount].received
	}
	return float64(received) >= ingressBusyFraction*r.configured*ingressWindow.Seconds()
}

// RecordWriteError notes a datagram that the system did not take since its own queue for
// the link is full.
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

// recordLoss counts a loss that callers show. What was sent before the last verdict says nothing of the
// rate since.
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

// advance begins the slots up to now, learns from those whose losses have been seen
// and gives a verdict when one is due.
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

// begin begins the slots up to a number.
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

// countLossFreeTime counts the time of a slot that is over, unless more than usual was lost
// lately.
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

// judge lowers the rate when more was lost than is due.
func (r *RateEstimator) evaluate(now kernel.Instant) {
	sum := r.recentTotals()
	if !sum.isExcessive(r.backgroundLoss) {
		return
	}
	r.reduce(now, r.slots[slotNumber(r.lastLostSentAt)%slotCount].rate, sum.excessFraction(r.backgroundLoss))
}

// reduce lowers the rate after a share was lost at a rate.
func (r *RateEstimator) reduce(now kernel.Instant, rate, share float64) {
	r.reducedRate = max(r.policy.Decrease(rate, r.configured, share), min(minRate, r.configured))
	r.reducedAt = now
	r.lossFreeTime = 0
	r.reductions++
}

// sum counts what was lately learned since the last verdict.
func (r *RateEstimator) recentTotals() rateSlot {
	var sum rateSlot
	first := max(r.newestSlot-int64(lossWindow/slotTime), slotNumber(r.reducedAt), 0)
	for number := first; number <= r.newestSlot; number++ {
		sum.add(r.slots[number%slotCount])
	}
	return sum
}
