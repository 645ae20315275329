// Package steer provides the deterministic core of a node that routes opaque
// flows by tokens. The first packet of a flow needs a decision; the token of
// the chosen target then travels in every packet of the flow, so that any
// node forwards it without shared flow state.
package steer

import (
	"net/netip"

	"github.com/beamdoor/beamdoor/internal/directory"
)

// FlowKey names a flow by its two ends.
type FlowKey struct {
	Caller  netip.AddrPort
	Virtual netip.AddrPort
}

// Packet is what the core needs to know of a packet from a caller.
type Packet struct {
	Flow FlowKey
	// Opening is set on the first packet of a flow and its copies.
	Opening bool
	// Closing is set when the caller ends its side.
	Closing bool
	// Reset is set when the caller breaks the flow off.
	Reset bool
	// Forged is set on a packet that only a target may send.
	Forged bool
	// Copy is the number of earlier copies of an opening packet.
	Copy  uint32
	Token directory.Token
	// Sequence is the position of the packet's data in the caller's stream.
	Sequence uint32
	// Acknowledged is the caller's last acknowledgement, for resets.
	Acknowledged uint32
	// Size is the number of bytes of data in the packet.
	Size int
}

// Action is what is done with a packet.
type Action uint8

// What is done with a packet.
const (
	// ActionDrop answers nothing.
	ActionDrop Action = iota
	// ActionForward sends the packet to Decision.Target.
	ActionForward
	// ActionReset tells the caller that the flow does not exist.
	ActionReset
)

// String returns the action in lower case.
func (a Action) String() string { return [...]string{"drop", "forward", "reset"}[a] }

// Reason tells why a packet was treated as it was.
type Reason uint8

// The reasons of decisions.
const (
	// ReasonPlaced is a new flow that was given a target.
	ReasonPlaced Reason = iota
	// ReasonPlacedAgain is a copy of an opening packet that was given another target.
	ReasonPlacedAgain
	// ReasonToken is a packet whose token names a living target.
	ReasonToken
	// ReasonNoRoute is a new flow to an address without a route.
	ReasonNoRoute
	// ReasonNoTarget is a new flow to a service without a target that takes flows.
	ReasonNoTarget
	// ReasonEvacuated is a new flow to a service whose targets all stand in zones
	// that are being evacuated.
	ReasonEvacuated
	// ReasonCold is a new flow to a service that has only cold targets left, which
	// bear no more from this node for the moment.
	ReasonCold
	// ReasonEnded is a packet of a flow whose target has surely ended.
	ReasonEnded
	// ReasonLost is a packet of a flow whose target the control members hold
	// for lost.
	ReasonLost
	// ReasonUnreachable is a flow whose caller waits for a target that this node cannot
	// reach.
	ReasonUnreachable
	// ReasonUnknownToken is a packet whose token names no known target.
	ReasonUnknownToken
	// ReasonNoToken is a packet of an open flow without a token.
	ReasonNoToken
	// ReasonForged is a packet that a caller may not send.
	ReasonForged
	// ReasonNotReady is a new flow at a node that has no configuration yet.
	ReasonNotReady
	reasonCount
)

// Reasons returns all reasons, for counters.
func Reasons() []Reason {
	list := make([]Reason, 0, reasonCount)
	for reason := range reasonCount {
		list = append(list, reason)
	}
	return list
}

// String returns the reason as a word for logs and counters.
func (r Reason) String() string {
	return [...]string{
		"placed", "placed_again", "token", "no_route", "no_target", "evacuated", "cold", "ended", "lost",
		"unreachable", "unknown_token", "no_token", "forged", "not_ready",
	}[r]
}

// Decision is what is done with a packet, and why.
type Decision struct {
	Action Action
	Reason Reason
	Target directory.Target
	// Route is the name of the route of a new flow.
	Route string
	// Candidates is the number of targets that the choice was made from.
	Candidates int
	// Waiting is the number of flows of the chosen target at this node whose
	// callers waited for an answer when the choice was made.
	Waiting int
	// RelativeTime is the time that the chosen target takes for a request, as a multiple of what
	// is usual for its service.
	RelativeTime float64
	// Doubtful is the number of candidates passed over for lack of answers.
	Doubtful int
	// Ejected is the number of candidates passed over because they fail their work.
	Ejected int
}
