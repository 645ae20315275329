// Package linkhealth decides when a balancer should switch to another control member: when
// the member is silent, or when it answers but has lost contact with the leader, so that
// the balancer's lease would expire.
package linkhealth

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/wire"
)

const (
	// SilenceTimeout is the maximum time without a frame, two report intervals.
	SilenceTimeout = 1600 * time.Millisecond
	// initialLeaderTimeout is the initial time limit without contact to a leader. The limit
	// doubles with each switch up to maxLeaderTimeout, since switching does not help while
	// there is no leader.
	initialLeaderTimeout = 1600 * time.Millisecond
	maxLeaderTimeout     = 8 * initialLeaderTimeout
)

// Health tracks the connection to one control member at a time.
type Health struct {
	lastFrame     kernel.Instant
	lastLeader    kernel.Instant
	leaderTimeout time.Duration
}

// ConnectionOpened records that a connection to a member was opened.
func (h *Health) ConnectionOpened(now kernel.Instant) {
	h.lastFrame = now
	h.lastLeader = now
	if h.leaderTimeout == 0 {
		h.leaderTimeout = initialLeaderTimeout
	}
}

// RecordFrame records a frame from the member. A grant without a revision comes from a
// member that knows no leader.
func (h *Health) RecordFrame(now kernel.Instant, frame wire.Frame) {
	h.lastFrame = now
	if frame.Kind != wire.FrameGrant {
		return
	}
	decoder := wire.NewDecoder(frame.Payload)
	grant := wire.DecodeGrant(decoder)
	if decoder.Err("linkhealth.grant") != nil || grant.Revision == 0 {
		return
	}
	h.lastLeader = now
	h.leaderTimeout = initialLeaderTimeout
}

// ShouldSwitch reports whether to switch to another member. When it returns true for lack
// of a leader, it doubles the time limit.
func (h *Health) ShouldSwitch(now kernel.Instant) bool {
	silent := now.Sub(h.lastFrame) > SilenceTimeout
	leaderless := now.Sub(h.lastLeader) > h.leaderTimeout
	if leaderless {
		h.leaderTimeout = min(2*h.leaderTimeout, maxLeaderTimeout)
	}
	return silent || leaderless
}
