package egress

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// queuedFlows is the number of flows that wait in the benchmarks.
const queuedFlows = 1000

// packetTime is the time in which the link carries one full datagram.
var packetTime = time.Duration(fullSize / (narrow.BytesPerSecond() * linkFraction) * float64(time.Second))

// crowd returns a scheduler in which many flows wait, and the link takes what it has
// carried within a step.
func newLoadedFixture(t *testing.T) *fixture {
	l := newFixture(t, WithMemoryLimit(1<<30))
	for number := range queuedFlows {
		l.offer(bulk(flowKey(number%100, number), 0))
	}
	return l
}

// step is a packet that comes while one leaves.
func (l *fixture) step(number int) {
	item := bulk(flowKey(number%100, number%queuedFlows), number)
	l.Offer(l.now, item)
	l.now = l.now.Add(packetTime)
	l.Next(l.now)
	l.TimeUntilNext(l.now)
}

func TestQueuedPacketDoesNotAllocate(t *testing.T) {
	l := newLoadedFixture(t)
	number := 0
	allocations := testing.AllocsPerRun(5000, func() {
		number++
		l.step(number)
	})
	assert.Zero(t, allocations)
}

func BenchmarkAllow(b *testing.B) {
	s := New(WithLink(Link{Mbps: 1000}))
	now := start
	flow := flowKey(1, 1)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		s.Allow(now, flow, fullSize)
	}
}

func BenchmarkQueuedPacket(b *testing.B) {
	l := newLoadedFixture(&testing.T{})
	number := 0
	b.ReportAllocs()
	for b.Loop() {
		number++
		l.step(number)
	}
	b.StopTimer()
	assert.InDelta(b, queuedFlows, l.Len(), queuedFlows/10)
}

// BenchmarkUploadOpening decides on an upload while as many as can be are followed.
func BenchmarkUploadOpening(b *testing.B) {
	a := controllerWithUploads(maxTrackedUploads)
	number := 0
	b.ReportAllocs()
	for b.Loop() {
		number++
		a.Decide(modelStart, flowKey(number%1000, number%60_000), uploadRoute, busyNode)
	}
}
