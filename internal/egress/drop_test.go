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
		f := newFixture(t)
		f.offer(bulk(flow, 0), bulk(flow, 1), bulk(flowKey(2, 2), 0))
		return f
	}
	t.Run("target lost", func(t *testing.T) {
		f := fill(t)
		f.CancelFlow(flow)
		assert.Len(t, f.dropped[DropTargetLost], 2)
		assert.Equal(t, []string{"2:0"}, formatItems(f.drain(time.Second)))
	})
	t.Run("reset by the caller", func(t *testing.T) {
		f := fill(t)
		f.offer(control(flow, KindAbort))
		assert.Len(t, f.dropped[DropAborted], 2)
		assert.Equal(t, []string{"1:0", "2:0"}, formatItems(f.drain(time.Second)))
	})
	t.Run("closed by the caller", func(t *testing.T) {
		f := fill(t)
		f.offer(control(flow, KindClosing))
		assert.Len(t, f.drain(time.Second), 4, "everything is delivered")
	})
	t.Run("expired", func(t *testing.T) {
		f := newFixture(t)
		late := bulk(flow, 0)
		late.ExpiresAt = f.now.Add(50 * time.Millisecond)
		f.offer(late, bulk(flow, 1))
		f.now = late.ExpiresAt
		f.spendBurst()
		f.Tick(f.now)
		assert.Len(t, f.dropped[DropExpired], 1)
		assert.Equal(t, []string{"1:1"}, formatItems(f.drain(time.Second)))
	})
}

func TestFullQueueDropsLowestRanked(t *testing.T) {
	full := func(t *testing.T) *fixture {
		f := newFixture(t, WithMemoryLimit(1))
		for number := range minPackets {
			f.offer(bulk(flowKey(1, 1), number))
		}
		return f
	}
	t.Run("data of the same flow", func(t *testing.T) {
		f := full(t)
		assert.Equal(t, OutcomeFull, f.Offer(f.now, bulk(flowKey(1, 1), minPackets)))
		assert.Empty(t, f.dropped)
	})
	t.Run("data of another caller", func(t *testing.T) {
		f := full(t)
		f.offer(bulk(flowKey(2, 2), 0))
		require.Len(t, f.dropped[DropFull], 1)
		assert.EqualValues(t, (minPackets-1)*fullData, f.dropped[DropFull][0].Sequence, "the newest packet is dropped")
	})
	t.Run("opening", func(t *testing.T) {
		f := full(t)
		f.offer(control(flowKey(2, 2), KindOpening))
		assert.Len(t, f.dropped[DropFull], 1)
	})
	t.Run("least urgent data", func(t *testing.T) {
		f := full(t)
		item := bulk(flowKey(2, 2), 0)
		item.Urgency = 3
		assert.Equal(t, OutcomeFull, f.Offer(f.now, item))
	})
	t.Run("flood of openings", func(t *testing.T) {
		f := newFixture(t, WithMemoryLimit(1))
		for number := range minPackets / controlDivisor {
			f.offer(control(flowKey(1, number), KindOpening))
		}
		assert.Equal(t, OutcomeFull, f.Offer(f.now, control(flowKey(1, minPackets), KindOpening)))
		f.offer(bulk(flowKey(2, 2), 0))
	})
}
