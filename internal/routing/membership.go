package routing

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// reportMemory is how long the time of a report is remembered for its grant.
const reportMemory = 10 * time.Second

// Leave asks the control plane for a planned leave.
func (r *Router) Leave(now kernel.Instant) []Action {
	r.begin(now)
	r.leaving = true
	r.sendReport()
	return r.actions
}

// HandleReconnect sends a report at once after the connection to the control plane was
// opened anew, so that the lease does not lapse over it.
func (r *Router) HandleReconnect(now kernel.Instant) []Action {
	r.begin(now)
	r.sendReport()
	return r.actions
}

// sendReport sends a heartbeat, and draws the time of the next one with a
// jitter of a quarter against reports that come in step.
func (r *Router) sendReport() {
	r.sequence++
	interval := r.settings.ReportInterval
	jitter := time.Duration(r.settings.Random.Int64N(int64(interval)/4 + 1))
	r.nextReport = r.now.Add(interval - jitter)
	r.reportSent[r.sequence] = r.now
	for sequence, sent := range r.reportSent {
		if r.now.Sub(sent) > reportMemory {
			delete(r.reportSent, sequence)
		}
	}
	action := r.next(ActionToControl)
	action.Report = wire.NodeReport{
		Nonce:    r.settings.Nonce,
		Sequence: r.sequence,
		Applied:  r.table.revision,
		View:     r.ViewNumber(),
		Cell:     r.settings.Cell,
		Settled:  r.settled(),
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

// settled reports whether this balancer has handed over all records that the
// newest view took from it. What it lacks itself it does not wait for: either
// its partner is not settled yet, or nobody holds the records any more.
func (r *Router) settled() bool { return r.id == 0 || r.handover.idle() }

// HandleGrant handles the leader's answer to a report. The lease counts from
// when the report was sent, on this process's own clock.
func (r *Router) HandleGrant(now kernel.Instant, grant wire.Grant) []Action {
	r.begin(now)
	sent, known := r.reportSent[grant.Sequence]
	if grant.Nonce != r.settings.Nonce || !known {
		return r.actions
	}
	delete(r.reportSent, grant.Sequence)
	if r.table.revision >= grant.CellRevision && grant.Revision > r.table.revision {
		r.table.revision = grant.Revision
	}
	if grant.LeaseMilliseconds == 0 {
		return r.actions
	}
	lease := time.Duration(grant.LeaseMilliseconds) * time.Millisecond
	until := sent.Add(lease - lease/leaseDrift)
	if until > r.leaseUntil {
		r.leaseUntil = until
	}
	r.noteLease()
	return r.actions
}

// noteLease logs the gain and the loss of the lease.
func (r *Router) noteLease() {
	leased := r.HasLease(r.now)
	if leased == r.leased {
		return
	}
	r.leased = leased
	if leased {
		r.log(eventlog.LeaseGained, "view", r.ViewNumber())
		return
	}
	r.log(eventlog.LeaseLost, "view", r.ViewNumber())
}
