package steer

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

const (
	// wheelSlot is the precision at which quiet flows are found: a tenth of the time
	// between two reports, which carry them.
	wheelSlot = 10 * time.Millisecond
	// wheelSlots times wheelSlot is more than the longest quiet time.
	wheelSlots = 128
)

// quietWheel holds the flows whose exchanges wait, by the time when they are looked at
// again. A flow stands in it at most once, so it holds no more than are counted and
// those forgotten within the last quiet time.
type timerWheel struct {
	slots [wheelSlots]*flowEntry
	// turned is the number of the last slot that was looked at.
	lastSlot int64
}

// add lists a flow that is to be looked at after a time, unless it is listed already.
func (w *timerWheel) add(now kernel.Instant, flow *flowEntry, after time.Duration) {
	if flow.exchange.inWheel {
		return
	}
	number := int64(now.Add(after))/int64(wheelSlot) + 1
	number = min(max(number, w.lastSlot+1), w.lastSlot+wheelSlots-1)
	slot := &w.slots[number%wheelSlots]
	flow.exchange.inWheel = true
	flow.exchange.nextInSlot = *slot
	*slot = flow
}

// turn looks at the flows whose time has come. The look returns after which time a flow
// is to be looked at again; 0 means never.
func (w *timerWheel) advance(now kernel.Instant, look func(now kernel.Instant, flow *flowEntry) time.Duration) {
	current := int64(now) / int64(wheelSlot)
	first := max(w.lastSlot+1, current-wheelSlots+1)
	w.lastSlot = max(w.lastSlot, current)
	for number := first; number <= current; number++ {
		flow := w.slots[number%wheelSlots]
		w.slots[number%wheelSlots] = nil
		for flow != nil {
			next := flow.exchange.nextInSlot
			flow.exchange.inWheel = false
			flow.exchange.nextInSlot = nil
			if after := look(now, flow); after > 0 {
				w.add(now, flow, after)
			}
			flow = next
		}
	}
}
