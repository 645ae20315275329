package steer

import (
	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

// place chooses the target of a new flow. A late retransmission of its opening packet goes to
// a target that has not been tried: the first one does not answer or is full.
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
		flow.target.useBudget(now)
		return Decision{Action: ActionForward, Reason: ReasonToken, Target: flow.target.target, Route: entry.route.Name}
	}
	if known && packet.Copy > 0 {
		c.recordUnansweredOpening(now, flow)
		reason = ReasonPlacedAgain
	}
	decision, target := c.choose(now, entry, flow, packet)
	decision.Route = entry.route.Name
	if target == nil {
		return decision
	}
	decision.Reason = reason
	target.useBudget(now)
	c.recordPlacement(now, packet, target)
	return decision
}

// keepsTarget reports whether a retransmitted opening packet goes to the same target as
// before: the flow is open, or the target has not had time to answer and is not blocked.
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

// choose selects a service by weight and a target of it. If the service has no usable target,
// the other services of the route are tried in order.
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
		skipped := c.collectCandidates(now, backend.Service, entry.route.Kind, tried)
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
			Unresponsive: skipped.unresponsive,
			Ejected:      skipped.ejected,
		}, chosen
	}
	return Decision{Action: ActionReset, Reason: c.noTargetReason(entry)}, nil
}

// noTargetReason returns why a new flow of a route was not placed.
func (c *Core) noTargetReason(entry *routeEntry) Reason {
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

// skippedCounts counts the targets that were skipped, by cause.
type skippedCounts struct{ unresponsive, ejected int }

// collectCandidates fills the list of candidates of a service and returns how many were
// skipped. If all would be skipped, they are used nevertheless, except blocked ones.
func (c *Core) collectCandidates(now kernel.Instant, service string, kind directory.RouteKind, tried []directory.Token) skippedCounts {
	all := c.collectUnblocked(now, c.services[service])
	var skipped skippedCounts
	c.resetCandidates()
	for _, entry := range all {
		switch {
		case contains(tried, entry.target.Token):
		case entry.ejected, entry.probation && !c.admitsTrial(now, entry, kind, tried):
			skipped.ejected++
			c.addSlots(entry)
		case c.isUnresponsive(now, entry):
			skipped.unresponsive++
			c.addSlots(entry)
		case c.skipsWhileWarming(now, entry):
			c.addWarmingSlots(entry)
		default:
			c.addCandidate(now, entry)
		}
	}
	if len(c.usable) > 0 {
		return skipped
	}
	c.collectFallbacks(now, all, tried)
	return skippedCounts{}
}

// fallbackLevels is the number of steps in which collectFallbacks relaxes its criteria.
const fallbackLevels = 4

// collectFallbacks fills the list of candidates when every target would be skipped.
func (c *Core) collectFallbacks(now kernel.Instant, all []*targetEntry, tried []directory.Token) {
	c.resetCandidates()
	for level := 0; level < fallbackLevels && len(c.usable) == 0; level++ {
		for _, entry := range all {
			if entry.isFallback(level, contains(tried, entry.target.Token)) {
				c.addCandidate(now, entry)
			}
		}
	}
}

// isFallback reports whether a target may be used at a fallback level: first unresponsive and
// warming targets and those on probation, then ejected ones, then lost ones, and at last
// those tried before.
func (entry *targetEntry) isFallback(level int, tried bool) bool {
	switch level {
	case 0:
		return !entry.ejected && !entry.lost && !tried
	case 1:
		return !entry.lost && !tried
	case 2:
		return !tried
	}
	return true
}

// collectUnblocked returns the targets that may get opening packets.
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

// addSlots adds the slots of a target, even of one that is skipped because of a failure, to
// LocalSlots or RemoteSlots.
func (c *Core) addSlots(entry *targetEntry) {
	if entry.target.Zone == c.settings.Zone {
		c.choice.LocalSlots += slotsOf(entry)
	} else {
		c.choice.RemoteSlots += slotsOf(entry)
	}
}

// addWarmingSlots adds the slots of a skipped warming target if it is in another zone, which
// reduces the spill. In the node's own zone they are not missing capacity and must not cause
// spill.
func (c *Core) addWarmingSlots(entry *targetEntry) {
	if entry.target.Zone != c.settings.Zone {
		c.addSlots(entry)
	}
}

// slotsOf returns the number of requests that a target serves concurrently, at least 1.
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

// isUnresponsive reports whether there is evidence that a target does not answer: the control
// members suspect it or consider it lost, probes failed, or it recently refused an opening
// packet or left one or an exchange unanswered and has not answered since.
func (c *Core) isUnresponsive(now kernel.Instant, entry *targetEntry) bool {
	openingUnanswered := entry.openingUnansweredAt > entry.answeredAt && now.Sub(entry.openingUnansweredAt) < c.settings.AvoidFor
	return openingUnanswered || entry.probes.isUnreachable(now) || entry.hasRefused(now) || entry.hasFailed(now) || entry.suspected || entry.lost
}

func contains(tokens []directory.Token, token directory.Token) bool {
	for _, other := range tokens {
		if other == token {
			return true
		}
	}
	return false
}
