package egress

import (
	"net/netip"
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/steer"
)

const (
	// callerTries is the number of connection attempts a caller makes, each from
	// another source port, usually one or two above the last.
	callerTries = 3
	// retryWindow is the time in which a refused caller retries. Retries are immediate,
	// so it only has to cover a round trip on a loaded link.
	retryWindow = 250 * time.Millisecond
	// maxRefusedCallers bounds the refused callers that are remembered: more than a 2
	// Mbit/s link receives openings (68 bytes each) within retryWindow.
	maxRefusedCallers = 1024
	// maxTrackedRoutes bounds the routes whose upload sizes are estimated. The table is
	// cleared when it is full; removed routes stay in it until then.
	maxTrackedRoutes = 1024
	// sizeSmoothing is the divisor of the moving average of upload sizes.
	sizeSmoothing = 8
	// maxTrackedUploads bounds the uploads tracked at once: more than a 2 Mbit/s link
	// carries within an objective of a few seconds.
	maxTrackedUploads = 256
	// uploadIdleTimeout is how long an upload that sends nothing stays tracked. Pacing
	// counts it only for uploadActiveTime, which is longer than the caller's initial
	// retransmission timeout of 200 ms.
	uploadIdleTimeout = 3 * time.Second
	uploadActiveTime  = 300 * time.Millisecond
	// pacingWait is the backlog, as transmission time, up to which new uploads are
	// admitted. It covers the round trip between an opening and its data, so the link
	// does not go idle. Two windows at once would take a slow incoming link longer than
	// the retransmission timeout of 200 ms, and the retransmissions would add to the
	// overload.
	pacingWait = 25 * time.Millisecond
	// holdFraction is the fraction of a route's objective for which an opening is held
	// at most. Uploads that would wait longer are refused, on a caller's last try those
	// that would wait longer than lastTryFraction. The remaining time is needed to send
	// the data.
	holdFraction    = 0.5
	lastTryFraction = 0.75
	// saturatedRetryWait is the wait at the best other nodes above which the zone
	// counts as saturated: half the callers' retransmission timeout. Uploads take the
	// capacity of many small requests, so they are then refused above saturatedFraction
	// of the objective.
	saturatedRetryWait = 100 * time.Millisecond
	saturatedFraction  = 0.2
	// maxHoldTime caps the hold time: half the 1.4 s after which callers abandon an
	// opening.
	maxHoldTime = 700 * time.Millisecond
)

// uploadSize is the average size of a route's uploads, one window of data until the
// first upload has completed.
type uploadSize struct {
	bytes   float64
	learned bool
}

// add updates the average with the size of a completed upload.
func (u *uploadSize) add(bytes float64) {
	if !u.learned {
		u.learned, u.bytes = true, bytes
		return
	}
	u.bytes += (bytes - u.bytes) / sizeSmoothing
}

// trackedUpload is an upload in progress.
type trackedUpload struct {
	size          *uploadSize
	started       bool
	firstSequence uint32
	sentBytes     int
	lastActive    kernel.Instant
}

// AdmissionController decides whether a new flow is accepted, held or refused. It
// balances load where routers hash flows evenly over nodes of unequal capacity, or
// unevenly over equal ones. A refused caller retries at once, mostly through another
// node, so refusals turn the hash into one weighted by capacity (rejection sampling).
// Only unopened flows are refused, so the caller knows that no request has run.
type AdmissionController struct {
	// uploadSizes holds the average upload sizes by route address.
	uploadSizes map[netip.AddrPort]*uploadSize
	uploads     map[steer.FlowKey]*trackedUpload
	// refusedAt holds the time of the latest refusal by caller.
	refusedAt map[netip.Addr]kernel.Instant
}

// NewAdmissionController returns a controller that tracks no uploads.
func NewAdmissionController() *AdmissionController {
	return &AdmissionController{
		uploadSizes: map[netip.AddrPort]*uploadSize{},
		uploads:     map[steer.FlowKey]*trackedUpload{},
		refusedAt:   map[netip.Addr]kernel.Instant{},
	}
}

// Decide decides on a new flow. Two rules keep a caller from having all its tries
// refused for load: one of three successive source ports is always accepted
// (isRefusablePort), and a node refuses a caller only once within retryWindow. Uploads
// that would spend most of their objective in the queue are refused regardless if the
// load of other nodes is known, since they would be late and delay others. Flows of
// other routes are refused for load only if the expected wait exceeds their objective,
// because each refusal leaves one try less for a target that is full.
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

// isRefusablePort reports whether the flow's source port permits a refusal. One of
// three successive ports does not, so a caller whose first two tries were refused is
// accepted on the third.
func isRefusablePort(flow steer.FlowKey, route directory.Route) bool {
	if route.Objective <= 0 {
		return false
	}
	return flow.Caller.Port()%callerTries != 0
}

// holdLimit returns the longest time for which an opening of the route is held.
func holdLimit(route directory.Route) time.Duration {
	return min(fractionOfObjective(route, holdFraction), maxHoldTime)
}

func fractionOfObjective(route directory.Route, fraction float64) time.Duration {
	return time.Duration(fraction * float64(route.Objective))
}

// lateLimit returns the wait above which an upload is refused in any case. It is longer
// on ports that are otherwise accepted, which may be the caller's last try.
func lateLimit(flow steer.FlowKey, route directory.Route, load LinkLoad) time.Duration {
	if load.RetryWait > saturatedRetryWait {
		return fractionOfObjective(route, saturatedFraction)
	}
	if isRefusablePort(flow, route) {
		return fractionOfObjective(route, holdFraction)
	}
	return fractionOfObjective(route, lastTryFraction)
}

// CanStartUpload reports whether the data of an upload that starts now would be sent
// without a long wait.
func (a *AdmissionController) CanStartUpload(now kernel.Instant, load LinkLoad) bool {
	_, active := a.pendingBytes(now)
	return load.transmitTime(load.QueuedBytes+active) <= pacingWait
}

// uploadWaits returns two transmission times: that of all queued, pending and held
// data, and that of the queued data and the pending data of active uploads.
func (a *AdmissionController) uploadWaits(now kernel.Instant, route directory.Route, load LinkLoad) (wait, pace time.Duration) {
	held := float64(load.HeldUploads) * a.expectedSize(route.Address)
	all, active := a.pendingBytes(now)
	return load.transmitTime(load.QueuedBytes + all + held), load.transmitTime(load.QueuedBytes + active)
}

// RecordAccepted starts tracking an accepted upload. Flows of other routes are not
// tracked.
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

// recordRefusal records a refusal of the flow's caller. It returns false if the caller
// was refused within retryWindow or the table is full.
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

// RecordData records data received on a flow.
func (a *AdmissionController) RecordData(now kernel.Instant, flow steer.FlowKey, sequence uint32, data int) {
	upload, known := a.uploads[flow]
	if !known || data == 0 {
		return
	}
	if !upload.started {
		upload.started, upload.firstSequence = true, sequence
	}
	upload.lastActive = now
	upload.sentBytes = max(upload.sentBytes, int(int32(sequence-upload.firstSequence))+data)
}

// RecordEnd records the end of a flow; whole reports whether the caller sent all its
// data.
func (a *AdmissionController) RecordEnd(flow steer.FlowKey, complete bool) {
	upload, known := a.uploads[flow]
	if !known {
		return
	}
	delete(a.uploads, flow)
	if !complete || upload.sentBytes == 0 {
		return
	}
	upload.size.add(float64(upload.sentBytes))
}

// expectedSize returns the average size of a route's uploads.
func (a *AdmissionController) expectedSize(route netip.AddrPort) float64 {
	if size, known := a.uploadSizes[route]; known {
		return size.bytes
	}
	return windowDataBytes
}

// sizeRecord returns the upload size record of a route, which it creates if needed.
func (a *AdmissionController) sizeRecord(route netip.AddrPort) *uploadSize {
	if size, known := a.uploadSizes[route]; known {
		return size
	}
	if len(a.uploadSizes) >= maxTrackedRoutes {
		clear(a.uploadSizes)
	}
	size := &uploadSize{bytes: windowDataBytes}
	a.uploadSizes[route] = size
	return size
}

// pendingBytes returns the bytes that uploads in progress have yet to send, and the
// part that belongs to uploads active within uploadActiveTime.
func (a *AdmissionController) pendingBytes(now kernel.Instant) (all, active float64) {
	for flow, upload := range a.uploads {
		idle := now.Sub(upload.lastActive)
		if idle > uploadIdleTimeout {
			delete(a.uploads, flow)
			continue
		}
		remaining := max(upload.size.bytes-float64(upload.sentBytes), 0)
		all += remaining
		if idle <= uploadActiveTime {
			active += remaining
		}
	}
	return all, active
}

// expireUploads removes the uploads that have been idle for longer than
// uploadIdleTimeout.
func (a *AdmissionController) expireUploads(now kernel.Instant) {
	for flow, upload := range a.uploads {
		if now.Sub(upload.lastActive) > uploadIdleTimeout {
			delete(a.uploads, flow)
		}
	}
}
