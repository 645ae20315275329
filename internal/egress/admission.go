package egress

import (
	"net/netip"
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/steer"
)

const (
	// callerTries is the number of tries that a caller has in all. Each takes another
	// port; systems mostly take the next one or the one after it.
	callerTries = 3
	// comebackTime is the time within which a caller that was refused has come back:
	// it does so at once, and the way there and back takes 10 ms where all is in use.
	comebackTime = 250 * time.Millisecond
	// comebackLimit is the largest number of callers that are remembered as refused:
	// more than a link of 2 Mbit/s has openings in that time (68 bytes each).
	comebackLimit = 1024
	// sizeLimit is the largest number of routes whose sizes are learned, many times
	// those of a usual configuration; dropped routes leave their places only then.
	sizeLimit = 1024
	// sizeDivisor weighs a flow's size in the usual one of its route, as a part of one.
	sizeDivisor = 8
	// promiseLimit is the largest number of flows under way that are followed: more
	// than a link of 2 Mbit/s carries within an objective of some seconds.
	promiseLimit = 256
	// promiseLifetime is how long a flow that sends nothing counts as under way: some
	// pauses of its caller. For pacing it counts no longer than activeTime: its caller has
	// passed the 200 ms after which it sends again what is lost.
	promiseLifetime = 3 * time.Second
	activeTime      = 300 * time.Millisecond
	// pacedWait is the wait to which openings of uploads are paced. The data of one follows
	// its opening by some 10 ms, so that the link rests little between two. Two windows
	// at once fill the incoming link of a small machine for longer than the 200 ms after
	// which callers send again, and what they send again fills it further.
	pacedWait = 25 * time.Millisecond
	// holdShare is the part of a route's objective for which an opening is held at most.
	// An upload that would wait longer is refused at once, at a caller's last try one that
	// would wait for lateShare of the objective: the rest is left to send it.
	holdShare = 0.5
	lateShare = 0.75
	// fullOffer is the offered wait from which on all nodes are full: half the 200 ms after
	// which callers send data again. Uploads, of which one takes the room of many other
	// requests, are refused beyond fullShare of the objective then.
	fullOffer = 100 * time.Millisecond
	fullShare = 0.2
	// longestHold bounds that: half the 1.4 s after which callers give an opening up.
	longestHold = 700 * time.Millisecond
)

// usualSize is what is learned of the size of a route's uploads: a window until one has
// ended.
type usualSize struct {
	bytes   float64
	learned bool
}

// note takes the size of an upload that has ended.
func (u *usualSize) note(bytes float64) {
	if !u.learned {
		u.learned, u.bytes = true, bytes
		return
	}
	u.bytes += (bytes - u.bytes) / sizeDivisor
}

// promise is an upload under way.
type promise struct {
	usual *usualSize
	known bool
	first uint32
	sent  int
	last  kernel.Instant
}

// AdmissionController tells whether a new flow is taken, held or refused. It answers two patterns:
// nodes of unequal strengths among which routers spread flows evenly, and nodes of equal
// strengths among which an even hash leaves some with more than others. A refused caller
// comes back at once, mostly by another node: refusals turn the even hash into one by
// strength (rejection sampling). A refusal before the flow opens says truly that nothing
// ran; an open flow is never refused.
type AdmissionController struct {
	// sizes are the usual sizes of uploads by the address of the route.
	sizes    map[netip.AddrPort]*usualSize
	promises map[steer.FlowKey]*promise
	// refused are the callers that were refused, with the time of it.
	refused map[netip.Addr]kernel.Instant
}

// NewAdmissionController returns an admission that has promised nothing.
func NewAdmissionController() *AdmissionController {
	return &AdmissionController{
		sizes:    map[netip.AddrPort]*usualSize{},
		promises: map[steer.FlowKey]*promise{},
		refused:  map[netip.Addr]kernel.Instant{},
	}
}

// Decide tells what is done with a new flow. Two rules keep callers from running out of
// tries for room elsewhere. Among the ports of a caller's tries one always is taken
// (isRefusable). And whatever the ports, no node refuses a caller twice within
// comebackTime. An upload that would wait for most of its objective is refused in any
// case, where the others are known: taken, it would be late and make others late. Flows of other
// routes are refused for room elsewhere only where the node's wait makes them late: each
// try that they lose is one less for a target that is full.
func (a *AdmissionController) Decide(now kernel.Instant, flow steer.FlowKey, route directory.Route, load LinkLoad) Decision {
	if load.Rate <= 0 {
		return Decision{}
	}
	if _, taken := a.promises[flow]; taken {
		return Decision{}
	}
	var wait, pace time.Duration
	if route.Kind == directory.RouteUpload {
		wait, pace = a.uploadWaits(now, route, load)
		if load.PeersKnown && route.Objective > 0 && max(wait, load.ExpectedWait()) > lateBound(flow, route, load) {
			return Decision{Action: ActionRefuse, Reason: ReasonLate}
		}
	}
	if route.Kind != directory.RouteUpload && load.ExpectedWait() <= route.Objective {
		return Decision{}
	}
	if reason := load.excess(flow, wait); reason != ReasonNone && isRefusable(flow, route) && a.refuse(now, flow) {
		return Decision{Action: ActionRefuse, Reason: reason}
	}
	if route.Kind != directory.RouteUpload {
		return Decision{}
	}
	if route.Objective > 0 && pace > pacedWait {
		return Decision{Action: ActionHold, Reason: ReasonPaced, MaxHold: holdBound(route)}
	}
	a.RecordAccepted(now, flow, route)
	return Decision{}
}

// isRefusable reports whether a flow may be refused at all: one of three successive ports
// is always taken, so that a caller whose first two tries were refused has the next one
// taken.
func isRefusable(flow steer.FlowKey, route directory.Route) bool {
	if route.Objective <= 0 {
		return false
	}
	return flow.Caller.Port()%callerTries != 0
}

// holdBound returns how long an opening of a route is held at most.
func holdBound(route directory.Route) time.Duration {
	return min(partOf(route, holdShare), longestHold)
}

func partOf(route directory.Route, share float64) time.Duration {
	return time.Duration(share * float64(route.Objective))
}

// lateBound returns the wait beyond which an upload is refused in any case. At the port
// that is taken otherwise, which may be a caller's last try, it is longer.
func lateBound(flow steer.FlowKey, route directory.Route, load LinkLoad) time.Duration {
	if load.RetryWait > fullOffer {
		return partOf(route, fullShare)
	}
	if isRefusable(flow, route) {
		return partOf(route, holdShare)
	}
	return partOf(route, lateShare)
}

// CanStartUpload reports whether an upload that begins now has its data sent without a long wait.
func (a *AdmissionController) CanStartUpload(now kernel.Instant, load LinkLoad) bool {
	_, active := a.promised(now)
	return load.timeOf(load.QueuedBytes+active) <= pacedWait
}

// uploadWaits returns the time that the link needs for what waits, is promised or held,
// and that for what waits and is on its way here.
func (a *AdmissionController) uploadWaits(now kernel.Instant, route directory.Route, load LinkLoad) (wait, pace time.Duration) {
	held := float64(load.HeldUploads) * a.sizeOf(route.Address)
	all, active := a.promised(now)
	return load.timeOf(load.QueuedBytes + all + held), load.timeOf(load.QueuedBytes + active)
}

// RecordAccepted notes a flow that is taken.
func (a *AdmissionController) RecordAccepted(now kernel.Instant, flow steer.FlowKey, route directory.Route) {
	if route.Kind != directory.RouteUpload {
		return
	}
	if len(a.promises) >= promiseLimit {
		a.clean(now)
	}
	if len(a.promises) < promiseLimit {
		a.promises[flow] = &promise{usual: a.usualOf(route.Address), last: now}
	}
}

// refuse notes that a caller is refused. It returns false when the caller was refused
// just before, or cannot be remembered.
func (a *AdmissionController) refuse(now kernel.Instant, flow steer.FlowKey) bool {
	caller := flow.Caller.Addr()
	if at, known := a.refused[caller]; known && now.Sub(at) < comebackTime {
		return false
	}
	if len(a.refused) >= comebackLimit {
		a.forgetRefused(now)
	}
	if len(a.refused) >= comebackLimit {
		return false
	}
	a.refused[caller] = now
	return true
}

func (a *AdmissionController) forgetRefused(now kernel.Instant) {
	for caller, at := range a.refused {
		if now.Sub(at) >= comebackTime {
			delete(a.refused, caller)
		}
	}
}

// RecordData notes data of a flow that has come.
func (a *AdmissionController) RecordData(now kernel.Instant, flow steer.FlowKey, sequence uint32, data int) {
	p, known := a.promises[flow]
	if !known || data == 0 {
		return
	}
	if !p.known {
		p.known, p.first = true, sequence
	}
	p.last = now
	p.sent = max(p.sent, int(int32(sequence-p.first))+data)
}

// RecordEnd notes that a flow has ended; whole tells that its caller has sent all.
func (a *AdmissionController) RecordEnd(flow steer.FlowKey, whole bool) {
	p, known := a.promises[flow]
	if !known {
		return
	}
	delete(a.promises, flow)
	if !whole || p.sent == 0 {
		return
	}
	p.usual.note(float64(p.sent))
}

// sizeOf returns the usual size of a route's uploads.
func (a *AdmissionController) sizeOf(route netip.AddrPort) float64 {
	if usual, known := a.sizes[route]; known {
		return usual.bytes
	}
	return windowData
}

// usualOf returns what is learned of a route.
func (a *AdmissionController) usualOf(route netip.AddrPort) *usualSize {
	if usual, known := a.sizes[route]; known {
		return usual
	}
	if len(a.sizes) >= sizeLimit {
		clear(a.sizes)
	}
	usual := &usualSize{bytes: windowData}
	a.sizes[route] = usual
	return usual
}

// promised returns the bytes that uploads under way have yet to send, and how many of
// these are of uploads that have sent something within activeTime.
func (a *AdmissionController) promised(now kernel.Instant) (all, active float64) {
	for flow, p := range a.promises {
		silent := now.Sub(p.last)
		if silent > promiseLifetime {
			delete(a.promises, flow)
			continue
		}
		owed := max(p.usual.bytes-float64(p.sent), 0)
		all += owed
		if silent <= activeTime {
			active += owed
		}
	}
	return all, active
}

// clean forgets the uploads that have sent nothing for long.
func (a *AdmissionController) clean(now kernel.Instant) {
	for flow, p := range a.promises {
		if now.Sub(p.last) > promiseLifetime {
			delete(a.promises, flow)
		}
	}
}
