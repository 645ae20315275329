// Package linkhealth tells when a balancer should try another control member.
// A member that is silent is easy to see; one that answers but hears nothing
// of the leader itself is not, and its balancers would lose their leases.
package linkhealth

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/wire"
)

const (
	// SilenceTimeout is the longest time without a frame, two reports.
	SilenceTimeout = 1600 * time.Millisecond
	// firstPatience is the longest time without a sign of the leader. It
	// doubles with every member tried in vain, up to mostPatience: while nobody
	// leads, changing members does not help.
	firstPatience = 1600 * time.Millisecond
	mostPatience  = 8 * firstPatience
)

// Health judges the connection to one control member at a time.
type Health struct {
	heard    kernel.Instant
	leader   kernel.Instant
	patience time.Duration
}

// ConnectionOpened notes that a connection to a member was opened.
func (h *Health) ConnectionOpened(now kernel.Instant) {
	h.heard = now
	h.leader = now
	if h.patience == 0 {
		h.patience = firstPatience
	}
}

// RecordFrame notes a frame of the member. A grant without a revision comes from
// a member that knows no leader.
func (h *Health) RecordFrame(now kernel.Instant, frame wire.Frame) {
	h.heard = now
	if frame.Kind != wire.FrameGrant {
		return
	}
	decoder := wire.NewDecoder(frame.Payload)
	grant := wire.DecodeGrant(decoder)
	if decoder.Err("linkhealth.grant") != nil || grant.Revision == 0 {
		return
	}
	h.leader = now
	h.patience = firstPatience
}

// ShouldSwitch reports whether another member should be tried. It says so once, and
// then waits longer.
func (h *Health) ShouldSwitch(now kernel.Instant) bool {
	silent := now.Sub(h.heard) > SilenceTimeout
	leaderless := now.Sub(h.leader) > h.patience
	if leaderless {
		h.patience = min(2*h.patience, mostPatience)
	}
	return silent || leaderless
}
