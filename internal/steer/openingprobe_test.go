package steer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

// openingFixture has a target that leaves an opening packet and its copy unanswered.
type openingFixture struct {
	*coreFixture
	target directory.Target
	now    kernel.Instant
	probes []directory.Target
}

func newOpeningFixture(t *testing.T) *openingFixture {
	b := newBookingFixture(t)
	f := &openingFixture{coreFixture: b, now: start}
	f.target = b.target(start, "i-1", "booking", "north", "10.0.0.1:1", directory.TargetReady)
	b.core.Report(start, reportInterval)
	require.Equal(t, f.target.ID, b.core.Decide(start, opening(1, 0)).Target.ID)
	b.target(start, "i-2", "booking", "north", "10.0.0.2:1", directory.TargetReady)
	for range 2 {
		f.tick()
	}
	require.Equal(t, "i-2", b.core.Decide(f.now, opening(1, 1)).Target.ID)
	return f
}

// tick reports and collects the wanted probes of the target.
func (f *openingFixture) tick() Evidence {
	f.now = f.now.Add(reportInterval)
	evidence := f.core.Report(f.now, reportInterval)
	for _, target := range f.core.Probes(f.now) {
		if target.Token == f.target.Token {
			f.probes = append(f.probes, target)
		}
	}
	return evidence
}

// A full target leaves opening packets unanswered like a dead one, but accepts connections.
func TestUnansweredOpeningCountsOnlyIfProbesFail(t *testing.T) {
	cases := []struct {
		name     string
		outcomes []ProbeOutcome
		refused  bool
		weight   uint32
	}{
		{"no outcome yet", nil, false, 0},
		{"reached", []ProbeOutcome{ProbeReached, ProbeReached}, false, 0},
		{"one lost", []ProbeOutcome{ProbeReached, ProbeFailed}, false, 0},
		{"not made", []ProbeOutcome{ProbeUnknown, ProbeUnknown}, false, 0},
		{"one failed, one not made", []ProbeOutcome{ProbeFailed, ProbeUnknown}, false, 0},
		{"failed", []ProbeOutcome{ProbeFailed, ProbeFailed}, false, weightUnreachable},
		{"refused", []ProbeOutcome{ProbeReached, ProbeReached}, true, weightUnreachable},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			f := newOpeningFixture(t)
			require.Len(t, f.probes, probeFailuresNeeded, "all attempts begin at once")
			for position, outcome := range test.outcomes {
				require.Equal(t, f.target.Token, f.probes[position].Token)
				if test.refused {
					f.core.HandleProbeRefusal(f.now, f.target.Token)
				}
				assert.Empty(t, f.core.HandleProbeOutcome(f.now, f.target.Token, outcome), "no caller waits on an open flow")
			}
			assert.Equal(t, []SilentTarget{{Token: f.target.Token, Weight: test.weight}}, f.tick().Silent)
		})
	}
}

// Open flows of a target must not be reset by a node that only its opening packets leave
// without an answer.
func TestUnansweredOpeningResetsNoFlows(t *testing.T) {
	f := newOpeningFixture(t)
	f.core.Decide(f.now, flowPacket(9, f.target.Token, 5))
	for range f.probes {
		assert.Empty(t, f.core.HandleProbeOutcome(f.now, f.target.Token, ProbeFailed))
	}
	assert.Equal(t, ActionForward, f.core.Decide(f.now, flowPacket(9, f.target.Token, 5)).Action)
}

// Evidence ends with the probes that support it: a target that accepts connections again may
// have come back without any flow that shows it.
func TestReachedProbeEndsEvidenceOfOpening(t *testing.T) {
	for name, refused := range map[string]bool{"after failures": false, "after refusals": true} {
		t.Run(name, func(t *testing.T) {
			f := newOpeningFixture(t)
			for range f.probes {
				outcome := ProbeFailed
				if refused {
					f.core.HandleProbeRefusal(f.now, f.target.Token)
					outcome = ProbeReached
				}
				f.core.HandleProbeOutcome(f.now, f.target.Token, outcome)
			}
			first := len(f.probes)
			require.Equal(t, uint32(weightUnreachable), f.tick().Silent[0].Weight)
			for len(f.probes) == first {
				require.Less(t, f.now, start.Add(2*time.Second), "the target is probed again")
				f.tick()
			}
			for range f.probes[first:] {
				f.core.HandleProbeOutcome(f.now, f.target.Token, ProbeReached)
			}
			for _, silent := range f.tick().Silent {
				assert.Zero(t, silent.Weight)
			}
		})
	}
}

// A probe that was lost long ago must not delay the evidence against a target that dies later.
func TestExpiredFailureDoesNotDelayProbes(t *testing.T) {
	f := newOpeningFixture(t)
	for position := range f.probes {
		f.core.HandleProbeOutcome(f.now, f.target.Token, []ProbeOutcome{ProbeReached, ProbeFailed}[position])
	}
	f.probes = nil
	for f.now < start.Add(2*probeLifetime) {
		f.tick()
		for range f.probes {
			f.core.HandleProbeOutcome(f.now, f.target.Token, ProbeUnknown)
		}
		f.probes = nil
	}
	for port := uint16(10); f.core.Decide(f.now, opening(port, 0)).Target.ID != f.target.ID; port++ {
		require.Less(t, port, uint16(100), "the target is tried again")
	}
	f.tick()
	assert.Len(t, f.probes, probeFailuresNeeded)
}

// A target that answers other callers needs no probe because of a lost opening packet.
func TestAnsweringTargetIsNotProbedForOpening(t *testing.T) {
	b := newBookingFixture(t)
	target := b.target(start, "i-1", "booking", "north", "10.0.0.1:1", directory.TargetReady)
	b.core.Report(start, reportInterval)
	b.core.Decide(start, flowPacket(9, target.Token, 5))
	b.core.Decide(start, opening(1, 0))
	b.core.Decide(start.Add(reportInterval/2), flowPacket(9, target.Token, 6))
	now := start.Add(reportInterval)
	b.core.Report(now, reportInterval)
	assert.Empty(t, b.core.Probes(now))
}
