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

// leaseRecord is what the leader knows of one run of a balancer.
type leaseRecord struct {
	report wire.NodeReport
	// memberID is its number in the view, which changes when it joins anew.
	memberID    uint32
	expires     kernel.Instant
	lastSeen    kernel.Instant
	behindSince kernel.Instant
	behind      bool
}

// cellRecord paces the changes of a cell's view.
type cellRecord struct {
	changing    bool
	changingAt  kernel.Instant
	lastChange  kernel.Instant
	firstReport kernel.Instant
	seen        bool
}

// leaseTable is the leader's record of leases. It is soft state: a new leader
// assumes that every balancer in a view holds a full lease.
type leaseTable struct {
	core    *Core
	records map[uint64]*leaseRecord
	// outside holds by cell the balancers that report and are in no view.
	outside map[uint32]map[uint64]*leaseRecord
	cells   map[uint32]*cellRecord
	// floor is the earliest end of any lease that a former leader granted, or
	// that this one may have missed to renew while it was stopped.
	floor    kernel.Instant
	lastTick kernel.Instant
}

func newLeaseTable(core *Core) *leaseTable {
	return &leaseTable{
		core:    core,
		records: map[uint64]*leaseRecord{},
		outside: map[uint32]map[uint64]*leaseRecord{},
		cells:   map[uint32]*cellRecord{},
	}
}

// takeOver starts afresh after an election.
func (t *leaseTable) takeOver(now kernel.Instant) {
	t.records = map[uint64]*leaseRecord{}
	t.outside = map[uint32]map[uint64]*leaseRecord{}
	t.cells = map[uint32]*cellRecord{}
	t.floor = now.Add(t.core.settings.Lease + t.core.settings.LeaseMargin)
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

// receive handles reports and returns the grants that answer them.
func (t *leaseTable) receive(now kernel.Instant, reports []wire.NodeReport) []wire.Grant {
	grants := make([]wire.Grant, 0, len(reports))
	for _, report := range reports {
		grants = append(grants, t.receiveOne(now, report))
	}
	return grants
}

func (t *leaseTable) receiveOne(now kernel.Instant, report wire.NodeReport) wire.Grant {
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
	if !cell.seen {
		cell.seen = true
		cell.firstReport = now
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
	member := memberByNonce(state.View(report.Cell), report.Nonce)
	if member == nil {
		t.noteOutside(record)
		return grant
	}
	delete(t.outside[report.Cell], report.Nonce)
	grant.ID = member.Id
	record.memberID = member.Id
	t.noteLag(now, record, grant.CellRevision)
	t.core.tracer.confirmed(now, report.Cell, member.Name, report.Applied)
	if !t.core.CanRead(now) || t.lags(now, record) {
		return grant
	}
	record.expires = now.Add(t.core.settings.Lease)
	grant.LeaseMilliseconds = uint32(t.core.settings.Lease.Milliseconds())
	return grant
}

func (t *leaseTable) noteOutside(record *leaseRecord) {
	cell := record.report.Cell
	if t.outside[cell] == nil {
		t.outside[cell] = map[uint64]*leaseRecord{}
	}
	t.outside[cell][record.report.Nonce] = record
}

func (t *leaseTable) noteLag(now kernel.Instant, record *leaseRecord, cellRevision uint64) {
	behind := record.report.Applied < cellRevision
	if behind && !record.behind {
		record.behindSince = now
	}
	record.behind = behind
}

// lags reports whether the balancer has been behind for so long that it must
// not go on giving new work by its old configuration.
func (t *leaseTable) lags(now kernel.Instant, record *leaseRecord) bool {
	return record.behind && now.Sub(record.behindSince) > t.core.settings.LagLimit
}

func memberByNonce(view *beamdoorv1.View, nonce uint64) *beamdoorv1.Balancer {
	for _, member := range view.GetMembers() {
		if member.Nonce == nonce {
			return member
		}
	}
	return nil
}

// noteView gives each new member of a view the time to ask for its first
// lease before it is held for silent.
func (t *leaseTable) noteView(now kernel.Instant, view *beamdoorv1.View) {
	t.cell(view.Cell).changing = false
	for _, member := range view.Members {
		record, known := t.records[member.Nonce]
		if known && record.memberID != member.Id {
			record.memberID = member.Id
			record.expires = now.Add(t.core.settings.Lease)
		}
	}
}

// expiry returns the end of the lease that a member of a view may hold.
func (t *leaseTable) expiry(member *beamdoorv1.Balancer) kernel.Instant {
	end := t.floor
	if record, known := t.records[member.Nonce]; known && record.expires > end {
		end = record.expires
	}
	return end
}

// tick proposes the next view of each cell that needs one.
func (t *leaseTable) tick(now kernel.Instant) {
	t.noteStall(now)
	if !t.core.CanRead(now) {
		return
	}
	t.dropSilent(now)
	for _, number := range t.cellNumbers() {
		cell := t.cell(number)
		if cell.changing && now.Sub(cell.changingAt) < t.core.settings.Lease {
			continue
		}
		change := t.nextChange(now, number, cell)
		if change == nil {
			cell.changing = false
			continue
		}
		cell.changing = true
		cell.changingAt = now
		cell.lastChange = now
		t.core.propose(now, 0, store.Command{Kind: store.CommandChangeView, Body: change})
	}
}

// stallLimit is the longest time between two ticks of a process that runs.
const stallLimit = 500 * time.Millisecond

// noteStall finds out whether this process was stopped. The reports of that
// time wait unread, so the balancers' silence says nothing about them.
func (t *leaseTable) noteStall(now kernel.Instant) {
	if now.Sub(t.lastTick) > stallLimit && !t.core.settings.Mechanisms.NoStallCheck {
		t.floor = max(t.floor, now.Add(t.core.settings.Lease))
		t.core.log(eventlog.LeaderStalled, "stopped_for", now.Sub(t.lastTick))
	}
	t.lastTick = now
}

// dropSilent forgets balancers that are in no view and no longer report.
func (t *leaseTable) dropSilent(now kernel.Instant) {
	for nonce, record := range t.records {
		if now.Sub(record.lastSeen) > 4*t.core.settings.Lease {
			delete(t.records, nonce)
			delete(t.outside[record.report.Cell], nonce)
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

// nextChange returns the change that the cell needs now, or nil: the dead go
// at once, planned changes one at a time after the view has settled.
func (t *leaseTable) nextChange(now kernel.Instant, number uint32, cell *cellRecord) *beamdoorv1.ViewChange {
	view := t.core.store.View(number)
	change := &beamdoorv1.ViewChange{Cell: number, BaseNumber: view.GetNumber()}
	if change.Removed = t.expired(now, view); len(change.Removed) > 0 {
		t.core.log(eventlog.BalancerExpired, "cell", number, "ids", fmt.Sprint(change.Removed))
		return change
	}
	if view == nil {
		return t.foundingChange(now, number, cell, change)
	}
	planned := t.plannedChange(now, view, change)
	if planned == nil || !t.settled(now, view, cell) {
		return nil
	}
	return planned
}

func (t *leaseTable) expired(now kernel.Instant, view *beamdoorv1.View) []uint32 {
	var ids []uint32
	for _, member := range view.GetMembers() {
		if t.hasExpired(now, member) {
			ids = append(ids, member.Id)
		}
	}
	return ids
}

func (t *leaseTable) hasExpired(now kernel.Instant, member *beamdoorv1.Balancer) bool {
	end := t.expiry(member).Add(t.core.settings.LeaseMargin)
	if t.core.settings.Mechanisms.NoLeaseWait {
		end = t.expiry(member).Add(-t.core.settings.Lease / 2)
	}
	return end.Before(now)
}

func (t *leaseTable) foundingChange(now kernel.Instant, number uint32, cell *cellRecord, change *beamdoorv1.ViewChange) *beamdoorv1.ViewChange {
	if now.Sub(cell.firstReport) < t.core.settings.InitialViewDelay {
		return nil
	}
	for _, record := range t.joiners(now, number) {
		change.Added = append(change.Added, newMember(record))
	}
	if len(change.Added) == 0 {
		return nil
	}
	return change
}

// settled reports whether every live member has handed over what the newest
// view took from it, or the wait for it has been too long.
func (t *leaseTable) settled(now kernel.Instant, view *beamdoorv1.View, cell *cellRecord) bool {
	if now.Sub(cell.lastChange) > t.core.settings.SettleTimeout {
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
		return t.restartChange(now, view, change)
	}
	for _, record := range t.joiners(now, view.Cell) {
		if !t.addressTaken(view, record) {
			change.Added = []*beamdoorv1.Balancer{newMember(record)}
			return change
		}
	}
	return nil
}

// restartChange adds all that report to a view that has lost every member.
func (t *leaseTable) restartChange(now kernel.Instant, view *beamdoorv1.View, change *beamdoorv1.ViewChange) *beamdoorv1.ViewChange {
	for _, record := range t.joiners(now, view.Cell) {
		change.Added = append(change.Added, newMember(record))
	}
	if len(change.Added) == 0 {
		return nil
	}
	return change
}

// addressTaken reports whether an earlier run with the same address is still
// in the view; it must expire first.
func (t *leaseTable) addressTaken(view *beamdoorv1.View, record *leaseRecord) bool {
	for _, member := range view.Members {
		if member.Peer == record.report.Introduction.Peer {
			return true
		}
	}
	return false
}

// joiners returns the balancers of a cell that still report but are in no
// view, in order of their names.
func (t *leaseTable) joiners(now kernel.Instant, number uint32) []*leaseRecord {
	var list []*leaseRecord
	view := t.core.store.View(number)
	for _, record := range t.outside[number] {
		report := record.report
		silent := now.Sub(record.lastSeen) > t.core.settings.Lease/2
		if report.Introduction == nil || report.Leaving || silent {
			continue
		}
		if memberByNonce(view, report.Nonce) == nil {
			list = append(list, record)
		}
	}
	sort.Slice(list, func(a, b int) bool {
		return list[a].report.Introduction.Name < list[b].report.Introduction.Name
	})
	return list
}

func newMember(record *leaseRecord) *beamdoorv1.Balancer {
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
