package routing

import (
	"net/netip"
	"time"

	"github.com/plgd-dev/go-coap/v3/message/codes"

	"github.com/beamdoor/beamdoor/internal/coapmsg"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// hopLimit bounds the relays of one packet while balancers disagree on who
// is the primary.
const hopLimit = 3

// job is a caller's packet with what is known of it.
type job struct {
	service     *service
	caller      netip.AddrPort
	class       coapmsg.Class
	fingerprint uint64
	partition   int
	requestKey  uint64
	payload     []byte
}

func (j *job) unsafe() bool { return j.class == coapmsg.ClassUnsafe }

// handleCaller reads a caller's packet and hands it to the scheme.
func (r *Router) handleCaller(serviceAddress, caller netip.AddrPort, payload []byte) {
	owner := r.table.byAddress[serviceAddress]
	if owner == nil {
		r.refuseUnknownService(serviceAddress, caller, payload)
		return
	}
	work := &r.callerJob
	if !r.readJob(work, owner, caller, payload) {
		r.counters.Malformed++
		r.toCaller(owner, caller, coapmsg.Reset(payload))
		return
	}
	if work.class == coapmsg.ClassPing {
		r.toCaller(owner, caller, coapmsg.Reset(payload))
		return
	}
	r.scheme.Route(r, work)
}

// refuseUnknownService answers 4.04 to a request to an address that is no
// service; everything else is only counted. Without a lease this balancer may
// not have heard of the service yet, and says nothing.
func (r *Router) refuseUnknownService(address, caller netip.AddrPort, payload []byte) {
	r.counters.UnknownService++
	if !r.HasLease(r.now) {
		return
	}
	if r.parser.Parse(payload) != nil || !coapmsg.IsRequest(r.parser.Message.Code) {
		return
	}
	r.toCaller(&service{address: address}, caller, r.parser.Response(codes.NotFound, 0))
}

// readJob decodes a packet. It returns false when the packet is malformed.
func (r *Router) readJob(work *job, owner *service, caller netip.AddrPort, payload []byte) bool {
	if r.parser.Parse(payload) != nil {
		return false
	}
	*work = job{service: owner, caller: caller, payload: payload}
	work.class = r.parser.Class()
	work.fingerprint = Flow{Caller: caller, ServiceID: owner.id}.Fingerprint()
	work.partition = PartitionOf(work.fingerprint)
	if work.unsafe() {
		work.requestKey = r.parser.RequestKey(work.fingerprint)
	}
	return true
}

// certainTarget returns the flow's target when this balancer knows it and the
// partition's pair is known to hold the flow too.
func (r *Router) certainTarget(work *job, record flowRecord) *target {
	if record.registered < r.table.view.epochs[work.partition] || !r.confirmedLately(work, record) {
		return nil
	}
	to := r.table.targets[record.targetID]
	if to == nil || !to.usable() || to.service != work.service {
		return nil
	}
	return to
}

// confirmShare is the part of the idle timeout after which a packet of a
// known flow goes through the pair again, so that the pair does not forget it.
const confirmShare = 3

func (r *Router) confirmedLately(work *job, record flowRecord) bool {
	age := time.Duration(lastSeenAt(r.now)-record.confirmed) * lastSeenUnit
	return age < work.service.limits.idleTimeout/confirmShare
}

// forwardDirect sends a packet of a known flow straight to its target.
func (r *Router) forwardDirect(work *job, record flowRecord, to *target) {
	if current := lastSeenAt(r.now); record.lastSeen != current {
		record.lastSeen = current
		r.flows.put(work.fingerprint, record)
	}
	r.counters.ForwardedDirect++
	r.toTarget(to, work.caller, record.registered, 0, work.payload)
}

// relayToPrimary passes a packet to the primary of its partition, together
// with the target that this balancer knows for the flow.
func (r *Router) relayToPrimary(work *job) {
	owners := r.table.view.pairs[work.partition]
	packet := r.peerPacket(wire.PeerToPrimary, work)
	if record, known := r.flows.get(work.fingerprint); known {
		packet.Flags |= wire.FlagKnown
		packet.TargetID = record.targetID
		record.confirmed = lastSeenAt(r.now)
		r.flows.put(work.fingerprint, record)
	}
	if owners.primary == r.id {
		r.decide(work, packet.Flags, packet.TargetID)
		return
	}
	r.counters.RelayedToPrimary++
	packet.Hops = 1
	to := owners.primary
	if owners.backup != 0 && owners.backup != r.id && r.suspects(to) {
		to = owners.backup
	}
	r.toPeer(to, packet)
}

func (r *Router) peerPacket(kind wire.PeerKind, work *job) wire.PeerPacket {
	packet := wire.PeerPacket{
		Kind:       kind,
		ServiceID:  work.service.id,
		RequestKey: work.requestKey,
		Caller:     work.caller,
		Payload:    work.payload,
	}
	if work.unsafe() {
		packet.Flags |= wire.FlagUnsafe
	}
	return packet
}

// readPeerJob decodes the caller's packet inside a relay.
func (r *Router) readPeerJob(work *job, packet *wire.PeerPacket) bool {
	owner := r.table.byID[packet.ServiceID]
	if owner == nil {
		r.counters.UnknownService++
		return false
	}
	if r.table.view == nil || !r.readJob(work, owner, packet.Caller, packet.Payload) {
		r.counters.Malformed++
		return false
	}
	return true
}

// serveAsBackup sends a packet that may be repeated straight to the target of
// its flow while the primary does not answer. It places nothing.
func (r *Router) serveAsBackup(work *job) bool {
	if work.class != coapmsg.ClassSafe {
		return false
	}
	record, known := r.flows.get(work.fingerprint)
	if !known {
		return false
	}
	to := r.certainTarget(work, record)
	if to == nil {
		return false
	}
	r.counters.ServedByBackup++
	r.forwardDirect(work, record, to)
	return true
}

// receiveToPrimary handles a relay. A balancer that is not the primary by its
// own view passes it on, a few times at most.
func (r *Router) receiveToPrimary(packet *wire.PeerPacket) {
	var work job
	if !r.readPeerJob(&work, packet) {
		return
	}
	owners := r.table.view.pairs[work.partition]
	if owners.primary == r.id && r.HasLease(r.now) {
		r.decide(&work, packet.Flags, packet.TargetID)
		return
	}
	if owners.backup == r.id && r.suspects(owners.primary) && r.serveAsBackup(&work) {
		return
	}
	if packet.Hops >= hopLimit {
		r.counters.Unroutable++
		return
	}
	next := *packet
	next.Hops++
	to := owners.primary
	if to == r.id {
		to = owners.backup
	}
	r.toPeer(to, next)
}
