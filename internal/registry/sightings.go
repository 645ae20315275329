package registry

import "github.com/beamdoor/beamdoor/internal/directory"

// sightingSlack is the number of sightings beyond twice those of the living targets from
// which on those of ended ones are forgotten: it bounds how often all are looked at.
const sightingSlack = 64

// removeEndedTargets forgets what is known of targets that have ended, now and then.
func (c *Core) removeEndedTargets() {
	if len(c.liveness.statuses) <= sightingSlack {
		return
	}
	if len(c.liveness.statuses) <= 2*c.state.TargetCount()+sightingSlack {
		return
	}
	for token := range c.liveness.statuses {
		target, known := c.state.TargetByToken(token)
		if !known || target.State == directory.TargetEnded {
			delete(c.liveness.statuses, token)
		}
	}
}
