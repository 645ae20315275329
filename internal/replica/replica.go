// Package replica drives one Raft member: it persists the log, sends messages, applies
// committed entries and compacts the log. The host owns the replicated state and the
// transport.
package replica

import (
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/raft"
	"github.com/beamdoor/beamdoor/internal/steperror"
)

// Storage persists the replicated log.
type Storage interface {
	// Save returns once the snapshot, entries and hard state of the Ready are durable.
	Save(ready raft.Ready, state raft.PersistentState) error
	// Rewrite replaces the log with a snapshot and the entries after it.
	Rewrite(state raft.PersistentState) error
}

// Host owns the replicated state and the connections to other members.
type Host interface {
	// Send sends a message to another member; it may be lost.
	Send(message raft.Message)
	// Restore replaces the state with a snapshot received from the leader.
	Restore(now kernel.Instant, snapshot raft.Snapshot) error
	// Apply applies a committed entry to the state.
	Apply(now kernel.Instant, entry raft.Entry) error
	// RoleChanged is called after the role or the term has changed; before is the
	// previous role.
	RoleChanged(now kernel.Instant, before raft.Role)
	// Encode serializes the state for a snapshot.
	Encode() ([]byte, error)
	// Compacted is called after a snapshot was written and the log compacted.
	Compacted(snapshot raft.Snapshot)
	// Stopped is called once, after a storage or state machine error. The member
	// persists and applies nothing after that.
	Stopped(err error)
}

// Driver drives one member. It is not safe for concurrent use.
type Driver struct {
	// Node is the Raft member, or nil while there is none.
	Node    *raft.Node
	Storage Storage
	// Applied is the index of the last applied entry.
	Applied uint64
	// Err is the error that stopped this member, or nil.
	Err error
	// Role and Term are those last reported to the host.
	Role raft.Role
	Term uint64

	host       Host
	compactLen int
	// snapshotSize is the size in bytes of the last snapshot, and appliedSize the total
	// size of the entries applied since then.
	snapshotSize int
	appliedSize  int
}

// New returns a driver. It compacts the log once at least compactLen entries have been
// applied since the last snapshot and their size reaches that of the snapshot, which
// keeps snapshot writes proportional to the log for any state size. Unapplied entries do
// not count, because compaction cannot remove them.
func New(host Host, storage Storage, compactLen int) *Driver {
	return &Driver{host: host, Storage: storage, compactLen: compactLen}
}

// IsLeader reports whether this member is the leader.
func (d *Driver) IsLeader() bool { return d.Node != nil && d.Node.Role() == raft.Leader }

// Flush processes the node's Ready work until there is none left or the member stops.
func (d *Driver) Flush(now kernel.Instant) {
	for d.Node != nil && d.Err == nil && d.Node.HasReady() {
		ready := d.Node.Ready()
		if err := d.Storage.Save(ready, d.Node.PersistentState()); err != nil {
			d.Stop(err)
			return
		}
		d.Node.Advance(now)
		for _, message := range ready.Messages {
			d.host.Send(message)
		}
		if ready.Snapshot != nil {
			d.restore(now, *ready.Snapshot)
		}
		d.apply(now, ready.Committed)
		d.notifyRoleChange(now)
		d.compact()
	}
}

// Stop records the error and notifies the host. Flush does nothing afterwards.
func (d *Driver) Stop(err error) {
	d.Err = err
	d.host.Stopped(err)
}

func (d *Driver) restore(now kernel.Instant, snapshot raft.Snapshot) {
	if err := d.host.Restore(now, snapshot); err != nil {
		d.Stop(steperror.Wrap("replica.restore", "", err))
		return
	}
	d.Applied = snapshot.Index
	d.recordSnapshot(snapshot)
}

func (d *Driver) recordSnapshot(snapshot raft.Snapshot) {
	d.snapshotSize = len(snapshot.Data)
	d.appliedSize = 0
}

func (d *Driver) apply(now kernel.Instant, entries []raft.Entry) {
	for _, entry := range entries {
		if d.Err != nil {
			return
		}
		d.Applied = entry.Index
		d.appliedSize += len(entry.Data)
		if err := d.host.Apply(now, entry); err != nil {
			d.Stop(steperror.Wrap("replica.apply", "", err))
		}
	}
}

func (d *Driver) notifyRoleChange(now kernel.Instant) {
	if d.Role == d.Node.Role() && d.Term == d.Node.Term() {
		return
	}
	before := d.Role
	d.Role = d.Node.Role()
	d.Term = d.Node.Term()
	d.host.RoleChanged(now, before)
}

func (d *Driver) compact() {
	if d.Err != nil || !d.isCompactionDue() {
		return
	}
	data, err := d.host.Encode()
	if err != nil {
		d.Stop(err)
		return
	}
	snapshot := d.Node.Compact(d.Applied, data)
	if err := d.Storage.Rewrite(d.Node.PersistentState()); err != nil {
		d.Stop(err)
		return
	}
	d.recordSnapshot(snapshot)
	d.host.Compacted(snapshot)
}

func (d *Driver) isCompactionDue() bool {
	return d.Applied >= d.Node.SnapshotIndex()+uint64(d.compactLen) && d.appliedSize >= d.snapshotSize
}
