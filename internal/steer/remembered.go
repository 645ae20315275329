package steer

import (
	"github.com/beamdoor/beamdoor/internal/directory"
)

// CanDecide reports whether the core knows enough for a packet. One of an open
// flow needs only its target; a new flow needs a configuration.
func (c *Core) CanDecide(packet Packet) bool {
	if c.IsReady() || packet.Forged {
		return true
	}
	_, known := c.targets[packet.Token]
	return known && !packet.Opening
}

// Remember takes targets that a member's disk knows of, before any member is
// current. A token names one target for ever, so the packets of open flows can
// follow it; no new flow goes to such a target. It returns the number of targets
// that were not known. A core that has state of its own takes none.
func (c *Core) Remember(targets []directory.Target) int {
	if c.revision > 0 {
		return 0
	}
	taken := 0
	for _, target := range targets {
		if _, known := c.targets[target.Token]; known {
			continue
		}
		target.State = directory.TargetLeaving
		c.targets[target.Token] = &targetEntry{target: target, remembered: true}
		taken++
	}
	return taken
}

// dropRemembered forgets the remembered targets that the first update does not
// confirm.
func (c *Core) dropRemembered(confirmed []directory.Target) {
	if c.revision > 0 {
		return
	}
	for _, target := range confirmed {
		if entry, known := c.targets[target.Token]; known {
			entry.remembered = false
		}
	}
	for token, entry := range c.targets {
		if !entry.remembered {
			continue
		}
		delete(c.targets, token)
		c.forgetFlowsOf(entry)
	}
}

// forgetFlowsOf forgets the flows of a target.
func (c *Core) forgetFlowsOf(entry *targetEntry) {
	for key, flow := range c.flows {
		if flow.target == entry {
			c.forget(key, flow)
		}
	}
	delete(c.missing, entry)
}
