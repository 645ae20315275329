package steer

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

// While a caller sends much data its acknowledgement stands still, and its packets
// come in any order. What they show all the same:
//
//   - Data farther than a window past a packet is sent only when the target has
//     acknowledged that packet.
//   - Without an answer a caller rests, sends its first missing packet once more, and
//     rests again for twice the time. So a lower packet after a rest is one that was
//     sent again, and another lower packet soon after it follows an acknowledgement.
//   - A lower packet without a rest before it has been overtaken by others.

const (
	// largestData is the most data of one packet in bytes.
	maxPacketData = 1200
	// sendWindow is the most data in bytes that is under way from a caller: 16 packets.
	sendWindow = 16 * maxPacketData
	// resendRest is the rest before data that is sent again: less than the caller's
	// 200 ms by what packets are delayed, and far more than packets of one burst are
	// apart.
	retransmitGap = 150 * time.Millisecond
	// resentLifetime is how long data that was sent again once counts. A caller
	// need not acknowledge an answer of one packet: what it then stops sending
	// has been answered.
	resentLifetime = 450 * time.Millisecond
	// resentTwiceLifetime is the same for data that was sent again more often;
	// the caller's pauses grow.
	resentTwiceLifetime = 900 * time.Millisecond
	// seenPackets is the number of packets in a row of which is known whether they came.
	seenWindow = 64
)

// The weights of evidence.
const (
	weightResent      = 1
	weightResentTwice = 2
)

// pendingData is data of a caller that the target has not answered.
type pendingData struct {
	// waiting is set while an answer is missing.
	waiting bool
	since   kernel.Instant
	// sentAt is when data last came.
	lastDataAt kernel.Instant
	// end is the position after the farthest data.
	end uint32
	// mark is a packet that the target had not acknowledged when it came: data farther
	// than a window past it shows that the target has done so since.
	mark uint32
	// seen tells which packets came, each a bit, the first at position base.
	seen uint64
	base uint32
	// probed is set once the packet at probe was sent again after a rest.
	resendSeen     bool
	resendPosition uint32
	// excused is set when this node has dropped a packet: what is sent again next
	// says nothing.
	excused bool
	// resent is the number of times that the caller has sent data again after a rest.
	resends  int
	resentAt kernel.Instant
	// resentBefore is when it did so the time before.
	previousResentAt kernel.Instant
}

// beginPending begins the wait for the answer to data.
func newPendingData(now kernel.Instant, packet Packet) pendingData {
	pending := pendingData{waiting: true, since: now, lastDataAt: now, base: packet.Sequence, mark: packet.Sequence}
	pending.end = packet.Sequence + uint32(packet.Size)
	pending.markSeen(packet.Sequence)
	return pending
}

// note takes the caller's next data. It reports whether the data shows that the target
// has answered.
func (p *pendingData) add(now kernel.Instant, packet Packet) bool {
	rested := now.Sub(p.lastDataAt) >= retransmitGap
	p.lastDataAt = now
	known := p.markSeen(packet.Sequence)
	end := packet.Sequence + uint32(packet.Size)
	if int32(end-p.end) > 0 {
		p.end = end
		return p.addNew(packet.Sequence, rested)
	}
	if rested {
		p.addResent(now, packet.Sequence, known)
		return false
	}
	return p.resendSeen && packet.Sequence != p.resendPosition
}

// noteNew takes data that is farther than all before.
func (p *pendingData) addNew(position uint32, rested bool) bool {
	if rested {
		p.mark = position
		return false
	}
	return int32(p.end-p.mark) > sendWindow
}

// noteProbe takes data that the caller has sent again after a rest. It speaks against
// the target only when this node has passed it on before.
func (p *pendingData) addResent(now kernel.Instant, position uint32, known bool) {
	p.resendSeen = true
	p.resendPosition = position
	excused := p.excused
	p.excused = false
	if !known || excused {
		return
	}
	p.resends++
	p.previousResentAt = p.resentAt
	p.resentAt = now
}

// undoResent takes back that data was sent again just now, if it was.
func (p *pendingData) undoResent(now kernel.Instant) bool {
	if p.resends == 0 || p.resentAt != now {
		return false
	}
	p.resends--
	p.resentAt = p.previousResentAt
	return true
}

// excuse forgets what the data showed against the target: this node has dropped a
// packet of it.
func (p *pendingData) excuse() {
	p.excused = true
	p.resends = 0
}

// advance begins the wait anew: the target has answered part of the data.
func (p *pendingData) restart(now kernel.Instant, position uint32) {
	p.since = now
	p.mark = position
	p.resendSeen = false
	p.excused = false
	p.resends = 0
}

// see notes that a packet came and returns whether it had come before.
func (p *pendingData) markSeen(position uint32) bool {
	slot := p.slot(position)
	switch {
	case slot < 0:
		p.base -= uint32(-slot) * maxPacketData
		p.seen <<= uint64(-slot)
		slot = 0
	case slot >= seenWindow:
		shift := slot - seenWindow + 1
		p.base += uint32(shift) * maxPacketData
		p.seen >>= uint64(shift)
		slot = seenWindow - 1
	}
	bit := uint64(1) << uint64(slot)
	known := p.seen&bit != 0
	p.seen |= bit
	return known
}

// slot returns the number of a position's packet, counted from base.
func (p *pendingData) slot(position uint32) int64 {
	offset := int64(int32(position - p.base))
	if offset < 0 {
		offset -= maxPacketData - 1
	}
	return offset / maxPacketData
}

// weight returns how much the wait says against the target.
func (p *pendingData) weight(now kernel.Instant) uint32 {
	age := now.Sub(p.resentAt)
	switch {
	case now.Sub(p.since) < silenceThreshold:
		return 0
	case p.resends > 1 && age < resentTwiceLifetime:
		return weightResentTwice
	case p.resends == 1 && age < resentLifetime:
		return weightResent
	}
	return 0
}

// notePending follows the caller's data: what is sent again has not been
// answered.
func (c *Core) trackPending(now kernel.Instant, packet Packet, flow *flowEntry) {
	if packet.Size == 0 {
		return
	}
	c.beginWait(now, flow)
	pending := &flow.pending
	if !pending.waiting {
		*pending = newPendingData(now, packet)
		return
	}
	if pending.add(now, packet) {
		c.losses.addAnswered(pending.resends)
		pending.restart(now, packet.Sequence)
		c.recordAnswer(now, flow.target)
		delete(c.unanswered, packet.Flow)
		return
	}
	if pending.resends > 0 {
		c.unanswered[packet.Flow] = flow
	}
}

// settle ends the wait for an answer.
func (c *Core) endPending(key FlowKey, flow *flowEntry) {
	if flow.pending.waiting {
		c.losses.addAnswered(flow.pending.resends)
	}
	flow.pending.waiting = false
	c.endWait(flow)
	delete(c.unanswered, key)
}
