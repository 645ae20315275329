// Package sim runs the product's own cores - routing, control, replicated
// log, write-ahead log - on a virtual clock, with emulated callers, fabric,
// back ends, disks and operators around them, and checks the rules that must
// always hold. The same seed gives the same run.
package sim

import (
	"container/heap"
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

// event is something that happens at a point of virtual time.
type event struct {
	at       kernel.Instant
	sequence uint64
	run      func()
}

// eventQueue orders events by time and, at the same time, by their creation.
type eventQueue []event

var _ heap.Interface = (*eventQueue)(nil)

// Len implements heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q eventQueue) Less(a, b int) bool {
	if q[a].at != q[b].at {
		return q[a].at < q[b].at
	}
	return q[a].sequence < q[b].sequence
}

// Swap implements heap.Interface.
func (q eventQueue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }

// Push implements heap.Interface.
func (q *eventQueue) Push(item any) { *q = append(*q, item.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	item := (*q)[last]
	(*q)[last] = event{}
	*q = (*q)[:last]
	return item
}

// Clock is the virtual clock.
type Clock struct {
	now      kernel.Instant
	queue    eventQueue
	sequence uint64
}

// Now returns the virtual time.
func (c *Clock) Now() kernel.Instant { return c.now }

// After runs a function a duration from now.
func (c *Clock) After(wait time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.queue, event{at: c.now.Add(max(wait, 0)), sequence: c.sequence, run: run})
}

// RunUntil runs all events up to a point of virtual time.
func (c *Clock) RunUntil(end kernel.Instant) {
	for len(c.queue) > 0 && c.queue[0].at <= end {
		next := heap.Pop(&c.queue).(event)
		c.now = next.at
		next.run()
	}
	c.now = end
}
