package raft

import "github.com/beamdoor/beamdoor/internal/kernel"

// HasReady reports whether Ready would return work.
func (n *Node) HasReady() bool {
	return n.hardChanged || n.unsavedFrom != 0 || n.newSnapshot != nil ||
		len(n.outbox) > 0 || n.appendsDue || n.applied < n.commit
}

// Ready returns the work that has come up since the last call.
func (n *Node) Ready() Ready {
	n.buildAppends()
	ready := Ready{
		HardState:        n.hardState(),
		HardStateChanged: n.hardChanged,
		Snapshot:         n.newSnapshot,
		Messages:         n.outbox,
	}
	if n.unsavedFrom != 0 {
		ready.Entries = append(ready.Entries, n.log.slice(n.unsavedFrom, n.log.lastIndex())...)
	}
	if n.applied < n.commit {
		ready.Committed = append(ready.Committed, n.log.slice(n.applied+1, n.commit)...)
		n.applied = n.commit
	}
	n.hardChanged = false
	n.unsavedFrom = 0
	n.newSnapshot = nil
	n.outbox = nil
	return ready
}

// hardState returns what the disk is to hold. A member that has restarted learns anew
// how far the log is committed; until then what its disk told still holds.
func (n *Node) hardState() HardState {
	hard := n.hard
	hard.Commit = max(n.commit, n.restoredCommit)
	return hard
}

// Advance tells the node that all that the last Ready held is on the disk.
func (n *Node) Advance(now kernel.Instant) {
	if n.unsavedFrom == 0 {
		n.persisted = n.log.lastIndex()
	} else {
		n.persisted = n.unsavedFrom - 1
	}
	if n.role == Leader {
		n.advanceCommit(now)
	}
}

// Compact tells the node that the state machine was saved at index.
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

// PersistentState returns all that the disk must hold, for a rewrite of the log.
func (n *Node) PersistentState() PersistentState {
	return PersistentState{HardState: n.hardState(), Snapshot: n.log.snapshot, Entries: n.log.entries}
}
