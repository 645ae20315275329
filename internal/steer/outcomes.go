package steer

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

// failsFor is how long a target that left an exchange unanswered is passed over at
// this node: all nodes together have found a failing one by then.
const failureLifetime = 3 * time.Second

// fails reports whether a target left an exchange unanswered lately and has not been
// seen to answer one since. This node knows it at once, before all nodes together do.
func (entry *targetEntry) hasFailed(now kernel.Instant) bool {
	return entry.failedAt > entry.succeededAt && now.Sub(entry.failedAt) < failureLifetime
}

func (c *Core) recordOutcome(now kernel.Instant, target *targetEntry, counted directory.Outcomes) {
	if counted.Unanswered > 0 {
		target.failedAt = now
	}
	if counted.Answered > 0 {
		target.succeededAt = now
	}
	if target.outcomes == (directory.Outcomes{}) {
		c.exchanges.withOutcomes = append(c.exchanges.withOutcomes, target)
	}
	target.outcomes = target.outcomes.Add(counted)
}

// takeOutcomes returns what was counted since the last call, in the order of tokens.
func (c *Core) takeOutcomes() []directory.Outcomes {
	var list []directory.Outcomes
	for _, target := range c.exchanges.withOutcomes {
		target.outcomes.Token = target.target.Token
		list = append(list, target.outcomes)
		target.outcomes = directory.Outcomes{}
	}
	c.exchanges.withOutcomes = c.exchanges.withOutcomes[:0]
	directory.SortOutcomes(list)
	return list
}
