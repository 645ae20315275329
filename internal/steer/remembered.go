package steer

import (
	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

// CanDecide reports whether the core knows enough for a packet. One of an open
// flow needs only its target; a new flow needs a configuration, and its route and a
// target where only a member's disk speaks for that.
func (c *Core) CanDecide(packet Packet) bool {
	if packet.Forged || c.revision > 0 && c.IsReady() {
		return true
	}
	if packet.Opening {
		return c.hasRememberedTarget(packet.Flow)
	}
	_, known := c.targets[packet.Token]
	return known
}

// remembersTargetFor reports whether a new flow can be placed by what a member's disk
// remembers. Another one waits: its route may be newer than that disk.
func (c *Core) hasRememberedTarget(flow FlowKey) bool {
	entry, routed := c.routes[flow.Virtual]
	if c.revision > 0 || !routed {
		return false
	}
	for _, backend := range entry.route.Backends {
		if backend.Weight > 0 && len(c.services[backend.Service]) > 0 {
			return true
		}
	}
	return false
}

// ApplyRemembered takes what a member's disk knows, before any member is current. A token names
// one target for ever, so the packets of open flows can follow it. Where the disk tells a
// configuration, new flows are placed by it until an instant or the first update. It
// returns the number of targets that were not known. A core that has state of its own
// takes nothing.
func (c *Core) ApplyRemembered(now kernel.Instant, remembered directory.Remembered, until kernel.Instant) int {
	if c.revision > 0 {
		return 0
	}
	places := remembered.Configuration.Version > 0 && now.Before(until)
	if places {
		c.rememberedUntil = until
	}
	if places && remembered.Configuration.Version > c.configuration.Version {
		c.setConfiguration(remembered.Configuration)
	}
	taken := 0
	for _, target := range remembered.Targets {
		if !places {
			target.State = max(target.State, directory.TargetLeaving)
		}
		if c.addRemembered(target) {
			taken++
		}
	}
	return taken
}

// rememberTarget takes a target of a member's disk, and reports whether it was not known.
// Of two disks the one holds on which the target's life is further on.
func (c *Core) addRemembered(target directory.Target) bool {
	entry, known := c.targets[target.Token]
	if !known {
		entry = &targetEntry{remembered: true}
		c.targets[target.Token] = entry
	}
	if !known || target.State > entry.target.State {
		c.listTarget(entry, target)
	}
	return !known
}

// UsesRemembered reports whether new flows are placed by what a member's disk remembers.
func (c *Core) UsesRemembered() bool { return c.rememberedUntil > 0 && c.revision == 0 }

// ExpireRemembered places no new flows any more by what a disk remembers once its time is up,
// and reports whether that has just come. What is known of open flows stays, and so does
// the configuration, which may only be replaced by a newer one.
func (c *Core) ExpireRemembered(now kernel.Instant) bool {
	if !c.UsesRemembered() || now.Before(c.rememberedUntil) {
		return false
	}
	c.disableRemembered()
	return true
}

// closeRemembered lists no target any more: before the first update only a disk's memory
// speaks for those that are listed.
func (c *Core) disableRemembered() {
	c.rememberedUntil = 0
	clear(c.services)
	for _, entry := range c.targets {
		entry.target.State = max(entry.target.State, directory.TargetLeaving)
	}
}

// dropRemembered forgets the remembered targets that the first update has not
// confirmed.
func (c *Core) dropRemembered() {
	for token, entry := range c.targets {
		if !entry.remembered {
			continue
		}
		delete(c.targets, token)
		c.removeFlowsOf(entry)
	}
}

// forgetFlowsOf forgets the flows of a target.
func (c *Core) removeFlowsOf(entry *targetEntry) {
	for key, flow := range c.flows {
		if flow.target == entry {
			c.removeFlow(key, flow)
		}
	}
	delete(c.unansweredOpenings, entry)
}
