package registry

import (
	"cmp"
	"maps"
	"slices"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

// A member collects the observations of its nodes and targets and sends them to the leader.

// RecordHeartbeat records a heartbeat of a registered target. It ignores heartbeats of an
// earlier start of the target.
func (c *Core) RecordHeartbeat(now kernel.Instant, start directory.Start) {
	target, known := c.state.Target(start.ID)
	if !known || target.Start() != start {
		return
	}
	c.RecordHeartbeats(now, []directory.Token{target.Token})
}

// RecordHeartbeats records heartbeats of targets by token.
func (c *Core) RecordHeartbeats(now kernel.Instant, tokens []directory.Token) {
	for _, token := range tokens {
		c.liveness.target(token).lastHeartbeat = now
		c.liveness.unsentHeartbeats[token] = true
	}
}

// RecordEvidence records a subscribed node's observations of targets.
func (c *Core) RecordEvidence(now kernel.Instant, connection ConnectionID, evidence Evidence) {
	for _, token := range evidence.Answering {
		c.liveness.unsentAnswers[token] = true
	}
	c.RecordHeartbeats(now, evidence.Heartbeats)
	c.openings.add(evidence)
	if node, connected := c.nodes[connection]; connected {
		node.silent = evidence.Silent
		node.silentAt = now
		c.outcomes.add(now, node.name, evidence.Outcomes)
	}
}

// silentTargets adds up the newest reports of the subscribed nodes.
func (c *Core) silentTargets(now kernel.Instant) []SilentTarget {
	sums := map[directory.Token]SilentTarget{}
	for _, node := range c.nodes {
		if now.Sub(node.silentAt) >= nodeSilenceReportTTL {
			continue
		}
		for _, silent := range node.silent {
			sums[silent.Token] = sums[silent.Token].add(silent)
		}
	}
	return slices.SortedFunc(maps.Values(sums), func(a, b SilentTarget) int { return cmp.Compare(a.Token, b.Token) })
}

// tickLiveness sends this member's observations to the leader; the leader records its own
// and evaluates all targets.
func (c *Core) tickLiveness(now kernel.Instant) {
	if now.Before(c.liveness.nextReport) {
		return
	}
	c.liveness.nextReport = now.Add(livenessInterval)
	seen := c.drainObservations(now)
	c.sweepLiveness()
	if c.IsLeader() {
		c.recordObservations(now, seen)
		c.evaluateTargets(now)
		return
	}
	if seen.isEmpty() {
		return
	}
	c.sendToMember(c.address(c.replica.Node.Leader()), seen.frame())
}

// drainObservations returns and clears the observations since the last message. Answers are
// included only of queried targets.
func (c *Core) drainObservations(now kernel.Instant) observations {
	seen := observations{From: c.settings.Address}
	seen.Heartbeats = slices.Sorted(maps.Keys(c.liveness.unsentHeartbeats))
	for _, token := range c.liveness.verdicts.Queried {
		if c.liveness.unsentAnswers[token] {
			seen.Evidence.Answering = append(seen.Evidence.Answering, token)
		}
	}
	seen.Evidence.Silent = c.silentTargets(now)
	seen.Evidence.Openings, seen.Evidence.Refused = c.openings.drain()
	seen.Outcomes = c.outcomes.drain(now)
	c.liveness.clearUnsent()
	return seen
}

// recordObservations adds a member's observations to the leader's tables.
func (c *Core) recordObservations(now kernel.Instant, seen observations) {
	for _, token := range seen.Heartbeats {
		c.liveness.target(token).lastHeartbeat = now
	}
	for _, token := range seen.Evidence.Answering {
		c.liveness.target(token).lastAnswer = now
	}
	c.openings.record(now, seen.Evidence.Openings)
	c.recordOutcomes(now, seen)
	for _, refused := range seen.Evidence.Refused {
		c.liveness.target(refused.Token).recordRefusal(now, seen.From, refused)
	}
	for _, silent := range seen.Evidence.Silent {
		c.liveness.target(silent.Token).recordSilence(now, seen.From, silent)
	}
}
