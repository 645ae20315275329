package routing

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// reportRetention is how long the send time of a report is kept for its grant.
const reportRetention = 10 * time.Second

// Leave asks the control plane to remove this balancer from the view.
func (r *Router) Leave(now kernel.Instant) []Action {
	r.beginStep(now)
	r.leaving = true
	r.sendReport()
	return r.actions
}

// HandleReconnect sends a report at once after the connection to the control plane
// was reopened, so that the lease does not expire.
func (r *Router) HandleReconnect(now kernel.Instant) []Action {
	r.beginStep(now)
	r.sendReport()
	return r.actions
}

// sendReport sends a report and schedules the next one with a jitter of up to a
// quarter of the interval, so that balancers do not report in step.
func (r *Router) sendReport() {
	r.reportSequence++
	interval := r.settings.ReportInterval
	jitter := time.Duration(r.settings.Random.Int64N(int64(interval)/4 + 1))
	r.nextReport = r.now.Add(interval - jitter)
	r.reportSentAt[r.reportSequence] = r.now
	for sequence, sent := range r.reportSentAt {
		if r.now.Sub(sent) > reportRetention {
			delete(r.reportSentAt, sequence)
		}
	}
	action := r.appendAction(ActionToControl)
	action.Report = wire.NodeReport{
		Nonce:    r.settings.Nonce,
		Sequence: r.reportSequence,
		Applied:  r.table.revision,
		View:     r.ViewNumber(),
		Cell:     r.settings.Cell,
		Settled:  r.handoverComplete(),
		Leaving:  r.leaving,
	}
	if r.id == 0 {
		action.Report.Introduction = &wire.NodeIntroduction{
			Name:  r.settings.Name,
			Zone:  r.settings.Zone,
			Peer:  r.settings.Peer,
			Admin: r.settings.Admin,
		}
	}
	r.counters.ControlBytes += uint64(wire.FrameSize(wire.ReportFrame(action.Report)))
}

// handoverComplete reports whether this balancer has handed over all records that
// the current view requires. Records that it has yet to receive don't count: the
// sender reports those, or no balancer holds them any more.
func (r *Router) handoverComplete() bool { return r.id == 0 || r.handover.idle() }

// HandleGrant handles the leader's reply to a report. The lease starts at the time
// when the report was sent, by the clock of this process. The revision advances to
// the leader's if this balancer has applied the last change of its cell.
func (r *Router) HandleGrant(now kernel.Instant, grant wire.Grant) []Action {
	r.beginStep(now)
	sent, known := r.reportSentAt[grant.Sequence]
	if grant.Nonce != r.settings.Nonce || !known {
		return r.actions
	}
	delete(r.reportSentAt, grant.Sequence)
	if r.table.revision >= grant.CellRevision && grant.Revision > r.table.revision {
		r.table.revision = grant.Revision
	}
	if grant.LeaseMilliseconds == 0 {
		return r.actions
	}
	lease := time.Duration(grant.LeaseMilliseconds) * time.Millisecond
	until := sent.Add(lease - lease/leaseDriftDivisor)
	if until > r.leaseUntil {
		r.leaseUntil = until
	}
	r.logLeaseChange()
	return r.actions
}

// logLeaseChange logs that the lease was gained or lost.
func (r *Router) logLeaseChange() {
	hasLease := r.HasLease(r.now)
	if hasLease == r.hadLease {
		return
	}
	r.hadLease = hasLease
	if hasLease {
		r.log(eventlog.LeaseGained, "view", r.ViewNumber())
		return
	}
	r.log(eventlog.LeaseLost, "view", r.ViewNumber())
}
