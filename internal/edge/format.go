package edge

import (
	"net/netip"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/steer"
)

// FormatNamespace is the plug-in namespace of packet formats.
const FormatNamespace = "edge.format"

// Format is a plug-in that decodes and encodes the packets of a network.
type Format interface {
	kernel.Plugin
	// Decode parses a datagram from a caller. It returns false if the datagram is not a
	// packet of this format.
	Decode(datagram []byte) (steer.Packet, bool)
	// Forward appends the datagram for a target to the buffer. Only the token may differ
	// from what the caller sent.
	Forward(buffer, datagram []byte, target directory.Target) []byte
	// Reset appends the datagram that resets a caller's flow and returns its destination.
	// port is the port of the node's packet address.
	Reset(buffer []byte, packet steer.Packet, port uint16) ([]byte, netip.AddrPort)
}
