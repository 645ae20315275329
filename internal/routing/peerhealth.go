package routing

import (
	"maps"
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/wire"
)

const (
	// peerFreshness is how long a peer counts as alive after a packet from it.
	peerFreshness = 300 * time.Millisecond
	// probeTimeout is the time without an answer to a probe after which a peer is
	// suspected, and the interval of further probes.
	probeTimeout = 300 * time.Millisecond
)

// peerHealth detects unresponsive balancers before their leases expire. It
// affects only where packets are sent, never which balancer may decide. Every
// packet of a peer counts as a sign of life, and a peer is probed only when there
// is a packet for it.
type peerHealth struct {
	lastHeard map[uint32]kernel.Instant
	// unansweredSince is when the first unanswered probe was sent, and lastProbeAt
	// when the latest one was.
	unansweredSince map[uint32]kernel.Instant
	lastProbeAt     map[uint32]kernel.Instant
}

func newPeerHealth() peerHealth {
	return peerHealth{
		lastHeard:       map[uint32]kernel.Instant{},
		unansweredSince: map[uint32]kernel.Instant{},
		lastProbeAt:     map[uint32]kernel.Instant{},
	}
}

// recordHeard records a packet from a peer.
func (h *peerHealth) recordHeard(now kernel.Instant, id uint32) {
	h.lastHeard[id] = now
	delete(h.unansweredSince, id)
}

// removeDeparted removes the balancers that are not in the current view.
func (h *peerHealth) removeDeparted(current *view) {
	departed := func(id uint32, _ kernel.Instant) bool { return current.member(id) == nil }
	maps.DeleteFunc(h.lastHeard, departed)
	maps.DeleteFunc(h.unansweredSince, departed)
	maps.DeleteFunc(h.lastProbeAt, departed)
}

// isSuspected reports whether a balancer is suspected to be down. It is called
// before a packet is sent to the balancer, and probes one that has been silent.
func (r *Router) isSuspected(id uint32) bool {
	if r.settings.Mechanisms.NoPeerHealth {
		return false
	}
	if heard, known := r.health.lastHeard[id]; known && r.now.Sub(heard) <= peerFreshness {
		return false
	}
	probedAt, waiting := r.health.unansweredSince[id]
	if !waiting {
		r.startProbing(id)
		return false
	}
	if r.now.Sub(probedAt) < probeTimeout {
		return false
	}
	r.counters.PeersSuspected++
	if r.now.Sub(r.health.lastProbeAt[id]) >= probeTimeout {
		r.sendProbe(id)
	}
	return true
}

// startProbing sends the first probe and starts the timeout.
func (r *Router) startProbing(id uint32) {
	r.health.unansweredSince[id] = r.now
	r.sendProbe(id)
}

func (r *Router) sendProbe(id uint32) {
	r.health.lastProbeAt[id] = r.now
	r.sendControlPacket(id, wire.PeerPacket{Kind: wire.PeerProbe})
}

func (r *Router) receiveProbe(packet *wire.PeerPacket) {
	r.sendControlPacket(packet.From, wire.PeerPacket{Kind: wire.PeerProbeReply})
}
