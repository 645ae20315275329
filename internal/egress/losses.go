package egress

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/steer"
)

const (
	// minLossAge is the age from which data that arrives again counts as lost after it
	// was sent. Callers retransmit after 200 ms, most of which the packet may have been
	// queued here. Data that arrives again sooner was reordered in the network.
	minLossAge = 40 * time.Millisecond
	// dataRecordTimeout is how long data is remembered: the callers' longest retransmission
	// timeout.
	dataRecordTimeout = 1600 * time.Millisecond
	// recoveryDelay is the time between a caller's first retransmission and those of
	// the rest of its window, which follow once the target has acknowledged the first:
	// a few round trips.
	recoveryDelay = 100 * time.Millisecond
	// recoveryBurst is the time within which these retransmissions are received. They
	// are sent at once, but a busy node reads them later.
	recoveryBurst = 20 * time.Millisecond
	// windowDataBytes is a caller's largest window: 16 packets of 1200 bytes. Data
	// further ahead shows that the target has acknowledged the data before it.
	windowDataBytes = 16 * 1200
	// dataRecordCount is the number of packets remembered: 1.6 s of a 2 Mbit/s link in
	// packets of 100 bytes. On faster links packets are overwritten sooner.
	dataRecordCount = 4096
	// flowProgressCount is the number of flows tracked, several times those that a small
	// node carries at once.
	flowProgressCount = 1024
)

// SentDatagram is a datagram that the node has sent.
type SentDatagram struct {
	Flow steer.FlowKey
	// Sequence is the offset of the data in the caller's stream.
	Sequence uint32
	// Data is the number of payload bytes, and Size the number of bytes on the link.
	Data, Size int
}

// ReceivedPacket is a packet received from a caller.
type ReceivedPacket struct {
	Flow         steer.FlowKey
	Sequence     uint32
	Acknowledged uint32
	Data         int
}

// loss is a datagram that was lost after the node sent it.
type loss struct {
	sentAt kernel.Instant
	size   int
}

// observer is notified of losses and deliveries that are inferred from the callers'
// packets.
type observer struct {
	lost      func(now kernel.Instant, lost loss)
	delivered func(now kernel.Instant, bytes int)
}

// dataRecord records when data was received or, if size is set, when it was sent.
type dataRecord struct {
	key  uint64
	at   kernel.Instant
	size int
}

// flowProgress is the delivery state of a flow.
type flowProgress struct {
	key          uint64
	acknowledged uint32
	// known is set once data of the flow was received. The data received ends at end,
	// and all before delivered has reached the target.
	known          bool
	delivered, end uint32
	// progressed is set once data was delivered: an earlier offset is then a
	// retransmission. Until then the first packets may arrive out of order.
	progressed bool
	// suspected is a loss that is not yet confirmed by progress of the flow.
	suspected    loss
	resentOffset uint32
	resentAt     kernel.Instant
	// recoveryUntil is the end of the current burst of retransmissions.
	recoveryUntil kernel.Instant
}

// lossDetector detects datagrams that were lost on the node's own link or beyond it.
// Callers also retransmit to a dead target, so a loss counts only once the flow makes
// progress. The tables have a fixed size; overwritten entries are forgotten.
type lossDetector struct {
	data     []dataRecord
	flows    []flowProgress
	observer observer
}

func newLossDetector(observer observer) lossDetector {
	return lossDetector{data: make([]dataRecord, dataRecordCount), flows: make([]flowProgress, flowProgressCount), observer: observer}
}

// recordSent records when data was sent. It reports whether the flow's target is known
// to be alive, having acknowledged earlier data of the flow.
func (d *lossDetector) recordSent(now kernel.Instant, sent SentDatagram) (alive bool) {
	if sent.Data == 0 {
		return false
	}
	flowKey := flowHash(sent.Flow)
	key := dataHash(flowKey, sent.Sequence)
	d.data[key%dataRecordCount] = dataRecord{key: key, at: now, size: sent.Size}
	flow := &d.flows[flowKey%flowProgressCount]
	return flow.key == flowKey && flow.progressed
}

// recordPacket processes a packet of an open flow.
func (d *lossDetector) recordPacket(now kernel.Instant, packet ReceivedPacket) {
	key := flowHash(packet.Flow)
	flow := &d.flows[key%flowProgressCount]
	if flow.key != key {
		*flow = flowProgress{key: key, acknowledged: packet.Acknowledged}
	}
	if offset, advanced := flow.updateDelivered(packet); advanced {
		d.recordDelivered(now, flow, offset)
		d.confirmLoss(now, flow)
	}
	if packet.Data == 0 {
		return
	}
	d.recordData(now, flow, packet.Sequence)
}

// recordData checks whether data was received before, and whether it had been sent by
// then.
func (d *lossDetector) recordData(now kernel.Instant, flow *flowProgress, offset uint32) {
	key := dataHash(flow.key, offset)
	record := &d.data[key%dataRecordCount]
	if record.key != key || now.Sub(record.at) > dataRecordTimeout {
		*record = dataRecord{key: key, at: now}
		return
	}
	var lost loss
	if record.size > 0 && now.Sub(record.at) >= minLossAge {
		lost = loss{sentAt: record.at, size: record.size}
		*record = dataRecord{key: key, at: now}
	}
	d.recordRetransmission(now, flow, offset, lost)
}

// updateDelivered updates the range of the flow's data. It returns the offset up to
// which data is shown to have been delivered, and whether that advanced. A new
// acknowledgement by the caller confirms all data received so far, or all before the
// packet if that carries data. Otherwise all but the last window is confirmed.
func (f *flowProgress) updateDelivered(packet ReceivedPacket) (offset uint32, advanced bool) {
	if packet.Data > 0 {
		f.extend(packet)
	}
	offset = f.end - windowDataBytes
	if packet.Acknowledged != f.acknowledged {
		f.acknowledged = packet.Acknowledged
		offset = f.end
		if packet.Data > 0 {
			offset = packet.Sequence
		}
	}
	return offset, f.known && int32(offset-f.delivered) > 0
}

// recordDelivered records the offset up to which data of a flow was delivered.
func (d *lossDetector) recordDelivered(now kernel.Instant, flow *flowProgress, offset uint32) {
	bytes := int(int32(offset - flow.delivered))
	if bytes <= 0 {
		return
	}
	flow.delivered, flow.progressed = offset, true
	d.observer.delivered(now, bytes)
}

// extend updates the range of the flow's data.
func (f *flowProgress) extend(packet ReceivedPacket) {
	end := packet.Sequence + uint32(packet.Data)
	if !f.known {
		f.known, f.delivered, f.end = true, packet.Sequence, end
		return
	}
	if int32(end-f.end) > 0 {
		f.end = end
	}
	if !f.progressed && int32(packet.Sequence-f.delivered) < 0 {
		f.delivered = packet.Sequence
	}
}

// recordRetransmission processes data that was received again, with its loss if it had
// been sent. The first retransmission is of the first missing packet, and the target
// may be dead. Once the target has acknowledged it, the caller retransmits the rest of
// its window, including data that has arrived; of that burst only the lowest offset is
// certainly missing.
func (d *lossDetector) recordRetransmission(now kernel.Instant, flow *flowProgress, offset uint32, lost loss) {
	switch {
	case now.Before(flow.recoveryUntil):
		if int32(offset-flow.resentOffset) < 0 {
			flow.resentOffset, flow.suspected = offset, lost
		}
	case offset != flow.resentOffset && now.Sub(flow.resentAt) <= recoveryDelay:
		d.confirmLoss(now, flow)
		flow.recoveryUntil = now.Add(recoveryBurst)
		flow.resentOffset, flow.suspected = offset, lost
	default:
		flow.resentOffset, flow.resentAt = offset, now
		if lost.size > 0 {
			flow.suspected = lost
		}
	}
}

// confirmLoss reports the suspected loss of a flow that has made progress, once no
// retransmission of a lower offset can follow.
func (d *lossDetector) confirmLoss(now kernel.Instant, flow *flowProgress) {
	if flow.suspected.size == 0 || now.Before(flow.recoveryUntil) {
		return
	}
	lost := flow.suspected
	flow.suspected = loss{}
	d.observer.lost(now, lost)
}
