package steer

import (
	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

// CanDecide reports whether the core has the state that a packet needs. A packet of an open
// flow needs its target. A new flow needs a configuration, and if that is only remembered,
// also a route and a target.
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

// hasRememberedTarget reports whether a new flow can be placed by remembered state. A flow
// without a route has to wait, since its route may be newer than the remembered state.
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

// ApplyRemembered adds the state that a control member has read from its disk while no member
// is current. Tokens are never reused, so packets of open flows can be forwarded by it. If it
// has a configuration, new flows are placed by it until the given instant or the first update.
// It returns the number of targets that were unknown. It has no effect after the first update.
func (c *Core) ApplyRemembered(now kernel.Instant, remembered directory.Remembered, until kernel.Instant) int {
	if c.revision > 0 {
		return 0
	}
	usesConfiguration := remembered.Configuration.Version > 0 && now.Before(until)
	if usesConfiguration {
		c.rememberedUntil = until
	}
	if usesConfiguration && remembered.Configuration.Version > c.configuration.Version {
		c.setConfiguration(remembered.Configuration)
	}
	added := 0
	for _, target := range remembered.Targets {
		if !usesConfiguration {
			target.State = max(target.State, directory.TargetLeaving)
		}
		if c.addRemembered(target) {
			added++
		}
	}
	return added
}

// addRemembered adds a remembered target, and reports whether it was unknown. If members
// disagree, the later state of the target wins.
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

// UsesRemembered reports whether new flows are placed by remembered state.
func (c *Core) UsesRemembered() bool { return c.rememberedUntil > 0 && c.revision == 0 }

// ExpireRemembered stops placing new flows by remembered state after its time limit, and
// reports whether it has just done so. Open flows and the configuration are kept; the latter
// is replaced only by a newer one.
func (c *Core) ExpireRemembered(now kernel.Instant) bool {
	if !c.UsesRemembered() || now.Before(c.rememberedUntil) {
		return false
	}
	c.disableRemembered()
	return true
}

// disableRemembered stops new flows to all known targets. Before the first update all of them
// are remembered ones.
func (c *Core) disableRemembered() {
	c.rememberedUntil = 0
	clear(c.services)
	for _, entry := range c.targets {
		entry.target.State = max(entry.target.State, directory.TargetLeaving)
	}
}

// dropRemembered removes the remembered targets that the first update did not confirm.
func (c *Core) dropRemembered() {
	for token, entry := range c.targets {
		if !entry.remembered {
			continue
		}
		delete(c.targets, token)
		c.removeFlowsOf(entry)
	}
}

// removeFlowsOf removes the flows of a target.
func (c *Core) removeFlowsOf(entry *targetEntry) {
	for key, flow := range c.flows {
		if flow.target == entry {
			c.removeFlow(key, flow)
		}
	}
	delete(c.withUnansweredOpenings, entry)
}
