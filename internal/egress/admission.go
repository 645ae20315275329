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
	// retryWindow is the time within which a caller that was refused has come back:
	// it does so at once, and the way there and back takes 10 ms where all is in use.
	retryWindow = 250 * time.Millisecond
	// maxRefusedCallers is the largest number of callers that are remembered as refused:
	// more than a link of 2 Mbit/s has openings in that time (68 bytes each).
	maxRefusedCallers = 1024
	// maxTrackedRoutes is the largest number of routes whose sizes are learned, many times
	// those of a usual configuration; dropped routes leave their places only then.
	maxTrackedRoutes = 1024
	// sizeSmoothing weighs a flow's size in the usual one of its route, as a part of one.
	sizeSmoothing = 8
	// maxTrackedUploads is the largest number of flows under way that are followed: more
	// than a link of 2 Mbit/s carries within an objective of some seconds.
	maxTrackedUploads = 256
	// uploadIdleTimeout is how long a flow that sends nothing counts as under way: some
	// pauses of its caller. For pacing it counts no longer than uploadActiveTime: its caller has
	// passed the 200 ms after which it sends again what is lost.
	uploadIdleTimeout = 3 * time.Second
	uploadActiveTime  = 300 * time.Millisecond
	// pacingWait is the wait to which openings of uploads are paced. The data of one follows
	// its opening by some 10 ms, so that the link rests little between two. Two windows
	// at once fill the incoming link of a small machine for longer than the 200 ms after
	// which callers send again, and what they send again fills it further.
	pacingWait = 25 * time.Millisecond
	// holdFraction is the part of a route's objective for which an opening is held at most.
	// An upload that would wait longer is refused at once, at a caller's last try one that
	// would wait for lastTryFraction of the objective: the rest is left to send it.
	holdFraction    = 0.5
	lastTryFraction = 0.75
	// saturatedRetryWait is the offered wait from which on all nodes are full: half the 200 ms after
	// which callers send data again. Uploads, of which one takes the room of many other
	// requests, are refused beyond saturatedFraction of the objective then.
	saturatedRetryWait = 100 * time.Millisecond
	saturatedFraction  = 0.2
	// maxHoldTime bounds that: half the 1.4 s after which callers give an opening up.
	maxHoldTime = 700 * time.Millisecond
)

// uploadSize is what is learned of the size of a route's uploads: a window until one has
// ended.
type uploadSize struct {
	bytes   float64
	learned bool
}

// note takes the size of an upload that has ended.
func (u *uploadSize) add(bytes float64) {
	if !u.learned {
		u.learned, u.bytes = true, bytes
		return
	}
	u.bytes += (bytes - u.bytes) / sizeSmoothing
}

// promise is an upload under way.
type trackedUpload struct {
	size          *uploadSize
	started       bool
	firstSequence uint32
	sentBytes     int
	lastActive    kernel.Instant
}

// AdmissionController tells whether a new flow is taken, held or refused. It answers two patterns:
// nodes of unequal strengths among which routers spread flows evenly, and nodes of equal
// strengths among which an even hash leaves some with more than others. A refused caller
// comes back at once, mostly by another node: refusals turn the even hash into one by
// strength (rejection sampling). A refusal before the flow opens says truly that nothing
// ran; an open flow is never refused.
type AdmissionController struct {
	// sizes are the usual sizes of uploads by the address of the route.
	uploadSizes map[netip.AddrPort]*uploadSize
	uploads     map[steer.FlowKey]*trackedUpload
	// refused are the callers that were refused, with the time of it.
	refusedAt map[netip.Addr]kernel.Instant
}

// NewAdmissionController returns an admission that has promised nothing.
func NewAdmissionController() *AdmissionController {
	return &AdmissionController{
		uploadSizes: map[netip.AddrPort]*uploadSize{},
		uploads:     map[steer.FlowKey]*trackedUpload{},
		refusedAt:   map[netip.Addr]kernel.Instant{},
	}
}

// Decide tells what is done with a new flow. Two rules keep callers from running out of
// tries for room elsewhere. Among the ports of a caller's tries one always is taken
// (isRefusablePort). And whatever the ports, no node refuses a caller twice within
// retryWindow. An upload that would wait for most of its objective is refused in any
// case, where the others are known: taken, it would be late and make others late. Flows of other
// routes are refused for room elsewhere only where the node's wait makes them late: each
// try that they lose is one less for a target that is full.
func (a *AdmissionController) Decide(now kernel.Instant, flow steer.FlowKey, route directory.Route, load LinkLoad) Decision {
	if load.Rate <= 0 {
		return Decision{}
	}
	if _, taken := a.uploads[flow]; taken {
		return Decision{}
	}
	var wait, pace time.Duration
	if route.Kind == directory.RouteUpload {
		wait, pace = a.uploadWaits(now, route, load)
		if load.PeersKnown && route.Objective > 0 && max(wait, load.ExpectedWait()) > lateLimit(flow, route, load) {
			return Decision{Action: ActionRefuse, Reason: ReasonLate}
		}
	}
	if route.Kind != directory.RouteUpload && load.ExpectedWait() <= route.Objective {
		return Decision{}
	}
	if reason := load.refusalReason(flow, wait); reason != ReasonNone && isRefusablePort(flow, route) && a.recordRefusal(now, flow) {
		return Decision{Action: ActionRefuse, Reason: reason}
	}
	if route.Kind != directory.RouteUpload {
		return Decision{}
	}
	if route.Objective > 0 && pace > pacingWait {
		return Decision{Action: ActionHold, Reason: ReasonPaced, MaxHold: holdLimit(route)}
	}
	a.RecordAccepted(now, flow, route)
	return Decision{}
}

// isRefusablePort reports whether a flow may be refused at all: one of three successive ports
// is always taken, so that a caller whose first two tries were refused has the next one
// taken.
func isRefusablePort(flow steer.FlowKey, route directory.Route) bool {
	if route.Objective <= 0 {
		return false
	}
	return flow.Caller.Port()%callerTries != 0
}

// holdLimit returns how long an opening of a route is held at most.
func holdLimit(route directory.Route) time.Duration {
	return min(fractionOfObjective(route, holdFraction), maxHoldTime)
}

func fractionOfObjective(route directory.Route, share float64) time.Duration {
	return time.Duration(share * float64(route.Objective))
}

// lateLimit returns the wait beyond which an upload is refused in any case. At the port
// that is taken otherwise, which may be a caller's last try, it is longer.
func lateLimit(flow steer.FlowKey, route directory.Route, load LinkLoad) time.Duration {
	if load.RetryWait > saturatedRetryWait {
		return fractionOfObjective(route, saturatedFraction)
	}
	if isRefusablePort(flow, route) {
		return fractionOfObjective(route, holdFraction)
	}
	return fractionOfObjective(route, lastTryFraction)
}

// CanStartUpload reports whether an upload that begins now has its data sent without a long wait.
func (a *AdmissionController) CanStartUpload(now kernel.Instant, load LinkLoad) bool {
	_, active := a.pendingBytes(now)
	return load.transmitTime(load.QueuedBytes+active) <= pacingWait
}

// uploadWaits returns the time that the link needs for what waits, is promised or held,
// and that for what waits and is on its way here.
func (a *AdmissionController) uploadWaits(now kernel.Instant, route directory.Route, load LinkLoad) (wait, pace time.Duration) {
	held := float64(load.HeldUploads) * a.expectedSize(route.Address)
	all, active := a.pendingBytes(now)
	return load.transmitTime(load.QueuedBytes + all + held), load.transmitTime(load.QueuedBytes + active)
}

// RecordAccepted notes a flow that is taken.
func (a *AdmissionController) RecordAccepted(now kernel.Instant, flow steer.FlowKey, route directory.Route) {
	if route.Kind != directory.RouteUpload {
		return
	}
	if len(a.uploads) >= maxTrackedUploads {
		a.expireUploads(now)
	}
	if len(a.uploads) < maxTrackedUploads {
		a.uploads[flow] = &trackedUpload{size: a.sizeRecord(route.Address), lastActive: now}
	}
}

// refuse notes that a caller is refused. It returns false when the caller was refused
// just before, or cannot be remembered.
func (a *AdmissionController) recordRefusal(now kernel.Instant, flow steer.FlowKey) bool {
	caller := flow.Caller.Addr()
	if at, known := a.refusedAt[caller]; known && now.Sub(at) < retryWindow {
		return false
	}
	if len(a.refusedAt) >= maxRefusedCallers {
		a.expireRefusals(now)
	}
	if len(a.refusedAt) >= maxRefusedCallers {
		return false
	}
	a.refusedAt[caller] = now
	return true
}

func (a *AdmissionController) expireRefusals(now kernel.Instant) {
	for caller, at := range a.refusedAt {
		if now.Sub(at) >= retryWindow {
			delete(a.refusedAt, caller)
		}
	}
}

// RecordData notes data of a flow that has come.
func (a *AdmissionController) RecordData(now kernel.Instant, flow steer.FlowKey, sequence uint32, data int) {
	p, known := a.uploads[flow]
	if !known || data == 0 {
		return
	}
	if !p.started {
		p.started, p.firstSequence = true, sequence
	}
	p.lastActive = now
	p.sentBytes = max(p.sentBytes, int(int32(sequence-p.firstSequence))+data)
}

// RecordEnd notes that a flow has ended; whole tells that its caller has sent all.
func (a *AdmissionController) RecordEnd(flow steer.FlowKey, whole bool) {
	p, known := a.uploads[flow]
	if !known {
		return
	}
	delete(a.uploads, flow)
	if !whole || p.sentBytes == 0 {
		return
	}
	p.size.add(float64(p.sentBytes))
}

// expectedSize returns the usual size of a route's uploads.
func (a *AdmissionController) expectedSize(route netip.AddrPort) float64 {
	if usual, known := a.uploadSizes[route]; known {
		return usual.bytes
	}
	return windowDataBytes
}

// sizeRecord returns what is learned of a route.
func (a *AdmissionController) sizeRecord(route netip.AddrPort) *uploadSize {
	if usual, known := a.uploadSizes[route]; known {
		return usual
	}
	if len(a.uploadSizes) >= maxTrackedRoutes {
		clear(a.uploadSizes)
	}
	usual := &uploadSize{bytes: windowDataBytes}
	a.uploadSizes[route] = usual
	return usual
}

// promised returns the bytes that uploads under way have yet to send, and how many of
// these are of uploads that have sent something within uploadActiveTime.
func (a *AdmissionController) pendingBytes(now kernel.Instant) (all, active float64) {
	for flow, p := range a.uploads {
		silent := now.Sub(p.lastActive)
		if silent > uploadIdleTimeout {
			delete(a.uploads, flow)
			continue
		}
		owed := max(p.size.bytes-float64(p.sentBytes), 0)
		all += owed
		if silent <= uploadActiveTime {
			active += owed
		}
	}
	return all, active
}

// clean forgets the uploads that have sent nothing for long.
func (a *AdmissionController) expireUploads(now kernel.Instant) {
	for flow, p := range a.uploads {
		if now.Sub(p.lastActive) > uploadIdleTimeout {
			delete(a.uploads, flow)
		}
	}
}
