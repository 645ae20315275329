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
	// fullSize and fullData are those of a full datagram of bulk.
	fullSize = 1268
	fullData = 1200
	// smallSize is that of a datagram without data.
	smallSize = 68
)

// narrow is the link of a small machine.
var narrow = Link{Mbps: 2}

var virtual = netip.MustParseAddrPort("198.18.0.1:8443")

// flowKey names a flow of a caller by its port.
func flowKey(caller, port int) steer.FlowKey {
	address := netip.AddrFrom4([4]byte{100, 64, byte(caller >> 8), byte(caller)})
	return steer.FlowKey{Caller: netip.AddrPortFrom(address, uint16(port)), Virtual: virtual}
}

// bulk is the numbered datagram of data of a flow.
func bulk(flow steer.FlowKey, number int) *Item {
	return &Item{Flow: flow, Kind: KindData, Urgency: 2, Sequence: uint32(number * fullData), Data: fullData, Size: fullSize}
}

func control(flow steer.FlowKey, kind ItemKind) *Item {
	return &Item{Flow: flow, Kind: kind, Urgency: 2, Size: smallSize}
}

// lab is a scheduler whose link has just carried a burst.
type fixture struct {
	*testing.T
	*Scheduler
	now     kernel.Instant
	dropped map[DropReason][]Item
}

func newFixture(t *testing.T, opts ...Option) *fixture {
	l := &fixture{
		T: t, now: start, dropped: map[DropReason][]Item{},
		Scheduler: New(append([]Option{WithLink(narrow)}, opts...)...),
	}
	l.OnDrop = func(item *Item, reason DropReason) { l.dropped[reason] = append(l.dropped[reason], *item) }
	l.spendBurst()
	return l
}

// use lets the link carry all that it takes at once.
func (l *fixture) spendBurst() {
	l.bucket.refill(l.now, l.Rate(l.now))
	l.bucket.tokens = 0
}

func (l *fixture) offer(items ...*Item) {
	l.Helper()
	for _, item := range items {
		require.Equal(l, OutcomeQueued, l.Offer(l.now, item))
	}
}

// drain sends for a time, in the order of the scheduler, with a timer that is exact.
func (l *fixture) drain(span time.Duration) []Item {
	var sent []Item
	end := l.now.Add(span)
	for {
		for item, ready := l.Next(l.now); ready; item, ready = l.Next(l.now) {
			sent = append(sent, item)
		}
		wait, waits := l.TimeUntilNext(l.now)
		if !waits || end.Before(l.now.Add(wait)) {
			l.now = end
			return sent
		}
		l.now = l.now.Add(wait)
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
	assert.Equal(t, OutcomeQueued, s.Offer(start, bulk(flowKey(1, 1), 2)), "the burst is spent")
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
	l := newFixture(t)
	for number := range 16 {
		l.offer(bulk(flowKey(1, 1), number))
	}
	sent := l.drain(time.Second)
	require.Len(t, sent, 16)
	assert.Zero(t, l.Len())
	assert.Zero(t, l.Bytes())
	_, waits := l.TimeUntilNext(l.now)
	assert.False(t, waits)
}

func TestSchedulerKeepsRate(t *testing.T) {
	l := newFixture(t)
	for number := range 400 {
		l.offer(bulk(flowKey(1, number), 0))
	}
	bytes := 0
	for _, item := range l.drain(time.Second) {
		bytes += item.Size
	}
	rate := narrow.BytesPerSecond() * linkFraction
	assert.LessOrEqual(t, float64(bytes), rate+minBurst)
	assert.Greater(t, float64(bytes), rate-2*wakeFraction*minBurst, "nor is the link left unused")
}

func TestSchedulerFollowsRateChange(t *testing.T) {
	l := newFixture(t)
	l.Rate = func(now kernel.Instant) float64 { return 50_000 }
	for number := range 100 {
		l.offer(bulk(flowKey(1, number), 0))
	}
	assert.InDelta(t, 50_000/fullSize, len(l.drain(time.Second)), 3)
	l.Rate = func(now kernel.Instant) float64 { return 0 }
	l.drain(0)
	assert.Zero(t, l.Len(), "no rate bounds nothing")
}

// A timer that comes late finds several packets' worth of tokens, never more than the
// burst.
func TestLateWakeUpSendsBurst(t *testing.T) {
	l := newFixture(t)
	for number := range 16 {
		l.offer(bulk(flowKey(1, 1), number))
	}
	for l.Len() > 1 {
		wait, waits := l.TimeUntilNext(l.now)
		require.True(t, waits)
		l.now = l.now.Add(wait + 2*time.Millisecond)
		count := 0
		for _, ready := l.Next(l.now); ready; _, ready = l.Next(l.now) {
			count++
		}
		assert.GreaterOrEqual(t, count, min(2, l.Len()+count))
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
		{"the same", bulk(flow, 0), bulk(flow, 0), OutcomeDuplicate},
		{"a part of it", bulk(flow, 0), part, OutcomeDuplicate},
		{"more than it", bulk(flow, 0), longer, OutcomeQueued},
		{"the next", bulk(flow, 0), bulk(flow, 1), OutcomeQueued},
		{"the one before", bulk(flow, 1), bulk(flow, 0), OutcomeQueued},
		{"the same over the end of the numbers", wrapped, wrapped, OutcomeDuplicate},
		{"another flow", bulk(flow, 0), bulk(flowKey(1, 2), 0), OutcomeQueued},
		{"an opening", control(flow, KindOpening), control(flow, KindOpening), OutcomeDuplicate},
		{"an end", control(flow, KindClosing), control(flow, KindAcknowledgement), OutcomeQueued},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := newFixture(t)
			l.offer(test.first)
			assert.Equal(t, test.want, l.Offer(l.now, test.again))
		})
	}
	l := newFixture(t)
	l.offer(bulk(flow, 0))
	l.drain(time.Second)
	l.spendBurst()
	assert.Equal(t, OutcomeQueued, l.Offer(l.now, bulk(flow, 0)), "what has left may be sent again")
}

func TestFlowRecordsAreBounded(t *testing.T) {
	l := newFixture(t, WithMemoryLimit(1))
	for number := range 10 * minPackets * flowsPerPacket {
		l.Offer(l.now, bulk(flowKey(number>>8, number&0xff), 0))
		l.now = l.now.Add(10 * time.Millisecond)
		l.drain(0)
	}
	assert.LessOrEqual(t, len(l.flows), minPackets*flowsPerPacket)
	l.drain(time.Second)
	l.now = l.now.Add(flowIdleTimeout)
	l.Tick(l.now)
	assert.Empty(t, l.flows)
	assert.Empty(t, l.callers)
}
