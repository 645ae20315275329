package egress

import (
	"net/netip"
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/steer"
)

const (
	// callerTries is the number of times a caller tries to open a connection. Each try
	// is from another source port, usually one or two above the last.
	callerTries = 3
	// retryWindow is the time in which a refused caller retries. Retries are immediate,
	// so it only has to cover a round trip on a loaded link.
	retryWindow = 250 * time.Millisecond
	// maxRefusedCallers bounds the refused callers that are remembered. It exceeds the
	// number of openings (68 bytes each) that a 2 Mbit/s link receives within
	// retryWindow.
	maxRefusedCallers = 1024
	// maxTrackedRoutes bounds the routes whose upload sizes are estimated. The table is
	// cleared when it is full; removed routes stay in it until then.
	maxTrackedRoutes = 1024
	// sizeSmoothing is the inverse of the weight of a new upload in the moving average
	// of upload sizes.
	sizeSmoothing = 8
	// maxTrackedUploads bounds the uploads tracked at once. It exceeds the number that a
	// 2 Mbit/s link carries within an objective of a few seconds.
	maxTrackedUploads = 256
	// uploadIdleTimeout is how long an upload that sends nothing stays tracked.
	// uploadActiveTime is how long its remaining data delays new uploads. It is longer
	// than the callers' initial retransmission timeout of 200 ms.
	uploadIdleTimeout = 3 * time.Second
	uploadActiveTime  = 300 * time.Millisecond
	// pacingWait is the transmission time of the backlog up to which new uploads are
	// accepted. It covers the round trip between an opening and its data, so the link
	// does not go idle. A longer one would let callers send two windows at once, which
	// take a slow incoming link longer than the retransmission timeout of 200 ms; the
	// retransmissions would add to the overload.
	pacingWait = 25 * time.Millisecond
	// holdFraction is the largest fraction of a route's objective for which an opening
	// is held. Uploads that would wait longer are refused; on ports that may be the
	// caller's last try, only those that would wait longer than lastTryFraction. The
	// remaining time is needed to send the data.
	holdFraction    = 0.5
	lastTryFraction = 0.75
	// saturatedRetryWait is the wait expected on a retry above which the zone counts as
	// saturated: half the callers' retransmission timeout. In a saturated zone, uploads
	// that would wait longer than saturatedFraction of the objective are refused, since
	// an upload takes the capacity of many small requests.
	saturatedRetryWait = 100 * time.Millisecond
	saturatedFraction  = 0.2
	// maxHoldTime is the longest time for which an opening is held: half the 1.4 s
	// after which callers abandon it.
	maxHoldTime = 700 * time.Millisecond
)

// uploadSize is the average size of a route's uploads. It is one window of data until
// the first upload has completed, which sets learned.
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

// Decide decides on a new flow. Two rules prevent that all tries of a caller are refused
// for load: one of three successive source ports is never refused (isRefusablePort), and
// a node refuses a caller only once within retryWindow. Uploads that would wait for most
// of their objective are exempt from these rules while the load of other nodes is known:
// they are refused with ReasonLate, since they would be late and delay others. Flows of
// other routes are refused only if the expected wait exceeds their objective, because
// each refusal leaves one try less for a target that is full.
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

// lateLimit returns the wait above which an upload is refused on any port. Unless the
// zone is saturated, it is longer on ports that isRefusablePort excludes, which may be
// the caller's last try.
func lateLimit(flow steer.FlowKey, route directory.Route, load LinkLoad) time.Duration {
	if load.RetryWait > saturatedRetryWait {
		return fractionOfObjective(route, saturatedFraction)
	}
	if isRefusablePort(flow, route) {
		return fractionOfObjective(route, holdFraction)
	}
	return fractionOfObjective(route, lastTryFraction)
}

// CanStartUpload reports whether the data of an upload that starts now would wait no
// longer than pacingWait.
func (a *AdmissionController) CanStartUpload(now kernel.Instant, load LinkLoad) bool {
	_, active := a.pendingBytes(now)
	return load.transmitTime(load.QueuedBytes+active) <= pacingWait
}

// uploadWaits returns two transmission times. wait is that of all queued, pending and
// held data; pace is that of the queued data and the pending data of active uploads.
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

// recordRefusal records a refusal of the flow's caller. It records nothing and returns
// false if the caller was already refused within retryWindow or the table is full.
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

// RecordEnd records the end of a flow; complete is set if the caller sent all its data.
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

// pendingBytes returns how many bytes the uploads in progress are expected to send yet,
// and how many of these belong to uploads that were active within uploadActiveTime.
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
