package steer

import (
	"cmp"
	"slices"
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

// Targets that die without a word are held for lost once two nodes have seen it. That
// holds while the fleet is small. Among 1,000 nodes and 10,000 targets a target gets a
// request in nine seconds, so that no two nodes ever see the same one, and callers would
// wait at their open flows until their time is over. So a node whose caller waits asks the
// target itself, by opening a connection to it, and ends its own flows there when that fails
// twice. Other nodes' flows are left alone: what one node cannot reach may be alive.
//
// A caller that waits shows it by sending data again, or by an exchange that stays quiet
// where answers are usually acknowledged: a target may have taken the request before it
// died, and its caller then has nothing to send again.

const (
	// probesNeeded is the number of probes in a row that must fail: one can be lost as a
	// single packet.
	probeFailuresNeeded = 2
	// probeRest is the least time between two probes of a target.
	probeInterval = 100 * time.Millisecond
	// probeLifetime is how long a failed probe and the wish for one count, and how long a
	// target that was reached is not asked again: some of a caller's pauses.
	probeLifetime = 2 * time.Second
	// probeLimit is the number of probes that a node has under way: each is a socket, and
	// a busy node sees no more dead targets in 0.3 s before the control members do.
	maxProbes = 8
)

// reach is what probes have shown of a target.
type probeState struct {
	// wantedAt is when a caller was last found to wait; 0 while none is known.
	wantedAt kernel.Instant
	inFlight bool
	// failed is the number of probes that failed in a row. The first of them began at
	// askedAt, the last ended at probedAt.
	failures           int
	startedAt, endedAt kernel.Instant
}

// ProbeOutcome is what a probe has shown.
type ProbeOutcome uint8

// The outcomes of probes.
const (
	// ProbeUnknown is a probe that was not made, or whose node stood still meanwhile.
	ProbeUnknown ProbeOutcome = iota
	// ProbeReached is a probe that the target took, or that its machine answered.
	ProbeReached
	// ProbeFailed is a probe that was not answered in time.
	ProbeFailed
)

// ProbeOutcomes returns all outcomes, for counters.
func ProbeOutcomes() []ProbeOutcome { return []ProbeOutcome{ProbeUnknown, ProbeReached, ProbeFailed} }

// String returns the outcome as a word for logs and counters.
func (o ProbeOutcome) String() string { return [...]string{"unknown", "reached", "failed"}[o] }

// isUnreachable reports whether probes have lately failed as often as is needed.
func (r *probeState) isUnreachable(now kernel.Instant) bool {
	return r.failures >= probeFailuresNeeded && now.Sub(r.endedAt) < probeLifetime
}

// isDue reports whether a target is to be probed whose caller waits.
func (r *probeState) isDue(now kernel.Instant) bool {
	rest := probeInterval
	if r.failures == 0 && r.endedAt > 0 {
		rest = probeLifetime
	}
	return !r.inFlight && now.Sub(r.endedAt) >= rest
}

// begin notes that a probe begins.
func (r *probeState) begin(now kernel.Instant) {
	r.inFlight = true
	if now.Sub(r.endedAt) >= probeLifetime {
		r.failures = 0
	}
	if r.failures == 0 {
		r.startedAt = now
	}
}

// end notes the outcome of a probe.
func (r *probeState) end(now kernel.Instant, outcome ProbeOutcome) {
	r.inFlight = false
	switch outcome {
	case ProbeReached:
		r.failures = 0
		r.endedAt = now
	case ProbeFailed:
		r.failures++
		r.endedAt = now
	}
}

// wantProbe notes that a caller waits for a target. Only one that takes new flows is
// probed: one that leaves may take no connections while it still serves its flows.
func (c *Core) requestProbe(now kernel.Instant, entry *targetEntry) {
	if entry.target.State != directory.TargetReady || entry.lost {
		return
	}
	entry.probes.wantedAt = now
	c.probeWanted[entry] = struct{}{}
}

// isWanted reports whether a caller still waits for a target, as far as is known.
func (c *Core) needsProbe(now kernel.Instant, entry *targetEntry) bool {
	return entry.target.State == directory.TargetReady && !entry.lost && !entry.answeredSince(entry.probes.wantedAt) &&
		now.Sub(entry.probes.wantedAt) < probeLifetime
}

func (t *targetEntry) answeredSince(at kernel.Instant) bool { return !t.answeredAt.Before(at) }

// Probes returns the targets that are to be probed now, each once until its outcome is
// noted. A node whose own packets get lost or wait for its link asks for none.
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

// HandleProbeOutcome notes the outcome of a probe. When the target cannot be reached it forgets
// this node's flows there and returns a packet of each for its reset: their callers have
// time to ask another target, and would wait until their deadline otherwise.
func (c *Core) HandleProbeOutcome(now kernel.Instant, token directory.Token, outcome ProbeOutcome) []Packet {
	c.probesInFlight--
	entry, known := c.targets[token]
	if !known {
		return nil
	}
	entry.probes.end(now, outcome)
	over := entry.probes.isUnreachable(now) && outcome == ProbeFailed && !entry.answeredSince(entry.probes.startedAt)
	if !over || entry.target.State != directory.TargetReady || !c.mayActAlone(now) {
		return nil
	}
	return c.resetFlows(func(other *targetEntry) bool { return other == entry })
}

// mayJudgeAlone reports whether what this node sees may speak against targets without
// another node: it neither stood still lately, nor do its packets wait or get lost.
func (c *Core) mayActAlone(now kernel.Instant) bool {
	return !now.Before(c.stalledUntil) && !c.isUnreliableObserver(now)
}
