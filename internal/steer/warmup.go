package steer

import (
	"slices"
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

// budgetWindow is the time in which a node sends a cold target no more than its
// share. It is a second, for which budgets are stated, and a margin: packets that
// leave in one second may arrive closer together, by the time that links and
// sockets hold them up.
const budgetWindow = 1250 * time.Millisecond

// coldness is what a node knows of a target that has just started, or whose zone
// was just taken back. It is spared: its part of the new flows grows from nothing
// to that of a warm target.
type warmupState struct {
	since, until kernel.Instant
	// share is the number of opening packets that this node may send in
	// budgetWindow; it holds where bounded is set.
	share   uint32
	bounded bool
	// sent holds the times of the opening packets of the last budgetWindow.
	sent []kernel.Instant
}

func (c *Core) newWarmupState(now kernel.Instant, warmup directory.Warmup) *warmupState {
	share, bounded := warmup.Share(c.nodeKey)
	return &warmupState{since: now, until: now.Add(warmup.Left), share: share, bounded: bounded}
}

// left returns the part of the time that is left, from 1 to 0.
func (c *warmupState) remaining(now kernel.Instant) float64 {
	if !now.Before(c.until) {
		return 0
	}
	return float64(c.until.Sub(now)) / float64(c.until.Sub(c.since))
}

// hasRoom reports whether the target may get another opening packet from this node.
func (c *warmupState) hasBudget(now kernel.Instant) bool {
	if !c.bounded || !now.Before(c.until) {
		return true
	}
	c.sent = slices.DeleteFunc(c.sent, func(at kernel.Instant) bool { return now.Sub(at) >= budgetWindow })
	return uint32(len(c.sent)) < c.share
}

// noteSent notes that an opening packet goes to a target.
func (entry *targetEntry) recordOpening(now kernel.Instant) {
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

// isClosed reports whether a target may not get an opening packet at all: its zone
// is being evacuated, or it is cold and this node has used its share. A node that
// has just started does not know what it sent before.
func (c *Core) isBlocked(now kernel.Instant, entry *targetEntry) bool {
	if c.evacuated[entry.target.Zone] {
		return true
	}
	if entry.warmup == nil {
		return false
	}
	return !entry.warmup.hasBudget(now) || entry.warmup.bounded && now.Before(c.budgetFrom)
}

// isSpared draws whether a cold target is passed over while others are left.
func (c *Core) skipsWhileWarming(now kernel.Instant, entry *targetEntry) bool {
	if entry.warmup == nil {
		return false
	}
	left := entry.warmup.remaining(now)
	return left > 0 && c.settings.Random.Float64() < left
}

// setEvacuations takes over what was ordered about zones.
func (c *Core) setEvacuations(now kernel.Instant, evacuations []directory.Evacuation) {
	for _, evacuation := range evacuations {
		known := c.evacuationRevisions[evacuation.Zone]
		c.evacuationRevisions[evacuation.Zone] = evacuation.Revision
		c.evacuated[evacuation.Zone] = evacuation.Active
		if !evacuation.Active && evacuation.Revision > known {
			c.endEvacuation(now, evacuation)
		}
	}
}

// takeBack spares the targets of a zone that may get new flows again. One that has
// registered since has stewards of its own.
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
