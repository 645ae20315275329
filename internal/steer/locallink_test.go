package steer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/beamdoor/beamdoor/internal/directory"
)

// reportAfterRetransmission lets a caller send data twice and returns the report after that.
func (b *coreFixture) reportAfterRetransmission(target directory.Target, between func()) []SilentTarget {
	b.core.Decide(start, flowData(1, target.Token, 10))
	between()
	now := start.Add(200 * time.Millisecond)
	b.core.Decide(now, flowData(1, target.Token, 10))
	b.core.Report(start.Add(200*time.Millisecond), reportPeriod)
	return b.core.Report(start.Add(300*time.Millisecond), reportPeriod).Silent
}

func TestDroppedPacketsAreNoEvidence(t *testing.T) {
	b := newBookingFixture(t)
	target := b.target(start, "i-1", "booking", "north", "10.0.0.1:1", directory.TargetReady)
	silent := b.reportAfterRetransmission(target, func() { b.core.RecordDrop(start, flowData(1, target.Token, 10).Flow) })
	assert.Empty(t, silent)
	second := start.Add(600 * time.Millisecond)
	b.core.Decide(second, flowData(1, target.Token, 10))
	evidence := b.reportUntil(start.Add(300*time.Millisecond), second)
	assert.Equal(t, []SilentTarget{{Token: target.Token, Weight: weightResent}}, evidence.Silent, "the first retransmission was forwarded")
	b.core.RecordDrop(second, flowData(1, target.Token, 10).Flow)
	assert.Empty(t, b.reportUntil(second, second.Add(reportPeriod)).Silent)
	b.core.RecordDrop(start, opening(99, 0).Flow)
}

func TestHeldPacketsAreNoEvidence(t *testing.T) {
	b := newBookingFixture(t)
	target := b.target(start, "i-1", "booking", "north", "10.0.0.1:1", directory.TargetReady)
	packet := flowData(1, target.Token, 10)
	b.core.RecordHeld(start, packet.Flow)
	b.core.Decide(start, packet)
	b.core.RecordHeld(start, packet.Flow)
	first := start.Add(200 * time.Millisecond)
	b.core.Decide(first, packet)
	second := first.Add(400 * time.Millisecond)
	b.core.Decide(second, packet)
	b.core.RecordHeld(second, packet.Flow)
	b.core.RecordHeld(second, packet.Flow)
	assert.Equal(t, []SilentTarget{{Token: target.Token, Weight: weightResent}}, b.reportUntil(start, second).Silent, "the first retransmission was sent")
	last := first.Add(resentLifetime)
	assert.Empty(t, b.reportUntil(second, last).Silent, "the second retransmission does not extend the first")
}

func TestLinkDelayMakesEvidenceUnreliable(t *testing.T) {
	cases := []struct {
		name  string
		delay time.Duration
		after time.Duration
		want  SilentTarget
	}{
		{"no delay", 0, 0, SilentTarget{Weight: 1}},
		{"delay below the threshold", linkDelayThreshold - time.Millisecond, 0, SilentTarget{Weight: 1}},
		{"delay at the threshold", linkDelayThreshold, 0, SilentTarget{UnreliableWeight: 1}},
		{"recovered from a delay", linkDelayThreshold, -linkRecoveryTime, SilentTarget{Weight: 1}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			b := newBookingFixture(t)
			target := b.target(start, "i-1", "booking", "north", "10.0.0.1:1", directory.TargetReady)
			silent := b.reportAfterRetransmission(target, func() { b.core.RecordLinkDelay(start.Add(test.after), test.delay) })
			test.want.Token = target.Token
			assert.Equal(t, []SilentTarget{test.want}, silent)
		})
	}
}

// An exchange that gets quiet after a delay at this node's link is ignored.
func TestLinkDelayThresholdForExchanges(t *testing.T) {
	for delay, want := range map[time.Duration]directory.Outcomes{
		linkDelayThreshold - time.Millisecond: outcomeOneUnanswered,
		linkDelayThreshold:                    noOutcome,
	} {
		w, token := newExchangeFixture(t)
		w.core.Decide(w.now, opening(1, 0))
		w.core.Decide(w.now, dataPacket(1, token, initialSequence, 1, 100))
		w.advance(50 * ms)
		w.core.RecordLinkDelay(w.now, delay)
		w.advance(3 * time.Second)
		counted := w.outcomes[token]
		counted.Token = 0
		assert.Equal(t, want, counted, "delay of %v", delay)
	}
}

func TestDroppedOpeningIsNotRefused(t *testing.T) {
	b, local, remote := newTwoZoneFixture(t)
	assert.Equal(t, local.ID, b.core.Decide(start, opening(1, 0)).Target.ID)
	b.core.RecordDrop(start, opening(1, 0).Flow)
	evidence := b.reportUntil(start, start.Add(reportPeriod))
	assert.Empty(t, evidence.Openings)
	assert.Empty(t, evidence.Refused)
	now := start.Add(200 * time.Millisecond)
	assert.Equal(t, remote.ID, b.core.Decide(now, opening(1, 1)).Target.ID)
	assert.Empty(t, b.core.Report(now, reportPeriod).Silent)
	assert.Equal(t, local.ID, b.core.Decide(now, opening(2, 0)).Target.ID, "the target is not avoided")
}

func TestOpeningsDuringLinkDelayAreNotRefused(t *testing.T) {
	b, local, _ := newTwoZoneFixture(t)
	b.core.Decide(start, opening(1, 0))
	b.core.RecordLinkDelay(start, linkDelayThreshold)
	evidence := b.reportUntil(start, start.Add(2*reportPeriod))
	assert.Empty(t, evidence.Openings)
	assert.Empty(t, evidence.Refused)
	assert.False(t, b.core.targets[local.Token].hasRefused(start.Add(2*reportPeriod)))
}

// Nodes with congested links must not cause zones to be avoided.
func TestRefusalsInEveryZoneAreNotReported(t *testing.T) {
	b, local, _ := newTwoZoneFixture(t)
	now := start
	reported := map[string]int{}
	for port := range uint16(30) {
		b.core.Decide(now, opening(port+1, 0))
		now = now.Add(reportPeriod)
		for _, openings := range b.core.Report(now, reportPeriod).Openings {
			reported[openings.Zone]++
		}
	}
	assert.Equal(t, map[string]int{"north": 1}, reported, "until the other zone refuses as well")
	assert.True(t, b.core.openings.refusedEverywhere())
	for port := range uint16(10) {
		b.core.Decide(now, opening(port+100, 0))
		b.core.Decide(now.Add(time.Millisecond), flowPacket(port+100, local.Token, 1))
	}
	now = now.Add(reportPeriod)
	assert.NotEmpty(t, b.core.Report(now, reportPeriod).Openings)
	assert.False(t, b.core.openings.refusedEverywhere())
}
