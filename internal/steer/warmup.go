package steer

import (
	"slices"
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

// budgetWindow is the window over which a node's share of a warm-up budget applies. Budgets
// are per second; the margin allows for packets that links and sockets delay and bunch up.
const budgetWindow = 1250 * time.Millisecond

// warmupState limits the new flows to a target that has just started, or whose zone was
// evacuated until recently. Its share of the flows grows from zero to that of a warm target.
type warmupState struct {
	since, until kernel.Instant
	// share is the number of opening packets that this node may send per budgetWindow, if
	// bounded is set.
	share   uint32
	bounded bool
	// sent holds the times of the opening packets in the last budgetWindow.
	sent []kernel.Instant
}

func (c *Core) newWarmupState(now kernel.Instant, warmup directory.Warmup) *warmupState {
	share, bounded := warmup.Share(c.nodeKey)
	return &warmupState{since: now, until: now.Add(warmup.Remaining), share: share, bounded: bounded}
}

// remaining returns the fraction of the warm-up that is left, from 1 to 0.
func (w *warmupState) remaining(now kernel.Instant) float64 {
	if !now.Before(w.until) {
		return 0
	}
	return float64(w.until.Sub(now)) / float64(w.until.Sub(w.since))
}

// hasBudget reports whether this node may send the target another opening packet.
func (w *warmupState) hasBudget(now kernel.Instant) bool {
	if !w.bounded || !now.Before(w.until) {
		return true
	}
	w.sent = slices.DeleteFunc(w.sent, func(at kernel.Instant) bool { return now.Sub(at) >= budgetWindow })
	return uint32(len(w.sent)) < w.share
}

// useBudget counts an opening packet against the budget of a warming target, and ends its
// warm-up when that is over.
func (entry *targetEntry) useBudget(now kernel.Instant) {
	if entry.warmup == nil {
		return
	}
	if !now.Before(entry.warmup.until) {
		entry.warmup = nil
		return
	}
	if entry.warmup.bounded {
		entry.warmup.sent = append(entry.warmup.sent, now)
	}
}

// isBlocked reports whether a target may not get any opening packet: its zone is evacuated, or
// it is warming up and this node has no budget left. A node that has just started does not
// know what it sent before and waits for one budgetWindow.
func (c *Core) isBlocked(now kernel.Instant, entry *targetEntry) bool {
	if c.evacuated[entry.target.Zone] {
		return true
	}
	if entry.warmup == nil {
		return false
	}
	return !entry.warmup.hasBudget(now) || entry.warmup.bounded && now.Before(c.budgetFrom)
}

// skipsWhileWarming decides at random whether to skip a warming target.
func (c *Core) skipsWhileWarming(now kernel.Instant, entry *targetEntry) bool {
	if entry.warmup == nil {
		return false
	}
	remaining := entry.warmup.remaining(now)
	return remaining > 0 && c.settings.Random.Float64() < remaining
}

// setEvacuations applies the evacuation orders of zones.
func (c *Core) setEvacuations(now kernel.Instant, evacuations []directory.Evacuation) {
	for _, evacuation := range evacuations {
		previous := c.evacuationRevisions[evacuation.Zone]
		c.evacuationRevisions[evacuation.Zone] = evacuation.Revision
		c.evacuated[evacuation.Zone] = evacuation.Active
		if !evacuation.Active && evacuation.Revision > previous {
			c.endEvacuation(now, evacuation)
		}
	}
}

// endEvacuation starts the warm-up of the targets of a zone that takes flows again. Targets
// registered after the end of the evacuation have a warm-up and assigned nodes of their own.
func (c *Core) endEvacuation(now kernel.Instant, evacuation directory.Evacuation) {
	for _, entry := range c.targets {
		if entry.target.Zone != evacuation.Zone || entry.target.Revision > evacuation.Revision {
			continue
		}
		if warmup, known := evacuation.Warmup(entry.target.Service); known {
			entry.warmup = c.newWarmupState(now, warmup)
		}
	}
}
