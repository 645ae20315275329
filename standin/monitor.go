package standin

import (
	"errors"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/beamdoor/beamdoor/internal/lab/flowrules"
)

// memberGroup is the name for faults of the member group as a whole.
const memberGroup = "group"

// monitor checks the observations of callers and targets against the rules. It records
// faults and planned work to decide which observations they excuse.
type monitor struct {
	*flowrules.Oracle

	// stalls detects when this process was not scheduled.
	stalls stallDetector

	// logs tracks events in the logs of the processes.
	logs *logWatch

	// nodeHeartbeats counts heartbeats acknowledged by nodes rather than members.
	nodeHeartbeats atomic.Int64

	mutex sync.Mutex
	// flowTargets maps the caller's address of an open flow to its target.
	flowTargets map[netip.AddrPort]*target
	// lastFaultAt is when a part's last fault ended, lastPlannedAt when planned work on it was
	// last recorded, and activeFaults the number of current faults.
	lastFaultAt   map[string]time.Time
	lastPlannedAt map[string]time.Time
	activeFaults  map[string]int
	// evacuatedAt is when the evacuation of a zone was acknowledged, for zones being evacuated.
	evacuatedAt map[string]time.Time
}

func newMonitor(logs string) *monitor {
	return &monitor{
		logs:          newLogWatch(logs),
		Oracle:        flowrules.New(flowrules.WithEvacuationBound(flowrules.DrainBound)),
		evacuatedAt:   map[string]time.Time{},
		flowTargets:   map[netip.AddrPort]*target{},
		lastFaultAt:   map[string]time.Time{},
		lastPlannedAt: map[string]time.Time{},
		activeFaults:  map[string]int{},
	}
}

// beginFault marks parts as faulty until the returned function is called.
func (w *monitor) beginFault(names ...string) (end func()) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, name := range names {
		w.activeFaults[name]++
	}
	return func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		for _, name := range names {
			w.activeFaults[name]--
			w.lastFaultAt[name] = time.Now()
		}
	}
}

// recordPlannedWork records planned work on a part.
func (w *monitor) recordPlannedWork(name string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.lastPlannedAt[name] = time.Now()
}

// faultFree reports whether parts had no fault for the contact time. Planned work isn't a
// fault.
func (w *monitor) faultFree(names ...string) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, name := range names {
		if w.activeFaults[name] > 0 || time.Since(w.lastFaultAt[name]) < flowrules.Contact {
			return false
		}
	}
	return true
}

// stable reports whether parts had neither faults nor planned work for the contact time.
func (w *monitor) stable(names ...string) bool {
	if !w.faultFree(names...) {
		return false
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, name := range names {
		if time.Since(w.lastPlannedAt[name]) < flowrules.Contact {
			return false
		}
	}
	return true
}

// checkSYN checks a SYN that a target received.
func (w *monitor) checkSYN(t *target, p packet) {
	through := t.fleet.nameOf(p.from)
	taken := flowrules.TakenFlow{
		Target: t.id, Service: t.service, Virtual: p.destination.String(), Through: through, Calm: w.stable(memberGroup, through),
	}
	if !t.drained.IsZero() {
		taken.DrainedFor = time.Since(t.drained)
	}
	taken.EvacuatedFor = w.evacuatedFor(t.zone)
	taken.EjectedFor, taken.SinceEjected = w.logs.recordFlow(t.id, flowrules.EjectionBound)
	w.Took(taken)
}

// setEvacuated records that the evacuation of a zone was acknowledged, or is about to end.
func (w *monitor) setEvacuated(zone string, evacuated bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.evacuatedAt, zone)
	if evacuated {
		w.evacuatedAt[zone] = time.Now()
	}
}

// evacuatedFor returns the time since the evacuation of a zone was acknowledged, or 0 if
// the zone isn't evacuated.
func (w *monitor) evacuatedFor(zone string) time.Duration {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if at, evacuated := w.evacuatedAt[zone]; evacuated {
		return time.Since(at)
	}
	return 0
}

// recordOpenFlow records that a flow is open at a target.
func (w *monitor) recordOpenFlow(t *target, end netip.AddrPort) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.flowTargets[end] = t
}

// flowEnded checks a flow that failed for its caller.
func (w *monitor) flowEnded(flow *callerFlow, err error) {
	if !errors.Is(err, errReset) {
		return
	}
	w.mutex.Lock()
	holder := w.flowTargets[flow.local]
	w.mutex.Unlock()
	by := flow.caller.fleet.nameOf(flow.resetBy)
	reset := flowrules.FlowReset{Caller: flow.local.String(), By: by, Note: "(" + w.stalls.describe(time.Now()) + ")"}
	if holder != nil {
		reset.Target = holder.id
		reset.Lives = holder.running()
		reset.Calm = w.faultFree(by, holder.id)
	}
	w.Reset(reset)
}

// recordRequest records the outcome of a request after its retries.
func (w *monitor) recordRequest(took time.Duration, err error) {
	if err != nil {
		w.Failed(err.Error())
		return
	}
	w.Served(took)
}
