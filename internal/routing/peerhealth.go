package routing

import (
	"maps"
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/wire"
)

const (
	// freshFor is how long a packet of another balancer shows that it runs.
	freshFor = 300 * time.Millisecond
	// probePatience is how long it may take to answer a probe.
	probePatience = 300 * time.Millisecond
)

// peerHealth tells which other balancers seem to be dead or stopped, long
// before their leases run out. It decides only where a packet is worth
// sending, never who may decide. Every packet of a peer counts as a sign of
// life, so that probes cost nothing while there is load, and none is sent to a
// peer that there is nothing to send to.
type peerHealth struct {
	heard map[uint32]kernel.Instant
	// probed is when the first probe that has got no answer was sent, and
	// lastProbe when the last one was.
	probed    map[uint32]kernel.Instant
	lastProbe map[uint32]kernel.Instant
}

func newPeerHealth() peerHealth {
	return peerHealth{
		heard:     map[uint32]kernel.Instant{},
		probed:    map[uint32]kernel.Instant{},
		lastProbe: map[uint32]kernel.Instant{},
	}
}

// noteHeard notes a sign of life.
func (h *peerHealth) noteHeard(now kernel.Instant, id uint32) {
	h.heard[id] = now
	delete(h.probed, id)
}

// forget drops the balancers that are in the view no longer.
func (h *peerHealth) forget(current *view) {
	gone := func(id uint32, _ kernel.Instant) bool { return current.member(id) == nil }
	maps.DeleteFunc(h.heard, gone)
	maps.DeleteFunc(h.probed, gone)
	maps.DeleteFunc(h.lastProbe, gone)
}

// suspects reports whether a balancer seems not to run. It is asked when there
// is something to send to it, and probes one that has been quiet.
func (r *Router) suspects(id uint32) bool {
	if r.settings.Mechanisms.NoPeerHealth {
		return false
	}
	if heard, known := r.health.heard[id]; known && r.now.Sub(heard) <= freshFor {
		return false
	}
	probed, waiting := r.health.probed[id]
	if !waiting {
		r.probe(id)
		return false
	}
	if r.now.Sub(probed) < probePatience {
		return false
	}
	r.counters.PeersSuspected++
	if r.now.Sub(r.health.lastProbe[id]) >= probePatience {
		r.sendProbe(id)
	}
	return true
}

// probe starts to wait for an answer.
func (r *Router) probe(id uint32) {
	r.health.probed[id] = r.now
	r.sendProbe(id)
}

func (r *Router) sendProbe(id uint32) {
	r.health.lastProbe[id] = r.now
	r.sendControlPacket(id, wire.PeerPacket{Kind: wire.PeerProbe})
}

func (r *Router) receiveProbe(packet *wire.PeerPacket) {
	r.sendControlPacket(packet.From, wire.PeerPacket{Kind: wire.PeerProbeReply})
}
