package steer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

// openFlow places a flow whose target answers at once, so that it is idle.
func (b *coreFixture) openFlow(now kernel.Instant, port uint16) directory.Token {
	decision := b.core.Decide(now, opening(port, 0))
	packet := flowPacket(port, decision.Target.Token, 1)
	b.core.Decide(now, packet)
	return decision.Target.Token
}

// addTargets registers targets in the node's zone.
func (b *coreFixture) addTargets(now kernel.Instant, first, count int) []directory.Token {
	var tokens []directory.Token
	for number := first; number < first+count; number++ {
		address := fmt.Sprintf("10.0.0.%d:1", number)
		target := b.target(now, fmt.Sprintf("i-%d", number), "booking", "north", address, directory.TargetReady)
		tokens = append(tokens, target.Token)
	}
	return tokens
}

// New targets have no flows, but must not attract the new flows of every node.
func TestNewTargetsAreNotFlooded(t *testing.T) {
	b := newBookingFixture(t)
	b.addTargets(start, 1, 10)
	port := uint16(1)
	for range 200 {
		b.openFlow(start, port)
		port++
	}
	later := start.Add(5 * time.Second)
	added := b.addTargets(later, 20, 4)
	count := 0
	for range 140 {
		token := b.openFlow(later, port)
		port++
		if contains(added, token) {
			count++
		}
	}
	assert.Less(t, count, 140*2/3, "4 of 14 targets")
	assert.Greater(t, count, 140/14*4/2)
}

func TestTargetWithWaitingCallersIsAvoided(t *testing.T) {
	b := newBookingFixture(t)
	tokens := b.addTargets(start, 1, 3)
	slow := tokens[0]
	for port := range uint16(4) {
		packet := flowPacket(port+1, slow, 1)
		packet.Size = 100
		b.core.Decide(start, packet)
	}
	for port := range uint16(20) {
		assert.NotEqual(t, slow, b.openFlow(start, 100+port))
	}
}

func TestWaitEndsWithAnswerOrTimeout(t *testing.T) {
	b := newBookingFixture(t)
	token := b.addTargets(start, 1, 1)[0]
	entry := b.core.targets[token]
	request := flowPacket(1, token, 5)
	request.Size = 100
	steps := []struct {
		name    string
		after   time.Duration
		packet  Packet
		waiting int
	}{
		{"request", 0, request, 1},
		{"new acknowledgement", 20 * time.Millisecond, flowPacket(1, token, 9), 0},
		{"second request", 100 * time.Millisecond, withPositions(request, 9, 200), 1},
		{"retransmission", 300 * time.Millisecond, withPositions(request, 9, 200), 1},
	}
	for _, step := range steps {
		b.core.Decide(start.Add(step.after), step.packet)
		assert.Equal(t, step.waiting, entry.waitingFlows, step.name)
	}
	b.core.expireWaits(start.Add(700 * time.Millisecond))
	assert.Equal(t, 1, entry.waitingFlows, "the next retransmission is due after 400 ms")
	b.core.expireWaits(start.Add(900 * time.Millisecond))
	assert.Equal(t, 0, entry.waitingFlows)
	b.core.Decide(start.Add(time.Second), withPositions(request, 9, 300))
	closing := flowPacket(1, token, 9)
	closing.Closing = true
	b.core.Decide(start.Add(time.Second), closing)
	assert.Equal(t, 0, entry.waitingFlows, "a closed flow does not wait")
	assert.Empty(t, b.core.waiting)
}

// withPositions returns a packet with the given positions.
func withPositions(packet Packet, acknowledged, sequence uint32) Packet {
	packet.Acknowledged = acknowledged
	packet.Sequence = sequence
	return packet
}
