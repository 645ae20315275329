package egress

import (
	"cmp"
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/steer"
)

// flowIdleTimeout is the idle time after which a flow's next packet counts as a new
// request. It is longer than the callers' longest retransmission timeout, 1.6 s.
const flowIdleTimeout = 1700 * time.Millisecond

// resendTimeout is the callers' initial retransmission timeout.
const resendTimeout = 200 * time.Millisecond

// packet is a queued item.
type packet struct {
	Item
	flow *flow
	// priority is set if the packet is in the control queue, which is served before all
	// flows.
	priority bool
	// queueLinks links the packets of the queue that holds the packet: that of its flow
	// or the control queue.
	queueLinks links[packet]
	// ageLinks links all packets in order of arrival.
	ageLinks links[packet]
}

func queueLinksOf(p *packet) *links[packet] { return &p.queueLinks }
func ageLinksOf(p *packet) *links[packet]   { return &p.ageLinks }

func (p *packet) isExpired(now kernel.Instant) bool {
	return p.ExpiresAt > 0 && !now.Before(p.ExpiresAt)
}

// flow is the scheduling state of a flow that recently had to queue.
type flow struct {
	key     steer.FlowKey
	caller  *caller
	urgency uint8
	// objective is the time within which the request should complete; 0 means none.
	objective time.Duration
	// startedAt is when the current request of the flow first had to queue.
	startedAt kernel.Instant
	// bulk is set once the request has exceeded bulkThreshold; deadline then orders the
	// flow among the bulk flows.
	bulk     bool
	deadline kernel.Instant
	// offeredBytes is the number of bytes offered for the current request.
	offeredBytes int
	// waitReported is set once a long wait was reported for the current request.
	waitReported bool
	// packets holds the flow's queued packets in order, except those in the control
	// queue.
	packets list[packet]
	// queuedBytes is the total size of packets.
	queuedBytes int
	// queuedPackets is the number of the flow's queued packets, including those in the
	// control queue.
	queuedPackets int
	// opening is the queued opening packet of the flow, or nil.
	opening *packet
	// scheduled is set while packets is not empty; the flow is then in class.
	scheduled bool
	class     int
	// queue is the caller's queue that holds the flow, or nil if the flow is not
	// scheduled in levelSmall.
	queue     *callerQueue
	ringLinks links[flow]
	// heapIndex is the flow's index in its deadline heap.
	heapIndex     int
	activityLinks links[flow]
	// lastActive is when a packet of the flow was last offered.
	lastActive kernel.Instant
}

func ringLinksOf(f *flow) *links[flow]     { return &f.ringLinks }
func activityLinksOf(f *flow) *links[flow] { return &f.activityLinks }

// reset starts a new request on the flow.
func (f *flow) reset(now kernel.Instant) {
	f.startedAt = now
	f.offeredBytes = 0
	f.waitReported = false
	if f.bulk {
		f.bulk = false
		f.caller.bulkFlows--
	}
}

func (f *flow) objectiveOrDefault() time.Duration { return cmp.Or(f.objective, defaultObjective) }

// classAt returns the class of the flow at the given time.
func (f *flow) classAt(now kernel.Instant) int {
	level := levelSmall
	switch {
	case f.bulk && f.objective > 0 && now.Sub(f.startedAt) > f.objective:
		level = levelLate
	case f.bulk:
		level = levelBulk
	}
	return int(f.urgency)*levelCount + level
}

// hasQueued reports whether the flow has queued packets.
func (f *flow) hasQueued() bool { return f.queuedPackets > 0 }

// findQueued returns the queued packet that makes the item a duplicate, or nil: for an
// opening the queued opening, otherwise one in packets that contains all its data.
func (f *flow) findQueued(item *Item) *packet {
	if item.Kind == KindOpening {
		return f.opening
	}
	for waiting := f.packets.first; waiting != nil; waiting = waiting.queueLinks.next {
		if waiting.Kind == item.Kind && waiting.covers(item) {
			return waiting
		}
	}
	return nil
}

// markLongWait reports whether the wait is the first of the current request to reach
// resendTimeout, and records it.
func (f *flow) markLongWait(waited time.Duration) bool {
	if waited < resendTimeout || f.waitReported {
		return false
	}
	f.waitReported = true
	return true
}
