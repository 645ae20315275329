package routing

import (
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"github.com/beamdoor/beamdoor/internal/wire"
)

// receiveToBackup records the primary's decision and forwards the packet. It
// drops the relay when the views differ or this balancer has no lease, because
// another pair may own the partition by then.
func (r *Router) receiveToBackup(packet *wire.PeerPacket) {
	var incoming incomingPacket
	if !r.parseRelayedPacket(&incoming, packet) {
		return
	}
	if !r.acceptsDecision(packet, incoming.partition) {
		return
	}
	if incoming.unsafe() {
		r.recordAsBackup(&incoming, packet)
		return
	}
	dest := r.table.targets[packet.TargetID]
	if dest == nil || !dest.usable() {
		r.counters.Unroutable++
		return
	}
	r.storeFlow(&incoming, dest)
	r.updateObserver(&incoming)
	r.toTarget(dest, incoming.caller, r.table.view.number, 0, incoming.payload)
}

// acceptsDecision reports whether this balancer holds a lease, has the sender's
// view and is the backup of the sender's partition. It notifies a sender with an
// older view.
func (r *Router) acceptsDecision(packet *wire.PeerPacket, partition int) bool {
	if r.settings.Mechanisms.NoViewCheck {
		return true
	}
	if !r.HasLease(r.now) {
		r.counters.WithoutLease++
		return false
	}
	owners := r.table.view.pairs[partition]
	if packet.View != r.table.view.number || owners.backup != r.id || owners.primary != packet.From {
		r.counters.OldViewRefused++
		if packet.View < r.table.view.number {
			r.sendControlPacket(packet.From, wire.PeerPacket{Kind: wire.PeerNewerView})
		}
		return false
	}
	return true
}

// sendControlPacket sends a packet that carries no caller's packet and adds its
// size to ControlBytes.
func (r *Router) sendControlPacket(peerID uint32, packet wire.PeerPacket) {
	r.counters.ControlBytes += uint64(wire.PeerHeaderSize + len(packet.Payload))
	r.toPeer(peerID, packet)
}

// storeFlow records the target that the primary chose as registered in the
// current view.
func (r *Router) storeFlow(incoming *incomingPacket, dest *target) {
	record, known := r.flows.get(incoming.fingerprint)
	if !known || record.targetID != dest.id {
		r.uncountPlaced(record)
		record = flowRecord{targetID: dest.id}
	}
	record.registeredView = r.table.view.number
	record.confirmedAt = flowTimestamp(r.now)
	record.lastSeen = flowTimestamp(r.now)
	r.flows.put(incoming.fingerprint, record)
}

// recordAsBackup records an unsafe request and forwards it to the target. A
// retransmission is left to answerRetransmission, and a request that an earlier
// owner of the partition may have forwarded is answered with 5.04.
func (r *Router) recordAsBackup(incoming *incomingPacket, packet *wire.PeerPacket) {
	previous := r.ledger.get(incoming.requestKey)
	repeated := previous != nil && (packet.Attempt <= previous.attempt || previous.state != requestForwarded)
	if repeated {
		r.answerRetransmission(incoming)
		return
	}
	covered := packet.Flags.Has(wire.FlagCovered)
	if !covered && !r.hasRequestHistory(incoming.partition) {
		r.answerOutcomeUnknown(incoming)
		return
	}
	request := r.newRequestRecord(incoming)
	request.attempt = packet.Attempt
	request.targetID = packet.TargetID
	request.decider = packet.From
	request.packet = append([]byte(nil), incoming.payload...)
	if packet.Flags.Has(wire.FlagRefuse) {
		request.state = requestRefused
		r.ledger.put(incoming.requestKey, request)
		r.refuse(incoming)
		return
	}
	dest := r.table.targets[packet.TargetID]
	if dest == nil || !dest.usable() {
		r.answerTargetUnusable(incoming, request)
		return
	}
	r.ledger.put(incoming.requestKey, request)
	r.storeFlow(incoming, dest)
	r.toTarget(dest, incoming.caller, r.table.view.number, incoming.requestKey, incoming.payload)
}

// answerTargetUnusable ends a request whose target is unusable according to this
// balancer. The request was not forwarded, but the primary recorded it as
// forwarded, so both balancers report an unknown outcome.
func (r *Router) answerTargetUnusable(incoming *incomingPacket, request *requestRecord) {
	request.state = requestUnknown
	r.ledger.put(incoming.requestKey, request)
	r.counters.UnknownOutcome++
	r.toCaller(incoming.service, incoming.caller, r.parser.Response(codes.GatewayTimeout, 0))
}

// hasRequestHistory reports whether this balancer holds the records of all
// requests of a partition that can still be retransmitted.
func (r *Router) hasRequestHistory(partition int) bool {
	return r.settings.Mechanisms.NoHistoryCheck || r.coverage.hasAllRequests(partition)
}
