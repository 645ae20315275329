package routing

import (
	"github.com/beamdoor/beamdoor/internal/kernel"
)

// Scheme is a method of routing the packets of a flow to the same target.
// Production uses the owner scheme; the others are baselines for comparison.
type Scheme interface {
	kernel.Plugin
	// Route forwards, relays or answers a caller's packet.
	Route(r *Router, incoming *incomingPacket)
}

func init() {
	kernel.Register(func() kernel.Plugin { return ownerScheme{} })
	kernel.Register(func() kernel.Plugin { return hashScheme{} })
	kernel.Register(func() kernel.Plugin { return cacheScheme{} })
}

// ownerScheme forwards safe requests of known flows and relays all other packets to
// the partition's primary.
type ownerScheme struct{}

var _ Scheme = ownerScheme{}

// PluginID implements kernel.Plugin.
func (ownerScheme) PluginID() kernel.PluginID { return DefaultScheme }

// Route implements Scheme.
func (ownerScheme) Route(r *Router, incoming *incomingPacket) {
	if r.table.view == nil {
		r.counters.Unroutable++
		return
	}
	if incoming.unsafe() && r.settings.Mechanisms.NoDecisionPoint {
		routeWithoutPair(r, incoming)
		return
	}
	if incoming.class == 0 {
		record, known := r.flows.get(incoming.fingerprint)
		if known {
			if dest := r.confirmedTarget(incoming, record); dest != nil {
				r.forwardDirect(incoming, record, dest)
				return
			}
		}
	}
	r.relayToPrimary(incoming)
}

// routeWithoutPair routes an unsafe request without the partition's pair. It is used
// only with Mechanisms.NoDecisionPoint.
func routeWithoutPair(r *Router, incoming *incomingPacket) {
	record, known := r.flows.get(incoming.fingerprint)
	r.decideLocally(incoming, record, known)
}

// decideLocally decides on an unsafe request with the local flow record only.
func (r *Router) decideLocally(incoming *incomingPacket, record flowRecord, known bool) {
	if r.answerRetransmission(incoming) {
		return
	}
	choice := decision{record: record, attempt: 1}
	if known {
		choice.target = r.table.targets[record.targetID]
	}
	if choice.target == nil && !r.placeFlow(incoming, &choice, nil) {
		r.refuse(incoming)
		return
	}
	if !r.canMeetDeadline(incoming, choice.target) {
		r.refuse(incoming)
		return
	}
	r.flows.put(incoming.fingerprint, choice.record)
	r.recordRequest(incoming, choice)
	r.toTarget(choice.target, incoming.caller, r.table.view.number, incoming.requestKey, incoming.payload)
}

// hashScheme chooses the target of every packet by rendezvous hashing over the
// targets that accept new flows, without a flow table.
type hashScheme struct{}

var _ Scheme = hashScheme{}

// PluginID implements kernel.Plugin.
func (hashScheme) PluginID() kernel.PluginID { return "routing.scheme.hash" }

// Route implements Scheme.
func (hashScheme) Route(r *Router, incoming *incomingPacket) {
	if dest := hashTarget(r, incoming); dest != nil {
		r.counters.ForwardedDirect++
		r.toTarget(dest, incoming.caller, r.ViewNumber(), 0, incoming.payload)
	}
}

// hashTarget returns the target with the highest score for the flow, or nil.
func hashTarget(r *Router, incoming *incomingPacket) *target {
	var best *target
	var bestScore uint64
	for _, candidate := range incoming.service.targets {
		if !candidate.takesNewFlows() {
			continue
		}
		if candidateScore := rendezvousScore(incoming.fingerprint, candidate.id); best == nil || candidateScore > bestScore {
			best, bestScore = candidate, candidateScore
		}
	}
	return best
}

// cacheScheme extends hashScheme with a local table of the flows that this balancer
// has seen.
type cacheScheme struct{}

var _ Scheme = cacheScheme{}

// PluginID implements kernel.Plugin.
func (cacheScheme) PluginID() kernel.PluginID { return "routing.scheme.cache" }

// Route implements Scheme.
func (cacheScheme) Route(r *Router, incoming *incomingPacket) {
	dest := hashTarget(r, incoming)
	if record, known := r.flows.get(incoming.fingerprint); known {
		if recorded := r.table.targets[record.targetID]; recorded != nil && recorded.usable() {
			dest = recorded
		}
	}
	if dest == nil {
		return
	}
	r.flows.put(incoming.fingerprint, flowRecord{targetID: dest.id, lastSeen: flowTimestamp(r.now)})
	r.counters.ForwardedDirect++
	r.toTarget(dest, incoming.caller, r.ViewNumber(), 0, incoming.payload)
}
