package raft

import (
	"maps"
	"slices"
	"sort"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

// peer returns the replication progress of a member and creates it if it is missing.
func (n *Node) peer(id MemberID) *progress {
	if n.peers == nil {
		n.peers = map[MemberID]*progress{}
	}
	peer, known := n.peers[id]
	if !known {
		peer = &progress{next: n.log.lastIndex() + 1, ackedSentAt: n.electedAt}
		n.peers[id] = peer
	}
	return peer
}

// maxInflightAppends is the replication window of a member whose match index is known,
// in units of MaxAppend entries.
const maxInflightAppends = 8

// scheduleAppend schedules an append for the next Ready, so that entries proposed until
// then are batched. Without new entries it is scheduled only for a heartbeat.
func (n *Node) scheduleAppend(now kernel.Instant, id MemberID, heartbeat bool) {
	peer := n.peer(id)
	if !heartbeat && peer.next > n.log.lastIndex() {
		return
	}
	peer.appendPending = true
	peer.heartbeatPending = peer.heartbeatPending || heartbeat
	peer.requestedAt = max(peer.requestedAt, now)
	n.appendsPending = true
}

// buildAppends creates the messages for all scheduled appends.
func (n *Node) buildAppends() {
	if !n.appendsPending {
		return
	}
	n.appendsPending = false
	for _, id := range slices.Sorted(maps.Keys(n.peers)) {
		peer := n.peers[id]
		if !peer.appendPending {
			continue
		}
		heartbeat := peer.heartbeatPending
		peer.appendPending, peer.heartbeatPending = false, false
		for n.buildAppend(peer.requestedAt, id, heartbeat) {
			heartbeat = false
		}
	}
}

// buildAppend creates a message with the entries the member is missing, a snapshot
// chunk if those entries are compacted, or an empty append as a heartbeat. It reports
// whether there may be room for another full message.
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

// lastToSend returns the index of the last entry to send to a member in one message.
// While its match index is unknown, a member gets one probe per heartbeat interval,
// since it would reject anything sent after a failed probe.
func (n *Node) lastToSend(now kernel.Instant, peer *progress) uint64 {
	previous := peer.next - 1
	last := min(n.log.lastIndex(), previous+uint64(n.settings.MaxAppend))
	if peer.match > 0 {
		return min(last, max(previous, peer.match+maxInflightAppends*uint64(n.settings.MaxAppend)))
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

// rejectHint returns the index after which the leader should retry: the end of the
// log, or the last entry before those of the conflicting term.
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

// acceptLeader reports whether the sender is the leader of the current or a newer
// term. A stale leader gets a rejection that carries the current term.
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
		n.markUnstable(entry.Index)
		n.reloadMembership()
		return
	}
}

func (n *Node) handleAppendReply(now kernel.Instant, message Message) {
	if n.role != Leader || message.Term != n.hard.Term {
		return
	}
	peer := n.peer(message.From)
	if message.SentAt > peer.ackedSentAt {
		peer.ackedSentAt = message.SentAt
	}
	if message.Reject {
		n.handleReject(now, message, peer)
		return
	}
	peer.probedAt = 0
	if message.LogIndex > peer.match {
		peer.match = message.LogIndex
		peer.next = max(peer.next, peer.match+1)
		n.advanceCommit(now)
	}
	if peer.next <= n.log.lastIndex() {
		n.scheduleAppend(now, message.From, false)
	}
}

// handleReject lowers next to the member's hint and resends from there. After a lost
// append the member rejects all appends that were sent after it. Only the first of
// these rejections counts: those of messages sent before next was lowered are ignored.
func (n *Node) handleReject(now kernel.Instant, message Message, peer *progress) {
	if message.SentAt < peer.nextLoweredAt {
		return
	}
	if message.LogIndex+1 < peer.next && message.LogIndex >= peer.match {
		peer.next = message.LogIndex + 1
		peer.nextLoweredAt = now
		peer.probedAt = 0
	}
	n.scheduleAppend(now, message.From, true)
}

// advanceCommit commits the newest entry of the current term that a quorum of voters
// has persisted (Raft paper, section 5.4.2).
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
	if n.commit >= n.membershipIndex && !n.membership.IsVoter(n.settings.ID) {
		n.becomeFollower(now, n.hard.Term, NoMember)
		return
	}
	for _, id := range n.others() {
		n.scheduleAppend(now, id, true)
	}
}
