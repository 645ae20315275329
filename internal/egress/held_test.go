package egress

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/steer"
)

func hold(h *HeldOpenings, after time.Duration, port uint16, urgency uint8) {
	h.Add(modelStart.Add(after), steer.Packet{Flow: modelFlow(port)}, []byte{byte(port)}, urgency, time.Second)
}

func TestHeldOpeningsAreOrderedByUrgencyThenAge(t *testing.T) {
	var h HeldOpenings
	hold(&h, 0, 1, 2)
	hold(&h, 1, 2, 1)
	hold(&h, 2, 3, 2)
	hold(&h, 3, 4, 1)
	assert.True(t, h.Contains(modelFlow(3)))
	_, due := h.Pop(modelStart.Add(4), false)
	assert.False(t, due, "no capacity")
	var ports []uint16
	for h.Len() > 0 {
		held, due := h.Pop(modelStart.Add(4), true)
		require.True(t, due)
		require.Equal(t, []byte{byte(held.Packet.Flow.Caller.Port())}, held.Datagram)
		ports = append(ports, held.Packet.Flow.Caller.Port())
		h.Recycle(held)
	}
	assert.Equal(t, []uint16{2, 4, 1, 3}, ports)
}

func TestHeldOpeningIsReleasedAtDeadline(t *testing.T) {
	var h HeldOpenings
	hold(&h, 0, 1, 2)
	hold(&h, time.Millisecond, 2, 1)
	_, due := h.Pop(modelStart.Add(time.Second-1), false)
	assert.False(t, due)
	held, due := h.Pop(modelStart.Add(time.Second), false)
	require.True(t, due)
	assert.Equal(t, modelFlow(1), held.Packet.Flow)
}

func TestHeldOpeningsAreBounded(t *testing.T) {
	var h HeldOpenings
	for port := range uint16(maxHeldOpenings) {
		assert.False(t, h.IsFull())
		hold(&h, 0, port, 0)
	}
	assert.True(t, h.IsFull())
}
