package linkhealth

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/wire"
)

func at(seconds float64) kernel.Instant {
	return kernel.Instant(seconds * float64(time.Second))
}

func TestSwitchAfterSilence(t *testing.T) {
	var health Health
	health.ConnectionOpened(at(0))
	health.RecordFrame(at(1), wire.GrantFrame(wire.Grant{Revision: 1}))
	assert.False(t, health.ShouldSwitch(at(2)))
	assert.True(t, health.ShouldSwitch(at(2.7)))
}

func TestLeaderTimeoutDoubles(t *testing.T) {
	var health Health
	waits := []float64{1.6, 3.2, 6.4, 12.8, 12.8}
	now := 0.0
	for _, wait := range waits {
		health.ConnectionOpened(at(now))
		for passed := 0.0; passed < wait; passed += 0.4 {
			health.RecordFrame(at(now+passed), wire.GrantFrame(wire.Grant{}))
			assert.False(t, health.ShouldSwitch(at(now+passed)), "after %v", passed)
		}
		now += wait + 0.1
		health.RecordFrame(at(now), wire.Frame{Kind: wire.FrameSignals})
		assert.True(t, health.ShouldSwitch(at(now)))
	}
	health.ConnectionOpened(at(now))
	health.RecordFrame(at(now), wire.GrantFrame(wire.Grant{Revision: 1}))
	health.RecordFrame(at(now+1.7), wire.GrantFrame(wire.Grant{}))
	assert.True(t, health.ShouldSwitch(at(now+1.7)), "the timeout is reset after contact to a leader")
}
