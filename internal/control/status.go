package control

import (
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	beamdoorv1 "github.com/beamdoor/beamdoor/api/beamdoor/v1"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/raft"
)

func memberID(id uint32) raft.MemberID { return raft.MemberID(id) }

// maxTraces is the number of recent revisions that have a trace.
const maxTraces = 256

// revisionTrace records when each balancer confirmed a revision.
type revisionTrace struct {
	revision   uint64
	acceptedAt kernel.Instant
	delays     map[string]time.Duration
}

// tracer holds the traces of the latest revisions. They are kept by the leader only and
// aren't replicated.
type tracer struct {
	traces []*revisionTrace
	// confirmedRevisions holds the highest confirmed revision by balancer name.
	confirmedRevisions map[string]uint64
}

func newTracer() *tracer { return &tracer{confirmedRevisions: map[string]uint64{}} }

func (t *tracer) reset() { *t = *newTracer() }

func (t *tracer) recordAccepted(now kernel.Instant, revision uint64) {
	trace := &revisionTrace{revision: revision, acceptedAt: now, delays: map[string]time.Duration{}}
	t.traces = append(t.traces, trace)
	if len(t.traces) > maxTraces {
		t.traces = t.traces[1:]
	}
}

// recordConfirmed records that a balancer has applied a revision and all earlier ones.
func (t *tracer) recordConfirmed(now kernel.Instant, cell uint32, name string, applied uint64) {
	previous := t.confirmedRevisions[name]
	if applied <= previous {
		return
	}
	t.confirmedRevisions[name] = applied
	for i := len(t.traces) - 1; i >= 0; i-- {
		trace := t.traces[i]
		if trace.revision <= previous {
			return
		}
		if trace.revision <= applied {
			trace.delays[name] = now.Sub(trace.acceptedAt)
		}
	}
}

func (t *tracer) find(revision uint64) *revisionTrace {
	for _, trace := range t.traces {
		if trace.revision == revision {
			return trace
		}
	}
	return nil
}

// Trace returns the delay with which each balancer confirmed a revision. It returns nil
// when there is no trace of the revision.
func (c *Core) Trace(now kernel.Instant, revision uint64) *beamdoorv1.TraceResponse {
	trace := c.tracer.find(revision)
	if trace == nil {
		return nil
	}
	response := &beamdoorv1.TraceResponse{Revision: revision, Complete: true}
	for _, view := range c.store.Views() {
		for _, member := range view.Members {
			delay, confirmed := trace.delays[member.Name]
			expired := c.leases.leaseExpiry(member).Before(now)
			response.Complete = response.Complete && (confirmed || expired)
			response.Entries = append(response.Entries, &beamdoorv1.TraceEntry{
				Balancer: member.Name,
				DelayUs:  delay.Microseconds(),
				InForce:  confirmed,
			})
		}
	}
	return response
}

// InForceRevision returns the newest revision that every balancer with a recorded,
// unexpired lease has confirmed. It returns 0 while a view member without a record may
// still hold a lease of a former leader.
func (c *Core) InForceRevision(now kernel.Instant) uint64 {
	newest := c.store.Revision()
	for _, view := range c.store.Views() {
		for _, member := range view.Members {
			record, known := c.leases.records[member.Nonce]
			switch {
			case known && record.expires > now:
				newest = min(newest, record.report.Applied)
			case !known && c.leases.minExpiry > now:
				newest = 0
			}
		}
	}
	return newest
}

// Status returns the members, and on the leader also the balancers.
func (c *Core) Status(now kernel.Instant) *beamdoorv1.StatusResponse {
	response := &beamdoorv1.StatusResponse{
		Revision:    c.store.Revision(),
		Term:        c.replica.Node.Term(),
		CommitIndex: c.replica.Node.Commit(),
		LeaderId:    uint32(c.replica.Node.Leader()),
		MemberId:    uint32(c.settings.Raft.ID),
	}
	membership := c.replica.Node.Membership()
	for _, member := range c.store.Members() {
		clone := proto.CloneOf(member)
		clone.Learner = !membership.IsVoter(memberID(member.Id))
		response.Members = append(response.Members, &beamdoorv1.MemberStatus{
			Member:     clone,
			Leader:     c.replica.Node.Leader() == memberID(member.Id),
			MatchIndex: c.replica.Node.Match(memberID(member.Id)),
		})
	}
	if !c.IsLeader() {
		return response
	}
	response.InForceRevision = c.InForceRevision(now)
	response.Balancers = c.balancerStatus(now)
	return response
}

func (c *Core) balancerStatus(now kernel.Instant) []*beamdoorv1.BalancerStatus {
	var statuses []*beamdoorv1.BalancerStatus
	for _, view := range c.store.Views() {
		for _, member := range view.Members {
			status := &beamdoorv1.BalancerStatus{Balancer: member}
			if record, known := c.leases.records[member.Nonce]; known {
				status.AppliedRevision = record.report.Applied
				status.View = record.report.View
				status.LeaseLeftMs = max(0, record.expires.Sub(now).Milliseconds())
			}
			statuses = append(statuses, status)
		}
	}
	sort.Slice(statuses, func(a, b int) bool { return statuses[a].Balancer.Name < statuses[b].Balancer.Name })
	return statuses
}
