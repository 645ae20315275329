// Package directory provides the replicated state that token-routed nodes
// share: the configuration with the highest version, the registered targets
// and the control members. It is deterministic: the same commands at the same
// log positions give the same state on every member.
package directory

import (
	"bytes"
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// Backend is one service that a route sends new flows to.
type Backend struct {
	Service string
	// Weight is the share of new flows in relation to the other back ends.
	Weight uint32
}

// Route tells where the new flows of one virtual address go.
type Route struct {
	Name string
	// Address is the virtual address and port that callers name.
	Address  netip.AddrPort
	Backends []Backend
	Timeout  time.Duration
	// Kind tells whether the requests of the route may be repeated, and which way
	// their bytes mostly go.
	Kind RouteKind
	// Urgency orders the routes when a node or a link can't carry all of them; 0 is
	// the most urgent one.
	Urgency uint8
	// Objective is the time within which the answer is of full use to the caller; 0
	// states none.
	Objective time.Duration
	// Annotation is text of the operator that is kept and returned unchanged.
	Annotation []byte
}

// Equal reports whether two routes are the same in every field.
func (r Route) Equal(other Route) bool {
	return r.Name == other.Name && r.Address == other.Address && r.Timeout == other.Timeout &&
		r.Kind == other.Kind && r.Urgency == other.Urgency && r.Objective == other.Objective &&
		slices.Equal(r.Backends, other.Backends) && bytes.Equal(r.Annotation, other.Annotation)
}

// Service is a named set of interchangeable targets.
type Service struct {
	Name       string
	Annotation []byte
}

// Configuration is what operators submit as a whole. The highest version holds.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services []Service
	// IdleTimeout is how long a flow may rest before it may be forgotten.
	IdleTimeout time.Duration
	// Annotation is text of the operator that is kept and returned unchanged.
	Annotation []byte
}

// Find returns the route of a virtual address.
func (c Configuration) Find(address netip.AddrPort) (Route, bool) {
	for _, route := range c.Routes {
		if route.Address == address {
			return route, true
		}
	}
	return Route{}, false
}

// HasService reports whether a service is configured.
func (c Configuration) HasService(name string) bool {
	return slices.ContainsFunc(c.Services, func(service Service) bool { return service.Name == name })
}

// TargetState is the stage of a target's life.
type TargetState uint8

// The stages of a target's life, in order; a target never goes back.
const (
	// TargetReady takes new flows.
	TargetReady TargetState = iota + 1
	// TargetDraining keeps its flows and takes no new ones.
	TargetDraining
	// TargetLeaving has said that it ends without draining first: it keeps
	// its flows for a time that it does not tell and takes no new ones.
	TargetLeaving
	// TargetEnded has no flows any more: what still comes for it can be reset.
	TargetEnded
)

// String returns the stage in lower case.
func (s TargetState) String() string {
	names := [...]string{"unknown", "ready", "draining", "leaving", "ended"}
	if int(s) >= len(names) {
		return names[0]
	}
	return names[s]
}

// Token names one incarnation of a target inside packets. Zero names none.
type Token uint32

// Target is one incarnation of a back end: one start of its process.
type Target struct {
	// ID is the name that the target gave itself, and Born when it started in Unix
	// milliseconds; see Start.
	ID        string
	StartTime uint64
	// Number is the target's number in forwarded packets.
	Number  uint64
	Token   Token
	Service string
	Zone    string
	Address netip.AddrPort
	// Slots is the number of requests that the target works on at once.
	Slots uint32
	State TargetState
	// Revision is the log position of the target's last change.
	Revision uint64
	// Warmup is set on a target that registered while it was cold.
	Warmup *Warmup
	// Version is that of the target's software as the target states it; empty where it
	// states none. Nodes are not told.
	Version string
}

// Member is a control member and where it is reached.
type Member struct {
	ID uint32
	// Identity is the random number of the member's data folder.
	Identity uint64
	// Address is where other members and nodes connect to.
	Address string
	Zone    string
}

// String returns the token in hexadecimal.
func (t Token) String() string { return fmt.Sprintf("%08x", uint32(t)) }
