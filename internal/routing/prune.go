package routing

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

const (
	// pruneInterval is the time between two searches for unused targets.
	pruneInterval = time.Minute
	// removedTargetRetention is how long a removed target is kept for answers that
	// are still in flight.
	removedTargetRetention = time.Minute
)

// pruneTargets deletes targets that were removed from the configuration and have
// no flows and no pending requests.
func (r *Router) pruneTargets() {
	if r.now < r.nextPrune {
		return
	}
	r.nextPrune = r.now.Add(pruneInterval)
	unused := r.table.removedBefore(r.now.Add(-removedTargetRetention))
	if len(unused) == 0 {
		return
	}
	for _, record := range r.flows.records {
		delete(unused, record.targetID)
	}
	for _, request := range r.ledger.records {
		if request.state == requestForwarded {
			delete(unused, request.targetID)
		}
	}
	for id := range unused {
		r.table.deleteTarget(id)
	}
}

// removedBefore returns the IDs of the targets that were removed before the cutoff.
func (t *routingTable) removedBefore(cutoff kernel.Instant) map[uint32]bool {
	removed := map[uint32]bool{}
	for id, candidate := range t.targets {
		if candidate.removed && candidate.removedAt < cutoff {
			removed[id] = true
		}
	}
	return removed
}

// deleteTarget deletes a target, and its address unless a newer target uses it.
func (t *routingTable) deleteTarget(id uint32) {
	deleted := t.targets[id]
	delete(t.targets, id)
	if t.byTargetAddress[deleted.address] == deleted {
		delete(t.byTargetAddress, deleted.address)
	}
}
