package routing

import "github.com/beamdoor/beamdoor/internal/wire"

// viewSizeLimit is the largest number of members that a consultation can
// reach: one bit each.
const viewSizeLimit = 64

// mustConsult reports whether this primary may lack records of the partition
// that another balancer holds.
func (r *Router) mustConsult(partition int) bool {
	if r.settings.Mechanisms.NoConsult || r.coverage.coversFlows(partition) {
		return false
	}
	return len(r.table.view.members) > 1
}

// consult sends the packet itself around the other members, the backup first,
// to ask whether anyone knows the flow. It costs no control traffic and no
// state; if it is lost, the caller's retransmission asks again.
func (r *Router) consult(work *job) {
	r.counters.Consulted++
	packet := r.peerPacket(wire.PeerConsult, work)
	packet.RequestKey = uint64(r.id)
	packet.Visited = visitedBit(r.table.view.position(r.id))
	r.consultNext(work.partition, packet)
}

func visitedBit(position int) uint64 {
	if position < 0 || position >= viewSizeLimit {
		return 0
	}
	return 1 << position
}

// consultNext sends the packet to the next member that was not asked yet, or
// back when all were.
func (r *Router) consultNext(partition int, packet wire.PeerPacket) {
	view := r.table.view
	next := view.pairs[partition].backup
	if position := view.position(next); position < 0 || packet.Visited&visitedBit(position) != 0 {
		next = 0
	}
	for i := range view.members {
		if next != 0 || i >= viewSizeLimit {
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

// replyConsult returns the packet to the member that asked.
func (r *Router) replyConsult(packet wire.PeerPacket) {
	asker := uint32(packet.RequestKey)
	packet.Kind = wire.PeerConsultReply
	if asker == r.id {
		r.receiveConsultReply(&packet)
		return
	}
	r.toPeer(asker, packet)
}

func (r *Router) receiveConsult(packet *wire.PeerPacket) {
	var work job
	if !r.readPeerJob(&work, packet) || packet.View != r.table.view.number {
		return
	}
	reply := *packet
	record, known := r.flows.get(work.fingerprint)
	if known {
		reply.Flags |= wire.FlagKnown
		reply.TargetID = record.targetID
	}
	if known || r.coverage.coversFlows(work.partition) {
		reply.Flags |= wire.FlagFinal
		r.replyConsult(reply)
		return
	}
	r.consultNext(work.partition, reply)
}

// receiveConsultReply goes on with the decision that the question held up.
func (r *Router) receiveConsultReply(packet *wire.PeerPacket) {
	var work job
	if !r.readPeerJob(&work, packet) {
		return
	}
	if r.table.view.pairs[work.partition].primary != r.id || !r.HasLease(r.now) {
		r.counters.OldViewRefused++
		return
	}
	if work.unsafe() && r.answerRepeated(&work) {
		return
	}
	record, known := r.flows.get(work.fingerprint)
	if !known && packet.Flags.Has(wire.FlagKnown) {
		record, known = r.adoptHint(&work, packet.TargetID)
	}
	r.decideKnown(&work, record, known)
}
