package egress

import (
	"errors"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/beamdoor/beamdoor/internal/directory"
)

func TestValidateRejectsInvalidRate(t *testing.T) {
	for _, mbps := range []float64{-1, math.NaN(), math.Inf(1), math.Inf(-1), 2 * maxLinkMbps, 1e-12, minLinkMbps / 2} {
		err := Link{Mbps: mbps}.Validate("limits.linkMbps")
		var problem *directory.Problem
		assert.True(t, errors.As(err, &problem), "%v: %v", mbps, err)
		assert.ErrorContains(t, err, "limits.linkMbps")
	}
	for _, mbps := range []float64{0, minLinkMbps, 2, maxLinkMbps} {
		assert.NoError(t, Link{Mbps: mbps}.Validate("limits.linkMbps"))
	}
}

// The wait on a link of the smallest rate must not overflow.
func TestSlowestLinkHasFiniteWait(t *testing.T) {
	s := New(WithLink(Link{Mbps: minLinkMbps}))
	item := Item{Flow: modelFlow(1), Size: quantum}
	for range 3 {
		s.Offer(modelStart, &item)
		item.Sequence += 4000
	}
	wait, waits := s.TimeUntilNext(modelStart)
	assert.True(t, waits)
	assert.Greater(t, wait, time.Duration(0))
	assert.Less(t, wait, time.Minute)
}
