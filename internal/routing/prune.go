package routing

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

const (
	// pruneInterval is the time between two looks at targets that are gone.
	pruneInterval = time.Minute
	// keepGone is how long a target is remembered after it was removed, for
	// answers that are still under way.
	keepGone = time.Minute
)

// pruneTargets forgets targets that the configuration no longer names and that
// no flow and no request goes to any more.
func (r *Router) pruneTargets() {
	if r.now < r.nextPrune {
		return
	}
	r.nextPrune = r.now.Add(pruneInterval)
	gone := r.table.goneBefore(r.now.Add(-keepGone))
	if len(gone) == 0 {
		return
	}
	for _, record := range r.flows.records {
		delete(gone, record.targetID)
	}
	for _, request := range r.ledger.records {
		if request.state == requestForwarded {
			delete(gone, request.targetID)
		}
	}
	for id := range gone {
		r.table.forgetTarget(id)
	}
}

// goneBefore returns the targets that were removed before a point in time.
func (t *table) goneBefore(limit kernel.Instant) map[uint32]bool {
	gone := map[uint32]bool{}
	for id, candidate := range t.targets {
		if candidate.removed && candidate.removedAt < limit {
			gone[id] = true
		}
	}
	return gone
}

func (t *table) forgetTarget(id uint32) {
	forgotten := t.targets[id]
	delete(t.targets, id)
	if t.byTarget[forgotten.address] == forgotten {
		delete(t.byTarget, forgotten.address)
	}
}
