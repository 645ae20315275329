package steer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

// reportInterval is the time between two reports.
const reportInterval = 100 * time.Millisecond

// probeFixture has a flow to the first of two targets with a request that is never answered.
// The caller retransmits after 0.2 s, 0.4 s and so on.
type probeFixture struct {
	*coreFixture
	target directory.Target
	packet Packet
	now    kernel.Instant
	resets []Packet
	// outcome is the result of each probe.
	outcome     ProbeOutcome
	probes      int
	outcomesDue map[kernel.Instant]directory.Token
	// quiet is set when the target has acknowledged the request, so nothing is retransmitted.
	quiet bool
}

func newProbeFixture(t *testing.T, outcome ProbeOutcome) *probeFixture {
	b := newBookingFixture(t)
	target := b.target(start, "i-1", "booking", "north", "10.0.0.1:1", directory.TargetReady)
	require.Equal(t, ActionForward, b.core.Decide(start, opening(9, 0)).Action)
	b.target(start, "i-2", "booking", "north", "10.0.0.2:1", directory.TargetReady)
	w := &probeFixture{coreFixture: b, target: target, now: start, outcome: outcome, outcomesDue: map[kernel.Instant]directory.Token{}}
	w.packet = flowPacket(9, target.Token, 5)
	b.core.Report(start, reportInterval)
	b.core.Decide(start, w.packet)
	w.packet.Size = 100
	return w
}

// runUntil runs until a time after the request, and returns when the flow was reset.
func (w *probeFixture) runUntil(end time.Duration) (reset time.Duration) {
	sends := map[time.Duration]bool{0: true}
	if !w.quiet {
		sends = map[time.Duration]bool{0: true, 2 * reportInterval: true, 6 * reportInterval: true, 14 * reportInterval: true, 30 * reportInterval: true}
	}
	for after := time.Duration(0); after <= end; after += reportInterval {
		w.now = start.Add(after)
		if sends[after] {
			require.Equal(w, ActionForward, w.core.Decide(w.now, w.packet).Action)
		}
		w.core.Report(w.now, reportInterval)
		if token, ends := w.outcomesDue[w.now]; ends {
			if w.resets = w.core.HandleProbeOutcome(w.now, token, w.outcome); len(w.resets) > 0 {
				return after
			}
		}
		for _, target := range w.core.Probes(w.now) {
			require.Equal(w, w.target.Token, target.Token)
			w.probes++
			w.outcomesDue[w.now.Add(3*reportInterval)] = target.Token
		}
	}
	return 0
}

// In a large fleet no second node finds the dead target silent; its caller's flow must be reset
// in time for another try, without a verdict of the control members.
func TestFlowsOfUnreachableTargetAreReset(t *testing.T) {
	w := newProbeFixture(t, ProbeFailed)
	reset := w.runUntil(3 * time.Second)
	assert.Positive(t, reset)
	assert.LessOrEqual(t, reset, 1100*time.Millisecond)
	require.Len(t, w.resets, 1)
	assert.Equal(t, w.packet.Flow, w.resets[0].Flow)
	for port := range uint16(20) {
		decision := w.core.Decide(w.now, opening(100+port, 0))
		assert.Equal(t, "i-2", decision.Target.ID, "new flows avoid the target")
	}
}

// The target acknowledged the request and died, so its caller waits without retransmissions.
func TestQuietFlowsOfUnreachableTargetAreReset(t *testing.T) {
	w := newProbeFixture(t, ProbeFailed)
	w.quiet = true
	reset := w.runUntil(3 * time.Second)
	assert.Positive(t, reset)
	assert.LessOrEqual(t, reset, 1200*time.Millisecond)
	assert.Len(t, w.resets, 1)
}

// Quiet is no evidence on a route whose callers do not acknowledge responses.
func TestNoProbeWhereQuietIsNormal(t *testing.T) {
	w := newProbeFixture(t, ProbeFailed)
	w.quiet = true
	*w.core.baselineOf(w.packet.Flow) = routeBaseline{answeredCount: minBaselineSamples, quietShare: 1}
	assert.Zero(t, w.runUntil(3*time.Second))
	assert.Zero(t, w.probes)
}

// A draining target may refuse connections while it still serves its flows.
func TestDrainingTargetIsNotProbed(t *testing.T) {
	w := newProbeFixture(t, ProbeFailed)
	w.coreFixture.target(start, "i-1", "booking", "north", "10.0.0.1:1", directory.TargetDraining)
	assert.Zero(t, w.runUntil(3*time.Second))
	assert.Zero(t, w.probes)
}

// A slow but live target keeps its flow however long the caller waits.
func TestReachableSlowTargetKeepsFlows(t *testing.T) {
	w := newProbeFixture(t, ProbeReached)
	assert.Zero(t, w.runUntil(4*time.Second))
	assert.LessOrEqual(t, w.probes, 2, "probes are rate limited")
	assert.Positive(t, w.probes)
}

func TestInconclusiveProbeResetsNoFlows(t *testing.T) {
	w := newProbeFixture(t, ProbeUnknown)
	assert.Zero(t, w.runUntil(4*time.Second))
}

// A node whose evidence may have a local cause must not reset flows on its own.
func TestUnreliableNodeResetsNoFlows(t *testing.T) {
	cases := map[string]func(c *Core, now kernel.Instant){
		"link delay":      func(c *Core, now kernel.Instant) { c.linkDelayedUntil = now.Add(time.Minute) },
		"stalled process": func(c *Core, now kernel.Instant) { c.stalledUntil = now.Add(time.Minute) },
		"packet loss":     func(c *Core, _ kernel.Instant) { c.losses = lossTracker{answered: 50, recovered: 50} },
		"target answered meanwhile": func(c *Core, now kernel.Instant) {
			for _, entry := range c.targets {
				c.recordAnswer(now, entry)
			}
		},
	}
	for name, disturb := range cases {
		t.Run(name, func(t *testing.T) {
			w := newProbeFixture(t, ProbeFailed)
			w.runUntil(600 * time.Millisecond)
			require.Equal(t, 1, w.probes)
			disturb(w.core, w.now)
			later := w.now.Add(time.Millisecond)
			assert.Empty(t, w.core.HandleProbeOutcome(later, w.target.Token, ProbeFailed))
			assert.Empty(t, w.core.HandleProbeOutcome(later, w.target.Token, ProbeFailed))
			assert.Empty(t, w.core.Probes(later.Add(probeInterval)))
		})
	}
}

// Many targets of one node may die at once.
func TestProbesInFlightAreBounded(t *testing.T) {
	b := newBookingFixture(t)
	b.core.Report(start, reportInterval)
	for number := range 100 {
		target := b.target(start, fmt.Sprint("i-", number), "booking", "north", fmt.Sprintf("10.0.0.%d:1", number+1), directory.TargetReady)
		packet := flowPacket(uint16(number+1), target.Token, 5)
		b.core.Decide(start, packet)
		packet.Size = 100
		b.core.Decide(start, packet)
		b.core.Decide(start.Add(2*reportInterval), packet)
	}
	now := start.Add(3 * reportInterval)
	probed := b.core.Probes(now)
	assert.Len(t, probed, maxProbes)
	assert.Empty(t, b.core.Probes(now))
	assert.Empty(t, b.core.HandleProbeOutcome(now, probed[0].Token, ProbeFailed))
	assert.Len(t, b.core.Probes(now), 1)
}
