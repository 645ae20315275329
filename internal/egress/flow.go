package egress

import (
	"cmp"
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/steer"
)

// flowIdleTimeout is the rest after which a flow counts as one that has sent nothing: its
// caller begins another request. It is longer than the longest pause before a caller
// sends data again, 1.6 s.
const flowIdleTimeout = 1700 * time.Millisecond

// resendTimeout is the wait by which a caller has sent its data again.
const resendTimeout = 200 * time.Millisecond

// packet is an item that waits.
type packet struct {
	Item
	flow *flow
	// first is set when it goes before all flows.
	priority bool
	// line links the packets of a flow, or those that go before all flows.
	queueLinks links[packet]
	// age links all packets in the order in which they came.
	ageLinks links[packet]
}

func queueLinksOf(p *packet) *links[packet] { return &p.queueLinks }
func ageLinksOf(p *packet) *links[packet]   { return &p.ageLinks }

func (p *packet) isExpired(now kernel.Instant) bool {
	return p.ExpiresAt > 0 && !now.Before(p.ExpiresAt)
}

// flow is a flow that has waited for the link lately.
type flow struct {
	key     steer.FlowKey
	caller  *caller
	urgency uint8
	// objective is the time within which the answer is of full use; 0 states none.
	objective time.Duration
	// began is when the flow first waited since it last rested.
	startedAt kernel.Instant
	// bulk is set once the flow has sent much; due is when it is to be done then.
	bulk     bool
	deadline kernel.Instant
	// offered is the number of bytes that were offered since the flow last rested.
	offeredBytes int
	// told is set once an item of the flow that waited long has left.
	waitReported bool
	// line holds the packets that wait in order, but for those that go before all
	// flows.
	packets list[packet]
	// bytes are those in line.
	queuedBytes int
	// waiting is the number of all its packets that wait.
	waiting int
	// opening is the opening packet that waits, or nil.
	opening *packet
	// placed is set while line is not empty; the flow is in class then.
	scheduled bool
	class     int
	// turn is the turn of the flow's caller, or nil where there are none.
	queue     *callerQueue
	ringLinks links[flow]
	// position is the place in a heap.
	heapIndex     int
	activityLinks links[flow]
	// seen is when its last packet came or left.
	lastActive kernel.Instant
}

func ringLinksOf(f *flow) *links[flow]     { return &f.ringLinks }
func activityLinksOf(f *flow) *links[flow] { return &f.activityLinks }

// begin forgets what the flow has sent.
func (f *flow) reset(now kernel.Instant) {
	f.startedAt = now
	f.offeredBytes = 0
	f.waitReported = false
	if f.bulk {
		f.bulk = false
		f.caller.bulk--
	}
}

func (f *flow) objectiveOrDefault() time.Duration { return cmp.Or(f.objective, defaultObjective) }

// classAt returns the class that the flow belongs to at an instant.
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

// hasWaiting reports whether something of the flow waits.
func (f *flow) hasWaiting() bool { return f.waiting > 0 }

// holds returns the packet that holds all data of an item, or nil.
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

// isFirstLongWait notes the wait of an item that leaves, and reports whether it is the first
// long one.
func (f *flow) isFirstLongWait(waited time.Duration) bool {
	if waited < resendTimeout || f.waitReported {
		return false
	}
	f.waitReported = true
	return true
}
