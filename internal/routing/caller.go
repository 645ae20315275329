package routing

import (
	"net/netip"
	"time"

	"github.com/plgd-dev/go-coap/v3/message/codes"

	"github.com/beamdoor/beamdoor/internal/coapmsg"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// maxHops limits the relays of a packet while balancers with different views
// disagree on the primary.
const maxHops = 3

// incomingPacket is a caller's packet with the fields derived from it.
type incomingPacket struct {
	service     *service
	caller      netip.AddrPort
	class       coapmsg.Class
	fingerprint uint64
	partition   int
	requestKey  uint64
	payload     []byte
}

func (p *incomingPacket) unsafe() bool { return p.class == coapmsg.ClassUnsafe }

// handleCaller parses a caller's packet and routes it by the configured scheme.
// It answers pings and malformed packets itself.
func (r *Router) handleCaller(serviceAddress, caller netip.AddrPort, payload []byte) {
	svc := r.table.byAddress[serviceAddress]
	if svc == nil {
		r.answerUnknownService(serviceAddress, caller, payload)
		return
	}
	incoming := &r.callerPacket
	if !r.parseCallerPacket(incoming, svc, caller, payload) {
		r.counters.Malformed++
		r.toCaller(svc, caller, coapmsg.Reset(payload))
		return
	}
	if incoming.class == coapmsg.ClassPing {
		r.toCaller(svc, caller, coapmsg.Reset(payload))
		return
	}
	r.scheme.Route(r, incoming)
}

// answerUnknownService answers 4.04 to a request to an address without a service.
// Without a lease it stays silent, because its configuration may be out of date.
func (r *Router) answerUnknownService(address, caller netip.AddrPort, payload []byte) {
	r.counters.UnknownService++
	if !r.HasLease(r.now) {
		return
	}
	if r.parser.Parse(payload) != nil || !coapmsg.IsRequest(r.parser.Message.Code) {
		return
	}
	r.toCaller(&service{address: address}, caller, r.parser.Response(codes.NotFound, 0))
}

// parseCallerPacket fills in incoming from a payload. It returns false when the
// payload is malformed.
func (r *Router) parseCallerPacket(incoming *incomingPacket, svc *service, caller netip.AddrPort, payload []byte) bool {
	if r.parser.Parse(payload) != nil {
		return false
	}
	*incoming = incomingPacket{service: svc, caller: caller, payload: payload}
	incoming.class = r.parser.Class()
	incoming.fingerprint = Flow{Caller: caller, ServiceID: svc.id}.Fingerprint()
	incoming.partition = PartitionOf(incoming.fingerprint)
	if incoming.unsafe() {
		incoming.requestKey = r.parser.RequestKey(incoming.fingerprint)
	}
	return true
}

// confirmedTarget returns the flow's target, or nil when the target is unusable or
// the partition's current pair may not hold the flow.
func (r *Router) confirmedTarget(incoming *incomingPacket, record flowRecord) *target {
	if record.registeredView < r.table.view.pairChangedIn[incoming.partition] || !r.recentlyConfirmed(incoming, record) {
		return nil
	}
	dest := r.table.targets[record.targetID]
	if dest == nil || !dest.usable() || dest.service != incoming.service {
		return nil
	}
	return dest
}

// confirmDivisor is the number of times per idle timeout that a packet of a known
// flow goes through the pair, so that the pair does not expire the flow.
const confirmDivisor = 3

// recentlyConfirmed reports whether a packet of the flow went through the pair
// within the confirmation interval.
func (r *Router) recentlyConfirmed(incoming *incomingPacket, record flowRecord) bool {
	age := time.Duration(flowTimestamp(r.now)-record.confirmedAt) * timestampUnit
	return age < incoming.service.limits.idleTimeout/confirmDivisor
}

// forwardDirect sends a packet of a known flow to its target without the pair.
func (r *Router) forwardDirect(incoming *incomingPacket, record flowRecord, dest *target) {
	if current := flowTimestamp(r.now); record.lastSeen != current {
		record.lastSeen = current
		r.flows.put(incoming.fingerprint, record)
	}
	r.counters.ForwardedDirect++
	r.toTarget(dest, incoming.caller, record.registeredView, 0, incoming.payload)
}

// relayToPrimary sends a packet to the primary of its partition, with the target
// that this balancer has recorded for the flow. It uses the backup instead when
// the primary is suspected to be down.
func (r *Router) relayToPrimary(incoming *incomingPacket) {
	owners := r.table.view.pairs[incoming.partition]
	packet := r.peerPacket(wire.PeerToPrimary, incoming)
	if record, known := r.flows.get(incoming.fingerprint); known {
		packet.Flags |= wire.FlagKnown
		packet.TargetID = record.targetID
		record.confirmedAt = flowTimestamp(r.now)
		r.flows.put(incoming.fingerprint, record)
	}
	if owners.primary == r.id {
		r.decide(incoming, packet.Flags, packet.TargetID)
		return
	}
	r.counters.RelayedToPrimary++
	packet.Hops = 1
	peerID := owners.primary
	if owners.backup != 0 && owners.backup != r.id && r.isSuspected(peerID) {
		peerID = owners.backup
	}
	r.toPeer(peerID, packet)
}

// peerPacket returns a relay of a caller's packet.
func (r *Router) peerPacket(kind wire.PeerKind, incoming *incomingPacket) wire.PeerPacket {
	packet := wire.PeerPacket{
		Kind:       kind,
		ServiceID:  incoming.service.id,
		RequestKey: incoming.requestKey,
		Caller:     incoming.caller,
		Payload:    incoming.payload,
	}
	if incoming.unsafe() {
		packet.Flags |= wire.FlagUnsafe
	}
	return packet
}

// parseRelayedPacket parses the caller's packet inside a relay. It returns false
// when the service is unknown, the packet is malformed or there is no view.
func (r *Router) parseRelayedPacket(incoming *incomingPacket, packet *wire.PeerPacket) bool {
	svc := r.table.byID[packet.ServiceID]
	if svc == nil {
		r.counters.UnknownService++
		return false
	}
	if r.table.view == nil || !r.parseCallerPacket(incoming, svc, packet.Caller, packet.Payload) {
		r.counters.Malformed++
		return false
	}
	return true
}

// serveAsBackup forwards a safe request of a known flow while the primary is
// suspected to be down. It returns false for other packets.
func (r *Router) serveAsBackup(incoming *incomingPacket) bool {
	if incoming.class != coapmsg.ClassSafe {
		return false
	}
	record, known := r.flows.get(incoming.fingerprint)
	if !known {
		return false
	}
	dest := r.confirmedTarget(incoming, record)
	if dest == nil {
		return false
	}
	r.counters.ServedByBackup++
	r.forwardDirect(incoming, record, dest)
	return true
}

// receiveToPrimary handles a packet relayed to the primary. A balancer that is not
// the primary in its own view, or has no lease, relays it further, up to maxHops.
func (r *Router) receiveToPrimary(packet *wire.PeerPacket) {
	var incoming incomingPacket
	if !r.parseRelayedPacket(&incoming, packet) {
		return
	}
	owners := r.table.view.pairs[incoming.partition]
	if owners.primary == r.id && r.HasLease(r.now) {
		r.decide(&incoming, packet.Flags, packet.TargetID)
		return
	}
	if owners.backup == r.id && r.isSuspected(owners.primary) && r.serveAsBackup(&incoming) {
		return
	}
	if packet.Hops >= maxHops {
		r.counters.Unroutable++
		return
	}
	next := *packet
	next.Hops++
	peerID := owners.primary
	if peerID == r.id {
		peerID = owners.backup
	}
	r.toPeer(peerID, next)
}
