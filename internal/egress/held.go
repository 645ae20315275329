package egress

import (
	"slices"
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/steer"
)

// maxHeldOpenings bounds the held openings. It exceeds the number that arrive on a slow
// link within the hold time.
const maxHeldOpenings = 128

// HeldOpening is the opening packet of a flow that is delayed until the link has
// capacity for its data.
type HeldOpening struct {
	Packet   steer.Packet
	Datagram []byte
	Urgency  uint8
	HeldAt   kernel.Instant
	// Deadline is when Pop returns the opening regardless of the capacity.
	Deadline kernel.Instant
}

// HeldOpenings is a queue of opening packets, ordered by urgency and then by age. The
// caller sends no data before its flow is opened, so holding the opening avoids
// retransmissions that would fill the queue and the incoming link.
type HeldOpenings struct {
	queue []*HeldOpening
	free  []*HeldOpening
}

// Len returns the number of held openings.
func (h *HeldOpenings) Len() int { return len(h.queue) }

// IsFull reports whether the queue is full.
func (h *HeldOpenings) IsFull() bool { return len(h.queue) >= maxHeldOpenings }

// Contains reports whether the opening packet of a flow is held.
func (h *HeldOpenings) Contains(flow steer.FlowKey) bool {
	return slices.ContainsFunc(h.queue, func(held *HeldOpening) bool { return held.Packet.Flow == flow })
}

// Add adds an opening packet with a copy of its datagram, to be held no longer than
// maxHold.
func (h *HeldOpenings) Add(now kernel.Instant, packet steer.Packet, datagram []byte, urgency uint8, maxHold time.Duration) {
	held := h.takeFree()
	held.Packet = packet
	held.Datagram = append(held.Datagram[:0], datagram...)
	held.Urgency = urgency
	held.HeldAt = now
	held.Deadline = now.Add(maxHold)
	position, _ := slices.BinarySearchFunc(h.queue, held, func(other, held *HeldOpening) int {
		if other.Urgency > held.Urgency {
			return 1
		}
		return -1
	})
	h.queue = slices.Insert(h.queue, position, held)
}

// Pop removes and returns an opening that has reached its deadline or, if there is none
// and hasCapacity is set, the first of the queue. The caller passes it to Recycle after
// use.
func (h *HeldOpenings) Pop(now kernel.Instant, hasCapacity bool) (*HeldOpening, bool) {
	position := slices.IndexFunc(h.queue, func(held *HeldOpening) bool { return !now.Before(held.Deadline) })
	if position < 0 {
		if !hasCapacity || len(h.queue) == 0 {
			return nil, false
		}
		position = 0
	}
	held := h.queue[position]
	h.queue = slices.Delete(h.queue, position, position+1)
	return held, true
}

// Recycle allows a popped opening and its datagram to be reused.
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
