package steer

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/beamdoor/beamdoor/internal/directory"
)

// outcome is the actual result of an exchange.
type outcome int

const (
	outcomeServed outcome = iota
	outcomeFailed
	outcomeUnanswered
	outcomeAbandoned
	outcomeCount
)

// simulatedExchange is an exchange as its two ends see it.
type simulatedExchange struct {
	outcome outcome
	// base is the caller's acknowledgement before it, responseSize the size of the response.
	base, responseSize uint32
	// dropped is set when the node dropped the request.
	dropped bool
}

// observedPacket is a packet of a flow that a node may see.
type observedPacket struct {
	at       time.Duration
	packet   Packet
	exchange int
	// first is set on the first data of an exchange, progress on a packet that acknowledges
	// part of the response, and last on the packet that ends the exchange.
	first, progress, last bool
}

// simulatedFlow is a flow as its two ends see it, and the packets that pass a node.
type simulatedFlow struct {
	target    directory.Token
	exchanges []simulatedExchange
	packets   []observedPacket
}

// flowScript draws the events of a flow.
type flowScript struct {
	*rapid.T
	flow         simulatedFlow
	port         uint16
	at           time.Duration
	sequence     uint32
	acknowledged uint32
}

func (s *flowScript) millis(least, most int, label string) time.Duration {
	return time.Duration(rapid.IntRange(least, most).Draw(s.T, label)) * ms
}

func (s *flowScript) emit(observed observedPacket, size int) {
	observed.at = s.at
	observed.packet.Flow = FlowKey{Caller: caller(s.port), Virtual: bookingAddress}
	observed.packet.Token = s.flow.target
	observed.packet.Size = size
	if observed.packet.Acknowledged == 0 {
		observed.packet.Acknowledged = s.acknowledged
	}
	observed.exchange = len(s.flow.exchanges) - 1
	s.flow.packets = append(s.flow.packets, observed)
}

// sendRequest draws the packets of a request, possibly reordered and retransmitted.
func (s *flowScript) sendRequest() {
	const part = 400
	parts := rapid.IntRange(1, 3).Draw(s.T, "parts")
	order := rapid.Permutation([]int{0, 1, 2}[:parts]).Draw(s.T, "order")
	for position, number := range order {
		s.emit(observedPacket{packet: Packet{Sequence: s.sequence + uint32(number*part)}, first: position == 0}, part)
	}
	if rapid.Bool().Draw(s.T, "retransmitted") {
		before := s.at
		s.at += s.millis(1, 100, "retransmitted after")
		s.emit(observedPacket{packet: Packet{Sequence: s.sequence}}, part)
		s.at = before
	}
	s.sequence += uint32(parts * part)
}

// playExchange draws an exchange; it returns false if that was the flow's last one.
func (s *flowScript) playExchange() bool {
	exchange := simulatedExchange{outcome: outcome(rapid.SampledFrom([]int{0, 0, 0, 0, 1, 2, 3}).Draw(s.T, "outcome")), base: s.acknowledged}
	exchange.dropped = rapid.IntRange(0, 9).Draw(s.T, "dropped") == 0
	s.flow.exchanges = append(s.flow.exchanges, exchange)
	current := &s.flow.exchanges[len(s.flow.exchanges)-1]
	s.sendRequest()
	switch exchange.outcome {
	case outcomeUnanswered:
		s.abandon(s.millis(1500, 2500, "deadline"))
		return false
	case outcomeAbandoned:
		s.abandon(s.millis(1, 150, "caller timeout"))
		return false
	case outcomeFailed:
		current.responseSize = uint32(rapid.IntRange(150, 250).Draw(s.T, "failure"))
	default:
		current.responseSize = uint32(rapid.IntRange(1800, 2200).Draw(s.T, "answer"))
	}
	s.at += s.millis(5, 80, "work")
	if rapid.Bool().Draw(s.T, "acknowledged in parts") {
		s.emit(observedPacket{packet: Packet{Sequence: s.sequence, Acknowledged: s.acknowledged + current.responseSize/2}, progress: true}, 0)
		s.emit(observedPacket{packet: Packet{Sequence: s.sequence, Acknowledged: s.acknowledged + current.responseSize/4}}, 0)
		s.at += s.millis(1, 400, "more")
	}
	s.acknowledged += current.responseSize
	if rapid.Bool().Draw(s.T, "acknowledged") {
		s.emit(observedPacket{packet: Packet{Sequence: s.sequence}, progress: true}, 0)
	}
	return true
}

// abandon ends a flow without a response, or leaves it open.
func (s *flowScript) abandon(after time.Duration) {
	s.at += after
	switch rapid.IntRange(0, 2).Draw(s.T, "ending") {
	case 0:
		s.emit(observedPacket{packet: Packet{Sequence: s.sequence, Closing: true}}, 0)
	case 1:
		s.emit(observedPacket{packet: Packet{Sequence: s.sequence, Reset: true}}, 0)
	default:
		if s.flow.exchanges[len(s.flow.exchanges)-1].outcome == outcomeAbandoned {
			s.emit(observedPacket{packet: Packet{Sequence: s.sequence, Closing: true}}, 0)
		}
	}
}

// drawFlow draws a flow of some exchanges, with positions that may wrap.
func drawFlow(t *rapid.T, port uint16, targets []directory.Token) simulatedFlow {
	s := &flowScript{T: t, port: port, sequence: rapid.Uint32().Draw(t, "sequence"), acknowledged: rapid.Uint32Min(1).Draw(t, "acknowledged")}
	s.flow.target = rapid.SampledFrom(targets).Draw(t, "target")
	s.at = s.millis(0, 3000, "starts")
	s.emit(observedPacket{packet: Packet{Opening: true}, exchange: -1}, 0)
	s.at += 5 * ms
	more := true
	for range rapid.IntRange(1, 3).Draw(t, "exchanges") {
		if more = s.playExchange(); !more {
			break
		}
		// The pause is short, so that no exchange is quiet before its response is acknowledged.
		s.at += s.millis(1, 40, "pause")
	}
	if more {
		s.emit(observedPacket{packet: Packet{Sequence: s.sequence, Closing: true}, last: true}, 0)
	}
	slices.SortStableFunc(s.flow.packets, func(a, b observedPacket) int { return cmp.Compare(a.at, b.at) })
	return s.flow
}

// expect returns the outcomes that a node should count if it sees only packets[from:to].
func (f simulatedFlow) expect(from, to int) directory.Outcomes {
	var counted directory.Outcomes
	observed := f.packets[from:to]
	for number, exchange := range f.exchanges {
		began, progressed, ended := f.observe(observed, number)
		joined := from > 0 && !f.isLater(observed, number)
		switch {
		case !began || joined || exchange.dropped:
		case exchange.outcome == outcomeUnanswered, !progressed && !ended && to < len(f.packets) && f.isLeftOpen(observed):
			counted.Unanswered++
		case !ended:
		case exchange.outcome == outcomeFailed:
			counted.Short++
		case exchange.outcome == outcomeServed:
			counted.Answered++
		}
	}
	return counted
}

// isLater reports whether an exchange began after the node had seen the previous one end, and
// after the time of stray packets.
func (f simulatedFlow) isLater(observed []observedPacket, number int) bool {
	if !advances(observed[0].packet.Acknowledged, f.exchanges[number].base) {
		return false
	}
	return slices.ContainsFunc(observed, func(packet observedPacket) bool {
		return packet.first && packet.exchange == number && packet.at-observed[0].at >= strayPacketTime
	})
}

// isLeftOpen reports whether the observed packets leave the caller waiting. Retransmissions may
// follow a close or a reset, so any of these in the flow counts.
func (f simulatedFlow) isLeftOpen(observed []observedPacket) bool {
	return !slices.ContainsFunc(observed, func(packet observedPacket) bool { return packet.packet.Closing || packet.packet.Reset })
}

// observe returns what the observed packets show of an exchange.
func (f simulatedFlow) observe(observed []observedPacket, number int) (began, progressed, ended bool) {
	responseEnd := f.exchanges[number].base + f.exchanges[number].responseSize
	for _, packet := range observed {
		began = began || packet.first && packet.exchange == number
		progress := began && advances(f.exchanges[number].base, packet.packet.Acknowledged) && !packet.packet.Opening
		progressed = progressed || progress
		ended = ended || progress && packet.packet.Acknowledged == responseEnd && (packet.last || packet.first && packet.exchange == number+1)
	}
	return began, progressed, ended
}

func TestOutcomesMatchSimulatedExchanges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w, token := newExchangeFixture(t)
		for range 200 {
			w.exchange(w.busyTarget, typicalResponseSize)
		}
		w.advance(reportPeriod)
		clear(w.outcomes)
		otherToken := w.target(w.now, "i-3", "booking", "north", "10.0.0.3:1", directory.TargetReady).Token
		want := map[directory.Token]directory.Outcomes{}
		var packets []observedPacket
		for port := range uint16(rapid.IntRange(1, 8).Draw(rt, "flows")) {
			flow := drawFlow(rt, port+1, []directory.Token{token, otherToken})
			from, to := 0, len(flow.packets)
			switch rapid.IntRange(0, 5).Draw(rt, "view") {
			case 0:
				from = rapid.IntRange(0, to-1).Draw(rt, "joins at")
			case 1:
				to = rapid.IntRange(1, to).Draw(rt, "leaves at")
			}
			want[flow.target] = want[flow.target].Add(flow.expect(from, to))
			for _, observed := range flow.packets[from:to] {
				if observed.first && flow.exchanges[observed.exchange].dropped {
					observed.packet.Forged = true
				}
				packets = append(packets, observed)
			}
		}
		slices.SortStableFunc(packets, func(a, b observedPacket) int { return cmp.Compare(a.at, b.at) })
		began := w.now
		for _, observed := range packets {
			w.advance(began.Add(observed.at).Sub(w.now))
			dropped := observed.packet.Forged
			observed.packet.Forged = false
			w.core.Decide(w.now, observed.packet)
			if dropped {
				w.core.RecordDrop(w.now, observed.packet.Flow)
			}
		}
		w.advance(3 * time.Second)
		for _, target := range []directory.Token{token, otherToken} {
			counted := w.outcomes[target]
			counted.Token = 0
			assert.Equal(rt, want[target], counted)
		}
	})
}
