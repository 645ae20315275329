package steer

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

const (
	// answerPatience is how long a caller waits before it sends its data again;
	// the pause doubles each time. It holds the caller's 200 ms and the way to this node.
	retransmitTimeout = 250 * time.Millisecond
	// maxDoublings bounds the pause between two copies of data.
	maxRetransmitDoublings = 3
)

// beginWait notes that a caller waits for an answer of its flow's target.
func (c *Core) beginWait(now kernel.Instant, flow *flowEntry) {
	flow.waitingSince = now
	if flow.waitingForAnswer {
		return
	}
	flow.waitingForAnswer = true
	flow.target.waitingFlows++
	c.waiting[flow] = struct{}{}
}

// endWait notes that the target has answered, or that the flow is gone.
func (c *Core) endWait(flow *flowEntry) {
	if !flow.waitingForAnswer {
		return
	}
	flow.waitingForAnswer = false
	flow.target.waitingFlows--
	delete(c.waiting, flow)
}

// endOldWaits ends the wait of callers that would have sent their data again:
// an answer of one packet need not be acknowledged.
func (c *Core) expireWaits(now kernel.Instant) {
	for flow := range c.waiting {
		patience := retransmitTimeout << min(flow.pending.resends, maxRetransmitDoublings)
		if now.Sub(flow.waitingSince) > patience {
			c.endWait(flow)
		}
	}
}
