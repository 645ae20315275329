package steer

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

// During an upload the caller's acknowledgement does not change, and its packets may arrive in
// any order. Answers of the target are then inferred from the caller's sending:
//
//   - Data farther than a window past a packet is sent only after the target acknowledged
//     that packet.
//   - Without an acknowledgement a caller pauses, retransmits its first unacknowledged packet,
//     and pauses again for twice the time. A packet below the highest position that follows a
//     pause is thus a retransmission. A different packet below the highest position soon after
//     it shows that an acknowledgement has arrived.
//   - Any other packet below the highest position was reordered.

const (
	// maxPacketData is the largest number of data bytes in a packet.
	maxPacketData = 1200
	// sendWindow is the largest number of unacknowledged bytes of a caller: 16 packets.
	sendWindow = 16 * maxPacketData
	// retransmitGap is the least pause before a retransmission: the caller's 200 ms less
	// network jitter, and far more than the gaps within a burst.
	retransmitGap = 150 * time.Millisecond
	// resentLifetime is how long a single retransmission counts. A caller need not
	// acknowledge a response of one packet, so if it stops retransmitting, the target has
	// probably answered.
	resentLifetime = 450 * time.Millisecond
	// resentTwiceLifetime is the same for repeated retransmissions, whose intervals grow.
	resentTwiceLifetime = 900 * time.Millisecond
	// seenWindow is the number of consecutive packets for which arrival is recorded.
	seenWindow = 64
)

// The weights of evidence.
const (
	weightResent      = 1
	weightResentTwice = 2
	// weightUnreachable is the least weight of unanswered opening packets to a target that
	// accepts no connections.
	weightUnreachable = 2
)

// pendingData is data of a caller that the target has not acknowledged.
type pendingData struct {
	// waiting is set while an answer is outstanding, and since is when that began.
	waiting bool
	since   kernel.Instant
	// lastDataAt is when data last arrived.
	lastDataAt kernel.Instant
	// end is the position after the highest data.
	end uint32
	// mark is the position of a packet that was not acknowledged when it arrived. Data more
	// than a window past it shows that the target has answered.
	mark uint32
	// seen has a bit for each packet that arrived, starting at position base.
	seen uint64
	base uint32
	// resendSeen is set once the packet at resendPosition was retransmitted after a pause.
	resendSeen     bool
	resendPosition uint32
	// excused is set when this node dropped a packet, so that the next retransmission is not
	// evidence.
	excused bool
	// resends is the number of retransmissions after a pause.
	resends  int
	resentAt kernel.Instant
	// previousResentAt is resentAt before the last retransmission.
	previousResentAt kernel.Instant
}

// newPendingData starts the wait for an answer to data.
func newPendingData(now kernel.Instant, packet Packet) pendingData {
	pending := pendingData{waiting: true, since: now, lastDataAt: now, base: packet.Sequence, mark: packet.Sequence}
	pending.end = packet.Sequence + uint32(packet.Size)
	pending.markSeen(packet.Sequence)
	return pending
}

// add records further data, and reports whether it shows that the target has answered.
func (p *pendingData) add(now kernel.Instant, packet Packet) bool {
	paused := now.Sub(p.lastDataAt) >= retransmitGap
	p.lastDataAt = now
	seenBefore := p.markSeen(packet.Sequence)
	end := packet.Sequence + uint32(packet.Size)
	if int32(end-p.end) > 0 {
		p.end = end
		return p.addNew(packet.Sequence, paused)
	}
	if paused {
		p.addResent(now, packet.Sequence, seenBefore)
		return false
	}
	return p.resendSeen && packet.Sequence != p.resendPosition
}

// addNew records data beyond all earlier data.
func (p *pendingData) addNew(position uint32, paused bool) bool {
	if paused {
		p.mark = position
		return false
	}
	return int32(p.end-p.mark) > sendWindow
}

// addResent records a retransmission after a pause. It is evidence only if this node has
// forwarded the data before.
func (p *pendingData) addResent(now kernel.Instant, position uint32, seenBefore bool) {
	p.resendSeen = true
	p.resendPosition = position
	excused := p.excused
	p.excused = false
	if !seenBefore || excused {
		return
	}
	p.resends++
	p.previousResentAt = p.resentAt
	p.resentAt = now
}

// undoResent reverts the last retransmission if it was recorded at the given time, and reports
// whether it was.
func (p *pendingData) undoResent(now kernel.Instant) bool {
	if p.resends == 0 || p.resentAt != now {
		return false
	}
	p.resends--
	p.resentAt = p.previousResentAt
	return true
}

// excuse clears the evidence, because this node dropped a packet of the flow.
func (p *pendingData) excuse() {
	p.excused = true
	p.resends = 0
}

// restart starts a new wait after the target has answered part of the data.
func (p *pendingData) restart(now kernel.Instant, position uint32) {
	p.since = now
	p.mark = position
	p.resendSeen = false
	p.excused = false
	p.resends = 0
}

// markSeen records the arrival of a packet and returns whether it had arrived before.
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
	seenBefore := p.seen&bit != 0
	p.seen |= bit
	return seenBefore
}

// slot returns the index of a position's packet, relative to base.
func (p *pendingData) slot(position uint32) int64 {
	offset := int64(int32(position - p.base))
	if offset < 0 {
		offset -= maxPacketData - 1
	}
	return offset / maxPacketData
}

// weight returns the weight of the evidence against the target.
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

// trackPending updates the unanswered data of a flow with a packet of the caller.
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

// endPending ends the wait for an answer.
func (c *Core) endPending(key FlowKey, flow *flowEntry) {
	if flow.pending.waiting {
		c.losses.addAnswered(flow.pending.resends)
	}
	flow.pending.waiting = false
	c.endWait(flow)
	delete(c.unanswered, key)
}
