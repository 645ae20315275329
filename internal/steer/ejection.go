package steer

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

const (
	// probationShare is the share of the flows otherwise due to it that a target on
	// probation gets: enough to see soon whether it has recovered, with few callers at risk.
	// Where all nodes together place a dozen flows a second, it gets three of them.
	probationShare = 0.25
	// probationInterval is the least time between two flows that this node places on a
	// target on probation, which often looks idle and would then be preferred.
	probationInterval = time.Second
)

// setEjections marks the targets that are ejected or on probation.
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

// admitsTrial decides at random whether a target on probation may get a flow. Only
// first attempts on routes that allow repeated requests are eligible.
func (c *Core) admitsTrial(now kernel.Instant, entry *targetEntry, kind directory.RouteKind, tried []directory.Token) bool {
	if !kind.IsRepeatable() || len(tried) > 0 || now.Sub(entry.lastPlacedAt) < probationInterval {
		return false
	}
	return c.settings.Random.Float64() < probationShare
}
