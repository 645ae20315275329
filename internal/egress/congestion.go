package egress

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

const (
	// congestedAfter is the wait for the link from which it counts as congested: half
	// the 200 ms after which callers send data again.
	congestedAfter = 100 * time.Millisecond
	// relievedAfter is how long the wait must have been shorter before the link counts
	// as relieved, so that there is at most one change each way a second.
	relievedAfter = time.Second
)

// CongestionDetector tells when a link becomes congested and when it is relieved. The zero
// value is one that is not congested.
type CongestionDetector struct {
	congested bool
	since     kernel.Instant
	// lastLong is when the wait was last long.
	lastLong kernel.Instant
}

// Update takes the longest wait of late, and tells what changed.
func (w *CongestionDetector) Update(now kernel.Instant, delay time.Duration) (began, ended bool) {
	if delay >= congestedAfter {
		w.lastLong = now
		began = !w.congested
		if began {
			w.congested = true
			w.since = now
		}
		return began, false
	}
	if w.congested && now.Sub(w.lastLong) >= relievedAfter {
		w.congested = false
		return false, true
	}
	return false, false
}

// IsCongested reports whether the link is congested.
func (w *CongestionDetector) IsCongested() bool { return w.congested }

// Duration returns how long the congestion has lasted until its last long wait.
func (w *CongestionDetector) Duration() time.Duration { return w.lastLong.Sub(w.since) }
