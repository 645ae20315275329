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
		{"packets of a flow keep their order", []*Item{bulk(flowKey(1, 1), 0), bulk(flowKey(1, 1), 1)}, []string{"1:0", "1:1"}},
		{"openings go first", []*Item{bulk(flowKey(1, 1), 0), control(flowKey(2, 2), KindOpening)}, []string{"2:0", "1:0"}},
		{"resets go first", []*Item{bulk(flowKey(1, 1), 0), control(flowKey(2, 2), KindReset)}, []string{"2:0", "1:0"}},
		{"acknowledgements go first", []*Item{bulk(flowKey(1, 1), 4), control(flowKey(1, 1), KindAcknowledgement)}, []string{"1:0", "1:4"}},
		{"closing of another flow goes first", []*Item{bulk(flowKey(1, 1), 0), control(flowKey(2, 2), KindClosing)}, []string{"2:0", "1:0"}},
		{"closing stays behind data of its flow", []*Item{bulk(flowKey(1, 1), 3), control(flowKey(1, 1), KindClosing)}, []string{"1:3", "1:0"}},
		{"urgent data goes first", []*Item{bulk(flowKey(1, 1), 0), urgent}, []string{"9:0", "1:0"}},
		{"callers take turns", []*Item{
			bulk(flowKey(1, 1), 0), bulk(flowKey(1, 1), 1), bulk(flowKey(1, 1), 2), bulk(flowKey(2, 2), 0),
		}, []string{"1:0", "2:0", "1:1", "1:2"}},
		{"flows of a caller take turns", []*Item{
			bulk(flowKey(1, 1), 0), bulk(flowKey(1, 1), 1), bulk(flowKey(1, 2), 0),
		}, []string{"1:0", "2:0", "1:1"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			f.offer(test.offer...)
			assert.Equal(t, test.want, formatItems(f.drain(time.Second)))
		})
	}
}

func TestSmallFlowsGoFirst(t *testing.T) {
	f := newFixture(t)
	for number := range 16 {
		f.offer(bulk(flowKey(1, 1), number))
	}
	request := bulk(flowKey(2, 2), 0)
	f.offer(request)
	assert.Equal(t, "2:0", formatItems(f.drain(time.Second))[0])
	f.now = f.now.Add(flowIdleTimeout)
	f.spendBurst()
	for number := range 16 {
		f.offer(bulk(flowKey(3, 3), number))
	}
	f.offer(bulk(flowKey(1, 1), 16))
	assert.Equal(t, "1:16", formatItems(f.drain(time.Second))[0], "an idle flow counts as small again")
}

// bytesUntil returns the bytes sent by caller until count items of the flow were sent.
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
	f := newFixture(t)
	for port := range 10 {
		for number := range packets {
			f.offer(bulk(flowKey(1, port), number))
		}
	}
	few := flowKey(2, 100)
	for number := range packets {
		f.offer(bulk(few, number))
	}
	bytes := bytesUntil(f.drain(time.Second), few, packets)
	assert.InDelta(t, packets*fullSize, bytes[flowKey(1, 0).Caller.Addr()], quantum)
}

// A caller with many uploads must not delay the single upload of another caller by the
// time that all of them take.
func TestManyBulkFlowsDoNotStarveOtherCallers(t *testing.T) {
	const packets = 40
	f := newFixture(t)
	few := flowKey(2, 100)
	for number := range packets {
		for port := range 10 {
			f.offer(bulk(flowKey(1, port), number))
		}
		f.offer(bulk(few, number))
	}
	bytes := bytesUntil(f.drain(10*time.Second), few, packets)
	upload := packets * fullSize
	assert.LessOrEqual(t, bytes[flowKey(1, 0).Caller.Addr()], upload+2*upload/overdueDivisor+windowBytes)
}

func TestEarliestDeadlineGoesFirst(t *testing.T) {
	window := func(f *fixture, flow steer.FlowKey, objective time.Duration) {
		for number := range 16 {
			item := bulk(flow, number)
			item.Objective = objective
			f.offer(item)
		}
	}
	// firstDone returns the port of the flow whose last packet is sent first.
	firstDone := func(f *fixture) uint16 {
		for _, item := range f.drain(time.Second) {
			if item.Sequence == 15*fullData {
				return item.Flow.Caller.Port()
			}
		}
		return 0
	}
	t.Run("shorter objective", func(t *testing.T) {
		f := newFixture(t)
		window(f, flowKey(1, 1), 2*time.Second)
		window(f, flowKey(2, 2), time.Second)
		assert.EqualValues(t, 2, firstDone(f))
	})
	t.Run("earlier start", func(t *testing.T) {
		f := newFixture(t)
		window(f, flowKey(1, 1), time.Second)
		f.now = f.now.Add(10 * time.Millisecond)
		f.spendBurst()
		window(f, flowKey(2, 2), time.Second)
		assert.EqualValues(t, 1, firstDone(f))
	})
	t.Run("late flows go last", func(t *testing.T) {
		f := newFixture(t)
		window(f, flowKey(1, 1), 40*time.Millisecond)
		f.now = f.now.Add(50 * time.Millisecond)
		f.spendBurst()
		window(f, flowKey(2, 2), time.Second)
		assert.EqualValues(t, 2, firstDone(f))
	})
}

// Overdue packets must get 1/overdueDivisor of the link under constant urgent traffic.
func TestOverdueDataIsNotStarvedByUrgentData(t *testing.T) {
	f := newFixture(t)
	overduePackets := 4
	for number := range overduePackets {
		f.offer(bulk(flowKey(1, 1), number))
	}
	rate := narrow.BytesPerSecond() * linkFraction
	bound := overdueAfter + time.Duration(overdueDivisor*float64(overduePackets*fullSize+quantum)/rate*float64(time.Second))
	startedAt := f.now
	port := 0
	found := 0
	for found < overduePackets && f.now.Sub(startedAt) < 2*bound {
		for f.Len() < 40 {
			port++
			item := bulk(flowKey(2, port), 0)
			item.Urgency = 0
			f.offer(item)
		}
		for _, item := range f.drain(time.Millisecond) {
			if item.Flow == flowKey(1, 1) {
				found++
				assert.Greater(t, f.now.Sub(startedAt), overdueAfter, "sent before it was overdue")
			}
		}
	}
	assert.Equal(t, overduePackets, found)
	assert.LessOrEqual(t, f.now.Sub(startedAt), bound)
}

// A datagram larger than maxOverdueCredit must not wait forever.
func TestLargestDatagramIsNotStarved(t *testing.T) {
	f := newFixture(t)
	large := bulk(flowKey(1, 1), 0)
	large.Size = quantum + smallSize
	f.offer(large, bulk(flowKey(1, 1), 1))
	left := 0
	for port := 0; port < 4000; port++ {
		item := bulk(flowKey(2, port), 0)
		item.Urgency = 0
		f.offer(item)
		for _, item := range f.drain(time.Millisecond) {
			if item.Flow == flowKey(1, 1) {
				left++
			}
		}
	}
	assert.Equal(t, 2, left)
}
