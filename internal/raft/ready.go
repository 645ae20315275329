package raft

import "github.com/beamdoor/beamdoor/internal/kernel"

// HasReady reports whether Ready has work for the caller.
func (n *Node) HasReady() bool {
	return n.hardStateChanged || n.unstableFrom != 0 || n.pendingSnapshot != nil ||
		len(n.outbox) > 0 || n.appendsPending || n.applied < n.commit
}

// Ready returns the work accumulated since the last call and marks it as handed out.
func (n *Node) Ready() Ready {
	n.buildAppends()
	ready := Ready{
		HardState:        n.hardState(),
		HardStateChanged: n.hardStateChanged,
		Snapshot:         n.pendingSnapshot,
		Messages:         n.outbox,
	}
	if n.unstableFrom != 0 {
		ready.Entries = append(ready.Entries, n.log.slice(n.unstableFrom, n.log.lastIndex())...)
	}
	if n.applied < n.commit {
		ready.Committed = append(ready.Committed, n.log.slice(n.applied+1, n.commit)...)
		n.applied = n.commit
	}
	n.hardStateChanged = false
	n.unstableFrom = 0
	n.pendingSnapshot = nil
	n.outbox = nil
	return ready
}

// hardState returns the hard state to persist. After a restart the commit index
// starts over at the snapshot, so the restored one is kept until it is exceeded.
func (n *Node) hardState() HardState {
	hard := n.hard
	hard.Commit = max(n.commit, n.restoredCommit)
	return hard
}

// Advance tells the node that the contents of the last Ready are persisted.
func (n *Node) Advance(now kernel.Instant) {
	if n.unstableFrom == 0 {
		n.persisted = n.log.lastIndex()
	} else {
		n.persisted = n.unstableFrom - 1
	}
	if n.role == Leader {
		n.advanceCommit(now)
	}
}

// Compact replaces the log up to index by a snapshot with the given state machine data.
func (n *Node) Compact(index uint64, data []byte) Snapshot {
	term, _ := n.log.term(index)
	snapshot := Snapshot{
		Index:      index,
		Term:       term,
		Membership: n.log.membershipAt(index),
		Data:       data,
	}
	n.log.compact(snapshot)
	return snapshot
}

// Entries returns the entries after the last snapshot.
func (n *Node) Entries() []Entry { return n.log.entries }

// PersistentState returns the complete state to persist when the log is rewritten.
func (n *Node) PersistentState() PersistentState {
	return PersistentState{HardState: n.hardState(), Snapshot: n.log.snapshot, Entries: n.log.entries}
}
