package routing

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

// coverage tracks for which partitions this balancer holds all records. A new
// member of a pair lacks them until the other member has handed them over or all
// missing records have expired.
type coverage struct {
	completeFlows    [Partitions]bool
	completeRequests [Partitions]bool
	// recordsSince is the time from which the records of a partition are complete.
	recordsSince [Partitions]kernel.Instant
	// syncedPartner is the other member of the pair, once it has confirmed this
	// balancer's records or has handed over all of its own.
	syncedPartner   [Partitions]uint32
	ownedCount      int
	incompleteCount int
}

// updateForView updates the coverage for a new view. The coverage of a partition
// is kept if this balancer was already in its pair in the directly preceding view.
func (c *coverage) updateForView(r *Router, previous *view) {
	current := r.table.view
	contiguous := previous != nil && previous.number+1 == current.number && previous.member(r.id) != nil
	unknownPartitions := 0
	for partition := range current.pairs {
		owners := current.pairs[partition]
		if !owners.has(r.id) {
			c.completeFlows[partition] = false
			c.completeRequests[partition] = false
			c.syncedPartner[partition] = 0
			continue
		}
		if current.founding {
			c.markComplete(partition, owners.other(r.id))
			continue
		}
		if contiguous && previous.pairs[partition].has(r.id) {
			continue
		}
		c.completeFlows[partition] = false
		c.completeRequests[partition] = false
		c.syncedPartner[partition] = 0
		c.recordsSince[partition] = r.now
		if previous != nil && !previous.pairs[partition].has(owners.other(r.id)) {
			unknownPartitions++
		}
	}
	if unknownPartitions > 0 && !current.founding {
		r.log(eventlog.HistoryUnknown, "view", current.number, "partitions", unknownPartitions)
	}
	c.updateCounts(r)
	r.recountPlacedFlows()
}

// markComplete marks all records of a partition as held by both members of its pair.
func (c *coverage) markComplete(partition int, partner uint32) {
	c.completeFlows[partition] = true
	c.completeRequests[partition] = true
	c.syncedPartner[partition] = partner
}

// updateCounts recounts the partitions that this balancer owns and those among
// them that lack records.
func (c *coverage) updateCounts(r *Router) {
	c.ownedCount = 0
	c.incompleteCount = 0
	for partition := range r.table.view.pairs {
		if !r.table.view.pairs[partition].has(r.id) {
			continue
		}
		c.ownedCount++
		if !c.completeFlows[partition] || !c.completeRequests[partition] {
			c.incompleteCount++
		}
	}
}

// tick marks a partition as complete once all missing records have expired: no
// earlier request can be retransmitted, and no earlier flow is still open.
func (c *coverage) tick(r *Router) {
	if c.incompleteCount == 0 || r.table.view == nil {
		return
	}
	requestLifetime, flowLifetime := r.maxRecordLifetimes()
	for partition := range r.table.view.pairs {
		if !r.table.view.pairs[partition].has(r.id) {
			continue
		}
		age := r.now.Sub(c.recordsSince[partition])
		c.completeRequests[partition] = c.completeRequests[partition] || age > requestLifetime
		c.completeFlows[partition] = c.completeFlows[partition] || age > flowLifetime
	}
	c.updateCounts(r)
}

// maxRecordLifetimes returns the longest time for which any service needs the
// record of a request and of an idle flow.
func (r *Router) maxRecordLifetimes() (requests, flows time.Duration) {
	if len(r.table.byID) == 0 {
		return DefaultRetransmitSpan + maxPacketLifetime, DefaultIdleTimeout
	}
	for _, svc := range r.table.byID {
		requests = max(requests, svc.limits.retransmitSpan+maxPacketLifetime)
		flows = max(flows, svc.limits.idleTimeout)
	}
	return requests, flows
}

func (c *coverage) hasAllFlows(partition int) bool    { return c.completeFlows[partition] }
func (c *coverage) hasAllRequests(partition int) bool { return c.completeRequests[partition] }

// recountPlacedFlows recounts for each target the flows in partitions of which
// this balancer is the primary.
func (r *Router) recountPlacedFlows() {
	for _, dest := range r.table.targets {
		dest.placedFlows = 0
	}
	for fingerprint, record := range r.flows.records {
		record.flags &^= flowCounted
		dest := r.table.targets[record.targetID]
		if dest != nil && r.id != 0 && r.table.view.pairs[PartitionOf(fingerprint)].primary == r.id {
			r.countPlaced(&record, dest)
		}
		r.flows.records[fingerprint] = record
	}
}
