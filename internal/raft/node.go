// Package raft provides the deterministic core of the replicated log that
// the control members share: leader election, replication, snapshots and
// membership changes of one member at a time.
//
// Source: D. Ongaro, J. Ousterhout, "In Search of an Understandable Consensus
// Algorithm", 2014, and D. Ongaro, "Consensus: Bridging Theory and Practice",
// 2014 (sections 4.1 membership, 6.4 reads, 9.6 pre-vote). The core does no
// input or output; the caller persists what Ready returns before it sends the
// messages that come with it.
package raft

import (
	"math/rand/v2"
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

// Role is the role of a member in its term.
type Role uint8

// The roles of a member.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role in lower case.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Mechanisms switches off single mechanisms, so that a test can show that a
// rule rests on them. All false is the product.
type Mechanisms struct {
	// NoPreVote lets a member raise its term without asking first.
	NoPreVote bool
	// NoCheckQuorum lets a leader go on without hearing from a quorum.
	NoCheckQuorum bool
	// NoStickiness lets a member vote while it hears from a leader.
	NoStickiness bool
	// NoIdentityCheck listens to a member that lost its disk.
	NoIdentityCheck bool
	// NoCommitTermCheck counts replicas of entries of earlier terms (Raft paper, figure 8).
	NoCommitTermCheck bool
	// NoStallCheck holds others for silent after this process had no time.
	NoStallCheck bool
}

// Settings are the fixed settings of a member.
type Settings struct {
	ID MemberID
	// Identity is the random number drawn when the data folder was made.
	Identity uint64
	// ElectionTimeout is the shortest time without a leader before an
	// election; the time used is drawn between one and two of it.
	ElectionTimeout time.Duration
	// Heartbeat is the time between two appends of an idle leader.
	Heartbeat time.Duration
	// MaxAppend is the largest number of entries in one message.
	MaxAppend int
	// ChunkSize is the size of a snapshot chunk in bytes.
	ChunkSize int
	// VoteAfterRestart lets a member vote at once after its restart, though it
	// may have supported a leader just before. HasLease proves nothing then;
	// reads must wait for ConfirmedSince.
	VoteAfterRestart bool
	Random           *rand.Rand
	Mechanisms       Mechanisms
}

// driftDivisor gives the share of the election timeout that is kept back
// from the read lease against clocks that run apart: one tenth.
const driftDivisor = 10

// PersistentState is what a member finds on its disk.
type PersistentState struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// Ready is work for the caller, in this order: persist Snapshot, Entries,
// HardState and sync; call Advance; send Messages; restore Snapshot
// into the state machine; apply Committed.
type Ready struct {
	HardState        HardState
	HardStateChanged bool
	Snapshot         *Snapshot
	Entries          []Entry
	Messages         []Message
	Committed        []Entry
}

// progress is what a leader knows of another member.
type progress struct {
	match uint64
	next  uint64
	// acked is the newest SentAt that the member has echoed.
	acked kernel.Instant
	// resetAt is when next last went back: refusals of what was sent before then
	// tell nothing new.
	resetAt kernel.Instant
	// due is set while an append is to go out with the next Ready, also without
	// entries if beat is set; dueAt is when it was last asked for.
	due, beat bool
	dueAt     kernel.Instant
	// probedAt is when entries last went to a member that has not agreed on where
	// the logs meet, or 0 when it has answered since.
	probedAt kernel.Instant
	// lastSent is when the leader last sent anything.
	lastSent       kernel.Instant
	snapshotIndex  uint64
	snapshotOffset uint64
}

// Node is one member. It is not safe for concurrent use.
type Node struct {
	settings Settings
	log      entryLog
	hard     HardState

	role   Role
	leader MemberID
	commit uint64
	// restoredCommit is how far the log was known to be committed by this member's disk.
	restoredCommit uint64
	applied        uint64
	persisted      uint64
	membership     Membership
	membershipIdx  uint64

	startedAt     kernel.Instant
	leaderContact kernel.Instant
	heardLeader   bool
	// ledUntil is when a quorum had last heard from this member when it gave up
	// leading.
	ledUntil   kernel.Instant
	electionAt kernel.Instant
	// pledgedTo is the member that has this one's pre-vote until pledgedUntil.
	pledgedTo    MemberID
	pledgedUntil kernel.Instant
	// tickedAt is when Tick was last called.
	tickedAt kernel.Instant
	// patientUntil is when others may be held for silent again after a stall.
	patientUntil kernel.Instant
	electedAt    kernel.Instant
	electedIndex uint64
	votes        map[MemberID]bool
	peers        map[MemberID]*progress
	incoming     incomingSnapshot

	hardChanged bool
	unsavedFrom uint64
	newSnapshot *Snapshot
	outbox      []Message
	// appendsDue is set while an append to some member is due.
	appendsDue bool
	ignored    uint64
}

// NewNode returns a member that starts from what its disk held.
func NewNode(now kernel.Instant, settings Settings, restored PersistentState) *Node {
	node := &Node{
		settings:  settings,
		hard:      restored.HardState,
		startedAt: now,

		restoredCommit: restored.HardState.Commit,
	}
	node.log.snapshot = restored.Snapshot
	node.log.entries = append(node.log.entries, restored.Entries...)
	node.commit = restored.Snapshot.Index
	node.applied = restored.Snapshot.Index
	node.persisted = node.log.lastIndex()
	node.reloadMembership()
	node.resetElectionTimer(now)
	if settings.VoteAfterRestart {
		node.retryPreVoteSoon(now)
	}
	return node
}

func (n *Node) reloadMembership() {
	n.membership, n.membershipIdx = n.log.membership()
}

// Role returns the role in the current term.
func (n *Node) Role() Role { return n.role }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.hard.Term }

// Leader returns the leader of the current term as far as it is known.
func (n *Node) Leader() MemberID { return n.leader }

// Commit returns the index of the last committed entry.
func (n *Node) Commit() uint64 { return n.commit }

// LastIndex returns the index of the last entry in the log.
func (n *Node) LastIndex() uint64 { return n.log.lastIndex() }

// SnapshotIndex returns the index of the last entry that a snapshot replaces.
func (n *Node) SnapshotIndex() uint64 { return n.log.snapshot.Index }

// Membership returns the newest membership in the log.
func (n *Node) Membership() Membership { return n.membership }

// IdentityMismatches returns the number of messages dropped because their sender's data
// folder is not the one it had before.
func (n *Node) IdentityMismatches() uint64 { return n.ignored }

// Match returns the last index known to be on the member's disk; only a
// leader knows it.
func (n *Node) Match(id MemberID) uint64 {
	if id == n.settings.ID {
		return n.persisted
	}
	if peer, ok := n.peers[id]; ok {
		return peer.match
	}
	return 0
}

// LastContact returns when the leader last heard from a member, on the
// leader's clock; only a leader knows it.
func (n *Node) LastContact(id MemberID) kernel.Instant {
	if peer, ok := n.peers[id]; ok {
		return peer.acked
	}
	return n.electedAt
}

// LastLeaderContact returns when this member last heard from a leader, and false
// if it has not since its start.
func (n *Node) LastLeaderContact() (kernel.Instant, bool) { return n.leaderContact, n.heardLeader }

// LeaderlessSince returns the newest instant at which this member heard from a
// leader or led itself; its start when neither has been.
func (n *Node) LeaderlessSince(now kernel.Instant) kernel.Instant {
	if n.role == Leader {
		return n.quorumContact(now)
	}
	return max(n.startedAt, n.leaderContact, n.ledUntil)
}

// KnowsCommit reports whether this member has learned, in the current term,
// how far the log is committed. Before that it may lack entries that were
// committed long ago: after a restart it knows none.
func (n *Node) KnowsCommit() bool {
	term, held := n.log.term(n.commit)
	return held && term == n.hard.Term
}

// HasLease reports whether a leader can answer a linearizable read, or grant
// a lease, without asking: a quorum has heard from it so recently that no
// other leader can exist, and an entry of its term is committed.
func (n *Node) HasLease(now kernel.Instant) bool {
	if n.role != Leader || n.commit < n.electedIndex {
		return false
	}
	margin := n.settings.ElectionTimeout / driftDivisor
	return now.Before(n.quorumContact(now).Add(n.settings.ElectionTimeout - margin))
}

// ConfirmedSince reports whether a quorum has heard from this leader at or
// after an instant, and an entry of its term is committed: what was committed
// anywhere at that instant is then known here (Raft thesis, section 6.4).
func (n *Node) ConfirmedSince(now, since kernel.Instant) bool {
	return n.role == Leader && n.commit >= n.electedIndex && n.quorumContact(now) >= since
}

// BroadcastHeartbeat sends a heartbeat to all members, for readers that wait.
func (n *Node) BroadcastHeartbeat(now kernel.Instant) {
	if n.role != Leader {
		return
	}
	for _, id := range n.others() {
		n.sendAppend(now, id, true)
	}
}

// ElectedAt returns when this member last became leader.
func (n *Node) ElectedAt() kernel.Instant { return n.electedAt }

// Step handles a message from another member.
func (n *Node) Step(now kernel.Instant, message Message) {
	if !n.isGenuine(message) {
		n.ignored++
		return
	}
	if message.Term > n.hard.Term && n.raisesTerm(now, message) {
		n.becomeFollower(now, message.Term, NoMember)
	}
	switch message.Kind {
	case MessagePreVote:
		n.handlePreVote(now, message)
	case MessagePreVoteReply, MessageVoteReply:
		n.handleVoteReply(now, message)
	case MessageVote:
		n.handleVote(now, message)
	case MessageAppend:
		n.handleAppend(now, message)
	case MessageAppendReply:
		n.handleAppendReply(now, message)
	case MessageSnapshot:
		n.handleSnapshot(now, message)
	case MessageSnapshotReply:
		n.handleSnapshotReply(now, message)
	}
}

// isGenuine reports whether a message comes from the data folder that the
// membership names for its sender. Of a sender that is in no membership here
// nothing is known, and it counts for nothing either.
func (n *Node) isGenuine(message Message) bool {
	if n.settings.Mechanisms.NoIdentityCheck {
		return true
	}
	identity, known := n.membership.Identities[message.From]
	return !known || identity == message.Identity
}

// raisesTerm reports whether the message's higher term is to be adopted.
// Requests of pre-vote never are, and requests for a vote only when this
// member would consider them at all.
func (n *Node) raisesTerm(now kernel.Instant, message Message) bool {
	switch message.Kind {
	case MessagePreVote:
		return false
	case MessagePreVoteReply:
		return message.Reject
	case MessageVote:
		return !n.bound(now)
	}
	return true
}

// Tick lets time pass: elections, heartbeats and the check of the quorum.
func (n *Node) Tick(now kernel.Instant) {
	n.noteStall(now)
	if n.role == Leader {
		n.tickLeader(now)
		return
	}
	if now.Before(n.electionAt) {
		return
	}
	n.resetElectionTimer(now)
	if n.membership.IsVoter(n.settings.ID) {
		n.startElection(now)
	}
	if n.role == PreCandidate {
		n.retryPreVoteSoon(now)
	}
}

// stallLimit is the longest time between two ticks of a process that runs.
const stallLimit = 100 * time.Millisecond

// noteStall gives a process whose ticks came late the time to read what has
// arrived meanwhile, before it holds others for silent.
func (n *Node) noteStall(now kernel.Instant) {
	late := n.tickedAt != 0 && now.Sub(n.tickedAt) > stallLimit
	n.tickedAt = now
	if !late || n.settings.Mechanisms.NoStallCheck {
		return
	}
	n.patientUntil = now.Add(stallLimit)
	n.electionAt = max(n.electionAt, n.patientUntil)
}

func (n *Node) tickLeader(now kernel.Instant) {
	silence := now.Sub(n.quorumContact(now))
	patient := now.Before(n.patientUntil)
	if silence > 2*n.settings.ElectionTimeout && !patient && !n.settings.Mechanisms.NoCheckQuorum {
		n.becomeFollower(now, n.hard.Term, NoMember)
		return
	}
	for _, id := range n.others() {
		if now.Sub(n.peer(id).lastSent) >= n.settings.Heartbeat {
			n.sendAppend(now, id, true)
		}
	}
}

// others returns all members but this one.
func (n *Node) others() []MemberID {
	all := append(append([]MemberID{}, n.membership.Voters...), n.membership.Learners...)
	return without(all, n.settings.ID)
}

func (n *Node) send(message Message) {
	message.From = n.settings.ID
	message.Identity = n.settings.Identity
	if message.Term == 0 {
		message.Term = n.hard.Term
	}
	n.outbox = append(n.outbox, message)
}
