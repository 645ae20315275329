package egress

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestObsoletePacketsAreDropped(t *testing.T) {
	flow := flowKey(1, 1)
	fill := func(t *testing.T) *fixture {
		l := newFixture(t)
		l.offer(bulk(flow, 0), bulk(flow, 1), bulk(flowKey(2, 2), 0))
		return l
	}
	t.Run("its target is lost", func(t *testing.T) {
		l := fill(t)
		l.CancelFlow(flow)
		assert.Len(t, l.dropped[DropTargetLost], 2)
		assert.Equal(t, []string{"2:0"}, formatItems(l.drain(time.Second)))
	})
	t.Run("its caller has broken it off", func(t *testing.T) {
		l := fill(t)
		l.offer(control(flow, KindAbort))
		assert.Len(t, l.dropped[DropAborted], 2)
		assert.Equal(t, []string{"1:0", "2:0"}, formatItems(l.drain(time.Second)))
	})
	t.Run("its caller has ended its side", func(t *testing.T) {
		l := fill(t)
		l.offer(control(flow, KindClosing))
		assert.Len(t, l.drain(time.Second), 4, "all is delivered")
	})
	t.Run("its caller has given up", func(t *testing.T) {
		l := newFixture(t)
		late := bulk(flow, 0)
		late.ExpiresAt = l.now.Add(50 * time.Millisecond)
		l.offer(late, bulk(flow, 1))
		l.now = late.ExpiresAt
		l.spendBurst()
		l.Tick(l.now)
		assert.Len(t, l.dropped[DropExpired], 1)
		assert.Equal(t, []string{"1:1"}, formatItems(l.drain(time.Second)))
	})
}

func TestFullQueueDropsLowestRanked(t *testing.T) {
	full := func(t *testing.T) *fixture {
		l := newFixture(t, WithMemoryLimit(1))
		for number := range minPackets {
			l.offer(bulk(flowKey(1, 1), number))
		}
		return l
	}
	t.Run("bulk of the same flow", func(t *testing.T) {
		l := full(t)
		assert.Equal(t, OutcomeFull, l.Offer(l.now, bulk(flowKey(1, 1), minPackets)))
		assert.Empty(t, l.dropped)
	})
	t.Run("bulk for another caller", func(t *testing.T) {
		l := full(t)
		l.offer(bulk(flowKey(2, 2), 0))
		require.Len(t, l.dropped[DropFull], 1)
		assert.EqualValues(t, (minPackets-1)*fullData, l.dropped[DropFull][0].Sequence, "the newest")
	})
	t.Run("bulk for an opening", func(t *testing.T) {
		l := full(t)
		l.offer(control(flowKey(2, 2), KindOpening))
		assert.Len(t, l.dropped[DropFull], 1)
	})
	t.Run("what is less urgent than all", func(t *testing.T) {
		l := full(t)
		item := bulk(flowKey(2, 2), 0)
		item.Urgency = 3
		assert.Equal(t, OutcomeFull, l.Offer(l.now, item))
	})
	t.Run("control that would crowd out data", func(t *testing.T) {
		l := newFixture(t, WithMemoryLimit(1))
		for number := range minPackets / controlDivisor {
			l.offer(control(flowKey(1, number), KindOpening))
		}
		assert.Equal(t, OutcomeFull, l.Offer(l.now, control(flowKey(1, minPackets), KindOpening)))
		l.offer(bulk(flowKey(2, 2), 0))
	})
}
