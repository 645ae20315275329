package registry

import "github.com/beamdoor/beamdoor/internal/directory"

// statusSweepSlack is how far the number of statuses must exceed twice the number of
// targets before those of ended targets are removed. It limits how often all are scanned.
const statusSweepSlack = 64

// removeEndedTargets removes the statuses of ended targets once enough have accumulated.
func (c *Core) removeEndedTargets() {
	if len(c.liveness.statuses) <= statusSweepSlack {
		return
	}
	if len(c.liveness.statuses) <= 2*c.state.TargetCount()+statusSweepSlack {
		return
	}
	for token := range c.liveness.statuses {
		target, known := c.state.TargetByToken(token)
		if !known || target.State == directory.TargetEnded {
			delete(c.liveness.statuses, token)
		}
	}
}
