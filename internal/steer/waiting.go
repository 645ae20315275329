package steer

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

const (
	// retransmitTimeout is a caller's first retransmission timeout of 200 ms plus the network
	// time to this node. The timeout doubles with each retransmission.
	retransmitTimeout = 250 * time.Millisecond
	// maxRetransmitDoublings bounds the timeout.
	maxRetransmitDoublings = 3
)

// beginWait records that the caller of a flow waits for an answer.
func (c *Core) beginWait(now kernel.Instant, flow *flowEntry) {
	flow.waitingSince = now
	if flow.waitingForAnswer {
		return
	}
	flow.waitingForAnswer = true
	flow.target.waitingFlows++
	c.waiting[flow] = struct{}{}
}

// endWait records that the target has answered, or that the flow was removed.
func (c *Core) endWait(flow *flowEntry) {
	if !flow.waitingForAnswer {
		return
	}
	flow.waitingForAnswer = false
	flow.target.waitingFlows--
	delete(c.waiting, flow)
}

// expireWaits ends the waits of callers that would have retransmitted by now: they need not
// acknowledge a response of one packet.
func (c *Core) expireWaits(now kernel.Instant) {
	for flow := range c.waiting {
		timeout := retransmitTimeout << min(flow.pending.resends, maxRetransmitDoublings)
		if now.Sub(flow.waitingSince) > timeout {
			c.endWait(flow)
		}
	}
}
