package egress

import (
	"slices"
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/steer"
)

// maxHeldOpenings is the largest number of openings that are held: more than a narrow link
// begins within the time that they are held.
const maxHeldOpenings = 128

// HeldOpening is the opening packet of a flow that waits for its data to have room.
type HeldOpening struct {
	Packet   steer.Packet
	Datagram []byte
	Urgency  uint8
	HeldAt   kernel.Instant
	// Deadline is when the flow begins in any case.
	Deadline kernel.Instant
}

// HeldOpenings holds opening packets, the most urgent and oldest first. A flow that has
// not begun sends nothing, so that neither the queue nor the incoming link fills with
// what callers send again.
type HeldOpenings struct {
	queue []*HeldOpening
	free  []*HeldOpening
}

// Len returns the number of openings that are held.
func (h *HeldOpenings) Len() int { return len(h.queue) }

// IsFull reports whether no more can be held.
func (h *HeldOpenings) IsFull() bool { return len(h.queue) >= maxHeldOpenings }

// Contains reports whether the opening packet of a flow is held.
func (h *HeldOpenings) Contains(flow steer.FlowKey) bool {
	return slices.ContainsFunc(h.queue, func(held *HeldOpening) bool { return held.Packet.Flow == flow })
}

// Add holds an opening packet, which is copied.
func (h *HeldOpenings) Add(now kernel.Instant, packet steer.Packet, datagram []byte, urgency uint8, bound time.Duration) {
	held := h.takeFree()
	held.Packet = packet
	held.Datagram = append(held.Datagram[:0], datagram...)
	held.Urgency = urgency
	held.HeldAt = now
	held.Deadline = now.Add(bound)
	position, _ := slices.BinarySearchFunc(h.queue, held, func(other, held *HeldOpening) int {
		if other.Urgency > held.Urgency {
			return 1
		}
		return -1
	})
	h.queue = slices.Insert(h.queue, position, held)
}

// Pop returns the first opening that begins now: one whose time is up, or the first one
// when it fits. The caller hands it back by Give.
func (h *HeldOpenings) Pop(now kernel.Instant, fits bool) (*HeldOpening, bool) {
	position := slices.IndexFunc(h.queue, func(held *HeldOpening) bool { return !now.Before(held.Deadline) })
	if position < 0 {
		if !fits || len(h.queue) == 0 {
			return nil, false
		}
		position = 0
	}
	held := h.queue[position]
	h.queue = slices.Delete(h.queue, position, position+1)
	return held, true
}

// Recycle hands an opening back whose datagram is needed no more.
func (h *HeldOpenings) Recycle(held *HeldOpening) { h.free = append(h.free, held) }

func (h *HeldOpenings) takeFree() *HeldOpening {
	last := len(h.free) - 1
	if last < 0 {
		return &HeldOpening{}
	}
	held := h.free[last]
	h.free = h.free[:last]
	return held
}
