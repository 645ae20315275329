package egress

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

const (
	// congestedAfter is the queueing delay at which the link counts as congested: half
	// the callers' initial retransmission timeout of 200 ms.
	congestedAfter = 100 * time.Millisecond
	// relievedAfter is how long the delay must stay below congestedAfter before
	// congestion ends. It limits how often the state changes.
	relievedAfter = time.Second
)

// CongestionDetector detects when a link becomes congested and when the congestion
// ends. The zero value is not congested.
type CongestionDetector struct {
	congested bool
	since     kernel.Instant
	// lastLong is the time of the latest delay of at least congestedAfter.
	lastLong kernel.Instant
}

// Update processes the longest queueing delay since the last call, and reports whether
// congestion began or ended.
func (d *CongestionDetector) Update(now kernel.Instant, delay time.Duration) (began, ended bool) {
	if delay >= congestedAfter {
		d.lastLong = now
		began = !d.congested
		if began {
			d.congested = true
			d.since = now
		}
		return began, false
	}
	if d.congested && now.Sub(d.lastLong) >= relievedAfter {
		d.congested = false
		return false, true
	}
	return false, false
}

// IsCongested reports whether the link is congested.
func (d *CongestionDetector) IsCongested() bool { return d.congested }

// Duration returns the time from the start of the latest congestion to its last delay
// of at least congestedAfter.
func (d *CongestionDetector) Duration() time.Duration { return d.lastLong.Sub(d.since) }
