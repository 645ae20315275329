package egress

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/steer"
)

const (
	// minLossAge is the least time after which data that comes again was lost behind this
	// node. Callers wait 200 ms before they send again, most of which the packet may have
	// waited here. What comes again sooner was only overtaken on its way.
	minLossAge = 40 * time.Millisecond
	// markTimeout is how long what was sent is remembered: the caller's longest pause.
	markTimeout = 1600 * time.Millisecond
	// recoveryDelay is the time within which a caller's loss recovery goes on after its
	// first copy: once the target has acknowledged that one, copies of all other data
	// under way follow: some round trips.
	recoveryDelay = 100 * time.Millisecond
	// recoveryBurst is the time within which all these copies come. They are sent at once,
	// but a busy node reads them later.
	recoveryBurst = 20 * time.Millisecond
	// windowDataBytes is the most data that a caller has under way: 16 packets of 1,200
	// bytes. What lies further shows that the target acknowledged the data before.
	windowDataBytes = 16 * 1200
	// dataMarkCount is the number of packets that are remembered: 1.6 s of a link of
	// 2 Mbit/s in packets of 100 bytes. On faster links older ones are forgotten sooner.
	dataMarkCount = 4096
	// flowMarkCount is the number of flows that are followed, some times those that a small
	// node carries at once.
	flowMarkCount = 1024
)

// SentDatagram is a datagram with data that has left the node.
type SentDatagram struct {
	Flow steer.FlowKey
	// Sequence is the position of the data in the caller's stream.
	Sequence uint32
	// Data is the number of bytes of data, and Size that on the link.
	Data, Size int
}

// ReceivedPacket is a packet that has come from a caller.
type ReceivedPacket struct {
	Flow         steer.FlowKey
	Sequence     uint32
	Acknowledged uint32
	Data         int
}

// loss is a datagram that left the node and was lost behind it.
type loss struct {
	sentAt kernel.Instant
	size   int
}

// observer is told what became of what the node has sent, as far as callers show it.
type observer struct {
	lost      func(now kernel.Instant, lost loss)
	delivered func(now kernel.Instant, bytes int)
}

// dataMark remembers data that came at a time, or that left then with so many bytes.
type dataMark struct {
	key  uint64
	at   kernel.Instant
	size int
}

// flowMark remembers of a flow what shows that its target lives.
type flowMark struct {
	key          uint64
	acknowledged uint32
	// known is set once data of the flow has come: up to end, of which all before
	// delivered has surely got through.
	known          bool
	delivered, end uint32
	// moved is set once something was delivered: what comes before that position later
	// is a copy. Until then the first packets may come in any order.
	progressed bool
	// suspect is data that came again, while nothing shows yet that the target lives.
	suspected    loss
	copyPosition uint32
	copiedAt     kernel.Instant
	// recoveryUntil is until when further copies belong to the same recovery.
	recoveryUntil kernel.Instant
}

// lossDetector finds the datagrams that were lost on the node's own link, or behind it.
// A dead target also makes callers send again, but nothing of its flows moves on: so a
// loss counts once its flow does. The memory is fixed; what is overwritten is forgotten.
type lossDetector struct {
	marks    []dataMark
	flows    []flowMark
	observer observer
}

func newLossDetector(observer observer) lossDetector {
	return lossDetector{marks: make([]dataMark, dataMarkCount), flows: make([]flowMark, flowMarkCount), observer: observer}
}

// recordSent remembers when data left. It reports whether the flow's target is known to
// have lived: it had acknowledged data of the flow before.
func (w *lossDetector) recordSent(now kernel.Instant, sent SentDatagram) (lived bool) {
	if sent.Data == 0 {
		return false
	}
	name := flowHash(sent.Flow)
	key := dataHash(name, sent.Sequence)
	w.marks[key%dataMarkCount] = dataMark{key: key, at: now, size: sent.Size}
	flow := &w.flows[name%flowMarkCount]
	return flow.key == name && flow.progressed
}

// recordPacket looks at a packet of an open flow.
func (w *lossDetector) recordPacket(now kernel.Instant, packet ReceivedPacket) {
	key := flowHash(packet.Flow)
	flow := &w.flows[key%flowMarkCount]
	if flow.key != key {
		*flow = flowMark{key: key, acknowledged: packet.Acknowledged}
	}
	if position, moved := flow.deliveredUpTo(packet); moved {
		w.recordDelivered(now, flow, position)
		w.confirmLoss(now, flow)
	}
	if packet.Data == 0 {
		return
	}
	w.recordData(now, flow, packet.Sequence)
}

// recordData looks whether data has come before, and whether it had left by then.
func (w *lossDetector) recordData(now kernel.Instant, flow *flowMark, position uint32) {
	key := dataHash(flow.key, position)
	mark := &w.marks[key%dataMarkCount]
	if mark.key != key || now.Sub(mark.at) > markTimeout {
		*mark = dataMark{key: key, at: now}
		return
	}
	var again loss
	if mark.size > 0 && now.Sub(mark.at) >= minLossAge {
		again = loss{sentAt: mark.at, size: mark.size}
		*mark = dataMark{key: key, at: now}
	}
	w.recordRetransmission(now, flow, position, again)
}

// follow returns up to where a packet shows that data was delivered, if further than
// before: all before it when the caller has got an answer since, else what lies a window
// back.
func (f *flowMark) deliveredUpTo(packet ReceivedPacket) (position uint32, moved bool) {
	if packet.Data > 0 {
		f.extend(packet)
	}
	position = f.end - windowDataBytes
	if packet.Acknowledged != f.acknowledged {
		f.acknowledged = packet.Acknowledged
		position = f.end
		if packet.Data > 0 {
			position = packet.Sequence
		}
	}
	return position, f.known && int32(position-f.delivered) > 0
}

// deliver notes up to where data of a flow was delivered.
func (w *lossDetector) recordDelivered(now kernel.Instant, flow *flowMark, position uint32) {
	bytes := int(int32(position - flow.delivered))
	if bytes <= 0 {
		return
	}
	flow.delivered, flow.progressed = position, true
	w.observer.delivered(now, bytes)
}

// extend notes where a flow's data begins and ends.
func (f *flowMark) extend(packet ReceivedPacket) {
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

// recordRetransmission notes data that came again, and its loss if it had left before. The first
// copy is of what the target is missing first; it may be dead. Once it has acknowledged
// that, copies of all that is under way follow, also of what it has: of these, too, only
// the first position is surely missing.
func (w *lossDetector) recordRetransmission(now kernel.Instant, flow *flowMark, position uint32, again loss) {
	switch {
	case now.Before(flow.recoveryUntil):
		if int32(position-flow.copyPosition) < 0 {
			flow.copyPosition, flow.suspected = position, again
		}
	case position != flow.copyPosition && now.Sub(flow.copiedAt) <= recoveryDelay:
		w.confirmLoss(now, flow)
		flow.recoveryUntil = now.Add(recoveryBurst)
		flow.copyPosition, flow.suspected = position, again
	default:
		flow.copyPosition, flow.copiedAt = position, now
		if again.size > 0 {
			flow.suspected = again
		}
	}
}

// confirm counts the suspected loss of a flow whose target lives, once no copy of an
// earlier position can follow.
func (w *lossDetector) confirmLoss(now kernel.Instant, flow *flowMark) {
	if flow.suspected.size == 0 || now.Before(flow.recoveryUntil) {
		return
	}
	suspect := flow.suspected
	flow.suspected = loss{}
	w.observer.lost(now, suspect)
}
