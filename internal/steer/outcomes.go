package steer

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

// failureLifetime is how long this node avoids a target after an unanswered exchange; the
// control members detect a failing target within that time.
const failureLifetime = 3 * time.Second

// hasFailed reports whether a target recently left an exchange unanswered and has not
// answered one normally since. This node avoids such a target before the control members
// decide.
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

// takeOutcomes returns and clears the outcomes since the last call, ordered by token.
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
