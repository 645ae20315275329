package egress

import (
	"cmp"
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/steer"
)

// restTime is the rest after which a flow counts as one that has sent nothing: its
// caller begins another request. It is longer than the longest pause before a caller
// sends data again, 1.6 s.
const restTime = 1700 * time.Millisecond

// longWait is the wait by which a caller has sent its data again.
const longWait = 200 * time.Millisecond

// packet is an item that waits.
type packet struct {
	Item
	flow *flow
	// first is set when it goes before all flows.
	first bool
	// line links the packets of a flow, or those that go before all flows.
	line links[packet]
	// age links all packets in the order in which they came.
	age links[packet]
}

func lineOf(p *packet) *links[packet] { return &p.line }
func ageOf(p *packet) *links[packet]  { return &p.age }

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
	began kernel.Instant
	// bulk is set once the flow has sent much; due is when it is to be done then.
	bulk bool
	due  kernel.Instant
	// offered is the number of bytes that were offered since the flow last rested.
	offered int
	// told is set once an item of the flow that waited long has left.
	told bool
	// line holds the packets that wait in order, but for those that go before all
	// flows.
	line list[packet]
	// bytes are those in line.
	bytes int
	// waiting is the number of all its packets that wait.
	waiting int
	// opening is the opening packet that waits, or nil.
	opening *packet
	// placed is set while line is not empty; the flow is in class then.
	placed bool
	class  int
	// turn is the turn of the flow's caller, or nil where there are none.
	turn *turn
	ring links[flow]
	// position is the place in a heap.
	position int
	rest     links[flow]
	// seen is when its last packet came or left.
	seen kernel.Instant
}

func ringOf(f *flow) *links[flow] { return &f.ring }
func restOf(f *flow) *links[flow] { return &f.rest }

// begin forgets what the flow has sent.
func (f *flow) begin(now kernel.Instant) {
	f.began = now
	f.offered = 0
	f.told = false
	if f.bulk {
		f.bulk = false
		f.caller.bulk--
	}
}

func (f *flow) objectiveOrUsual() time.Duration { return cmp.Or(f.objective, usualObjective) }

// classAt returns the class that the flow belongs to at an instant.
func (f *flow) classAt(now kernel.Instant) int {
	level := levelLittle
	switch {
	case f.bulk && f.objective > 0 && now.Sub(f.began) > f.objective:
		level = levelLate
	case f.bulk:
		level = levelBulk
	}
	return int(f.urgency)*levelCount + level
}

// isBusy reports whether something of the flow waits.
func (f *flow) isBusy() bool { return f.waiting > 0 }

// holds returns the packet that holds all data of an item, or nil.
func (f *flow) holds(item *Item) *packet {
	if item.Kind == KindOpening {
		return f.opening
	}
	for waiting := f.line.first; waiting != nil; waiting = waiting.line.next {
		if waiting.Kind == item.Kind && waiting.covers(item) {
			return waiting
		}
	}
	return nil
}

// noteWait notes the wait of an item that leaves, and reports whether it is the first
// long one.
func (f *flow) noteWait(waited time.Duration) bool {
	if waited < longWait || f.told {
		return false
	}
	f.told = true
	return true
}
