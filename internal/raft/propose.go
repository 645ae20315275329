package raft

import (
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/steperror"
)

// Propose appends a command to the log. It fails if this member is not the leader.
func (n *Node) Propose(now kernel.Instant, data []byte) (index, term uint64, err error) {
	if n.role != Leader {
		return 0, 0, steperror.New("raft.propose", "", "this member is not the leader")
	}
	entry := n.appendAsLeader(now, EntryCommand, data)
	return entry.Index, entry.Term, nil
}

// ProposeMembership appends a new membership, which must differ from the current one by
// one member; this is not checked. It fails until the previous membership change and an
// entry of the current term are committed (Raft thesis, section 4.1, and its correction
// of 2015).
func (n *Node) ProposeMembership(now kernel.Instant, next Membership) (index, term uint64, err error) {
	const step = "raft.propose_membership"
	if n.role != Leader {
		return 0, 0, steperror.New(step, "", "this member is not the leader")
	}
	if n.commit < n.membershipIndex || n.commit < n.electedIndex {
		return 0, 0, steperror.New(step, "", "the previous membership change or the first entry of this term is not committed yet")
	}
	if len(next.Voters) == 0 {
		return 0, 0, steperror.New(step, "", "the last voter cannot be removed")
	}
	for _, id := range next.Voters {
		if !n.membership.IsVoter(id) && n.Match(id) < n.commit {
			return 0, 0, steperror.New(step, "", "the learner has not caught up")
		}
	}
	entry := n.appendAsLeader(now, EntryMembership, EncodeMembership(next))
	n.reloadMembership()
	return entry.Index, entry.Term, nil
}

func (n *Node) appendAsLeader(now kernel.Instant, kind EntryKind, data []byte) Entry {
	entry := Entry{Term: n.hard.Term, Index: n.log.lastIndex() + 1, Kind: kind, Data: data}
	n.log.append(entry)
	n.markUnstable(entry.Index)
	for _, id := range n.others() {
		n.scheduleAppend(now, id, false)
	}
	return entry
}

func (n *Node) markUnstable(index uint64) {
	if n.unstableFrom == 0 || index < n.unstableFrom {
		n.unstableFrom = index
	}
	if n.persisted >= index {
		n.persisted = index - 1
	}
}
