// Package egress schedules the datagrams that a node sends over its own link: by
// urgency, fairly between callers and flows, and no faster than the link's rate. It
// also estimates that rate and decides on new flows. It uses no clock, socket or
// goroutine of its own.
package egress

import "github.com/beamdoor/beamdoor/internal/directory"

// HeaderBytes is the size of the IP and UDP headers of a datagram.
const HeaderBytes = 28

// maxLinkMbps is the largest rate accepted in settings. A larger one is taken for a
// mistaken unit.
const maxLinkMbps = 1_000_000

// minLinkMbps is the smallest rate accepted in settings. At lower rates, a caller's
// window of 16 packets takes longer than the longest retransmission timeout of 1.6 s.
const minLinkMbps = 0.1

// Link is the configuration of a machine's own link.
type Link struct {
	// Mbps is the rate in Mbit/s; 0 means not configured.
	Mbps float64
}

// Validate returns a directory.Problem if the rate is out of range.
func (l Link) Validate(field string) error {
	if l.Mbps != 0 && !(l.Mbps >= minLinkMbps && l.Mbps <= maxLinkMbps) {
		return directory.NewProblem(field, l.Mbps, "must be 0 (not stated) or from 0.1 to 1000000 Mbit/s")
	}
	return nil
}

// BytesPerSecond returns the rate in bytes per second; 0 means not configured.
func (l Link) BytesPerSecond() float64 { return l.Mbps * 1e6 / 8 }
