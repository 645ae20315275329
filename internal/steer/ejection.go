package steer

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

const (
	// probationShare is the part of the new flows that reach a target on probation of
	// those that it would get otherwise. A target that serves a dozen flows a second
	// over all nodes shows in one second with three of them whether it serves again;
	// until then one caller in a few hundred meets it.
	probationShare = 0.25
	// probationPause is the least time between two flows that a node places on a target
	// on probation: when every other target has callers waiting it looks idlest, and
	// takes all that the lot lets through.
	probationInterval = time.Second
)

// setEjections takes over which targets fail their work.
func (c *Core) setEjections(verdicts directory.Verdicts) {
	for _, token := range verdicts.Ejected {
		if entry, known := c.targets[token]; known {
			entry.ejected = true
		}
	}
	for _, token := range verdicts.Probation {
		if entry, known := c.targets[token]; known {
			entry.probation = true
		}
	}
}

// takesTrial draws whether a target on probation may get a flow. Only requests that
// may run more than once are risked, and no caller that has tried before.
func (c *Core) admitsTrial(now kernel.Instant, entry *targetEntry, kind directory.RouteKind, tried []directory.Token) bool {
	if !kind.IsRepeatable() || len(tried) > 0 || now.Sub(entry.lastPlacedAt) < probationInterval {
		return false
	}
	return c.settings.Random.Float64() < probationShare
}
