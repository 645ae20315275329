package routing

import (
	"github.com/beamdoor/beamdoor/internal/kernel"
)

// Scheme decides how the packets of a flow keep their target. The product
// uses the owner scheme; the others are baselines for comparison.
type Scheme interface {
	kernel.Plugin
	// Route sends one caller's packet on its way.
	Route(r *Router, work *job)
}

func init() {
	kernel.Register(func() kernel.Plugin { return ownerScheme{} })
	kernel.Register(func() kernel.Plugin { return hashScheme{} })
	kernel.Register(func() kernel.Plugin { return cacheScheme{} })
}

// ownerScheme relays packets of unknown flows to the partition's pair.
type ownerScheme struct{}

var _ Scheme = ownerScheme{}

// PluginID implements kernel.Plugin.
func (ownerScheme) PluginID() kernel.PluginID { return DefaultScheme }

// Route implements Scheme.
func (ownerScheme) Route(r *Router, work *job) {
	if r.table.view == nil {
		r.counters.Unroutable++
		return
	}
	if work.unsafe() && r.settings.Mechanisms.NoDecisionPoint {
		routeAlone(r, work)
		return
	}
	if work.class == 0 {
		record, known := r.flows.get(work.fingerprint)
		if known {
			if to := r.certainTarget(work, record); to != nil {
				r.forwardDirect(work, record, to)
				return
			}
		}
	}
	r.relayToPrimary(work)
}

// routeAlone decides without the pair: what a balancer without a decision
// point does. Tests show with it what the decision point is for.
func routeAlone(r *Router, work *job) {
	record, known := r.flows.get(work.fingerprint)
	r.decideAlone(work, record, known)
}

func (r *Router) decideAlone(work *job, record flowRecord, known bool) {
	if r.answerRepeated(work) {
		return
	}
	choice := decision{record: record, attempt: 1}
	if known {
		choice.to = r.table.targets[record.targetID]
	}
	if choice.to == nil && !r.place(work, &choice, nil) {
		r.refuse(work)
		return
	}
	if !r.admits(work, choice.to) {
		r.refuse(work)
		return
	}
	r.flows.put(work.fingerprint, choice.record)
	r.recordRequest(work, choice)
	r.toTarget(choice.to, work.caller, r.table.view.number, work.requestKey, work.payload)
}

// hashScheme computes the target of every packet from the list of targets
// alone: rendezvous hashing without any record of flows.
type hashScheme struct{}

var _ Scheme = hashScheme{}

// PluginID implements kernel.Plugin.
func (hashScheme) PluginID() kernel.PluginID { return "routing.scheme.hash" }

// Route implements Scheme.
func (hashScheme) Route(r *Router, work *job) {
	if to := hashTarget(r, work); to != nil {
		r.counters.ForwardedDirect++
		r.toTarget(to, work.caller, r.ViewNumber(), 0, work.payload)
	}
}

func hashTarget(r *Router, work *job) *target {
	var best *target
	var score uint64
	for _, candidate := range work.service.targets {
		if !candidate.takesNewFlows() {
			continue
		}
		if own := rendezvousScore(work.fingerprint, candidate.id); best == nil || own > score {
			best, score = candidate, own
		}
	}
	return best
}

// cacheScheme adds to hashScheme a table of the flows that this balancer has
// seen itself.
type cacheScheme struct{}

var _ Scheme = cacheScheme{}

// PluginID implements kernel.Plugin.
func (cacheScheme) PluginID() kernel.PluginID { return "routing.scheme.cache" }

// Route implements Scheme.
func (cacheScheme) Route(r *Router, work *job) {
	to := hashTarget(r, work)
	if record, known := r.flows.get(work.fingerprint); known {
		if held := r.table.targets[record.targetID]; held != nil && held.usable() {
			to = held
		}
	}
	if to == nil {
		return
	}
	r.flows.put(work.fingerprint, flowRecord{targetID: to.id, lastSeen: lastSeenAt(r.now)})
	r.counters.ForwardedDirect++
	r.toTarget(to, work.caller, r.ViewNumber(), 0, work.payload)
}
