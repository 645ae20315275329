package control

import (
	"fmt"
	"sort"
	"time"

	beamdoorv1 "github.com/beamdoor/beamdoor/api/beamdoor/v1"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/store"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// leaseRecord is the leader's state for one balancer process.
type leaseRecord struct {
	report wire.NodeReport
	// balancerID is the balancer's ID in the view. It changes when the balancer rejoins.
	balancerID  uint32
	expires     kernel.Instant
	lastSeen    kernel.Instant
	behindSince kernel.Instant
	behind      bool
}

// cellRecord tracks the pending and the last view change of a cell.
type cellRecord struct {
	changePending    bool
	changeProposedAt kernel.Instant
	lastChangeAt     kernel.Instant
	firstReportAt    kernel.Instant
	hasReport        bool
}

// leaseTable holds the leader's leases. It isn't replicated: a new leader assumes that
// every balancer in a view holds a full lease.
type leaseTable struct {
	core    *Core
	records map[uint64]*leaseRecord
	// candidates holds, by cell and nonce, the balancers that report but are in no view.
	candidates map[uint32]map[uint64]*leaseRecord
	cells      map[uint32]*cellRecord
	// minExpiry is the earliest time at which any lease is considered expired. It covers
	// leases granted by a former leader and reports unread while this process was suspended.
	minExpiry kernel.Instant
	lastTick  kernel.Instant
}

func newLeaseTable(core *Core) *leaseTable {
	return &leaseTable{
		core:       core,
		records:    map[uint64]*leaseRecord{},
		candidates: map[uint32]map[uint64]*leaseRecord{},
		cells:      map[uint32]*cellRecord{},
	}
}

// reset clears the table after this member was elected leader.
func (t *leaseTable) reset(now kernel.Instant) {
	t.records = map[uint64]*leaseRecord{}
	t.candidates = map[uint32]map[uint64]*leaseRecord{}
	t.cells = map[uint32]*cellRecord{}
	t.minExpiry = now.Add(t.core.settings.Lease + t.core.settings.LeaseMargin)
	t.lastTick = now
}

func (t *leaseTable) cell(number uint32) *cellRecord {
	record, known := t.cells[number]
	if !known {
		record = &cellRecord{}
		t.cells[number] = record
	}
	return record
}

// receive processes reports and returns a grant for each.
func (t *leaseTable) receive(now kernel.Instant, reports []wire.NodeReport) []wire.Grant {
	grants := make([]wire.Grant, 0, len(reports))
	for _, report := range reports {
		grants = append(grants, t.receiveReport(now, report))
	}
	return grants
}

func (t *leaseTable) receiveReport(now kernel.Instant, report wire.NodeReport) wire.Grant {
	record, known := t.records[report.Nonce]
	if !known {
		record = &leaseRecord{}
		t.records[report.Nonce] = record
	}
	if report.Introduction == nil {
		report.Introduction = record.report.Introduction
	}
	record.report = report
	record.lastSeen = now
	cell := t.cell(report.Cell)
	if !cell.hasReport {
		cell.hasReport = true
		cell.firstReportAt = now
	}
	return t.grant(now, record)
}

func (t *leaseTable) grant(now kernel.Instant, record *leaseRecord) wire.Grant {
	state := t.core.store
	report := record.report
	grant := wire.Grant{
		Nonce:        report.Nonce,
		Sequence:     report.Sequence,
		Revision:     state.Revision(),
		CellRevision: state.CellRevision(report.Cell),
	}
	member := balancerByNonce(state.View(report.Cell), report.Nonce)
	if member == nil {
		t.addCandidate(record)
		return grant
	}
	delete(t.candidates[report.Cell], report.Nonce)
	grant.ID = member.Id
	record.balancerID = member.Id
	t.updateLag(now, record, grant.CellRevision)
	t.core.tracer.recordConfirmed(now, report.Cell, member.Name, report.Applied)
	if !t.core.CanRead(now) || t.isLagging(now, record) {
		return grant
	}
	record.expires = now.Add(t.core.settings.Lease)
	grant.LeaseMilliseconds = uint32(t.core.settings.Lease.Milliseconds())
	return grant
}

func (t *leaseTable) addCandidate(record *leaseRecord) {
	cell := record.report.Cell
	if t.candidates[cell] == nil {
		t.candidates[cell] = map[uint64]*leaseRecord{}
	}
	t.candidates[cell][record.report.Nonce] = record
}

func (t *leaseTable) updateLag(now kernel.Instant, record *leaseRecord, cellRevision uint64) {
	behind := record.report.Applied < cellRevision
	if behind && !record.behind {
		record.behindSince = now
	}
	record.behind = behind
}

// isLagging reports whether the balancer has been behind its cell's configuration for
// longer than LagLimit. Its lease isn't renewed then, so that it stops using the old one.
func (t *leaseTable) isLagging(now kernel.Instant, record *leaseRecord) bool {
	return record.behind && now.Sub(record.behindSince) > t.core.settings.LagLimit
}

func balancerByNonce(view *beamdoorv1.View, nonce uint64) *beamdoorv1.Balancer {
	for _, member := range view.GetMembers() {
		if member.Nonce == nonce {
			return member
		}
	}
	return nil
}

// viewApplied handles a view change. It treats each new member of the view as holding a
// full lease, so that it has time to request its first one.
func (t *leaseTable) viewApplied(now kernel.Instant, view *beamdoorv1.View) {
	t.cell(view.Cell).changePending = false
	for _, member := range view.Members {
		record, known := t.records[member.Nonce]
		if known && record.balancerID != member.Id {
			record.balancerID = member.Id
			record.expires = now.Add(t.core.settings.Lease)
		}
	}
}

// leaseExpiry returns the latest time at which a lease of a view member can expire.
func (t *leaseTable) leaseExpiry(member *beamdoorv1.Balancer) kernel.Instant {
	end := t.minExpiry
	if record, known := t.records[member.Nonce]; known && record.expires > end {
		end = record.expires
	}
	return end
}

// tick proposes the next view change of each cell that needs one.
func (t *leaseTable) tick(now kernel.Instant) {
	t.detectStall(now)
	if !t.core.CanRead(now) {
		return
	}
	t.removeSilent(now)
	for _, number := range t.cellNumbers() {
		cell := t.cell(number)
		if cell.changePending && now.Sub(cell.changeProposedAt) < t.core.settings.Lease {
			continue
		}
		change := t.nextChange(now, number, cell)
		if change == nil {
			cell.changePending = false
			continue
		}
		cell.changePending = true
		cell.changeProposedAt = now
		cell.lastChangeAt = now
		t.core.propose(now, 0, store.Command{Kind: store.CommandChangeView, Body: change})
	}
}

// stallLimit is the longest interval between ticks that isn't treated as a suspension.
const stallLimit = 500 * time.Millisecond

// detectStall extends all leases after this process was suspended: reports sent in the
// meantime are still unread, so the balancers' silence is no sign of failure.
func (t *leaseTable) detectStall(now kernel.Instant) {
	if now.Sub(t.lastTick) > stallLimit && !t.core.settings.Mechanisms.NoStallCheck {
		t.minExpiry = max(t.minExpiry, now.Add(t.core.settings.Lease))
		t.core.log(eventlog.LeaderStalled, "stopped_for", now.Sub(t.lastTick))
	}
	t.lastTick = now
}

// removeSilent deletes the records of balancers that sent no report for four lease
// periods.
func (t *leaseTable) removeSilent(now kernel.Instant) {
	for nonce, record := range t.records {
		if now.Sub(record.lastSeen) > 4*t.core.settings.Lease {
			delete(t.records, nonce)
			delete(t.candidates[record.report.Cell], nonce)
		}
	}
}

func (t *leaseTable) cellNumbers() []uint32 {
	var numbers []uint32
	for number := range t.cells {
		numbers = append(numbers, number)
	}
	for _, view := range t.core.store.Views() {
		if _, known := t.cells[view.Cell]; !known {
			numbers = append(numbers, view.Cell)
		}
	}
	sort.Slice(numbers, func(a, b int) bool { return numbers[a] < numbers[b] })
	return numbers
}

// nextChange returns the next change of the cell's view, or nil. Expired members are
// removed at once; planned changes are made one at a time, after the view has settled.
func (t *leaseTable) nextChange(now kernel.Instant, number uint32, cell *cellRecord) *beamdoorv1.ViewChange {
	view := t.core.store.View(number)
	change := &beamdoorv1.ViewChange{Cell: number, BaseNumber: view.GetNumber()}
	if change.Removed = t.expiredBalancers(now, view); len(change.Removed) > 0 {
		t.core.log(eventlog.BalancerExpired, "cell", number, "ids", fmt.Sprint(change.Removed))
		return change
	}
	if view == nil {
		return t.initialViewChange(now, number, cell, change)
	}
	planned := t.plannedChange(now, view, change)
	if planned == nil || !t.isSettled(now, view, cell) {
		return nil
	}
	return planned
}

func (t *leaseTable) expiredBalancers(now kernel.Instant, view *beamdoorv1.View) []uint32 {
	var ids []uint32
	for _, member := range view.GetMembers() {
		if t.hasExpired(now, member) {
			ids = append(ids, member.Id)
		}
	}
	return ids
}

func (t *leaseTable) hasExpired(now kernel.Instant, member *beamdoorv1.Balancer) bool {
	end := t.leaseExpiry(member).Add(t.core.settings.LeaseMargin)
	if t.core.settings.Mechanisms.NoLeaseWait {
		end = t.leaseExpiry(member).Add(-t.core.settings.Lease / 2)
	}
	return end.Before(now)
}

// initialViewChange adds all join candidates to the first view of a cell, once
// InitialViewDelay has passed.
func (t *leaseTable) initialViewChange(now kernel.Instant, number uint32, cell *cellRecord, change *beamdoorv1.ViewChange) *beamdoorv1.ViewChange {
	if now.Sub(cell.firstReportAt) < t.core.settings.InitialViewDelay {
		return nil
	}
	for _, record := range t.joinCandidates(now, number) {
		change.Added = append(change.Added, newBalancer(record))
	}
	if len(change.Added) == 0 {
		return nil
	}
	return change
}

// isSettled reports whether every member of the view has handed over the records that
// the view reassigned, or SettleTimeout has passed since the last change.
func (t *leaseTable) isSettled(now kernel.Instant, view *beamdoorv1.View, cell *cellRecord) bool {
	if now.Sub(cell.lastChangeAt) > t.core.settings.SettleTimeout {
		return true
	}
	for _, member := range view.Members {
		record, known := t.records[member.Nonce]
		if !known || record.report.View != view.Number || !record.report.Settled {
			return false
		}
	}
	return true
}

// plannedChange removes a leaving member, marks a member as leaving or adds a joining
// one, in this order. It returns nil when there is nothing to change.
func (t *leaseTable) plannedChange(now kernel.Instant, view *beamdoorv1.View, change *beamdoorv1.ViewChange) *beamdoorv1.ViewChange {
	for _, member := range view.Members {
		if member.State == beamdoorv1.BalancerState_BALANCER_STATE_LEAVING {
			change.Removed = []uint32{member.Id}
			return change
		}
	}
	for _, member := range view.Members {
		if record, known := t.records[member.Nonce]; known && record.report.Leaving {
			change.Leaving = []uint32{member.Id}
			return change
		}
	}
	if len(view.Members) == 0 {
		return t.refillChange(now, view, change)
	}
	for _, record := range t.joinCandidates(now, view.Cell) {
		if !t.addressInUse(view, record) {
			change.Added = []*beamdoorv1.Balancer{newBalancer(record)}
			return change
		}
	}
	return nil
}

// refillChange adds all join candidates to a view without members.
func (t *leaseTable) refillChange(now kernel.Instant, view *beamdoorv1.View, change *beamdoorv1.ViewChange) *beamdoorv1.ViewChange {
	for _, record := range t.joinCandidates(now, view.Cell) {
		change.Added = append(change.Added, newBalancer(record))
	}
	if len(change.Added) == 0 {
		return nil
	}
	return change
}

// addressInUse reports whether the view still contains a member with the same peer
// address, such as an earlier process of the same balancer.
func (t *leaseTable) addressInUse(view *beamdoorv1.View, record *leaseRecord) bool {
	for _, member := range view.Members {
		if member.Peer == record.report.Introduction.Peer {
			return true
		}
	}
	return false
}

// joinCandidates returns the balancers of a cell that report but are in no view,
// sorted by name.
func (t *leaseTable) joinCandidates(now kernel.Instant, number uint32) []*leaseRecord {
	var candidates []*leaseRecord
	view := t.core.store.View(number)
	for _, record := range t.candidates[number] {
		report := record.report
		silent := now.Sub(record.lastSeen) > t.core.settings.Lease/2
		if report.Introduction == nil || report.Leaving || silent {
			continue
		}
		if balancerByNonce(view, report.Nonce) == nil {
			candidates = append(candidates, record)
		}
	}
	sort.Slice(candidates, func(a, b int) bool {
		return candidates[a].report.Introduction.Name < candidates[b].report.Introduction.Name
	})
	return candidates
}

func newBalancer(record *leaseRecord) *beamdoorv1.Balancer {
	introduction := record.report.Introduction
	return &beamdoorv1.Balancer{
		Name:  introduction.Name,
		Cell:  record.report.Cell,
		Peer:  introduction.Peer,
		Admin: introduction.Admin,
		Zone:  introduction.Zone,
		Nonce: record.report.Nonce,
	}
}
