package raft

import (
	"maps"
	"slices"
	"sort"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

// peer returns what the leader knows of a member, and starts the record.
func (n *Node) peer(id MemberID) *progress {
	if n.peers == nil {
		n.peers = map[MemberID]*progress{}
	}
	peer, known := n.peers[id]
	if !known {
		peer = &progress{next: n.log.lastIndex() + 1, acked: n.electedAt}
		n.peers[id] = peer
	}
	return peer
}

// inFlightAppends bounds what a member that has answered this leader may have under
// way, in appends of the largest size.
const inFlightAppends = 8

// sendAppend lets an append go to a member with the next Ready: all that comes up
// until then travels in one message. An idle member gets one only as a heartbeat.
func (n *Node) sendAppend(now kernel.Instant, id MemberID, heartbeat bool) {
	peer := n.peer(id)
	if !heartbeat && peer.next > n.log.lastIndex() {
		return
	}
	peer.due = true
	peer.beat = peer.beat || heartbeat
	peer.dueAt = max(peer.dueAt, now)
	n.appendsDue = true
}

// buildAppends makes the messages of all appends that are due.
func (n *Node) buildAppends() {
	if !n.appendsDue {
		return
	}
	n.appendsDue = false
	for _, id := range slices.Sorted(maps.Keys(n.peers)) {
		peer := n.peers[id]
		if !peer.due {
			continue
		}
		heartbeat := peer.beat
		peer.due, peer.beat = false, false
		for n.buildAppend(peer.dueAt, id, heartbeat) {
			heartbeat = false
		}
	}
}

// buildAppend makes a message with the entries that the member lacks, a snapshot
// chunk if the log no longer holds them, or an empty append as a heartbeat. It
// returns whether the member can take another one.
func (n *Node) buildAppend(now kernel.Instant, id MemberID, heartbeat bool) (more bool) {
	peer := n.peer(id)
	previous := peer.next - 1
	term, held := n.log.term(previous)
	if !held {
		n.sendSnapshot(now, id, peer, heartbeat)
		return false
	}
	entries := n.log.slice(peer.next, n.lastToSend(now, peer))
	if len(entries) == 0 && !heartbeat {
		return false
	}
	peer.lastSent = now
	if peer.match == 0 && len(entries) > 0 {
		peer.probedAt = now
	}
	if peer.match > 0 {
		peer.next += uint64(len(entries))
	}
	n.send(Message{
		Kind:     MessageAppend,
		To:       id,
		LogIndex: previous,
		LogTerm:  term,
		Commit:   n.commit,
		Entries:  append([]Entry(nil), entries...),
		SentAt:   now,
	})
	return peer.match > 0 && len(entries) == n.settings.MaxAppend
}

// lastToSend returns the index of the last entry that can go to a member in one
// message. One that has not yet agreed on where the logs meet gets one message a
// heartbeat: it would refuse all that goes out behind it.
func (n *Node) lastToSend(now kernel.Instant, peer *progress) uint64 {
	previous := peer.next - 1
	last := min(n.log.lastIndex(), previous+uint64(n.settings.MaxAppend))
	if peer.match > 0 {
		return min(last, max(previous, peer.match+inFlightAppends*uint64(n.settings.MaxAppend)))
	}
	if peer.probedAt != 0 && now.Sub(peer.probedAt) < n.settings.Heartbeat {
		return previous
	}
	return last
}

func (n *Node) handleAppend(now kernel.Instant, message Message) {
	if !n.acceptLeader(now, message) {
		return
	}
	reply := Message{Kind: MessageAppendReply, To: message.From, SentAt: message.SentAt}
	previousTerm, held := n.log.term(message.LogIndex)
	if message.LogIndex < n.log.snapshot.Index {
		reply.LogIndex = n.commit
		n.send(reply)
		return
	}
	if !held || previousTerm != message.LogTerm {
		reply.Reject = true
		reply.LogIndex = n.rejectHint(message.LogIndex)
		n.send(reply)
		return
	}
	n.storeEntries(message.Entries)
	match := message.LogIndex + uint64(len(message.Entries))
	n.commit = max(n.commit, min(message.Commit, match))
	reply.LogIndex = match
	n.send(reply)
}

// rejectHint returns the index from which the leader should try again: the
// end of the log, or the entry before the term that does not agree.
func (n *Node) rejectHint(index uint64) uint64 {
	if index > n.log.lastIndex() {
		return n.log.lastIndex()
	}
	conflicting, held := n.log.term(index)
	for held && index > n.commit {
		term, ok := n.log.term(index)
		if !ok || term != conflicting {
			break
		}
		index--
	}
	return index
}

// acceptLeader reports whether the sender leads the current term, and tells
// an old leader of the newer one.
func (n *Node) acceptLeader(now kernel.Instant, message Message) bool {
	if message.Term < n.hard.Term {
		n.send(Message{Kind: MessageAppendReply, To: message.From, Reject: true, LogIndex: n.commit})
		return false
	}
	n.becomeFollower(now, message.Term, message.From)
	n.leaderContact = now
	n.heardLeader = true
	return true
}

func (n *Node) storeEntries(entries []Entry) {
	for position, entry := range entries {
		term, held := n.log.term(entry.Index)
		if held && term == entry.Term {
			continue
		}
		if entry.Index <= n.commit {
			continue
		}
		if held {
			n.log.truncate(entry.Index)
		}
		rest := entries[position:]
		n.log.append(rest...)
		n.markUnsaved(entry.Index)
		n.reloadMembership()
		return
	}
}

func (n *Node) handleAppendReply(now kernel.Instant, message Message) {
	if n.role != Leader || message.Term != n.hard.Term {
		return
	}
	peer := n.peer(message.From)
	if message.SentAt > peer.acked {
		peer.acked = message.SentAt
	}
	if message.Reject {
		n.handleRefusal(now, message, peer)
		return
	}
	peer.probedAt = 0
	if message.LogIndex > peer.match {
		peer.match = message.LogIndex
		peer.next = max(peer.next, peer.match+1)
		n.advanceCommit(now)
	}
	if peer.next <= n.log.lastIndex() {
		n.sendAppend(now, message.From, false)
	}
}

// handleRefusal goes back to where the member's log agrees and sends from there.
// One lost append makes a member refuse all that were under way behind it; only
// the first refusal counts.
func (n *Node) handleRefusal(now kernel.Instant, message Message, peer *progress) {
	if message.SentAt < peer.resetAt {
		return
	}
	if message.LogIndex+1 < peer.next && message.LogIndex >= peer.match {
		peer.next = message.LogIndex + 1
		peer.resetAt = now
		peer.probedAt = 0
	}
	n.sendAppend(now, message.From, true)
}

// advanceCommit commits the newest entry of this term that a quorum of voters
// has on disk (Raft paper, section 5.4.2).
func (n *Node) advanceCommit(now kernel.Instant) {
	var matches []uint64
	for _, id := range n.membership.Voters {
		matches = append(matches, n.Match(id))
	}
	if len(matches) == 0 {
		return
	}
	sort.Slice(matches, func(a, b int) bool { return matches[a] > matches[b] })
	index := matches[n.membership.Quorum()-1]
	term, held := n.log.term(index)
	ownTerm := held && (term == n.hard.Term || n.settings.Mechanisms.NoCommitTermCheck)
	if index <= n.commit || !ownTerm {
		return
	}
	n.commit = index
	if n.commit >= n.membershipIdx && !n.membership.IsVoter(n.settings.ID) {
		n.becomeFollower(now, n.hard.Term, NoMember)
		return
	}
	for _, id := range n.others() {
		n.sendAppend(now, id, true)
	}
}
