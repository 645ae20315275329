package egress

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/steer"
)

const (
	// minLossAge is the time after which sent data counts as lost if it is received
	// again. It is well below the callers' retransmission timeout of 200 ms, as the
	// packet may have been queued here for most of that. Data received again sooner was
	// reordered in the network.
	minLossAge = 40 * time.Millisecond
	// dataRecordTimeout is how long a dataRecord is valid: the callers' longest
	// retransmission timeout.
	dataRecordTimeout = 1600 * time.Millisecond
	// recoveryDelay is the longest time between a caller's first retransmission and
	// those of the rest of its window: a few round trips. The caller sends them once the
	// target has acknowledged the first.
	recoveryDelay = 100 * time.Millisecond
	// recoveryBurst is the time within which the retransmissions of the rest of a window
	// are received. They are sent at once, but a busy node takes time to read them.
	recoveryBurst = 20 * time.Millisecond
	// windowDataBytes is a caller's largest window: 16 packets of 1200 bytes. Data that
	// is further ahead of an offset shows that all before the offset was acknowledged.
	windowDataBytes = 16 * 1200
	// dataRecordCount is the size of the table of data records: enough for 1.6 s of a 2
	// Mbit/s link in packets of 100 bytes. On faster links, records are overwritten
	// sooner.
	dataRecordCount = 4096
	// flowProgressCount is the size of the table of flows: several times the number
	// that a small node carries at once.
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

// observer is notified of the losses and deliveries that a lossDetector infers.
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
	// known is set once data of the flow was received. end is the end of the received
	// data, and all data before delivered has reached the target.
	known          bool
	delivered, end uint32
	// progressed is set once data was delivered. Until then, an offset before delivered
	// is not a retransmission: the first packets may arrive out of order.
	progressed bool
	// suspected is a loss that is not yet confirmed by progress of the flow.
	suspected loss
	// resentOffset is the offset of the first retransmission, received at resentAt, or
	// the lowest one of the current burst.
	resentOffset uint32
	resentAt     kernel.Instant
	// recoveryUntil is the end of the current burst of retransmissions.
	recoveryUntil kernel.Instant
}

// lossDetector infers from the callers' packets which datagrams were lost on the node's
// own link or beyond it, and which were delivered. Callers also retransmit to a dead
// target, so a loss counts only once the flow makes progress. The tables have a fixed
// size; on a collision the older entry is overwritten.
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

// recordData records received data. If it was received before, it is a retransmission,
// and a suspected loss if it had been sent.
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

// updateDelivered updates the range of the flow's received data. It returns the offset
// up to which a packet shows that data was delivered, and whether that offset advanced.
// A new acknowledgement by the caller confirms all data received so far, or all before
// the packet if that carries data. Otherwise all but the last window is confirmed.
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

// recordDelivered advances the offset up to which data of a flow was delivered.
func (d *lossDetector) recordDelivered(now kernel.Instant, flow *flowProgress, offset uint32) {
	bytes := int(int32(offset - flow.delivered))
	if bytes <= 0 {
		return
	}
	flow.delivered, flow.progressed = offset, true
	d.observer.delivered(now, bytes)
}

// extend extends the range of the flow's received data by a packet.
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

// recordRetransmission processes data that was received again; lost is zero if it had
// not been sent. A caller first retransmits only the first missing packet, perhaps to a
// dead target. Once the target has acknowledged it, the caller retransmits the rest of
// its window in a burst, including data that has arrived. Of that burst, only the lowest
// offset is certain to be lost.
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

// confirmLoss reports the suspected loss of a flow that has made progress, unless a
// retransmission of a lower offset may still follow in the current burst.
func (d *lossDetector) confirmLoss(now kernel.Instant, flow *flowProgress) {
	if flow.suspected.size == 0 || now.Before(flow.recoveryUntil) {
		return
	}
	lost := flow.suspected
	flow.suspected = loss{}
	d.observer.lost(now, lost)
}
