package registry

import "github.com/beamdoor/beamdoor/internal/directory"

// livenessSweepSlack is by how many the entries of the liveness table must exceed twice the
// number of targets before it is swept. It limits how often all are scanned.
const livenessSweepSlack = 64

// sweepLiveness removes ended targets from the liveness table once enough have accumulated.
func (c *Core) sweepLiveness() {
	if len(c.liveness.targets) <= livenessSweepSlack {
		return
	}
	if len(c.liveness.targets) <= 2*c.state.TargetCount()+livenessSweepSlack {
		return
	}
	for token := range c.liveness.targets {
		target, known := c.state.TargetByToken(token)
		if !known || target.State == directory.TargetEnded {
			delete(c.liveness.targets, token)
		}
	}
}
