package steer

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

// An exchange is data of a caller and what the target did with it. A node sees only
// what callers send: their data, their acknowledgements, and how they end flows. From
// that it counts for each target how exchanges end. The signs, and where they fail:
//
//   - Unanswered: data, and for the quiet time of its route no progress of the
//     acknowledgement and no new data; or an end whose acknowledgement covers nothing
//     but the target's own end. A caller on a long flow need not acknowledge an answer
//     of one packet before its next request: where flows that fell quiet speak again
//     with an answer, quiet says nothing (routeHabit.isQuietTelling). A node that
//     nobody else was answered through meanwhile is cut off or choked itself: what it
//     misses counts nothing. So does what a doubtful witness sees (isDoubtfulWitness),
//     what a node was stopped through, and what it dropped or held back.
//   - Short: an answer far shorter than the route's usual ones at this node. Where the
//     usual ones are short already, none is. A caller that ends a download midway looks
//     the same, at all targets alike; one that breaks it off with a reset does not.
//   - Slow: a first progress far later than is usual for the route. Uploads are timed
//     from their last new data, unless some of it was lost. Only what is seen at once is
//     timed: progress that comes with the next request says nothing of when the answer
//     came. A request of one packet that was lost looks slow, at all targets alike and
//     seldom.
//
// A caller that breaks off before the quiet time, by an end or a reset, may have
// changed its mind, or sends no more and listens on: that counts nothing. A flow that
// a node joins midway counts from a later request on, since stray copies of a flow that
// has ended look like one that is joined; one that leaves the node looks
// quiet, at all targets alike and seldom. Packets out of order and copies are told by
// their positions, which wrap. Data sent again after a loss is no new request.

const (
	// shortestQuiet is the time without progress after which an exchange may count as
	// unanswered: callers send data again after 200 ms, so one lost packet is made good
	// by then.
	minQuietTime = retransmitTimeout
	// longQuiet is the same for data of more than one packet: others of them may be lost,
	// and copies of a packet are sent after 200 and 600 ms.
	multiPacketQuietTime = 700 * time.Millisecond
	// longestQuiet bounds the quiet time of routes whose answers take long, so that a
	// target is seen within the time in which callers give up.
	maxQuietTime = time.Second
	// quietFactor is the multiple of the time that a route's late answers take after
	// which an exchange is quiet.
	quietFactor = 2
	// slowFactor is the multiple of a route's usual time to the first progress that is
	// slow: work of one kind may take several times its mean.
	slowFactor = 8
	// shortestSlow is the least time to a first progress that counts as slow; below it
	// ways and queues differ by as much.
	minSlowTime = 100 * time.Millisecond
	// strayTime is the time after a flow's end in which copies of its packets may still
	// come: less than the time after which callers send copies. They look like a flow
	// that the node joins.
	strayPacketTime = 200 * time.Millisecond
	// ownEnd is the number of positions that a target's end takes in its stream.
	finLength = 1
)

// exchangeStage tells how far an exchange has come.
type exchangeStage uint8

const (
	// exchangeNone is before the first data, or after the flow is forgotten.
	exchangeNone exchangeStage = iota
	// exchangeWaiting has data and no progress.
	exchangeWaiting
	// exchangeQuiet has waited for longer than the quiet time.
	exchangeQuiet
	// exchangeAnswering has made progress.
	exchangeAnswering
)

// exchange is the newest exchange of a flow.
type exchange struct {
	stage exchangeStage
	// begun is set once acknowledged is known.
	started bool
	// void is set when the exchange tells nothing of the target.
	ignored bool
	// listed is set while the flow is in the wheel.
	inWheel bool
	// slow is set when the first progress was late.
	slow bool
	// long is set when the data takes more than one packet.
	multiPacket bool
	// copied is set when some of it was sent again or came out of order.
	retransmitted bool
	// base is the caller's acknowledgement when the exchange began, acknowledged the
	// furthest one, and end the position behind the furthest data.
	baseAcknowledged, acknowledged, end uint32
	// way is the time from the flow's opening packet to the caller's next one.
	handshakeTime time.Duration
	// took is the time to the first progress where it is that of the target's work, or 0.
	responseTime time.Duration
	// later is set when the flow had an exchange before.
	subsequent bool
	// joinedAt is when the node first saw a flow whose beginning it did not see.
	joinedAt kernel.Instant
	// newest is when data came that was not sent before.
	lastDataAt kernel.Instant
	target     *targetEntry
	baseline   *routeBaseline
	// next is the next flow in the same slot of the wheel.
	nextInSlot *flowEntry
}

// exchangeWatch follows the exchanges of the open flows.
type exchangeTracker struct {
	wheel timerWheel
	// counted are the targets with outcomes since the last report.
	withOutcomes []*targetEntry
	// answered is when an exchange last made progress, at any target.
	lastProgressAt kernel.Instant
	// voidBefore is the time up to which exchanges that have begun tell nothing.
	ignoreBefore kernel.Instant
}

// noteExchange follows a packet of an open flow.
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

// advances reports whether a position is ahead of another one; positions wrap.
func advances(from, to uint32) bool { return int32(to-from) > 0 }

// join notes that the node sees a flow whose beginning it did not see.
func (x *exchange) joinMidFlow(now kernel.Instant, packet Packet) {
	*x = exchange{stage: exchangeAnswering, started: true, ignored: true, subsequent: true, joinedAt: now, baseAcknowledged: packet.Acknowledged, acknowledged: packet.Acknowledged}
	x.end = packet.Sequence + uint32(packet.Size)
}

// noteProgress notes that the caller has got more of an answer.
func (c *Core) recordProgress(now kernel.Instant, packet Packet, x *exchange) {
	if x.stage != exchangeWaiting && x.stage != exchangeQuiet {
		return
	}
	c.exchanges.lastProgressAt = now
	habit := x.baseline
	if !c.exchanges.isIgnored(x) {
		habit.addQuiet(x.stage == exchangeQuiet)
		took := now.Sub(x.lastDataAt)
		timed := packet.Size == 0 && !(x.multiPacket && x.retransmitted)
		x.slow = timed && habit.isSlow(took)
		if timed {
			habit.addTime(took)
		}
		x.responseTime = 0
		if timed && x.measuresWork(packet) {
			x.responseTime = took
		}
	}
	x.stage = exchangeAnswering
}

// tellsWork reports whether the time to a first progress is that of the target's work:
// no data was sent again, and the caller did not rest before it ended a long flow.
func (x *exchange) measuresWork(packet Packet) bool {
	return !x.retransmitted && !(packet.Closing && x.subsequent)
}

// noteData follows data: new data after an answer begins the next exchange.
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

// endExchange counts an exchange that has ended. A caller that broke off got what it
// got: its answer can't be held for short.
func (c *Core) endExchange(now kernel.Instant, x *exchange, brokenOff bool) {
	stage := x.stage
	x.stage = exchangeNone
	if stage != exchangeAnswering || c.exchanges.isIgnored(x) {
		return
	}
	size := x.acknowledged - x.baseAcknowledged
	switch {
	case brokenOff && x.baseline.isShort(size):
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
	if !brokenOff && size > finLength {
		x.baseline.addSize(size)
	}
}

// noteQuietFlow is called when the quiet time of an exchange may be over. It returns
// how long it still lasts, or 0 when it need not be looked at again.
func (c *Core) checkQuiet(now kernel.Instant, flow *flowEntry) time.Duration {
	x := &flow.exchange
	if x.stage != exchangeWaiting {
		return 0
	}
	limit := x.quietTime()
	if left := limit - now.Sub(x.lastDataAt); left > 0 {
		return left
	}
	x.stage = exchangeQuiet
	if x.baseline.mayProbeOnQuiet() {
		c.requestProbe(now, x.target)
	}
	heardOthers := c.exchanges.lastProgressAt.Sub(x.lastDataAt) > limit/2
	if !heardOthers || c.isUnreliableObserver(now) {
		x.ignored = true
	}
	if x.baseline.isQuietSignificant() && !c.exchanges.isIgnored(x) {
		c.recordOutcome(now, x.target, directory.Outcomes{Unanswered: 1})
	}
	return 0
}

// isVoid reports whether an exchange tells nothing of its target.
func (w *exchangeTracker) isIgnored(x *exchange) bool {
	return x.ignored || x.lastDataAt < w.ignoreBefore
}

// voidExchanges makes the exchanges that have begun count nothing: the node was
// stopped, or held back what it should have forwarded.
func (c *Core) ignoreExchanges(now kernel.Instant) { c.exchanges.ignoreBefore = now }
