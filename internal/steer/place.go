package steer

import (
	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

// place chooses the target of a new flow. A copy of an opening packet goes to
// a target that has not been tried: the first one is silent or full.
func (c *Core) place(now kernel.Instant, packet Packet) Decision {
	if c.configuration.Version == 0 || c.UsesRemembered() && !now.Before(c.rememberedUntil) {
		return Decision{Action: ActionDrop, Reason: ReasonNotReady}
	}
	entry, routed := c.routes[packet.Flow.Virtual]
	if !routed {
		return Decision{Action: ActionReset, Reason: ReasonNoRoute}
	}
	reason := ReasonPlaced
	flow, known := c.flows[packet.Flow]
	if known && packet.Copy > 0 && c.keepsTarget(now, flow) {
		flow.target.recordOpening(now)
		return Decision{Action: ActionForward, Reason: ReasonToken, Target: flow.target.target, Route: entry.route.Name}
	}
	if known && packet.Copy > 0 {
		c.recordMissed(now, flow)
		reason = ReasonPlacedAgain
	}
	decision, target := c.choose(now, entry, flow, packet)
	decision.Route = entry.route.Name
	if target == nil {
		return decision
	}
	decision.Reason = reason
	target.recordOpening(now)
	c.recordPlacement(now, packet, target)
	return decision
}

// keepsTarget reports whether a copy of an opening packet goes where the one before
// went: the flow is open, or its target has had no time to answer yet and may still
// get opening packets.
func (c *Core) keepsTarget(now kernel.Instant, flow *flowEntry) bool {
	if flow.opened {
		return true
	}
	return now.Sub(flow.placedAt) < c.settings.AnswerTimeout && !c.isBlocked(now, flow.target)
}

func (c *Core) recordPlacement(now kernel.Instant, packet Packet, target *targetEntry) {
	flow, known := c.flows[packet.Flow]
	if known && packet.Copy == 0 {
		c.removeFlow(packet.Flow, flow)
		known = false
	}
	if !known {
		c.addFlow(now, packet.Flow, target)
		flow, known = c.flows[packet.Flow]
	}
	if !known {
		return
	}
	c.setFlowTarget(flow, target)
	c.beginWait(now, flow)
	flow.tried = append(flow.tried, target.target.Token)
	target.lastPlacedAt = now
	flow.placedAt = now
	flow.dropped = false
	c.openings.inFlight[packet.Flow] = flow
	flow.lastPacketAt = now
}

// choose picks a service by weight, then a target of it. When that service
// has no target that takes flows, the route's other services are tried.
func (c *Core) choose(now kernel.Instant, entry *routeEntry, flow *flowEntry, packet Packet) (Decision, *targetEntry) {
	var tried []directory.Token
	if flow != nil && packet.Copy > 0 {
		tried = flow.tried
	}
	first := c.backendByWeight(entry)
	for offset := range entry.route.Backends {
		backend := entry.route.Backends[(first+offset)%len(entry.route.Backends)]
		if backend.Weight == 0 {
			continue
		}
		passed := c.collectCandidates(now, backend.Service, entry.route.Kind, tried)
		if len(c.usable) == 0 {
			continue
		}
		position := c.settings.Chooser.Choose(c.choice, c.settings.Random)
		chosen := c.usable[position]
		return Decision{
			Action:       ActionForward,
			Target:       chosen.target,
			Candidates:   len(c.usable),
			Waiting:      chosen.waitingFlows,
			RelativeTime: c.choice.Candidates[position].RelativeTime,
			Doubtful:     passed.doubtful,
			Ejected:      passed.ejected,
		}, chosen
	}
	return Decision{Action: ActionReset, Reason: c.refusalReason(entry)}, nil
}

// refusal returns why no target takes a new flow of a route.
func (c *Core) refusalReason(entry *routeEntry) Reason {
	reason := ReasonNoTarget
	for _, backend := range entry.route.Backends {
		if backend.Weight == 0 {
			continue
		}
		for _, target := range c.services[backend.Service] {
			if !c.evacuated[target.target.Zone] {
				return ReasonCold
			}
			reason = ReasonEvacuated
		}
	}
	return reason
}

func (c *Core) backendByWeight(entry *routeEntry) int {
	if len(entry.route.Backends) == 1 || entry.totalWeight == 0 {
		return 0
	}
	drawn := c.settings.Random.Uint64N(entry.totalWeight)
	for position, backend := range entry.route.Backends {
		if drawn < uint64(backend.Weight) {
			return position
		}
		drawn -= uint64(backend.Weight)
	}
	return 0
}

// passedOver counts the targets that were passed over, by cause.
type skippedCounts struct{ doubtful, ejected int }

// listUsable fills the list of candidates of a service and returns how many were
// passed over. When nothing else is left, these are used all the same. Closed ones
// never are.
func (c *Core) collectCandidates(now kernel.Instant, service string, kind directory.RouteKind, tried []directory.Token) skippedCounts {
	all := c.collectUnblocked(now, c.services[service])
	var passed skippedCounts
	c.resetCandidates()
	for _, entry := range all {
		switch {
		case contains(tried, entry.target.Token):
		case entry.ejected, entry.probation && !c.admitsTrial(now, entry, kind, tried):
			passed.ejected++
			c.addSlots(entry)
		case c.isDoubtful(now, entry):
			passed.doubtful++
			c.addSlots(entry)
		case c.skipsWhileWarming(now, entry):
			c.addWarmingSlots(entry)
		default:
			c.addCandidate(now, entry)
		}
	}
	if len(c.usable) > 0 {
		return passed
	}
	c.collectFallbacks(now, all, tried)
	return skippedCounts{}
}

// lastResorts is the number of steps in which a list takes in what is worse and worse.
const fallbackLevels = 4

// listRest fills the list with what is left when every target would be passed over.
func (c *Core) collectFallbacks(now kernel.Instant, all []*targetEntry, tried []directory.Token) {
	c.resetCandidates()
	for step := 0; step < fallbackLevels && len(c.usable) == 0; step++ {
		for _, entry := range all {
			if entry.isFallback(step, contains(tried, entry.target.Token)) {
				c.addCandidate(now, entry)
			}
		}
	}
}

// isResort reports whether a target is used at a step: those that are only doubtful or
// spared first, those that fail their work next, those held for lost and those that
// were tried before last.
func (entry *targetEntry) isFallback(step int, tried bool) bool {
	switch step {
	case 0:
		return !entry.ejected && !entry.lost && !tried
	case 1:
		return !entry.lost && !tried
	case 2:
		return !tried
	}
	return true
}

// listOpen returns the targets that may get an opening packet.
func (c *Core) collectUnblocked(now kernel.Instant, all []*targetEntry) []*targetEntry {
	c.unblocked = c.unblocked[:0]
	for _, entry := range all {
		if !c.isBlocked(now, entry) {
			c.unblocked = append(c.unblocked, entry)
		}
	}
	return c.unblocked
}

func (c *Core) resetCandidates() {
	c.usable = c.usable[:0]
	c.choice = Choice{Candidates: c.choice.Candidates[:0]}
}

// countSlots counts the slots of a target that takes flows, or would if it were well. One
// that this flow has tried has lost none.
func (c *Core) addSlots(entry *targetEntry) {
	if entry.target.Zone == c.settings.Zone {
		c.choice.LocalSlots += slotsOf(entry)
	} else {
		c.choice.RemoteSlots += slotsOf(entry)
	}
}

// countSpared counts the slots of a target that is spared: in the own zone it has lost none,
// and sends no flow away; in another one it takes none for this zone.
func (c *Core) addWarmingSlots(entry *targetEntry) {
	if entry.target.Zone != c.settings.Zone {
		c.addSlots(entry)
	}
}

// slotsOf returns the number of requests that a target works on at once.
func slotsOf(entry *targetEntry) int { return max(int(entry.target.Slots), 1) }

func (c *Core) addCandidate(now kernel.Instant, entry *targetEntry) {
	c.addSlots(entry)
	c.usable = append(c.usable, entry)
	c.choice.Candidates = append(c.choice.Candidates, Candidate{
		Waiting:      entry.waitingFlows,
		Slots:        slotsOf(entry),
		Local:        entry.target.Zone == c.settings.Zone,
		RelativeTime: entry.relativeTime(now),
	})
}

// isDoubtful reports whether there is evidence that a target does not answer:
// nobody has heard its heartbeats, or it cannot be reached, or it left an opening packet
// or data unanswered and has not been seen to answer since.
func (c *Core) isDoubtful(now kernel.Instant, entry *targetEntry) bool {
	missed := entry.missedAt > entry.answeredAt && now.Sub(entry.missedAt) < c.settings.SuspectFor
	return missed || entry.probes.isUnreachable(now) || entry.hasRefused(now) || entry.hasFailed(now) || entry.suspected || entry.lost
}

func contains(tokens []directory.Token, token directory.Token) bool {
	for _, other := range tokens {
		if other == token {
			return true
		}
	}
	return false
}
