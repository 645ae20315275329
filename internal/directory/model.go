// Package directory provides the replicated state that token-routed nodes share: the
// configuration with the highest version, the registered targets and the control members.
// It is deterministic: the same commands at the same log positions produce the same state
// on every member.
package directory

import (
	"bytes"
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// Backend is a service that receives new flows of a route.
type Backend struct {
	Service string
	// Weight is the share of new flows relative to the other backends of the route.
	Weight uint32
}

// Route maps a virtual address to the services that receive its new flows.
type Route struct {
	Name string
	// Address is the virtual address and port that callers send to.
	Address  netip.AddrPort
	Backends []Backend
	Timeout  time.Duration
	// Kind states whether requests may be repeated and in which direction most bytes
	// flow.
	Kind RouteKind
	// Urgency is the priority of the route when a node or a link is overloaded; 0 is the
	// highest.
	Urgency uint8
	// Objective is the response time objective of the route; 0 means none.
	Objective time.Duration
	// Annotation is operator-defined text that is stored and returned unchanged.
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

// Configuration is the complete set of routes and services that an operator submits. The
// highest version is in effect.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services []Service
	// IdleTimeout is the time after which the state of an idle flow may be dropped.
	IdleTimeout time.Duration
	// Annotation is operator-defined text that is stored and returned unchanged.
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

// TargetState is the lifecycle state of a target.
type TargetState uint8

// The lifecycle states in order; a target never returns to an earlier one.
const (
	// TargetReady accepts new flows.
	TargetReady TargetState = iota + 1
	// TargetDraining keeps its open flows and accepts no new ones.
	TargetDraining
	// TargetLeaving has announced its end without draining: it accepts no new flows and
	// keeps the open ones for an unknown time.
	TargetLeaving
	// TargetEnded has no flows left; packets for it may be answered with a reset.
	TargetEnded
)

// String returns the state in lower case.
func (s TargetState) String() string {
	names := [...]string{"unknown", "ready", "draining", "leaving", "ended"}
	if int(s) >= len(names) {
		return names[0]
	}
	return names[s]
}

// Token identifies one start of a target inside packets. Zero is not a valid token.
type Token uint32

// Target is one start of a backend process.
type Target struct {
	// ID is the name that the target chose, and StartTime is when its process started, in
	// Unix milliseconds; see Start.
	ID        string
	StartTime uint64
	// Number identifies the target in forwarded packets.
	Number  uint64
	Token   Token
	Service string
	Zone    string
	Address netip.AddrPort
	// Slots is the number of requests that the target processes concurrently.
	Slots uint32
	State TargetState
	// Revision is the log position of the last change of the target.
	Revision uint64
	// Warmup is set if the target was warming up when it registered.
	Warmup *Warmup
	// Version is the software version that the target reports, or empty. It is not sent
	// to nodes.
	Version string
}

// Member is a control member and its address.
type Member struct {
	ID uint32
	// Identity is the random ID of the member's data directory.
	Identity uint64
	// Address is the address that other members and nodes connect to.
	Address string
	Zone    string
}

// String returns the token in hexadecimal.
func (t Token) String() string { return fmt.Sprintf("%08x", uint32(t)) }
