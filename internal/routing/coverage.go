package routing

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

// coverage tells for each partition whether this balancer holds all its
// records. A balancer that is new to a pair does not, until the other one has
// handed them over or they are too old to matter.
type coverage struct {
	flows    [Partitions]bool
	requests [Partitions]bool
	since    [Partitions]kernel.Instant
	// partner is the other member of the pair once it is known to hold all
	// records too.
	partner [Partitions]uint32
	mine    int
	missing int
}

// adopt follows a change of the view. Membership in a pair counts as
// unbroken only from one view to the very next.
func (c *coverage) adopt(r *Router, previous *view) {
	current := r.table.view
	contiguous := previous != nil && previous.number+1 == current.number && previous.member(r.id) != nil
	lost := 0
	for partition := range current.pairs {
		owners := current.pairs[partition]
		if !owners.has(r.id) {
			c.flows[partition] = false
			c.requests[partition] = false
			c.partner[partition] = 0
			continue
		}
		if current.founding {
			c.set(partition, owners.other(r.id))
			continue
		}
		if contiguous && previous.pairs[partition].has(r.id) {
			continue
		}
		c.flows[partition] = false
		c.requests[partition] = false
		c.partner[partition] = 0
		c.since[partition] = r.now
		if previous != nil && !previous.pairs[partition].has(owners.other(r.id)) {
			lost++
		}
	}
	if lost > 0 && !current.founding {
		r.log(eventlog.HistoryUnknown, "view", current.number, "partitions", lost)
	}
	c.recount(r)
	r.recountPlaced()
}

func (c *coverage) set(partition int, partner uint32) {
	c.flows[partition] = true
	c.requests[partition] = true
	c.partner[partition] = partner
}

func (c *coverage) recount(r *Router) {
	c.mine = 0
	c.missing = 0
	for partition := range r.table.view.pairs {
		if !r.table.view.pairs[partition].has(r.id) {
			continue
		}
		c.mine++
		if !c.flows[partition] || !c.requests[partition] {
			c.missing++
		}
	}
}

// tick lets time replace a handover: after the retransmission span no earlier
// request can come back, and after the idle timeout no earlier flow is open.
func (c *coverage) tick(r *Router) {
	if c.missing == 0 || r.table.view == nil {
		return
	}
	requestSpan, flowSpan := r.spans()
	for partition := range r.table.view.pairs {
		if !r.table.view.pairs[partition].has(r.id) {
			continue
		}
		age := r.now.Sub(c.since[partition])
		c.requests[partition] = c.requests[partition] || age > requestSpan
		c.flows[partition] = c.flows[partition] || age > flowSpan
	}
	c.recount(r)
}

// spans returns the longest time for which an earlier request and an earlier
// flow can matter.
func (r *Router) spans() (requests, flows time.Duration) {
	if len(r.table.byID) == 0 {
		return DefaultRetransmitSpan + networkLifetime, DefaultIdleTimeout
	}
	for _, owner := range r.table.byID {
		requests = max(requests, owner.limits.retransmitSpan+networkLifetime)
		flows = max(flows, owner.limits.idleTimeout)
	}
	return requests, flows
}

func (c *coverage) coversFlows(partition int) bool    { return c.flows[partition] }
func (c *coverage) coversRequests(partition int) bool { return c.requests[partition] }

// recountPlaced counts anew the flows whose partitions this balancer is the
// primary of.
func (r *Router) recountPlaced() {
	for _, to := range r.table.targets {
		to.placed = 0
	}
	for fingerprint, record := range r.flows.records {
		record.flags &^= flowCounted
		to := r.table.targets[record.targetID]
		if to != nil && r.id != 0 && r.table.view.pairs[PartitionOf(fingerprint)].primary == r.id {
			r.count(&record, to)
		}
		r.flows.records[fingerprint] = record
	}
}
