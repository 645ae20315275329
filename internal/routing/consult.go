package routing

import "github.com/beamdoor/beamdoor/internal/wire"

// maxConsultedMembers is the largest number of members that a consultation can
// reach. Each has one bit in PeerPacket.Visited.
const maxConsultedMembers = 64

// mustConsult reports whether this primary may lack flows of the partition that
// another member holds.
func (r *Router) mustConsult(partition int) bool {
	if r.settings.Mechanisms.NoConsult || r.coverage.hasAllFlows(partition) {
		return false
	}
	return len(r.table.view.members) > 1
}

// consult sends the packet from member to member, the backup first, to find the
// flow's target. RequestKey holds the ID of this primary, to which the reply is
// sent. The primary keeps no state; if the packet is lost, the caller's
// retransmission starts a new consultation.
func (r *Router) consult(incoming *incomingPacket) {
	r.counters.Consulted++
	packet := r.peerPacket(wire.PeerConsult, incoming)
	packet.RequestKey = uint64(r.id)
	packet.Visited = visitedBit(r.table.view.position(r.id))
	r.consultNext(incoming.partition, packet)
}

// visitedBit returns the bit in PeerPacket.Visited of the member at a position of
// the view, or 0 when the member has none.
func visitedBit(position int) uint64 {
	if position < 0 || position >= maxConsultedMembers {
		return 0
	}
	return 1 << position
}

// consultNext sends the packet to the next member not yet consulted, or back to
// the primary when there is none.
func (r *Router) consultNext(partition int, packet wire.PeerPacket) {
	view := r.table.view
	next := view.pairs[partition].backup
	if position := view.position(next); position < 0 || packet.Visited&visitedBit(position) != 0 {
		next = 0
	}
	for i := range view.members {
		if next != 0 || i >= maxConsultedMembers {
			break
		}
		if packet.Visited&visitedBit(i) == 0 {
			next = view.members[i].id
		}
	}
	if next == 0 {
		r.replyConsult(packet)
		return
	}
	packet.Visited |= visitedBit(view.position(next))
	r.toPeer(next, packet)
}

// replyConsult returns the packet to the primary that started the consultation.
func (r *Router) replyConsult(packet wire.PeerPacket) {
	originID := uint32(packet.RequestKey)
	packet.Kind = wire.PeerConsultReply
	if originID == r.id {
		r.receiveConsultReply(&packet)
		return
	}
	r.toPeer(originID, packet)
}

// receiveConsult answers a consultation if this balancer knows the flow or holds
// all flows of the partition, and otherwise passes it to the next member.
func (r *Router) receiveConsult(packet *wire.PeerPacket) {
	var incoming incomingPacket
	if !r.parseRelayedPacket(&incoming, packet) || packet.View != r.table.view.number {
		return
	}
	reply := *packet
	record, known := r.flows.get(incoming.fingerprint)
	if known {
		reply.Flags |= wire.FlagKnown
		reply.TargetID = record.targetID
	}
	if known || r.coverage.hasAllFlows(incoming.partition) {
		reply.Flags |= wire.FlagFinal
		r.replyConsult(reply)
		return
	}
	r.consultNext(incoming.partition, reply)
}

// receiveConsultReply resumes the decision that waited for the consultation.
func (r *Router) receiveConsultReply(packet *wire.PeerPacket) {
	var incoming incomingPacket
	if !r.parseRelayedPacket(&incoming, packet) {
		return
	}
	if r.table.view.pairs[incoming.partition].primary != r.id || !r.HasLease(r.now) {
		r.counters.OldViewRefused++
		return
	}
	if incoming.unsafe() && r.answerRetransmission(&incoming) {
		return
	}
	record, known := r.flows.get(incoming.fingerprint)
	if !known && packet.Flags.Has(wire.FlagKnown) {
		record, known = r.adoptHint(&incoming, packet.TargetID)
	}
	r.decideTarget(&incoming, record, known)
}
