package steer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/beamdoor/beamdoor/internal/directory"
)

func TestPacketLossMakesEvidenceUnreliable(t *testing.T) {
	b := newBookingFixture(t)
	target := b.target(start, "i-1", "booking", "north", "10.0.0.1:1", directory.TargetReady)
	other := b.target(start, "i-2", "booking", "north", "10.0.0.2:1", directory.TargetReady)
	b.core.Decide(start, flowData(2, other.Token, 10))
	b.core.Decide(start.Add(200*time.Millisecond), flowData(2, other.Token, 10))
	b.core.Decide(start.Add(200*time.Millisecond), flowData(1, target.Token, 10))
	answer := flowPacket(2, other.Token, 50)
	b.core.Decide(start.Add(220*time.Millisecond), answer)
	now := start.Add(400 * time.Millisecond)
	b.core.Decide(now, flowData(1, target.Token, 10))
	b.core.Report(start.Add(400*time.Millisecond), reportPeriod)
	silent := b.core.Report(start.Add(500*time.Millisecond), reportPeriod).Silent
	assert.Equal(t, []SilentTarget{{Token: target.Token, UnreliableWeight: 1}}, silent)
}

func TestLossTrackerDecays(t *testing.T) {
	var tracker lossTracker
	tracker.addAnswered(1)
	assert.True(t, tracker.isLossy())
	for range 30 {
		tracker.decay(reportPeriod)
	}
	assert.False(t, tracker.isLossy())
	tracker.addAnswered(1)
	for range 20 {
		tracker.addAnswered(0)
	}
	assert.False(t, tracker.isLossy(), "one in twenty")
	tracker.decay(time.Minute)
	assert.Zero(t, tracker.answered)
}
