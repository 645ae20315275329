package steer

import (
	"cmp"
	"slices"
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

const (
	// silenceThreshold is how long data must have waited for an answer, and a
	// target must have answered nobody at this node, before a flow counts as
	// evidence that the target is silent.
	silenceThreshold = 250 * time.Millisecond
	// missedLifetime is how long an unanswered opening packet counts.
	missedLifetime = 900 * time.Millisecond
)

// SilentTarget is a target that left packets of several flows unanswered.
type SilentTarget struct {
	Token directory.Token
	// Weight grows with the flows that wait for an answer and with their wait.
	Weight uint32
	// Doubtful is the weight of all that a doubtful witness sees.
	Doubtful uint32
}

// Evidence is what a node has seen of the targets since its last report.
type Evidence struct {
	// Answering are the targets that answered somebody.
	Answering []directory.Token
	Silent    []SilentTarget
	// Refused are the targets that took no opening packets, with their number, and
	// Openings count those of all targets by zone.
	Refused  []SilentTarget
	Openings []directory.ZoneOpenings
	// Outcomes count how exchanges with targets ended.
	Outcomes []directory.Outcomes
}

// Report returns the evidence since the last report. When the node itself was
// stopped for a while there is none: what it saw is old. For a time after that
// nothing speaks against a target: data that callers had sent again waited here,
// together with the data itself, and the answers went by other nodes.
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
	c.openings.expireOverdue(now)
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

// noteAnswer notes that a target has answered a caller.
func (c *Core) recordAnswer(now kernel.Instant, entry *targetEntry) {
	entry.answeredAt = now
	entry.missed = 0
	delete(c.unansweredOpenings, entry)
	if !entry.inAnswering {
		entry.inAnswering = true
		c.answering = append(c.answering, entry)
	}
}

// noteMissed notes that a target has left an opening packet unanswered.
func (c *Core) recordMissed(now kernel.Instant, flow *flowEntry) {
	if flow.dropped {
		return
	}
	entry := flow.target
	entry.missedAt = now
	entry.missed++
	c.unansweredOpenings[entry] = true
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
	found := map[*targetEntry]SilentTarget{}
	for _, flow := range c.unanswered {
		if weight := flow.pending.weight(now); weight > 0 {
			silent := found[flow.target]
			silent.Weight += weight
			found[flow.target] = silent
		}
	}
	c.addUnansweredOpenings(now, found)
	if c.isUnreliableObserver(now) {
		markDoubtful(found)
	}
	var list []SilentTarget
	for entry, silent := range found {
		if now.Sub(entry.answeredAt) >= silenceThreshold {
			silent.Token = entry.target.Token
			list = append(list, silent)
		}
	}
	slices.SortFunc(list, func(a, b SilentTarget) int { return cmp.Compare(a.Token, b.Token) })
	return list
}

// doubtAll turns all weight into doubtful weight.
func markDoubtful(found map[*targetEntry]SilentTarget) {
	for entry, silent := range found {
		found[entry] = SilentTarget{Doubtful: silent.Weight}
	}
}

// addMissing adds the opening packets without an answer.
func (c *Core) addUnansweredOpenings(now kernel.Instant, found map[*targetEntry]SilentTarget) {
	for entry := range c.unansweredOpenings {
		if now.Sub(entry.missedAt) >= missedLifetime {
			delete(c.unansweredOpenings, entry)
			continue
		}
		silent := found[entry]
		silent.Weight += uint32(entry.missed)
		found[entry] = silent
	}
}

// ApplyVerdicts takes the control members' verdicts. New flows avoid what is suspected while
// other targets are left. It returns the open flows of targets
// that were not held for lost before; their callers can be told at once.
func (c *Core) ApplyVerdicts(verdicts directory.Verdicts) []Packet {
	before := map[*targetEntry]bool{}
	for _, entry := range c.targets {
		before[entry] = entry.lost
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
	return c.resetFlows(func(entry *targetEntry) bool { return entry.lost && !before[entry] })
}

// ResetUnanswered forgets the flows at targets that have ended whose callers have sent data
// again, and returns a packet of each for its reset. Their next packet would be reset too,
// but comes up to 1.6 s later, which is half of the time that some callers have.
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

// endFlow forgets a flow and returns a packet of it for its reset.
func (c *Core) resetFlow(key FlowKey, flow *flowEntry) Packet {
	c.removeFlow(key, flow)
	return Packet{Flow: key, Token: flow.target.target.Token, Acknowledged: flow.acknowledged}
}

func sortPackets(packets []Packet) {
	slices.SortFunc(packets, func(a, b Packet) int {
		return cmp.Or(a.Flow.Caller.Compare(b.Flow.Caller), a.Flow.Virtual.Compare(b.Flow.Virtual))
	})
}

// endFlows forgets the open flows of some targets and returns a packet of each
// for its reset.
func (c *Core) resetFlows(ended func(entry *targetEntry) bool) []Packet {
	var packets []Packet
	for key, flow := range c.flows {
		if !flow.opened || !ended(flow.target) {
			continue
		}
		packets = append(packets, c.resetFlow(key, flow))
	}
	sortPackets(packets)
	return packets
}
