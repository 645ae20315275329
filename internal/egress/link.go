// Package egress schedules the datagrams that leave a node over its own link: what
// is urgent first, fair between flows and callers, and no faster than the link
// carries. It decides without a clock, a socket or a goroutine of its own.
package egress

import "github.com/beamdoor/beamdoor/internal/directory"

// HeaderBytes are those of the IP and the UDP header of a datagram on the link.
const HeaderBytes = 28

// maxLinkMbps is the largest rate in Mbit/s that a settings file can mean: a hundred
// times the fastest links of a small machine.
const maxLinkMbps = 1_000_000

// minLinkMbps is the least rate in Mbit/s: with less a caller's window of 16 packets
// does not get through within its longest pause of 1.6 s.
const minLinkMbps = 0.1

// Link is what is stated of a machine's own link.
type Link struct {
	// Mbps is its rate in Mbit/s; 0 states none.
	Mbps float64
}

// Validate returns a directory.Problem when the rate cannot be meant.
func (l Link) Validate(field string) error {
	if l.Mbps != 0 && !(l.Mbps >= minLinkMbps && l.Mbps <= maxLinkMbps) {
		return directory.NewProblem(field, l.Mbps, "must be 0 (not stated) or from 0.1 to 1000000 Mbit/s")
	}
	return nil
}

// BytesPerSecond returns the rate in bytes a second; 0 states none.
func (l Link) BytesPerSecond() float64 { return l.Mbps * 1e6 / 8 }
