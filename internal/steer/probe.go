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
// wait until their deadline. A node whose caller waits therefore probes the target itself by
// opening a connection, and resets its own flows to it after two failures. Other nodes' flows
// are not affected, since the target may be reachable from there.
//
// A waiting caller is recognized by retransmissions, or by a quiet exchange on a route whose
// responses are normally acknowledged: a target may have received the request before it died.

const (
	// probeFailuresNeeded is the number of consecutive probes that must fail; a single one
	// may have been lost.
	probeFailuresNeeded = 2
	// probeInterval is the least time between two probes of a target.
	probeInterval = 100 * time.Millisecond
	// probeLifetime is how long failed probes count, how long a probe stays wanted after a
	// caller was found waiting, and how long a reachable target is not probed again.
	probeLifetime = 2 * time.Second
	// maxProbes is the number of concurrent probes of a node, each of which needs a socket.
	maxProbes = 8
)

// probeState holds the results of probes of a target.
type probeState struct {
	// wantedAt is when a caller was last found waiting, or 0.
	wantedAt kernel.Instant
	inFlight bool
	// failures is the number of consecutive failed probes, the first of which started at
	// startedAt. endedAt is when the last probe with a result ended.
	failures           int
	startedAt, endedAt kernel.Instant
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

// isUnreachable reports whether enough recent probes have failed.
func (s *probeState) isUnreachable(now kernel.Instant) bool {
	return s.failures >= probeFailuresNeeded && now.Sub(s.endedAt) < probeLifetime
}

// isDue reports whether a target for which a caller waits may be probed now.
func (s *probeState) isDue(now kernel.Instant) bool {
	interval := probeInterval
	if s.failures == 0 && s.endedAt > 0 {
		interval = probeLifetime
	}
	return !s.inFlight && now.Sub(s.endedAt) >= interval
}

// begin records the start of a probe.
func (s *probeState) begin(now kernel.Instant) {
	s.inFlight = true
	if now.Sub(s.endedAt) >= probeLifetime {
		s.failures = 0
	}
	if s.failures == 0 {
		s.startedAt = now
	}
}

// end records the result of a probe.
func (s *probeState) end(now kernel.Instant, outcome ProbeOutcome) {
	s.inFlight = false
	switch outcome {
	case ProbeReached:
		s.failures = 0
		s.endedAt = now
	case ProbeFailed:
		s.failures++
		s.endedAt = now
	}
}

// requestProbe records that a caller waits for a target. Only ready targets are probed: a
// draining one may refuse connections while it still serves its flows.
func (c *Core) requestProbe(now kernel.Instant, entry *targetEntry) {
	if entry.target.State != directory.TargetReady || entry.lost {
		return
	}
	entry.probes.wantedAt = now
	c.probeWanted[entry] = struct{}{}
}

// needsProbe reports whether a caller may still be waiting for a target.
func (c *Core) needsProbe(now kernel.Instant, entry *targetEntry) bool {
	return entry.target.State == directory.TargetReady && !entry.lost && !entry.answeredSince(entry.probes.wantedAt) &&
		now.Sub(entry.probes.wantedAt) < probeLifetime
}

func (t *targetEntry) answeredSince(at kernel.Instant) bool { return !t.answeredAt.Before(at) }

// Probes returns the targets to probe now; each has one probe at a time. While evidence at
// this node is unreliable it returns none.
func (c *Core) Probes(now kernel.Instant) []directory.Target {
	for _, flow := range c.unanswered {
		if flow.pending.weight(now) > 0 && !flow.target.answeredSince(flow.pending.since) {
			c.requestProbe(now, flow.target)
		}
	}
	var due []*targetEntry
	for entry := range c.probeWanted {
		switch {
		case !c.needsProbe(now, entry):
			delete(c.probeWanted, entry)
		case entry.probes.isDue(now):
			due = append(due, entry)
		}
	}
	if !c.mayActAlone(now) {
		return nil
	}
	slices.SortFunc(due, func(a, b *targetEntry) int { return cmp.Compare(a.target.Token, b.target.Token) })
	due = due[:min(len(due), max(0, maxProbes-c.probesInFlight))]
	targets := make([]directory.Target, 0, len(due))
	for _, entry := range due {
		entry.probes.begin(now)
		c.probesInFlight++
		targets = append(targets, entry.target)
	}
	return targets
}

// HandleProbeOutcome records the result of a probe. If the target is unreachable, it removes
// this node's flows to it and returns one packet of each for its reset, so that callers can
// try another target before their deadline.
func (c *Core) HandleProbeOutcome(now kernel.Instant, token directory.Token, outcome ProbeOutcome) []Packet {
	c.probesInFlight--
	entry, known := c.targets[token]
	if !known {
		return nil
	}
	entry.probes.end(now, outcome)
	unreachable := entry.probes.isUnreachable(now) && outcome == ProbeFailed && !entry.answeredSince(entry.probes.startedAt)
	if !unreachable || entry.target.State != directory.TargetReady || !c.mayActAlone(now) {
		return nil
	}
	return c.resetFlows(func(other *targetEntry) bool { return other == entry })
}

// mayActAlone reports whether this node may reset flows on its own evidence: the process was
// not stalled recently, and its evidence is reliable.
func (c *Core) mayActAlone(now kernel.Instant) bool {
	return !now.Before(c.stalledUntil) && !c.isUnreliableObserver(now)
}
