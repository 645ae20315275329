package steer

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

const (
	// wheelSlot is the resolution of the wheel: a tenth of the report interval.
	wheelSlot = 10 * time.Millisecond
	// wheelSlots times wheelSlot exceeds the longest quiet time.
	wheelSlots = 128
)

// timerWheel holds the flows with a waiting exchange by the time of their next check. Each
// flow is in the wheel at most once.
type timerWheel struct {
	slots [wheelSlots]*flowEntry
	// lastSlot is the number of the last slot that was processed.
	lastSlot int64
}

// add schedules a check of a flow, unless one is scheduled already.
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

// advance calls check for each flow that is due. The result is the delay until the next check,
// or 0 for none.
func (w *timerWheel) advance(now kernel.Instant, check func(now kernel.Instant, flow *flowEntry) time.Duration) {
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
			if after := check(now, flow); after > 0 {
				w.add(now, flow, after)
			}
			flow = next
		}
	}
}
