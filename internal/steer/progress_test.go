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

// windowPackets is the number of packets under way from a caller.
const windowPackets = 16

// part returns the packet of an upload with a number, in packets of full size.
func part(target directory.Target, number int) Packet {
	packet := data(1, target.Token, math.MaxUint32-5*maxPacketData+uint32(number*maxPacketData))
	packet.Size = maxPacketData
	return packet
}

func TestDataPastAWindowShowsAnAnswer(t *testing.T) {
	b := booking(t)
	target := b.target(start, "i-1", "booking", "north", "10.0.0.1:1", directory.TargetReady)
	for number := range windowPackets {
		b.core.Decide(start, part(target, windowPackets-1-number))
	}
	b.core.Decide(start, part(target, 0))
	assert.Empty(t, b.core.Report(start.Add(reportEvery), reportEvery).Answering)
	b.core.Decide(start.Add(reportEvery), part(target, windowPackets))
	b.core.Decide(start.Add(reportEvery), part(target, windowPackets+windowPackets-1))
	evidence := b.core.Report(start.Add(2*reportEvery), reportEvery)
	assert.Equal(t, []directory.Token{target.Token}, evidence.Answering)
}

func TestOtherDataSoonAfterDataThatWasSentAgainShowsAnAnswer(t *testing.T) {
	b := booking(t)
	target := b.target(start, "i-1", "booking", "north", "10.0.0.1:1", directory.TargetReady)
	for number := range windowPackets {
		b.core.Decide(start, part(target, number))
	}
	now := start.Add(200 * time.Millisecond)
	b.core.Decide(now, part(target, 3))
	evidence := b.tick(start, start.Add(300*time.Millisecond))
	assert.Empty(t, evidence.Answering)
	assert.Equal(t, []SilentTarget{{Token: target.Token, Weight: weightResent}}, evidence.Silent)
	b.core.Decide(start.Add(310*time.Millisecond), part(target, 3))
	assert.Empty(t, b.tick(start.Add(300*time.Millisecond), start.Add(400*time.Millisecond)).Answering, "the same packet")
	b.core.Decide(start.Add(410*time.Millisecond), part(target, 5))
	evidence = b.tick(start.Add(400*time.Millisecond), start.Add(500*time.Millisecond))
	assert.Equal(t, []directory.Token{target.Token}, evidence.Answering)
	assert.Empty(t, evidence.Silent)
}

func TestDataThatNeverCameHereIsNotSentAgain(t *testing.T) {
	b := booking(t)
	target := b.target(start, "i-1", "booking", "north", "10.0.0.1:1", directory.TargetReady)
	for _, number := range []int{2, 1, 5, 4} {
		b.core.Decide(start, part(target, number))
	}
	for _, number := range []int{0, 3} {
		now := start.Add(200 * time.Millisecond << number)
		b.core.Decide(now, part(target, number))
		assert.Zero(t, b.core.flows[part(target, 0).Flow].pending.resends, "packet %d", number)
	}
}

// windowSim is a caller with one request, and the truth of what its target has.
type windowSim struct {
	*rapid.T
	pending pendingData
	begun   bool
	sizes   []int
	first   uint32
	dies    time.Duration
	// arrivals at the node and acknowledgements at the caller, by packet.
	arrivals, acks []simPacket
	known          []bool
	got            []bool
	sent           int
	rest, resendAt time.Duration
}

type simPacket struct {
	at     time.Duration
	number int
}

const (
	simLate = 100
	simTurn = 20
)

func drawWindow(t *rapid.T) *windowSim {
	s := &windowSim{T: t, rest: 200 * time.Millisecond, resendAt: 200 * time.Millisecond}
	s.sizes = rapid.SliceOfN(rapid.IntRange(1, maxPacketData), 1, 60).Draw(t, "sizes")
	if rapid.Bool().Draw(t, "full") {
		for number := range len(s.sizes) - 1 {
			s.sizes[number] = maxPacketData
		}
	}
	s.first = rapid.Uint32().Draw(t, "first")
	s.known = make([]bool, len(s.sizes))
	s.got = make([]bool, len(s.sizes))
	s.dies = time.Duration(rapid.IntRange(0, 2000).Draw(t, "dies")) * time.Millisecond
	return s
}

func (s *windowSim) missing() int {
	for number, known := range s.known {
		if !known {
			return number
		}
	}
	return len(s.known)
}

func (s *windowSim) send(now time.Duration, number int) {
	late := time.Duration(rapid.IntRange(0, simLate-1).Draw(s.T, "late")) * time.Millisecond
	s.arrivals = append(s.arrivals, simPacket{at: now + late, number: number})
}

func (s *windowSim) position(number int) uint32 {
	position := s.first
	for _, size := range s.sizes[:number] {
		position += uint32(size)
	}
	return position
}

// arrive takes the packets that come to the node now, and reports whether one of them
// showed an answer.
func (s *windowSim) arrive(now time.Duration) bool {
	answered := false
	left := s.arrivals[:0]
	for _, arrival := range s.arrivals {
		if arrival.at > now {
			left = append(left, arrival)
			continue
		}
		packet := Packet{Sequence: s.position(arrival.number), Size: s.sizes[arrival.number]}
		if s.take(start.Add(now), packet) {
			answered = true
		}
		if now < s.dies {
			s.got[arrival.number] = true
			turn := time.Duration(rapid.IntRange(1, simTurn).Draw(s.T, "turn")) * time.Millisecond
			s.acks = append(s.acks, simPacket{at: now + turn, number: arrival.number})
		}
	}
	s.arrivals = left
	return answered
}

func (s *windowSim) take(now kernel.Instant, packet Packet) bool {
	if !s.begun {
		s.begun = true
		s.pending = newPendingData(now, packet)
		return false
	}
	if !s.pending.add(now, packet) {
		return false
	}
	s.pending.restart(now, packet.Sequence)
	return true
}

// call lets the caller send what it may.
func (s *windowSim) call(now time.Duration) {
	for position := 0; position < len(s.acks); {
		if s.acks[position].at > now {
			position++
			continue
		}
		s.known[s.acks[position].number] = true
		s.acks = append(s.acks[:position], s.acks[position+1:]...)
		s.rest = 200 * time.Millisecond
		s.resendAt = now + s.rest
	}
	for limit := min(s.missing()+windowPackets, len(s.sizes)); s.sent < limit; s.sent++ {
		s.send(now, s.sent)
	}
	if now >= s.resendAt && s.missing() < s.sent {
		s.send(now, s.missing())
		s.rest = min(2*s.rest, 1600*time.Millisecond)
		s.resendAt = now + s.rest
	}
}

// A flow whose data all comes, in order or within 100 ms, never speaks against its
// target; once the target is dead it never shows an answer, and soon speaks against it.
func TestProgressAgreesWithWhatTheTargetHas(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := drawWindow(r)
		const last = 3 * time.Second
		spoken := false
		for now := time.Duration(0); now < last && s.missing() < len(s.sizes); now += time.Millisecond {
			s.call(now)
			answered := s.arrive(now)
			if now < s.dies {
				assert.Zero(r, s.pending.resends, "%v", now)
			}
			// The last acknowledgement lets packets out that come late.
			if now > s.dies+(simTurn+simLate)*time.Millisecond {
				assert.False(r, answered, "%v after the end", now-s.dies)
			}
			spoken = spoken || s.pending.weight(start.Add(now)) > 0
			if now == s.dies+time.Second && s.sent > s.missing() {
				assert.True(r, spoken)
			}
		}
	})
}
