package egress

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const queuedFlows = 1000

// packetTime is the transmission time of a full datagram.
var packetTime = time.Duration(fullSize / (narrow.BytesPerSecond() * linkFraction) * float64(time.Second))

// newLoadedFixture returns a fixture with many queued flows.
func newLoadedFixture(t *testing.T) *fixture {
	f := newFixture(t, WithMemoryLimit(1<<30))
	for number := range queuedFlows {
		f.offer(bulk(flowKey(number%100, number), 0))
	}
	return f
}

// step offers a packet and sends one.
func (f *fixture) step(number int) {
	item := bulk(flowKey(number%100, number%queuedFlows), number)
	f.Offer(f.now, item)
	f.now = f.now.Add(packetTime)
	f.Next(f.now)
	f.TimeUntilNext(f.now)
}

func TestQueuedPacketDoesNotAllocate(t *testing.T) {
	f := newLoadedFixture(t)
	number := 0
	allocations := testing.AllocsPerRun(5000, func() {
		number++
		f.step(number)
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
	f := newLoadedFixture(&testing.T{})
	number := 0
	b.ReportAllocs()
	for b.Loop() {
		number++
		f.step(number)
	}
	b.StopTimer()
	assert.InDelta(b, queuedFlows, f.Len(), queuedFlows/10)
}

// BenchmarkUploadOpening measures Decide with the largest number of tracked uploads.
func BenchmarkUploadOpening(b *testing.B) {
	a := controllerWithUploads(maxTrackedUploads)
	number := 0
	b.ReportAllocs()
	for b.Loop() {
		number++
		a.Decide(modelStart, flowKey(number%1000, number%60_000), uploadRoute, busyNode)
	}
}
