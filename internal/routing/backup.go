package routing

import (
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"github.com/beamdoor/beamdoor/internal/wire"
)

// receiveToBackup records the primary's decision and carries it out. It is
// refused when the two do not have the same view, or when this balancer's
// lease has lapsed: then another pair may have taken over.
func (r *Router) receiveToBackup(packet *wire.PeerPacket) {
	var work job
	if !r.readPeerJob(&work, packet) {
		return
	}
	if !r.acceptsFrom(packet, work.partition) {
		return
	}
	if work.unsafe() {
		r.backupRequest(&work, packet)
		return
	}
	to := r.table.targets[packet.TargetID]
	if to == nil || !to.usable() {
		r.counters.Unroutable++
		return
	}
	r.storeFlow(&work, to)
	r.noteObserver(&work)
	r.toTarget(to, work.caller, r.table.view.number, 0, work.payload)
}

// acceptsFrom checks lease, view and pair.
func (r *Router) acceptsFrom(packet *wire.PeerPacket, partition int) bool {
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
			r.sendControlPacket(packet.From, wire.PeerPacket{Kind: wire.PeerViewIs})
		}
		return false
	}
	return true
}

// sendControlPacket sends a packet that carries no caller's packet.
func (r *Router) sendControlPacket(to uint32, packet wire.PeerPacket) {
	r.counters.ControlBytes += uint64(wire.PeerHeaderSize + len(packet.Payload))
	r.toPeer(to, packet)
}

// storeFlow stores the primary's choice. The next answer of the target shows
// the view in which it was registered.
func (r *Router) storeFlow(work *job, to *target) {
	record, known := r.flows.get(work.fingerprint)
	if !known || record.targetID != to.id {
		r.uncount(record)
		record = flowRecord{targetID: to.id}
	}
	record.registered = r.table.view.number
	record.confirmed = lastSeenAt(r.now)
	record.lastSeen = lastSeenAt(r.now)
	r.flows.put(work.fingerprint, record)
}

// backupRequest is the last place before the target, and so decides whether a
// request that may not be repeated was seen before.
func (r *Router) backupRequest(work *job, packet *wire.PeerPacket) {
	previous := r.ledger.get(work.requestKey)
	again := previous != nil && (packet.Attempt <= previous.attempt || previous.state != requestForwarded)
	if again {
		r.answerRepeated(work)
		return
	}
	covered := packet.Flags.Has(wire.FlagCovered)
	if !covered && !r.historyKnown(work.partition) {
		r.answerUnknown(work)
		return
	}
	request := r.newRequest(work)
	request.attempt = packet.Attempt
	request.targetID = packet.TargetID
	request.decider = packet.From
	request.packet = append([]byte(nil), work.payload...)
	if packet.Flags.Has(wire.FlagRefuse) {
		request.state = requestRefused
		r.ledger.put(work.requestKey, request)
		r.refuse(work)
		return
	}
	to := r.table.targets[packet.TargetID]
	if to == nil || !to.usable() {
		r.backupCannotReach(work, request)
		return
	}
	r.ledger.put(work.requestKey, request)
	r.storeFlow(work, to)
	r.toTarget(to, work.caller, r.table.view.number, work.requestKey, work.payload)
}

// backupCannotReach ends a request whose target is dead by this balancer's
// newer knowledge. Nobody forwarded it, but the primary's record says that it
// may have run, so both say that the outcome is unknown.
func (r *Router) backupCannotReach(work *job, request *requestRecord) {
	request.state = requestUnknown
	r.ledger.put(work.requestKey, request)
	r.counters.UnknownOutcome++
	r.toCaller(work.service, work.caller, r.parser.Response(codes.GatewayTimeout, 0))
}

// historyKnown reports whether this balancer holds the records of all
// requests of a partition that may still be retransmitted.
func (r *Router) historyKnown(partition int) bool {
	return r.settings.Mechanisms.NoHistoryCheck || r.coverage.coversRequests(partition)
}
