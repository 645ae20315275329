package egress

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestUtilizationCoversLastSecond(t *testing.T) {
	const rate = 1000.0
	var u LinkUsage
	in, out := u.Utilization(rate)
	assert.Zero(t, in+out)
	tick := func(ticks, received, sent int) {
		for range ticks {
			u.RecordReceived(received)
			u.RecordSent(sent)
			u.Tick()
		}
	}
	tick(1, 100, 50)
	in, out = u.Utilization(rate)
	assert.InDelta(t, 1, in, 1e-9)
	assert.InDelta(t, 0.5, out, 1e-9)
	tick(3*usageSlots, 20, 80)
	in, out = u.Utilization(rate)
	assert.InDelta(t, 0.2, in, 1e-9)
	assert.InDelta(t, 0.8, out, 1e-9)
	tick(usageSlots, 0, 0)
	in, out = u.Utilization(rate)
	assert.Zero(t, in+out)
	in, out = u.Utilization(0)
	assert.Zero(t, in+out, "no configured rate")
}
