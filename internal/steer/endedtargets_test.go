package steer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/beamdoor/beamdoor/internal/directory"
)

// Guards against unbounded memory over many releases: a node keeps as many ended targets as
// the control members, and no longer answers packets of older ones.
func TestOldestEndedTargetsAreDropped(t *testing.T) {
	b := newBookingFixture(t)
	limit := directory.EndedLimit(1)
	var first, last directory.Target
	for number := range limit + 20 {
		target := b.target(start, fmt.Sprint("i-", number), "booking", "north", "10.0.0.1:1", directory.TargetReady)
		if number == 0 {
			first = target
			b.core.Decide(start, flowPacket(9, first.Token, 5))
		}
		if number == limit {
			last = target
		}
	}
	assert.Equal(t, limit+1, len(b.core.targets))
	assert.Len(t, b.core.ended, limit)
	assert.Equal(t, ReasonUnknownToken, b.core.Decide(start, flowPacket(9, first.Token, 6)).Reason)
	assert.Equal(t, ReasonEnded, b.core.Decide(start, flowPacket(8, last.Token, 6)).Reason)
	assert.Equal(t, ActionForward, b.core.Decide(start, opening(3, 0)).Action)
}
