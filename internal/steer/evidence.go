package steer

import (
	"cmp"
	"slices"
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

const (
	// silenceThreshold is how long data must have been unacknowledged before it counts as
	// evidence of silence. The target must not have answered any flow of this node in that time.
	silenceThreshold = 250 * time.Millisecond
	// unansweredOpeningLifetime is how long an unanswered opening packet counts.
	unansweredOpeningLifetime = 900 * time.Millisecond
)

// SilentTarget is a target that left packets unanswered. Without any weight, control members
// only ask nodes whether it answers.
type SilentTarget struct {
	Token directory.Token
	// Weight is the strength of the evidence that the target is dead: it grows with the number
	// of waiting flows and their retransmissions. In Evidence.Refused it is the number of
	// opening packets.
	Weight uint32
	// UnreliableWeight is the weight of evidence that may be due to a fault of this node or
	// its link.
	UnreliableWeight uint32
}

// Evidence is what a node has observed of the targets since its last report.
type Evidence struct {
	// Answering are the targets that answered at least one caller.
	Answering []directory.Token
	Silent    []SilentTarget
	// Refused are the targets that did not accept opening packets. Openings count the accepted
	// and refused opening packets by zone.
	Refused  []SilentTarget
	Openings []directory.ZoneOpenings
	// Outcomes count how exchanges with targets ended.
	Outcomes []directory.Outcomes
}

// Report returns the evidence since the last report. It returns none if this process was
// stalled in between, and no evidence of silence for some time after: data and its
// retransmissions were queued here together, and acknowledgements may have passed through
// other nodes.
func (c *Core) Report(now kernel.Instant, interval time.Duration) Evidence {
	c.expireWaits(now)
	since := c.reportedAt
	c.reportedAt = now
	answering := c.takeAnswering()
	var evidence Evidence
	if now.Sub(since) > 2*interval {
		if since > 0 {
			c.stalledUntil = now.Add(resentTwiceLifetime)
		}
		c.openings.clearInFlight()
		c.ignoreExchanges(now)
		return evidence
	}
	evidence.Answering = answering
	c.exchanges.wheel.advance(now, c.checkQuiet)
	evidence.Outcomes = c.takeOutcomes()
	if now.Before(c.linkDelayedUntil) {
		c.openings.clearInFlight()
	}
	for _, entry := range c.openings.expireOverdue(now) {
		c.requestProbeForOpening(now, entry)
	}
	openings, refused := c.openings.take()
	if !now.Before(c.linkDelayedUntil) && !c.openings.refusedEverywhere() {
		evidence.Openings, evidence.Refused = openings, refused
	}
	silent := c.silentTargets(now)
	c.losses.decay(now.Sub(since))
	if !now.Before(c.stalledUntil) {
		evidence.Silent = silent
	}
	return evidence
}

// recordAnswer records that a target has answered a caller.
func (c *Core) recordAnswer(now kernel.Instant, entry *targetEntry) {
	entry.answeredAt = now
	entry.openingsUnanswered = 0
	delete(c.withUnansweredOpenings, entry)
	if !entry.inAnswering {
		entry.inAnswering = true
		c.answering = append(c.answering, entry)
	}
}

// recordUnansweredOpening records that a target has left an opening packet unanswered, unless
// this node dropped it.
func (c *Core) recordUnansweredOpening(now kernel.Instant, flow *flowEntry) {
	if flow.dropped {
		return
	}
	entry := flow.target
	entry.openingUnansweredAt = now
	entry.openingsUnanswered++
	c.withUnansweredOpenings[entry] = true
}

func (c *Core) takeAnswering() []directory.Token {
	var tokens []directory.Token
	for _, entry := range c.answering {
		entry.inAnswering = false
		tokens = append(tokens, entry.target.Token)
	}
	c.answering = c.answering[:0]
	slices.Sort(tokens)
	return tokens
}

func (c *Core) silentTargets(now kernel.Instant) []SilentTarget {
	weights := map[*targetEntry]SilentTarget{}
	for _, flow := range c.unanswered {
		if weight := flow.pending.weight(now); weight > 0 {
			silent := weights[flow.target]
			silent.Weight += weight
			weights[flow.target] = silent
		}
	}
	c.addUnansweredOpenings(now, weights)
	if c.isUnreliableObserver(now) {
		markUnreliable(weights)
	}
	var list []SilentTarget
	for entry, silent := range weights {
		if now.Sub(entry.answeredAt) >= silenceThreshold {
			silent.Token = entry.target.Token
			list = append(list, silent)
		}
	}
	slices.SortFunc(list, func(a, b SilentTarget) int { return cmp.Compare(a.Token, b.Token) })
	return list
}

// markUnreliable turns all weight into unreliable weight.
func markUnreliable(weights map[*targetEntry]SilentTarget) {
	for entry, silent := range weights {
		weights[entry] = SilentTarget{UnreliableWeight: silent.Weight}
	}
}

// addUnansweredOpenings adds the unanswered opening packets. A target that is full leaves
// them unanswered too while it serves its flows, so they have weight only if it accepts no
// connections either.
func (c *Core) addUnansweredOpenings(now kernel.Instant, weights map[*targetEntry]SilentTarget) {
	for entry := range c.withUnansweredOpenings {
		lifetime := unansweredOpeningLifetime
		acceptsNone := entry.probes.acceptsNone(now)
		if acceptsNone {
			lifetime = probeLifetime
		}
		if now.Sub(entry.openingUnansweredAt) >= lifetime {
			delete(c.withUnansweredOpenings, entry)
			continue
		}
		silent := weights[entry]
		if acceptsNone {
			silent.Weight += max(weightUnreachable, uint32(entry.openingsUnanswered))
		}
		weights[entry] = silent
	}
}

// ApplyVerdicts applies the verdicts of the control members. Suspected targets get no new
// flows while others are available. It removes the open flows of newly lost targets and
// returns one packet of each for its reset.
func (c *Core) ApplyVerdicts(verdicts directory.Verdicts) []Packet {
	wasLost := map[*targetEntry]bool{}
	for _, entry := range c.targets {
		wasLost[entry] = entry.lost
		entry.suspected = slices.Contains(verdicts.AvoidedZones, entry.target.Zone)
		entry.lost = false
		entry.ejected = false
		entry.probation = false
	}
	for _, token := range verdicts.Suspects {
		if entry, known := c.targets[token]; known {
			entry.suspected = true
		}
	}
	for _, token := range verdicts.Lost {
		if entry, known := c.targets[token]; known {
			entry.lost = true
		}
	}
	c.setEjections(verdicts)
	return c.resetFlows(func(entry *targetEntry) bool { return entry.lost && !wasLost[entry] })
}

// ResetUnanswered removes the flows with retransmitted data whose targets have ended, and
// returns one packet of each for its reset. The next retransmission would cause a reset too,
// but comes up to 1.6 s later, perhaps too late for the caller to try again before its
// deadline.
func (c *Core) ResetUnanswered() []Packet {
	var packets []Packet
	for key, flow := range c.unanswered {
		if flow.target.target.State != directory.TargetEnded {
			continue
		}
		packets = append(packets, c.resetFlow(key, flow))
	}
	sortPackets(packets)
	return packets
}

// resetFlow removes a flow and returns a packet of it for its reset.
func (c *Core) resetFlow(key FlowKey, flow *flowEntry) Packet {
	c.removeFlow(key, flow)
	return Packet{Flow: key, Token: flow.target.target.Token, Acknowledged: flow.acknowledged}
}

func sortPackets(packets []Packet) {
	slices.SortFunc(packets, func(a, b Packet) int {
		return cmp.Or(a.Flow.Caller.Compare(b.Flow.Caller), a.Flow.Virtual.Compare(b.Flow.Virtual))
	})
}

// resetFlows removes the open flows of the selected targets and returns one packet of each
// for its reset.
func (c *Core) resetFlows(selects func(entry *targetEntry) bool) []Packet {
	var packets []Packet
	for key, flow := range c.flows {
		if !flow.opened || !selects(flow.target) {
			continue
		}
		packets = append(packets, c.resetFlow(key, flow))
	}
	sortPackets(packets)
	return packets
}
