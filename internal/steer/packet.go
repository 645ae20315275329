// Package steer is the deterministic core of a load balancer node. It chooses a target
// for the first packet of a flow. Later packets carry the token of that target, so any
// node can forward them without shared flow state.
package steer

import (
	"net/netip"

	"github.com/beamdoor/beamdoor/internal/directory"
)

// FlowKey identifies a flow by the addresses of both ends.
type FlowKey struct {
	Caller  netip.AddrPort
	Virtual netip.AddrPort
}

// Packet holds the fields of a caller's packet that the core uses.
type Packet struct {
	Flow FlowKey
	// Opening is set on the first packet of a flow and its retransmissions.
	Opening bool
	// Closing is set when the caller closes its side of the flow.
	Closing bool
	// Reset is set when the caller aborts the flow.
	Reset bool
	// Forged is set on a packet of a kind that only targets may send.
	Forged bool
	// Copy is the number of earlier transmissions of an opening packet.
	Copy  uint32
	Token directory.Token
	// Sequence is the position of the packet's data in the caller's stream.
	Sequence uint32
	// Acknowledged is the position up to which the caller has received the target's stream.
	Acknowledged uint32
	// Size is the number of data bytes in the packet.
	Size int
}

// Action is what the node does with a packet.
type Action uint8

// The possible actions.
const (
	// ActionDrop discards the packet without a reply.
	ActionDrop Action = iota
	// ActionForward sends the packet to Decision.Target.
	ActionForward
	// ActionReset sends a reset to the caller.
	ActionReset
)

// String returns the action in lower case.
func (a Action) String() string { return [...]string{"drop", "forward", "reset"}[a] }

// Reason is why a decision was taken.
type Reason uint8

// The reasons for decisions.
const (
	// ReasonPlaced is a new flow for which a target was chosen.
	ReasonPlaced Reason = iota
	// ReasonPlacedAgain is a retransmitted opening packet that was sent to another target.
	ReasonPlacedAgain
	// ReasonToken is a packet that was forwarded to the target of its token.
	ReasonToken
	// ReasonNoRoute is a new flow to an address without a route.
	ReasonNoRoute
	// ReasonNoTarget is a new flow to a service without targets that accept flows.
	ReasonNoTarget
	// ReasonEvacuated is a new flow to a service whose targets are all in evacuated zones.
	ReasonEvacuated
	// ReasonCold is a new flow to a service that has only warming targets, whose budget at
	// this node is used up.
	ReasonCold
	// ReasonEnded is a packet of a flow whose target has ended.
	ReasonEnded
	// ReasonLost is a packet of a flow whose target the control members declared lost.
	ReasonLost
	// ReasonUnreachable is a flow whose target did not answer this node's probes.
	ReasonUnreachable
	// ReasonUnknownToken is a packet with a token of no known target.
	ReasonUnknownToken
	// ReasonNoToken is a packet of an open flow without a token.
	ReasonNoToken
	// ReasonForged is a packet of a kind that callers may not send.
	ReasonForged
	// ReasonNotReady is a new flow at a node that has no configuration yet, or only a remembered
	// one whose time limit has passed.
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

// String returns the reason as it appears in logs and metrics.
func (r Reason) String() string {
	return [...]string{
		"placed", "placed_again", "token", "no_route", "no_target", "evacuated", "cold", "ended", "lost",
		"unreachable", "unknown_token", "no_token", "forged", "not_ready",
	}[r]
}

// Decision is what the node does with a packet, and why.
type Decision struct {
	Action Action
	Reason Reason
	Target directory.Target
	// Route is the name of the route of a new flow.
	Route string
	// Candidates is the number of targets that were considered.
	Candidates int
	// Waiting is the number of flows at the chosen target whose callers were waiting for an
	// answer, as seen by this node.
	Waiting int
	// RelativeTime is the chosen target's time per request, relative to its service's mean.
	RelativeTime float64
	// Unresponsive is the number of targets skipped because there is evidence that they do not
	// answer.
	Unresponsive int
	// Ejected is the number of targets skipped because they are ejected or on probation.
	Ejected int
}
