package steer

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

// windowPackets is the number of unacknowledged packets of a caller.
const windowPackets = 16

// uploadPacket returns the packet with a number of an upload in packets of full size.
func uploadPacket(target directory.Target, number int) Packet {
	packet := flowData(1, target.Token, math.MaxUint32-5*maxPacketData+uint32(number*maxPacketData))
	packet.Size = maxPacketData
	return packet
}

func TestDataBeyondWindowImpliesAnswer(t *testing.T) {
	b := newBookingFixture(t)
	target := b.target(start, "i-1", "booking", "north", "10.0.0.1:1", directory.TargetReady)
	for number := range windowPackets {
		b.core.Decide(start, uploadPacket(target, windowPackets-1-number))
	}
	b.core.Decide(start, uploadPacket(target, 0))
	assert.Empty(t, b.core.Report(start.Add(reportPeriod), reportPeriod).Answering)
	b.core.Decide(start.Add(reportPeriod), uploadPacket(target, windowPackets))
	b.core.Decide(start.Add(reportPeriod), uploadPacket(target, windowPackets+windowPackets-1))
	evidence := b.core.Report(start.Add(2*reportPeriod), reportPeriod)
	assert.Equal(t, []directory.Token{target.Token}, evidence.Answering)
}

func TestOtherDataAfterRetransmissionImpliesAnswer(t *testing.T) {
	b := newBookingFixture(t)
	target := b.target(start, "i-1", "booking", "north", "10.0.0.1:1", directory.TargetReady)
	for number := range windowPackets {
		b.core.Decide(start, uploadPacket(target, number))
	}
	now := start.Add(200 * time.Millisecond)
	b.core.Decide(now, uploadPacket(target, 3))
	evidence := b.reportUntil(start, start.Add(300*time.Millisecond))
	assert.Empty(t, evidence.Answering)
	assert.Equal(t, []SilentTarget{{Token: target.Token, Weight: weightResent}}, evidence.Silent)
	b.core.Decide(start.Add(310*time.Millisecond), uploadPacket(target, 3))
	assert.Empty(t, b.reportUntil(start.Add(300*time.Millisecond), start.Add(400*time.Millisecond)).Answering, "a repeated packet is no answer")
	b.core.Decide(start.Add(410*time.Millisecond), uploadPacket(target, 5))
	evidence = b.reportUntil(start.Add(400*time.Millisecond), start.Add(500*time.Millisecond))
	assert.Equal(t, []directory.Token{target.Token}, evidence.Answering)
	assert.Empty(t, evidence.Silent)
}

func TestUnseenDataIsNoRetransmission(t *testing.T) {
	b := newBookingFixture(t)
	target := b.target(start, "i-1", "booking", "north", "10.0.0.1:1", directory.TargetReady)
	for _, number := range []int{2, 1, 5, 4} {
		b.core.Decide(start, uploadPacket(target, number))
	}
	for _, number := range []int{0, 3} {
		now := start.Add(200 * time.Millisecond << number)
		b.core.Decide(now, uploadPacket(target, number))
		assert.Zero(t, b.core.flows[uploadPacket(target, 0).Flow].pending.resends, "packet %d", number)
	}
}

// uploadSimulation simulates a caller with one request and its target.
type uploadSimulation struct {
	*rapid.T
	pending pendingData
	started bool
	sizes   []int
	first   uint32
	stopsAt time.Duration
	// arrivals are pending packets to the node, acks pending acknowledgements to the caller.
	arrivals, acks                []simulatedPacket
	acknowledged                  []bool
	received                      []bool
	sent                          int
	retransmitAfter, retransmitAt time.Duration
}

type simulatedPacket struct {
	at     time.Duration
	number int
}

const (
	maxDelayMillis    = 100
	maxAckDelayMillis = 20
)

func drawUpload(t *rapid.T) *uploadSimulation {
	s := &uploadSimulation{T: t, retransmitAfter: 200 * time.Millisecond, retransmitAt: 200 * time.Millisecond}
	s.sizes = rapid.SliceOfN(rapid.IntRange(1, maxPacketData), 1, 60).Draw(t, "sizes")
	if rapid.Bool().Draw(t, "full") {
		for number := range len(s.sizes) - 1 {
			s.sizes[number] = maxPacketData
		}
	}
	s.first = rapid.Uint32().Draw(t, "first")
	s.acknowledged = make([]bool, len(s.sizes))
	s.received = make([]bool, len(s.sizes))
	s.stopsAt = time.Duration(rapid.IntRange(0, 2000).Draw(t, "stops at")) * time.Millisecond
	return s
}

func (s *uploadSimulation) firstUnacknowledged() int {
	for number, known := range s.acknowledged {
		if !known {
			return number
		}
	}
	return len(s.acknowledged)
}

func (s *uploadSimulation) send(now time.Duration, number int) {
	delay := time.Duration(rapid.IntRange(0, maxDelayMillis-1).Draw(s.T, "delay")) * time.Millisecond
	s.arrivals = append(s.arrivals, simulatedPacket{at: now + delay, number: number})
}

func (s *uploadSimulation) position(number int) uint32 {
	position := s.first
	for _, size := range s.sizes[:number] {
		position += uint32(size)
	}
	return position
}

// deliver passes the packets that are due to the node and the target, and reports whether one
// of them implied an answer.
func (s *uploadSimulation) deliver(now time.Duration) bool {
	answered := false
	remaining := s.arrivals[:0]
	for _, arrival := range s.arrivals {
		if arrival.at > now {
			remaining = append(remaining, arrival)
			continue
		}
		packet := Packet{Sequence: s.position(arrival.number), Size: s.sizes[arrival.number]}
		if s.observe(start.Add(now), packet) {
			answered = true
		}
		if now < s.stopsAt {
			s.received[arrival.number] = true
			delay := time.Duration(rapid.IntRange(1, maxAckDelayMillis).Draw(s.T, "acknowledgement delay")) * time.Millisecond
			s.acks = append(s.acks, simulatedPacket{at: now + delay, number: arrival.number})
		}
	}
	s.arrivals = remaining
	return answered
}

func (s *uploadSimulation) observe(now kernel.Instant, packet Packet) bool {
	if !s.started {
		s.started = true
		s.pending = newPendingData(now, packet)
		return false
	}
	if !s.pending.add(now, packet) {
		return false
	}
	s.pending.restart(now, packet.Sequence)
	return true
}

// sendPackets lets the caller send and retransmit what is due.
func (s *uploadSimulation) sendPackets(now time.Duration) {
	for position := 0; position < len(s.acks); {
		if s.acks[position].at > now {
			position++
			continue
		}
		s.acknowledged[s.acks[position].number] = true
		s.acks = append(s.acks[:position], s.acks[position+1:]...)
		s.retransmitAfter = 200 * time.Millisecond
		s.retransmitAt = now + s.retransmitAfter
	}
	for limit := min(s.firstUnacknowledged()+windowPackets, len(s.sizes)); s.sent < limit; s.sent++ {
		s.send(now, s.sent)
	}
	if now >= s.retransmitAt && s.firstUnacknowledged() < s.sent {
		s.send(now, s.firstUnacknowledged())
		s.retransmitAfter = min(2*s.retransmitAfter, 1600*time.Millisecond)
		s.retransmitAt = now + s.retransmitAfter
	}
}

// Without loss and with delays up to 100 ms, a flow is never evidence against a live target; a
// dead target never seems to answer, and evidence against it appears soon.
func TestPendingDataMatchesSimulatedTarget(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := drawUpload(r)
		const last = 3 * time.Second
		reported := false
		for now := time.Duration(0); now < last && s.firstUnacknowledged() < len(s.sizes); now += time.Millisecond {
			s.sendPackets(now)
			answered := s.deliver(now)
			if now < s.stopsAt {
				assert.Zero(r, s.pending.resends, "%v", now)
			}
			// Packets that the last acknowledgement has allowed may arrive late.
			if now > s.stopsAt+(maxAckDelayMillis+maxDelayMillis)*time.Millisecond {
				assert.False(r, answered, "%v after the target died", now-s.stopsAt)
			}
			reported = reported || s.pending.weight(start.Add(now)) > 0
			if now == s.stopsAt+time.Second && s.sent > s.firstUnacknowledged() {
				assert.True(r, reported)
			}
		}
	})
}
