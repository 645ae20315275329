package egress

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

const (
	// spanTime is how far back a verdict looks: a caller's window takes so long on a
	// link of half a Mbit/s.
	spanTime = 400 * time.Millisecond
	// settleTime is the time from the first signs of loss to the verdict: callers send
	// all that is missing within a few milliseconds.
	settleTime = 25 * time.Millisecond
	// matureTime is the age of packets whose losses have been seen.
	matureTime = 500 * time.Millisecond
	// busyShare is the part of the rate from which on what is sent tests it.
	busyShare = 0.5
	// idleWeight is the part with which time counts that does not test the rate: bursts
	// with pauses lose less, and a rate is not kept low for ever for lack of tests.
	idleWeight = 0.3
	// backgroundBytes is the number of bytes over which the usual share is averaged:
	// about a second of a link of half a Mbit/s.
	backgroundBytes = 64 * 1024
	// largestBackground is the largest usual share; beyond it a link is of no use, and
	// taking it for usual would hide any congestion.
	largestBackground = 0.3
	// errorSize is the size in bytes of a datagram that the system did not take: it
	// tells no size, and full ones are what fills its queue.
	errorSize = 1240
	// floodTime is the time over which the incoming link is looked at: callers wait 200 ms
	// before they send again. floodShare is the part of the stated rate from which on it
	// counts as busy.
	floodTime  = 250 * time.Millisecond
	floodShare = 0.7
	// leastRate is the floor in bytes a second: a caller's whole window of 16 packets
	// gets through within its longest pause of 1.6 s, so that it never gives up a
	// flow for the rate alone.
	leastRate = 16 * errorSize / 1.6
)

// fastestRate is the rate in bytes a second beyond which nothing is learned: packets
// would be forgotten within the 250 ms until callers send them again.
const fastestRate = dataMarks * errorSize / 0.25

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
	stated float64
	// idle is set where nothing is learned.
	idle   bool
	policy RatePolicy
	watch  lossWatch
	slots  [slotCount]rateSlot
	// newest is the number of the newest slot, and matured that of the newest one
	// whose losses have been seen.
	newest, matured int64
	// reduced is the rate after the last verdict, at reducedAt; 0 when there was none.
	reduced   float64
	reducedAt kernel.Instant
	// borne is the time since then for which the link has borne the rate.
	borne time.Duration
	// lastLost is when the newest packet was sent that was lost.
	lastLost kernel.Instant
	// judgeAt is when the next verdict is due; 0 while there are no signs.
	judgeAt kernel.Instant
	// background is the usual share of bytes that are lost without congestion.
	background float64
	reductions uint64
}

// NewRateEstimator returns a learner for a link of a stated rate in bytes a second. One
// of 0 bounds nothing and learns nothing; one beyond fastestRate keeps its rate.
func NewRateEstimator(stated float64, opts ...RateOption) *RateEstimator {
	r := &RateEstimator{stated: stated, idle: stated <= 0 || stated > fastestRate, policy: DeliveredRate()}
	r.watch = newLossWatch(observer{lost: r.noteLoss, delivered: r.noteDelivered})
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// ConfiguredRate returns the stated rate in bytes a second.
func (r *RateEstimator) ConfiguredRate() float64 { return r.stated }

// Reductions returns how often the rate was lowered.
func (r *RateEstimator) Reductions() uint64 { return r.reductions }

// Rate returns the rate in bytes a second.
func (r *RateEstimator) Rate(now kernel.Instant) float64 {
	if r.idle {
		return r.stated
	}
	r.advance(now)
	return r.current()
}

// current returns the rate at the time of the last look.
func (r *RateEstimator) current() float64 {
	if r.reduced == 0 {
		return r.stated
	}
	return min(r.policy.Grown(r.reduced, r.stated, r.borne), r.stated)
}

// RecordSent notes a datagram that has left the node.
func (r *RateEstimator) RecordSent(now kernel.Instant, sent SentDatagram) {
	if r.idle {
		return
	}
	r.advance(now)
	slot := r.slotAt(now)
	slot.sent += sent.Size
	if r.watch.noteSent(now, sent) {
		slot.proven += sent.Size
	}
}

// RecordPacket notes a packet of an open flow that has come from a caller.
func (r *RateEstimator) RecordPacket(now kernel.Instant, packet ReceivedPacket) {
	if r.idle {
		return
	}
	r.advance(now)
	r.watch.noteArrived(now, packet)
}

// RecordReceived notes a datagram that has come to the node.
func (r *RateEstimator) RecordReceived(now kernel.Instant, bytes int) {
	if r.idle {
		return
	}
	r.advance(now)
	r.slotAt(now).received += bytes
}

// isFlooded reports whether the incoming link was busy lately. What waits there is not
// seen here, and its callers send it again though nothing was lost.
func (r *RateEstimator) isFlooded() bool {
	received := 0
	first := max(r.newest-int64(floodTime/slotTime), 0)
	for number := first; number < r.newest; number++ {
		received += r.slots[number%slotCount].received
	}
	return float64(received) >= floodShare*r.stated*floodTime.Seconds()
}

// RecordWriteError notes a datagram that the system did not take since its own queue for
// the link is full.
func (r *RateEstimator) RecordWriteError(now kernel.Instant) {
	if r.idle {
		return
	}
	r.advance(now)
	r.countLoss(now, loss{sentAt: now, size: errorSize})
}

func slotNumber(at kernel.Instant) int64 { return int64(at) / int64(slotTime) }

func (r *RateEstimator) slotAt(at kernel.Instant) *rateSlot {
	return &r.slots[slotNumber(at)%slotCount]
}

// noteLoss counts a loss that callers show. What was sent before the last verdict says nothing of the
// rate since.
func (r *RateEstimator) noteLoss(now kernel.Instant, lost loss) {
	if !r.isFlooded() {
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
	r.lastLost = max(r.lastLost, lost.sentAt)
	if r.judgeAt == 0 {
		r.judgeAt = now.Add(settleTime)
	}
}

func (r *RateEstimator) noteDelivered(now kernel.Instant, bytes int) {
	r.slotAt(now).delivered += bytes
}

// advance begins the slots up to now, learns from those whose losses have been seen
// and gives a verdict when one is due.
func (r *RateEstimator) advance(now kernel.Instant) {
	if number := slotNumber(now); number > r.newest {
		r.learnBackground(number - int64(matureTime/slotTime))
		r.begin(number)
		r.lookForOutage(now)
	}
	if r.judgeAt > 0 && !now.Before(r.judgeAt) {
		r.judgeAt = 0
		r.judge(now)
	}
}

// begin begins the slots up to a number.
func (r *RateEstimator) begin(number int64) {
	if passed := number - r.newest - slotCount; passed > 0 {
		r.borne += time.Duration(idleWeight * float64(passed) * float64(slotTime))
	}
	for begun := max(r.newest+1, number-slotCount+1); begun <= number; begun++ {
		r.countBorne(&r.slots[(begun-1)%slotCount])
		r.slots[begun%slotCount] = rateSlot{rate: r.current()}
	}
	r.newest = number
}

// countBorne counts the time of a slot that is over, unless more than usual was lost
// lately.
func (r *RateEstimator) countBorne(slot *rateSlot) {
	recent := r.sum()
	if recent.lostShare() > dueShare+r.background || recent.sent >= outageBytes/2 && recent.isOutage() {
		return
	}
	weight := idleWeight
	if float64(recent.sent) >= busyShare*slot.rate*spanTime.Seconds() {
		weight = 1
	}
	r.borne += time.Duration(weight * float64(slotTime))
}

// judge lowers the rate when more was lost than is due.
func (r *RateEstimator) judge(now kernel.Instant) {
	sum := r.sum()
	if !sum.isUndue(r.background) {
		return
	}
	r.reduce(now, r.slots[slotNumber(r.lastLost)%slotCount].rate, sum.undueShare(r.background))
}

// reduce lowers the rate after a share was lost at a rate.
func (r *RateEstimator) reduce(now kernel.Instant, rate, share float64) {
	r.reduced = max(r.policy.Reduced(rate, r.stated, share), min(leastRate, r.stated))
	r.reducedAt = now
	r.borne = 0
	r.reductions++
}

// sum counts what was lately learned since the last verdict.
func (r *RateEstimator) sum() rateSlot {
	var sum rateSlot
	first := max(r.newest-int64(spanTime/slotTime), slotNumber(r.reducedAt), 0)
	for number := first; number <= r.newest; number++ {
		sum.add(r.slots[number%slotCount])
	}
	return sum
}
