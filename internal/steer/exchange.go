package steer

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

// An exchange is a request of a caller and the target's response. A node sees only the
// packets of callers: data, acknowledgements, and how they end their flows. An exchange makes
// progress when the caller acknowledges more of the response. It is quiet if its first progress
// does not follow the caller's last new data within the quiet time of the route. The node
// classifies exchanges per target:
//
//   - Unanswered: an exchange that is quiet, or that ends with nothing acknowledged but the
//     target's close. Quiet is ignored on routes whose callers acknowledge one-packet
//     responses only with their next request (routeBaseline.isQuietSignificant).
//   - Short: a response far shorter than the route's baseline. A caller that closes midway
//     through a download looks the same, but does so at all targets alike. A short response
//     after which the caller resets the flow is not counted.
//   - Slow: first progress far later than the route's baseline. Uploads are timed from
//     their last new data, unless packets were retransmitted. Progress that arrives with the
//     next request is not timed. A lost one-packet request looks slow, at all targets alike.
//
// Exchanges are ignored if a local cause is possible: no other exchange made progress
// through this node meanwhile, the evidence is unreliable (isUnreliableObserver), the process
// was stalled, or the node dropped or delayed packets. An exchange whose caller ends the flow
// before progress and before the quiet time is not counted, since the caller may have canceled.
// A flow that the node joins midway counts from its second request on, because stray
// retransmissions of an ended flow look like such a flow. A flow that moves to another node
// looks quiet, at all targets alike. Positions wrap; packets out of order and retransmissions
// are detected by position.

const (
	// minQuietTime is the shortest time without progress after which an exchange is quiet.
	// Callers retransmit after 200 ms, so one lost packet has been repaired by then.
	minQuietTime = retransmitTimeout
	// multiPacketQuietTime is the same for data of several packets, where more than one may
	// be lost; callers retransmit 200 and 600 ms after the first transmission.
	multiPacketQuietTime = 700 * time.Millisecond
	// maxQuietTime bounds the quiet time of slow routes, so that failures are seen before
	// callers give up.
	maxQuietTime = time.Second
	// quietFactor is the ratio of the quiet time to routeBaseline.lateTime.
	quietFactor = 2
	// slowFactor is the ratio to the median response time above which an exchange is slow;
	// requests of one kind may take several times the median.
	slowFactor = 8
	// minSlowTime is the shortest time that counts as slow; network and queueing delays vary
	// by less.
	minSlowTime = 100 * time.Millisecond
	// strayPacketTime is how long after the end of a flow its packets may still arrive. It is
	// less than a caller's first retransmission timeout.
	strayPacketTime = 200 * time.Millisecond
	// finLength is the number of positions that a close takes in a stream, like a TCP FIN.
	finLength = 1
)

// exchangeStage is the state of an exchange.
type exchangeStage uint8

const (
	// exchangeNone is before the first data, or after the end of the flow.
	exchangeNone exchangeStage = iota
	// exchangeWaiting has data and no progress.
	exchangeWaiting
	// exchangeQuiet has had no progress for the quiet time.
	exchangeQuiet
	// exchangeAnswering has made progress.
	exchangeAnswering
)

// exchange is the latest exchange of a flow.
type exchange struct {
	stage exchangeStage
	// started is set once acknowledged is valid.
	started bool
	// ignored is set when the exchange is not evidence about the target.
	ignored bool
	// inWheel is set while the flow is in the timer wheel.
	inWheel bool
	// slow is set when the first progress was slow.
	slow bool
	// multiPacket is set when the request takes more than one packet.
	multiPacket bool
	// retransmitted is set when data was repeated or arrived out of order.
	retransmitted bool
	// baseAcknowledged is the caller's acknowledgement at the start of the exchange,
	// acknowledged the highest one, and end the position after the highest data.
	baseAcknowledged, acknowledged, end uint32
	// handshakeTime is the time from the opening packet to the caller's next packet.
	handshakeTime time.Duration
	// responseTime is the time to the first progress if it measures the target's work, or 0.
	responseTime time.Duration
	// subsequent is set when the flow had an exchange before.
	subsequent bool
	// joinedAt is when the node first saw a flow that began elsewhere.
	joinedAt kernel.Instant
	// lastDataAt is when data last arrived that had not been seen before.
	lastDataAt kernel.Instant
	target     *targetEntry
	baseline   *routeBaseline
	// nextInSlot is the next flow in the same slot of the timer wheel.
	nextInSlot *flowEntry
}

// exchangeTracker is the state shared by the exchanges of all flows.
type exchangeTracker struct {
	wheel timerWheel
	// withOutcomes are the targets with outcomes since the last report.
	withOutcomes []*targetEntry
	// lastProgressAt is when an exchange with any target last made progress.
	lastProgressAt kernel.Instant
	// Exchanges whose last new data arrived before ignoreBefore are ignored.
	ignoreBefore kernel.Instant
}

// trackExchange updates the exchange of a flow with a packet of the caller.
func (c *Core) trackExchange(now kernel.Instant, packet Packet, flow *flowEntry, target *targetEntry) {
	x := &flow.exchange
	if !x.started {
		x.started = true
		x.acknowledged = packet.Acknowledged
		x.baseAcknowledged = packet.Acknowledged
	}
	if advances(x.acknowledged, packet.Acknowledged) {
		x.acknowledged = packet.Acknowledged
		c.recordProgress(now, packet, x)
	}
	if packet.Size > 0 {
		c.recordData(now, packet, flow, target)
	}
	if packet.Closing || packet.Reset {
		c.endExchange(now, x, packet.Reset)
	}
}

// quietTime returns the time without progress after which the exchange is quiet.
func (x *exchange) quietTime() time.Duration {
	if x.multiPacket {
		return max(x.baseline.quietTime(), multiPacketQuietTime)
	}
	return x.baseline.quietTime()
}

// advances reports whether position to is ahead of from; positions wrap.
func advances(from, to uint32) bool { return int32(to-from) > 0 }

// joinMidFlow starts tracking a flow whose beginning this node has not seen.
func (x *exchange) joinMidFlow(now kernel.Instant, packet Packet) {
	*x = exchange{stage: exchangeAnswering, started: true, ignored: true, subsequent: true, joinedAt: now, baseAcknowledged: packet.Acknowledged, acknowledged: packet.Acknowledged}
	x.end = packet.Sequence + uint32(packet.Size)
}

// recordProgress records that the caller has received more of the response.
func (c *Core) recordProgress(now kernel.Instant, packet Packet, x *exchange) {
	if x.stage != exchangeWaiting && x.stage != exchangeQuiet {
		return
	}
	c.exchanges.lastProgressAt = now
	baseline := x.baseline
	if !c.exchanges.isIgnored(x) {
		baseline.addQuiet(x.stage == exchangeQuiet)
		elapsed := now.Sub(x.lastDataAt)
		timed := packet.Size == 0 && !(x.multiPacket && x.retransmitted)
		x.slow = timed && baseline.isSlow(elapsed)
		if timed {
			baseline.addTime(elapsed)
		}
		x.responseTime = 0
		if timed && x.measuresWork(packet) {
			x.responseTime = elapsed
		}
	}
	x.stage = exchangeAnswering
}

// measuresWork reports whether the time to the first progress measures the target's work:
// no data was retransmitted, and the caller was not idle before closing a reused flow.
func (x *exchange) measuresWork(packet Packet) bool {
	return !x.retransmitted && !(packet.Closing && x.subsequent)
}

// recordData records data of the caller. New data after a response starts an exchange.
func (c *Core) recordData(now kernel.Instant, packet Packet, flow *flowEntry, target *targetEntry) {
	x := &flow.exchange
	end := packet.Sequence + uint32(packet.Size)
	if x.stage != exchangeNone && !advances(x.end, end) {
		x.retransmitted = true
		return
	}
	x.end = end
	if x.stage == exchangeWaiting || x.stage == exchangeQuiet {
		x.lastDataAt = now
		x.multiPacket = true
		return
	}
	if x.stage == exchangeAnswering && x.acknowledged == x.baseAcknowledged {
		return
	}
	c.endExchange(now, x, false)
	x.subsequent = x.subsequent || x.lastDataAt > 0
	x.stage = exchangeWaiting
	x.ignored = now.Sub(x.joinedAt) < strayPacketTime
	x.slow = false
	x.responseTime = 0
	x.multiPacket = false
	x.retransmitted = false
	x.baseAcknowledged = x.acknowledged
	x.lastDataAt = now
	x.target = target
	x.baseline = c.baselineOf(packet.Flow)
	c.exchanges.wheel.add(now, flow, x.quietTime())
}

// endExchange counts the outcome of an exchange that has ended. A response is not short if
// the caller aborted it.
func (c *Core) endExchange(now kernel.Instant, x *exchange, aborted bool) {
	stage := x.stage
	x.stage = exchangeNone
	if stage != exchangeAnswering || c.exchanges.isIgnored(x) {
		return
	}
	size := x.acknowledged - x.baseAcknowledged
	switch {
	case aborted && x.baseline.isShort(size):
	case size <= finLength:
		c.recordOutcome(now, x.target, directory.Outcomes{Unanswered: 1})
	case x.baseline.isShort(size):
		c.recordOutcome(now, x.target, directory.Outcomes{Short: 1})
		c.recordWork(now, x, size)
	case x.slow:
		c.recordOutcome(now, x.target, directory.Outcomes{Slow: 1})
		c.recordWork(now, x, size)
	default:
		c.recordOutcome(now, x.target, directory.Outcomes{Answered: 1})
		c.recordWork(now, x, size)
	}
	if !aborted && size > finLength {
		x.baseline.addSize(size)
	}
}

// checkQuiet is called when the quiet time of an exchange may have passed. It returns the
// time that is left, or 0 if the exchange needs no further check.
func (c *Core) checkQuiet(now kernel.Instant, flow *flowEntry) time.Duration {
	x := &flow.exchange
	if x.stage != exchangeWaiting {
		return 0
	}
	quietTime := x.quietTime()
	if left := quietTime - now.Sub(x.lastDataAt); left > 0 {
		return left
	}
	x.stage = exchangeQuiet
	if x.baseline.mayProbeOnQuiet() {
		c.requestProbeForCaller(now, x.target)
	}
	othersProgressed := c.exchanges.lastProgressAt.Sub(x.lastDataAt) > quietTime/2
	if !othersProgressed || c.isUnreliableObserver(now) {
		x.ignored = true
	}
	if x.baseline.isQuietSignificant() && !c.exchanges.isIgnored(x) {
		c.recordOutcome(now, x.target, directory.Outcomes{Unanswered: 1})
	}
	return 0
}

// isIgnored reports whether an exchange is not evidence about its target.
func (t *exchangeTracker) isIgnored(x *exchange) bool {
	return x.ignored || x.lastDataAt < t.ignoreBefore
}

// ignoreExchanges makes the exchanges without new data after now count as no evidence: the
// process was stalled or delayed packets.
func (c *Core) ignoreExchanges(now kernel.Instant) { c.exchanges.ignoreBefore = now }
