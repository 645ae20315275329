package egress

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/beamdoor/beamdoor/internal/steer"
)

func TestDequeueOrder(t *testing.T) {
	urgent := bulk(flowKey(2, 9), 0)
	urgent.Urgency = 1
	for _, test := range []struct {
		name  string
		offer []*Item
		want  []string
	}{
		{"a flow keeps its order", []*Item{bulk(flowKey(1, 1), 0), bulk(flowKey(1, 1), 1)}, []string{"1:0", "1:1"}},
		{"openings go first", []*Item{bulk(flowKey(1, 1), 0), control(flowKey(2, 2), KindOpening)}, []string{"2:0", "1:0"}},
		{"resets go first", []*Item{bulk(flowKey(1, 1), 0), control(flowKey(2, 2), KindReset)}, []string{"2:0", "1:0"}},
		{"acknowledgements go first", []*Item{bulk(flowKey(1, 1), 4), control(flowKey(1, 1), KindAcknowledgement)}, []string{"1:0", "1:4"}},
		{"the end of another flow goes first", []*Item{bulk(flowKey(1, 1), 0), control(flowKey(2, 2), KindClosing)}, []string{"2:0", "1:0"}},
		{"the end stays behind its data", []*Item{bulk(flowKey(1, 1), 3), control(flowKey(1, 1), KindClosing)}, []string{"1:3", "1:0"}},
		{"urgent data goes first", []*Item{bulk(flowKey(1, 1), 0), urgent}, []string{"9:0", "1:0"}},
		{"callers take turns", []*Item{
			bulk(flowKey(1, 1), 0), bulk(flowKey(1, 1), 1), bulk(flowKey(1, 1), 2), bulk(flowKey(2, 2), 0),
		}, []string{"1:0", "2:0", "1:1", "1:2"}},
		{"flows of a caller take turns", []*Item{
			bulk(flowKey(1, 1), 0), bulk(flowKey(1, 1), 1), bulk(flowKey(1, 2), 0),
		}, []string{"1:0", "2:0", "1:1"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := newFixture(t)
			l.offer(test.offer...)
			assert.Equal(t, test.want, formatItems(l.drain(time.Second)))
		})
	}
}

func TestSmallFlowsGoFirst(t *testing.T) {
	l := newFixture(t)
	for number := range 16 {
		l.offer(bulk(flowKey(1, 1), number))
	}
	request := bulk(flowKey(2, 2), 0)
	l.offer(request)
	assert.Equal(t, "2:0", formatItems(l.drain(time.Second))[0])
	l.now = l.now.Add(flowIdleTimeout)
	l.spendBurst()
	for number := range 16 {
		l.offer(bulk(flowKey(3, 3), number))
	}
	l.offer(bulk(flowKey(1, 1), 16))
	assert.Equal(t, "1:16", formatItems(l.drain(time.Second))[0], "a flow that has rested begins anew")
}

// bytesUntil returns the bytes that each caller sent until the last item of a flow left.
func bytesUntil(items []Item, flow steer.FlowKey, count int) map[netip.Addr]int {
	bytes := map[netip.Addr]int{}
	for _, item := range items {
		bytes[item.Flow.Caller.Addr()] += item.Size
		if item.Flow == flow {
			count--
		}
		if count == 0 {
			return bytes
		}
	}
	return nil
}

func TestCallersShareLinkEqually(t *testing.T) {
	const packets = bulkThreshold / fullSize
	l := newFixture(t)
	for port := range 10 {
		for number := range packets {
			l.offer(bulk(flowKey(1, port), number))
		}
	}
	few := flowKey(2, 100)
	for number := range packets {
		l.offer(bulk(few, number))
	}
	bytes := bytesUntil(l.drain(time.Second), few, packets)
	assert.InDelta(t, packets*fullSize, bytes[flowKey(1, 0).Caller.Addr()], quantum)
}

// A caller with many uploads at once does not make another caller's only one wait for
// all of them.
func TestManyBulkFlowsDoNotStarveOtherCallers(t *testing.T) {
	const packets = 40
	l := newFixture(t)
	few := flowKey(2, 100)
	for number := range packets {
		for port := range 10 {
			l.offer(bulk(flowKey(1, port), number))
		}
		l.offer(bulk(few, number))
	}
	bytes := bytesUntil(l.drain(10*time.Second), few, packets)
	upload := packets * fullSize
	assert.LessOrEqual(t, bytes[flowKey(1, 0).Caller.Addr()], upload+2*upload/overdueDivisor+windowBytes)
}

func TestEarliestDeadlineGoesFirst(t *testing.T) {
	window := func(l *fixture, flow steer.FlowKey, objective time.Duration) {
		for number := range 16 {
			item := bulk(flow, number)
			item.Objective = objective
			l.offer(item)
		}
	}
	// firstDone returns the port of the flow whose last packet leaves first.
	firstDone := func(l *fixture) uint16 {
		for _, item := range l.drain(time.Second) {
			if item.Sequence == 15*fullData {
				return item.Flow.Caller.Port()
			}
		}
		return 0
	}
	t.Run("the one with the shorter objective", func(t *testing.T) {
		l := newFixture(t)
		window(l, flowKey(1, 1), 2*time.Second)
		window(l, flowKey(2, 2), time.Second)
		assert.EqualValues(t, 2, firstDone(l))
	})
	t.Run("the one that began first", func(t *testing.T) {
		l := newFixture(t)
		window(l, flowKey(1, 1), time.Second)
		l.now = l.now.Add(10 * time.Millisecond)
		l.spendBurst()
		window(l, flowKey(2, 2), time.Second)
		assert.EqualValues(t, 1, firstDone(l))
	})
	t.Run("but not one that can no longer be in time", func(t *testing.T) {
		l := newFixture(t)
		window(l, flowKey(1, 1), 40*time.Millisecond)
		l.now = l.now.Add(50 * time.Millisecond)
		l.spendBurst()
		window(l, flowKey(2, 2), time.Second)
		assert.EqualValues(t, 2, firstDone(l))
	})
}

// Urgent traffic that never ends leaves an eighth of the link to what has waited longer
// than overdueAfter.
func TestOverdueDataIsNotStarvedByUrgentData(t *testing.T) {
	l := newFixture(t)
	victims := 4
	for number := range victims {
		l.offer(bulk(flowKey(1, 1), number))
	}
	rate := narrow.BytesPerSecond() * linkFraction
	bound := overdueAfter + time.Duration(overdueDivisor*float64(victims*fullSize+quantum)/rate*float64(time.Second))
	began := l.now
	port := 0
	found := 0
	for found < victims && l.now.Sub(began) < 2*bound {
		for l.Len() < 40 {
			port++
			item := bulk(flowKey(2, port), 0)
			item.Urgency = 0
			l.offer(item)
		}
		for _, item := range l.drain(time.Millisecond) {
			if item.Flow == flowKey(1, 1) {
				found++
				assert.Greater(t, l.now.Sub(began), overdueAfter, "not before it is overdue")
			}
		}
	}
	assert.Equal(t, victims, found)
	assert.LessOrEqual(t, l.now.Sub(began), bound)
}

// A datagram may be larger than what can be saved up for the overdue: a target's head
// stands before the largest one that a node reads.
func TestLargestDatagramIsNotStarved(t *testing.T) {
	l := newFixture(t)
	large := bulk(flowKey(1, 1), 0)
	large.Size = quantum + smallSize
	l.offer(large, bulk(flowKey(1, 1), 1))
	left := 0
	for port := 0; port < 4000; port++ {
		item := bulk(flowKey(2, port), 0)
		item.Urgency = 0
		l.offer(item)
		for _, item := range l.drain(time.Millisecond) {
			if item.Flow == flowKey(1, 1) {
				left++
			}
		}
	}
	assert.Equal(t, 2, left)
}
