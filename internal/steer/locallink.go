package steer

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

// The process tells the core what became of packets after a decision: what the node
// itself holds back or drops says nothing against a target.

const (
	// linkDelayLimit is how long a datagram may wait for the node's own link until what
	// the node sees is doubtful: callers send again after 200 ms, of which the ways to
	// the target and back, and its acknowledgement of every second packet, take a part.
	linkDelayThreshold = 100 * time.Millisecond
	// linkRecovery is how long it stays so: what callers sent again meanwhile counts for
	// no longer.
	linkRecoveryTime = resentTwiceLifetime
)

// RecordDrop notes that the node has dropped a packet of a flow that it had decided
// to forward. What the flow showed against its target is forgotten, and what the
// caller sends again next shows nothing.
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

// RecordHeld notes that data which a caller has just sent again waits at the node still:
// that it came again shows nothing. What came again before counts as before.
func (c *Core) RecordHeld(now kernel.Instant, key FlowKey) {
	flow, known := c.flows[key]
	if !known || !flow.pending.undoResent(now) {
		return
	}
	if flow.pending.resends == 0 {
		delete(c.unanswered, key)
	}
}

// RecordLinkDelay notes how long the oldest datagram has waited for the node's own
// link; 0 while none waits.
func (c *Core) RecordLinkDelay(now kernel.Instant, delay time.Duration) {
	if delay >= linkDelayThreshold {
		c.linkDelayedUntil = now.Add(linkRecoveryTime)
		c.ignoreExchanges(now)
	}
}

// isDoubtfulWitness reports whether what this node sees of targets has other reasons:
// its own link is choked, data gets lost on its way, or no zone takes its openings.
func (c *Core) isUnreliableObserver(now kernel.Instant) bool {
	return now.Before(c.linkDelayedUntil) || c.losses.isLossy() || c.openings.refusedEverywhere()
}
