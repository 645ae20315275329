// Package replica drives one copy of a replicated state: it makes what the
// replicated log asks for durable, sends its messages, applies what is
// committed and compacts the log. The state itself is the host's.
package replica

import (
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/raft"
	"github.com/beamdoor/beamdoor/internal/steperror"
)

// Storage makes the replicated log durable.
type Storage interface {
	// Save returns once all that the Ready asks for is on disk.
	Save(ready raft.Ready, whole raft.PersistentState) error
	// Rewrite replaces the log by a snapshot and the entries after it.
	Rewrite(whole raft.PersistentState) error
}

// Host owns the replicated state.
type Host interface {
	// Send sends a message to another member; it may be lost.
	Send(message raft.Message)
	// Restore replaces the state by a snapshot of the leader.
	Restore(now kernel.Instant, snapshot raft.Snapshot) error
	// Apply runs a committed entry.
	Apply(now kernel.Instant, entry raft.Entry) error
	// RoleChanged is called when the role or the term is another one; before
	// is the role until now.
	RoleChanged(now kernel.Instant, before raft.Role)
	// Encode returns a snapshot of the state.
	Encode() ([]byte, error)
	// Compacted is called after the state was saved and the log cut.
	Compacted(snapshot raft.Snapshot)
	// Stopped is called once, when the disk or the state has failed: nothing
	// that this member writes from now on would be known to last.
	Stopped(err error)
}

// Driver drives one member. One goroutine owns it.
type Driver struct {
	// Node is the member's part in the replicated log, or nil while it has none.
	Node    *raft.Node
	Storage Storage
	// Applied is the log position up to which the state is applied.
	Applied uint64
	// Err is the error that stopped this member, or nil.
	Err error
	// Role and Term are those that the host was last told of.
	Role raft.Role
	Term uint64

	host       Host
	compactLen int
	// snapshotSize is the size in bytes of the last snapshot, and appliedSize that of
	// the entries applied since.
	snapshotSize int
	appliedSize  int
}

// New returns a driver that compacts the log when so many entries were applied
// since the last snapshot, and they are as large as it. So what is written in snapshots
// stays below twice the log however large the state is; with the number alone a state of
// 10,000 targets cost eight times the log. Entries that are not applied yet do not
// count: they stay, however often the log is compacted.
func New(host Host, storage Storage, compactLen int) *Driver {
	return &Driver{host: host, Storage: storage, compactLen: compactLen}
}

// IsLeader reports whether this member leads.
func (d *Driver) IsLeader() bool { return d.Node != nil && d.Node.Role() == raft.Leader }

// Flush persists, sends and applies until the replicated log has no more work.
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
		d.noteRole(now)
		d.compact()
	}
}

// Stop ends this member.
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
	d.noteSnapshot(snapshot)
}

func (d *Driver) noteSnapshot(snapshot raft.Snapshot) {
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

func (d *Driver) noteRole(now kernel.Instant) {
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
	d.noteSnapshot(snapshot)
	d.host.Compacted(snapshot)
}

func (d *Driver) isCompactionDue() bool {
	return d.Applied >= d.Node.SnapshotIndex()+uint64(d.compactLen) && d.appliedSize >= d.snapshotSize
}
