package steer

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

// The process reports what happens to packets after a decision. Packets that this node
// delays or drops are no evidence against their targets.

const (
	// linkDelayThreshold is the delay of datagrams at this node's link above which evidence
	// is unreliable. Callers retransmit after 200 ms, which also covers the round trip and
	// delayed acknowledgements.
	linkDelayThreshold = 100 * time.Millisecond
	// linkRecoveryTime is how long evidence stays unreliable: retransmissions caused by the
	// delay no longer count after that.
	linkRecoveryTime = resentTwiceLifetime
)

// RecordDrop records that this node dropped a packet that it had decided to forward. It
// clears the evidence of the flow and excuses the next retransmission.
func (c *Core) RecordDrop(_ kernel.Instant, key FlowKey) {
	flow, known := c.flows[key]
	if !known {
		return
	}
	if !flow.opened {
		flow.dropped = true
		delete(c.openings.inFlight, key)
		return
	}
	flow.exchange.ignored = true
	flow.pending.excuse()
	delete(c.unanswered, key)
}

// RecordHeld records that data which was just retransmitted is still queued at this node.
// That retransmission is not counted; earlier ones still are.
func (c *Core) RecordHeld(now kernel.Instant, key FlowKey) {
	flow, known := c.flows[key]
	if !known || !flow.pending.undoResent(now) {
		return
	}
	if flow.pending.resends == 0 {
		delete(c.unanswered, key)
	}
}

// RecordLinkDelay records how long the oldest datagram has been queued for this node's link,
// or 0.
func (c *Core) RecordLinkDelay(now kernel.Instant, delay time.Duration) {
	if delay >= linkDelayThreshold {
		c.linkDelayedUntil = now.Add(linkRecoveryTime)
		c.ignoreExchanges(now)
	}
}

// isUnreliableObserver reports whether evidence may have a local cause: delays on this
// node's link, packet loss on the path, or refusals in every zone.
func (c *Core) isUnreliableObserver(now kernel.Instant) bool {
	return now.Before(c.linkDelayedUntil) || c.losses.isLossy() || c.openings.refusedEverywhere()
}
