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

// traceLimit is the number of revisions whose spread is remembered.
const traceLimit = 256

// revisionTrace is the spread of one revision.
type revisionTrace struct {
	revision  uint64
	accepted  kernel.Instant
	confirmed map[string]time.Duration
}

// tracer remembers when each balancer confirmed the newest revisions. It is
// the leader's soft state.
type tracer struct {
	traces []*revisionTrace
	// newest is the highest revision that a balancer has confirmed.
	newest map[string]uint64
}

func newTracer() *tracer { return &tracer{newest: map[string]uint64{}} }

func (t *tracer) reset() { *t = *newTracer() }

func (t *tracer) accepted(now kernel.Instant, revision uint64) {
	trace := &revisionTrace{revision: revision, accepted: now, confirmed: map[string]time.Duration{}}
	t.traces = append(t.traces, trace)
	if len(t.traces) > traceLimit {
		t.traces = t.traces[1:]
	}
}

// confirmed notes that a balancer has applied a revision, and with it all
// earlier ones.
func (t *tracer) confirmed(now kernel.Instant, cell uint32, name string, applied uint64) {
	before := t.newest[name]
	if applied <= before {
		return
	}
	t.newest[name] = applied
	for i := len(t.traces) - 1; i >= 0; i-- {
		trace := t.traces[i]
		if trace.revision <= before {
			return
		}
		if trace.revision <= applied {
			trace.confirmed[name] = now.Sub(trace.accepted)
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

// Trace returns when each balancer confirmed a revision. It is nil when the
// revision is not remembered.
func (c *Core) Trace(now kernel.Instant, revision uint64) *beamdoorv1.TraceResponse {
	trace := c.tracer.find(revision)
	if trace == nil {
		return nil
	}
	response := &beamdoorv1.TraceResponse{Revision: revision, Complete: true}
	for _, view := range c.store.Views() {
		for _, member := range view.Members {
			delay, confirmed := trace.confirmed[member.Name]
			fenced := c.leases.expiry(member).Before(now)
			response.Complete = response.Complete && (confirmed || fenced)
			response.Entries = append(response.Entries, &beamdoorv1.TraceEntry{
				Balancer: member.Name,
				DelayUs:  delay.Microseconds(),
				InForce:  confirmed,
			})
		}
	}
	return response
}

// InForceRevision returns the newest revision that every balancer with a lease has
// confirmed.
func (c *Core) InForceRevision(now kernel.Instant) uint64 {
	newest := c.store.Revision()
	for _, view := range c.store.Views() {
		for _, member := range view.Members {
			record, known := c.leases.records[member.Nonce]
			switch {
			case known && record.expires > now:
				newest = min(newest, record.report.Applied)
			case !known && c.leases.floor > now:
				newest = 0
			}
		}
	}
	return newest
}

// Status returns the members and balancers as this member knows them.
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
		shown := proto.CloneOf(member)
		shown.Learner = !membership.IsVoter(memberID(member.Id))
		response.Members = append(response.Members, &beamdoorv1.MemberStatus{
			Member:     shown,
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
	var list []*beamdoorv1.BalancerStatus
	for _, view := range c.store.Views() {
		for _, member := range view.Members {
			status := &beamdoorv1.BalancerStatus{Balancer: member}
			if record, known := c.leases.records[member.Nonce]; known {
				status.AppliedRevision = record.report.Applied
				status.View = record.report.View
				status.LeaseLeftMs = max(0, record.expires.Sub(now).Milliseconds())
			}
			list = append(list, status)
		}
	}
	sort.Slice(list, func(a, b int) bool { return list[a].Balancer.Name < list[b].Balancer.Name })
	return list
}
