package egress

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/steer"
)

const (
	start = kernel.Instant(time.Minute)
	// fullSize and fullData are the size on the link and the payload of a full
	// datagram.
	fullSize = 1268
	fullData = 1200
	// smallSize is the size on the link of a datagram without data.
	smallSize = 68
)

// narrow is the slow link of a small machine.
var narrow = Link{Mbps: 2}

var virtual = netip.MustParseAddrPort("198.18.0.1:8443")

// flowKey returns the flow of a caller's port.
func flowKey(caller, port int) steer.FlowKey {
	address := netip.AddrFrom4([4]byte{100, 64, byte(caller >> 8), byte(caller)})
	return steer.FlowKey{Caller: netip.AddrPortFrom(address, uint16(port)), Virtual: virtual}
}

// bulk returns the numbered data packet of a flow.
func bulk(flow steer.FlowKey, number int) *Item {
	return &Item{Flow: flow, Kind: KindData, Urgency: 2, Sequence: uint32(number * fullData), Data: fullData, Size: fullSize}
}

func control(flow steer.FlowKey, kind ItemKind) *Item {
	return &Item{Flow: flow, Kind: kind, Urgency: 2, Size: smallSize}
}

// fixture is a scheduler with an empty token bucket.
type fixture struct {
	*testing.T
	*Scheduler
	now     kernel.Instant
	dropped map[DropReason][]Item
}

func newFixture(t *testing.T, opts ...Option) *fixture {
	f := &fixture{
		T: t, now: start, dropped: map[DropReason][]Item{},
		Scheduler: New(append([]Option{WithLink(narrow)}, opts...)...),
	}
	f.OnDrop = func(item *Item, reason DropReason) { f.dropped[reason] = append(f.dropped[reason], *item) }
	f.spendBurst()
	return f
}

// spendBurst empties the token bucket.
func (f *fixture) spendBurst() {
	f.bucket.refill(f.now, f.Rate(f.now))
	f.bucket.tokens = 0
}

func (f *fixture) offer(items ...*Item) {
	f.Helper()
	for _, item := range items {
		require.Equal(f, OutcomeQueued, f.Offer(f.now, item))
	}
}

// drain sends items for the given time, each exactly when TimeUntilNext says.
func (f *fixture) drain(span time.Duration) []Item {
	var sent []Item
	end := f.now.Add(span)
	for {
		for item, ready := f.Next(f.now); ready; item, ready = f.Next(f.now) {
			sent = append(sent, item)
		}
		wait, waits := f.TimeUntilNext(f.now)
		if !waits || end.Before(f.now.Add(wait)) {
			f.now = end
			return sent
		}
		f.now = f.now.Add(wait)
	}
}

func formatItems(items []Item) []string {
	var list []string
	for _, item := range items {
		list = append(list, fmt.Sprintf("%d:%d", item.Flow.Caller.Port(), item.Sequence/fullData))
	}
	return list
}

func TestIdleLinkSendsImmediately(t *testing.T) {
	s := New(WithLink(narrow))
	for range 2 {
		assert.Equal(t, OutcomeSendNow, s.Offer(start, bulk(flowKey(1, 1), 0)))
	}
	assert.Equal(t, OutcomeQueued, s.Offer(start, bulk(flowKey(1, 1), 2)), "the burst is used up")
	assert.Equal(t, 1, s.Len())
	assert.Equal(t, fullSize, s.Bytes())
}

func TestUnsetRateNeverQueues(t *testing.T) {
	s := New()
	for number := range 1000 {
		require.True(t, s.Allow(start, flowKey(1, 1), fullSize), number)
	}
	assert.Zero(t, s.Len())
}

func TestWindowIsSentCompletely(t *testing.T) {
	f := newFixture(t)
	for number := range 16 {
		f.offer(bulk(flowKey(1, 1), number))
	}
	sent := f.drain(time.Second)
	require.Len(t, sent, 16)
	assert.Zero(t, f.Len())
	assert.Zero(t, f.Bytes())
	_, waits := f.TimeUntilNext(f.now)
	assert.False(t, waits)
}

func TestSchedulerKeepsRate(t *testing.T) {
	f := newFixture(t)
	for number := range 400 {
		f.offer(bulk(flowKey(1, number), 0))
	}
	bytes := 0
	for _, item := range f.drain(time.Second) {
		bytes += item.Size
	}
	rate := narrow.BytesPerSecond() * linkFraction
	assert.LessOrEqual(t, float64(bytes), rate+minBurst)
	assert.Greater(t, float64(bytes), rate-2*wakeFraction*minBurst, "the link must be used")
}

func TestSchedulerFollowsRateChange(t *testing.T) {
	f := newFixture(t)
	f.Rate = func(now kernel.Instant) float64 { return 50_000 }
	for number := range 100 {
		f.offer(bulk(flowKey(1, number), 0))
	}
	assert.InDelta(t, 50_000/fullSize, len(f.drain(time.Second)), 3)
	f.Rate = func(now kernel.Instant) float64 { return 0 }
	f.drain(0)
	assert.Zero(t, f.Len(), "a rate of 0 is unlimited")
}

// After a late timer, several packets must be sent at once, but no more than the burst.
func TestLateWakeUpSendsBurst(t *testing.T) {
	f := newFixture(t)
	for number := range 16 {
		f.offer(bulk(flowKey(1, 1), number))
	}
	for f.Len() > 1 {
		wait, waits := f.TimeUntilNext(f.now)
		require.True(t, waits)
		f.now = f.now.Add(wait + 2*time.Millisecond)
		count := 0
		for _, ready := f.Next(f.now); ready; _, ready = f.Next(f.now) {
			count++
		}
		assert.GreaterOrEqual(t, count, min(2, f.Len()+count))
		assert.LessOrEqual(t, count, 3)
	}
}

func TestQueuedDataIsNotDuplicated(t *testing.T) {
	flow := flowKey(1, 1)
	part := bulk(flow, 0)
	part.Sequence += 100
	part.Data -= 200
	longer := bulk(flow, 0)
	longer.Data += 100
	wrapped := bulk(flow, 0)
	wrapped.Sequence = 0xffffff00
	for _, test := range []struct {
		name  string
		first *Item
		again *Item
		want  Outcome
	}{
		{"same data", bulk(flow, 0), bulk(flow, 0), OutcomeDuplicate},
		{"part of the data", bulk(flow, 0), part, OutcomeDuplicate},
		{"more data", bulk(flow, 0), longer, OutcomeQueued},
		{"next data", bulk(flow, 0), bulk(flow, 1), OutcomeQueued},
		{"previous data", bulk(flow, 1), bulk(flow, 0), OutcomeQueued},
		{"same data across a sequence wrap", wrapped, wrapped, OutcomeDuplicate},
		{"different flow", bulk(flow, 0), bulk(flowKey(1, 2), 0), OutcomeQueued},
		{"opening", control(flow, KindOpening), control(flow, KindOpening), OutcomeDuplicate},
		{"closing and acknowledgement", control(flow, KindClosing), control(flow, KindAcknowledgement), OutcomeQueued},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			f.offer(test.first)
			assert.Equal(t, test.want, f.Offer(f.now, test.again))
		})
	}
	f := newFixture(t)
	f.offer(bulk(flow, 0))
	f.drain(time.Second)
	f.spendBurst()
	assert.Equal(t, OutcomeQueued, f.Offer(f.now, bulk(flow, 0)), "data may be queued again once sent")
}

func TestFlowRecordsAreBounded(t *testing.T) {
	f := newFixture(t, WithMemoryLimit(1))
	for number := range 10 * minPackets * flowsPerPacket {
		f.Offer(f.now, bulk(flowKey(number>>8, number&0xff), 0))
		f.now = f.now.Add(10 * time.Millisecond)
		f.drain(0)
	}
	assert.LessOrEqual(t, len(f.flows), minPackets*flowsPerPacket)
	f.drain(time.Second)
	f.now = f.now.Add(flowIdleTimeout)
	f.Tick(f.now)
	assert.Empty(t, f.flows)
	assert.Empty(t, f.callers)
}
