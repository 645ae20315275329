package steer

import (
	"cmp"
	"slices"
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

// The control members declare a target lost once two nodes report it silent. In a large fleet
// a target gets requests so rarely that no second node finds it silent, and callers would
// wait until their deadline: among 1,000 nodes and 10,000 targets one gets a request in nine
// seconds. A node whose caller waits therefore probes the target itself by opening a
// connection, and resets its own flows to it after two failures. Other nodes' flows are not
// affected, since the target may be reachable from there.
//
// A waiting caller is recognized by retransmissions, or by a quiet exchange on a route whose
// responses are normally acknowledged: a target may have received the request before it died.
//
// Targets that do not accept opening packets are probed too. One that is full stays silent to
// them like a dead one, but still accepts connections, so these packets are evidence of its
// death only if the probes fail or are refused.

const (
	// probeFailuresNeeded is the number of consecutive probes that must fail; a single one
	// may have been lost.
	probeFailuresNeeded = 2
	// probeInterval is the least time between two probes of a target.
	probeInterval = 100 * time.Millisecond
	// probeLifetime is how long failed probes count, how long a probe stays wanted after a
	// caller was found waiting, and how long a reachable target is not probed again.
	probeLifetime = 2 * time.Second
	// refusedOpeningProbeInterval is how long a reachable target is not probed again if it did
	// not accept a recent opening packet.
	refusedOpeningProbeInterval = 500 * time.Millisecond
	// maxProbes is the number of concurrent probes of a node, each of which needs a socket.
	maxProbes = 8
)

// probeState holds the results of probes of a target.
type probeState struct {
	// wantedAt is when a probe was last requested; callerWaitsAt is when one was last requested
	// because a caller waits on an open flow, and openingRefusedAt because the target did not
	// accept an opening packet. They are 0 if that never happened.
	wantedAt, callerWaitsAt, openingRefusedAt kernel.Instant
	// inFlight is the number of probes without a result.
	inFlight int
	// failures is the number of consecutive failed probes, the first of which started at
	// startedAt. endedAt is when the last probe with a result ended.
	failures           int
	startedAt, endedAt kernel.Instant
	// connectionRefusedAt is when a probe was refused, or 0. Later probes replace it.
	connectionRefusedAt kernel.Instant
}

// ProbeOutcome is the result of a probe.
type ProbeOutcome uint8

// The results of probes.
const (
	// ProbeUnknown is a probe that was not made, or during which the process was stalled.
	ProbeUnknown ProbeOutcome = iota
	// ProbeReached is a probe that the target or its machine answered.
	ProbeReached
	// ProbeFailed is a probe that timed out.
	ProbeFailed
)

// ProbeOutcomes returns all outcomes, for counters.
func ProbeOutcomes() []ProbeOutcome { return []ProbeOutcome{ProbeUnknown, ProbeReached, ProbeFailed} }

// String returns the outcome as it appears in logs and metrics.
func (o ProbeOutcome) String() string { return [...]string{"unknown", "reached", "failed"}[o] }

// recentFailures returns the number of consecutive failed probes that still count.
func (s *probeState) recentFailures(now kernel.Instant) int {
	if now.Sub(s.endedAt) >= probeLifetime {
		return 0
	}
	return s.failures
}

// isUnreachable reports whether enough recent probes have failed.
func (s *probeState) isUnreachable(now kernel.Instant) bool {
	return s.recentFailures(now) >= probeFailuresNeeded
}

// acceptsNone reports whether recent probes show that the target accepts no connections.
func (s *probeState) acceptsNone(now kernel.Instant) bool {
	return s.isUnreachable(now) || s.connectionRefusedAt > 0 && now.Sub(s.connectionRefusedAt) < probeLifetime
}

// hasRefusedOpening reports whether the target did not accept a recent opening packet.
func (s *probeState) hasRefusedOpening(now kernel.Instant) bool {
	return s.openingRefusedAt > 0 && now.Sub(s.openingRefusedAt) < probeLifetime
}

// attempts returns the number of probes that may begin now if they are requested. Because of
// an opening packet, all that must fail begin at once: control members need the evidence of
// two nodes in any case.
func (s *probeState) attempts(now kernel.Instant) int {
	switch {
	case s.inFlight > 0 || now.Sub(s.endedAt) < s.interval(now):
		return 0
	case s.hasRefusedOpening(now):
		return max(1, probeFailuresNeeded-s.recentFailures(now))
	}
	return 1
}

// interval returns the least time from the end of a probe to the next one.
func (s *probeState) interval(now kernel.Instant) time.Duration {
	switch {
	case s.failures > 0 || s.endedAt == 0:
		return probeInterval
	case s.hasRefusedOpening(now):
		return refusedOpeningProbeInterval
	}
	return probeLifetime
}

// begin records the start of a probe.
func (s *probeState) begin(now kernel.Instant) {
	if s.inFlight == 0 {
		s.connectionRefusedAt = 0
	}
	s.inFlight++
	s.failures = s.recentFailures(now)
	if s.failures == 0 {
		s.startedAt = now
	}
}

// end records the result of a probe.
func (s *probeState) end(now kernel.Instant, outcome ProbeOutcome) {
	s.inFlight--
	switch outcome {
	case ProbeReached:
		s.failures = 0
		s.endedAt = now
	case ProbeFailed:
		s.failures++
		s.endedAt = now
	}
}

// requestProbe requests probes of a target. Only ready targets are probed: a draining one
// may refuse connections while it still serves its flows.
func (c *Core) requestProbe(now kernel.Instant, entry *targetEntry) {
	if entry.target.State != directory.TargetReady || entry.lost {
		return
	}
	entry.probes.wantedAt = now
	c.probeWanted[entry] = struct{}{}
}

// requestProbeForOpening requests probes of a target that did not accept an opening packet.
func (c *Core) requestProbeForOpening(now kernel.Instant, entry *targetEntry) {
	entry.probes.openingRefusedAt = now
	c.requestProbe(now, entry)
}

// requestProbeForCaller requests probes of a target because a caller waits for an answer on
// an open flow.
func (c *Core) requestProbeForCaller(now kernel.Instant, entry *targetEntry) {
	entry.probes.callerWaitsAt = now
	c.requestProbe(now, entry)
}

// needsProbe reports whether a requested probe is still of use.
func (c *Core) needsProbe(now kernel.Instant, entry *targetEntry) bool {
	return entry.target.State == directory.TargetReady && !entry.lost && !entry.answeredSince(entry.probes.wantedAt) &&
		now.Sub(entry.probes.wantedAt) < probeLifetime
}

func (t *targetEntry) answeredSince(at kernel.Instant) bool { return !t.answeredAt.Before(at) }

// Probes returns the targets to probe now, one entry for each probe. While evidence at this
// node is unreliable it returns none.
func (c *Core) Probes(now kernel.Instant) []directory.Target {
	for _, flow := range c.unanswered {
		if flow.pending.weight(now) > 0 && !flow.target.answeredSince(flow.pending.since) {
			c.requestProbeForCaller(now, flow.target)
		}
	}
	var due []*targetEntry
	for entry := range c.probeWanted {
		switch {
		case !c.needsProbe(now, entry):
			delete(c.probeWanted, entry)
		case entry.probes.attempts(now) > 0:
			due = append(due, entry)
		}
	}
	if !c.mayActAlone(now) {
		return nil
	}
	slices.SortFunc(due, func(a, b *targetEntry) int { return cmp.Compare(a.target.Token, b.target.Token) })
	var targets []directory.Target
	for _, entry := range due {
		for range min(entry.probes.attempts(now), maxProbes-c.probesInFlight) {
			entry.probes.begin(now)
			c.probesInFlight++
			targets = append(targets, entry.target)
		}
	}
	return targets
}

// HandleProbeOutcome records the result of a probe. If the target is unreachable and a caller
// waits for it, it removes this node's flows to the target and returns one packet of each for
// its reset, so that callers can try another target before their deadline.
func (c *Core) HandleProbeOutcome(now kernel.Instant, token directory.Token, outcome ProbeOutcome) []Packet {
	c.probesInFlight--
	entry, known := c.targets[token]
	if !known {
		return nil
	}
	entry.probes.end(now, outcome)
	unreachable := entry.probes.isUnreachable(now) && outcome == ProbeFailed && !entry.answeredSince(entry.probes.startedAt)
	callerWaits := entry.probes.callerWaitsAt > 0 && now.Sub(entry.probes.callerWaitsAt) < probeLifetime
	if !unreachable || !callerWaits || entry.target.State != directory.TargetReady || !c.mayActAlone(now) {
		return nil
	}
	return c.resetFlows(func(other *targetEntry) bool { return other == entry })
}

// HandleProbeRefusal records that the machine of a target refused a probe, because no process
// listens at the target's address. The outcome of the probe is ProbeReached.
func (c *Core) HandleProbeRefusal(now kernel.Instant, token directory.Token) {
	if entry, known := c.targets[token]; known {
		entry.probes.connectionRefusedAt = now
	}
}

// mayActAlone reports whether this node may reset flows on its own evidence: the process was
// not stalled recently, and its evidence is reliable.
func (c *Core) mayActAlone(now kernel.Instant) bool {
	return !now.Before(c.stalledUntil) && !c.isUnreliableObserver(now)
}
