// Package raft implements the Raft consensus algorithm as a deterministic state
// machine: leader election with pre-vote, log replication, snapshots and
// single-member membership changes.
//
// References: D. Ongaro, J. Ousterhout, "In Search of an Understandable Consensus
// Algorithm", 2014 (the Raft paper), and D. Ongaro, "Consensus: Bridging Theory and
// Practice", 2014 (the Raft thesis; sections 4.1 membership changes, 6.4 reads,
// 9.6 pre-vote). The package performs no I/O: the caller persists the contents of a
// Ready before it sends the messages in it.
package raft

import (
	"math/rand/v2"
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

// Role is the role of a member in the current term.
type Role uint8

// The member roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the lower-case name of the role.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Mechanisms disables individual mechanisms for ablation tests. The zero value enables
// all of them.
type Mechanisms struct {
	// NoPreVote starts elections without a pre-vote round.
	NoPreVote bool
	// NoCheckQuorum keeps a leader in office without contact to a quorum.
	NoCheckQuorum bool
	// NoStickiness lets a member grant votes while it is in contact with a leader, or
	// just after a restart.
	NoStickiness bool
	// NoIdentityCheck accepts messages from a member that lost its disk.
	NoIdentityCheck bool
	// NoCommitTermCheck commits entries of earlier terms by counting replicas (Raft
	// paper, figure 8).
	NoCommitTermCheck bool
	// NoStallCheck lets timeouts expire immediately after a stall of this process.
	NoStallCheck bool
}

// Settings is the configuration of a member.
type Settings struct {
	ID MemberID
	// Identity is the random number generated when the data directory was created.
	Identity uint64
	// ElectionTimeout is the minimum election timeout; the actual one is random
	// between one and two times this value.
	ElectionTimeout time.Duration
	// Heartbeat is the interval between heartbeats of an idle leader.
	Heartbeat time.Duration
	// MaxAppend is the maximum number of entries in one message.
	MaxAppend int
	// ChunkSize is the maximum size of a snapshot chunk in bytes.
	ChunkSize int
	// VoteAfterRestart lets a member vote immediately after a restart, although it may
	// have acknowledged a leader just before. HasLease is then unsafe, and reads must
	// use ConfirmedSince.
	VoteAfterRestart bool
	Random           *rand.Rand
	Mechanisms       Mechanisms
}

// driftDivisor is the ratio of the election timeout to the safety margin that a read
// lease keeps for clock drift.
const driftDivisor = 10

// PersistentState is the state that a member restores from disk at start.
type PersistentState struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// Ready is work for the caller, to be done in this order: persist Snapshot, Entries and
// HardState and sync; call Advance; send Messages; restore Snapshot into the state
// machine; apply Committed.
type Ready struct {
	HardState        HardState
	HardStateChanged bool
	Snapshot         *Snapshot
	Entries          []Entry
	Messages         []Message
	Committed        []Entry
}

// progress is the leader's view of the replication state of another member.
type progress struct {
	match uint64
	next  uint64
	// ackedSentAt is the latest SentAt that the member has echoed.
	ackedSentAt kernel.Instant
	// nextLoweredAt is when next was last lowered; rejections of messages sent before
	// then are ignored.
	nextLoweredAt kernel.Instant
	// appendPending schedules an append for the next Ready, and heartbeatPending makes it
	// go out even without entries. requestedAt is the time of the latest request.
	appendPending, heartbeatPending bool
	requestedAt                     kernel.Instant
	// probedAt is when entries were last sent to a member whose match index is unknown,
	// or 0 if it has replied since.
	probedAt kernel.Instant
	// lastSent is when the leader last sent the member a message.
	lastSent       kernel.Instant
	snapshotIndex  uint64
	snapshotOffset uint64
}

// Node is one member of a Raft group. It is not safe for concurrent use.
type Node struct {
	settings Settings
	log      entryLog
	hard     HardState

	role   Role
	leader MemberID
	commit uint64
	// restoredCommit is the commit index read from disk at start.
	restoredCommit  uint64
	applied         uint64
	persisted       uint64
	membership      Membership
	membershipIndex uint64

	startedAt     kernel.Instant
	leaderContact kernel.Instant
	heardLeader   bool
	// lastQuorumAsLeader is the quorum contact at the time this member last stepped down.
	lastQuorumAsLeader kernel.Instant
	electionAt         kernel.Instant
	// preVotedFor is the member that holds this member's pre-vote until preVoteUntil.
	preVotedFor  MemberID
	preVoteUntil kernel.Instant
	lastTick     kernel.Instant
	// stallGraceUntil is the time until which timeouts are suppressed after a stall.
	stallGraceUntil kernel.Instant
	electedAt       kernel.Instant
	electedIndex    uint64
	votes           map[MemberID]bool
	peers           map[MemberID]*progress
	incoming        incomingSnapshot

	hardStateChanged bool
	unstableFrom     uint64
	pendingSnapshot  *Snapshot
	outbox           []Message
	// appendsPending is set while an append to any member is scheduled.
	appendsPending     bool
	identityMismatches uint64
}

// NewNode returns a member that starts as a follower with the restored state.
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
		node.schedulePreVoteRetry(now)
	}
	return node
}

func (n *Node) reloadMembership() {
	n.membership, n.membershipIndex = n.log.membership()
}

// Role returns the role in the current term.
func (n *Node) Role() Role { return n.role }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.hard.Term }

// Leader returns the leader of the current term, or NoMember if it is unknown.
func (n *Node) Leader() MemberID { return n.leader }

// Commit returns the index of the last committed entry.
func (n *Node) Commit() uint64 { return n.commit }

// LastIndex returns the index of the last entry in the log.
func (n *Node) LastIndex() uint64 { return n.log.lastIndex() }

// SnapshotIndex returns the index of the last entry covered by the snapshot.
func (n *Node) SnapshotIndex() uint64 { return n.log.snapshot.Index }

// Membership returns the newest membership in the log, committed or not.
func (n *Node) Membership() Membership { return n.membership }

// IdentityMismatches returns the number of messages dropped because the identity of
// the sender's data directory does not match the membership.
func (n *Node) IdentityMismatches() uint64 { return n.identityMismatches }

// Match returns the highest index known to be persisted by the member. For other
// members it is valid only on the leader.
func (n *Node) Match(id MemberID) uint64 {
	if id == n.settings.ID {
		return n.persisted
	}
	if peer, ok := n.peers[id]; ok {
		return peer.match
	}
	return 0
}

// LastContact returns the send time, on the leader's clock, of the latest message that
// the member has acknowledged. It is valid only on the leader.
func (n *Node) LastContact(id MemberID) kernel.Instant {
	if peer, ok := n.peers[id]; ok {
		return peer.ackedSentAt
	}
	return n.electedAt
}

// LastLeaderContact returns when this member last heard from a leader, or false if it
// has not since it started.
func (n *Node) LastLeaderContact() (kernel.Instant, bool) { return n.leaderContact, n.heardLeader }

// LeaderlessSince returns the latest instant at which this member heard from a leader
// or led with contact to a quorum, or its start time if it has done neither.
func (n *Node) LeaderlessSince(now kernel.Instant) kernel.Instant {
	if n.role == Leader {
		return n.quorumContact(now)
	}
	return max(n.startedAt, n.leaderContact, n.lastQuorumAsLeader)
}

// KnowsCommit reports whether the last known committed entry is of the current term.
// Until then, in particular after a restart, the commit index may be far behind.
func (n *Node) KnowsCommit() bool {
	term, held := n.log.term(n.commit)
	return held && term == n.hard.Term
}

// HasLease reports whether this member holds a leader lease and may serve linearizable
// reads without a round trip: a quorum has acknowledged it so recently that there can
// be no other leader, and an entry of its term is committed.
func (n *Node) HasLease(now kernel.Instant) bool {
	if n.role != Leader || n.commit < n.electedIndex {
		return false
	}
	margin := n.settings.ElectionTimeout / driftDivisor
	return now.Before(n.quorumContact(now).Add(n.settings.ElectionTimeout - margin))
}

// ConfirmedSince reports whether a quorum has acknowledged this leader at or after an
// instant and an entry of its term is committed. Everything committed before that
// instant is then known here (Raft thesis, section 6.4).
func (n *Node) ConfirmedSince(now, since kernel.Instant) bool {
	return n.role == Leader && n.commit >= n.electedIndex && n.quorumContact(now) >= since
}

// BroadcastHeartbeat sends a heartbeat to all members, so that pending reads are
// confirmed without waiting for the next interval.
func (n *Node) BroadcastHeartbeat(now kernel.Instant) {
	if n.role != Leader {
		return
	}
	for _, id := range n.others() {
		n.scheduleAppend(now, id, true)
	}
}

// ElectedAt returns when this member last became leader.
func (n *Node) ElectedAt() kernel.Instant { return n.electedAt }

// Step processes a message from another member.
func (n *Node) Step(now kernel.Instant, message Message) {
	if !n.identityMatches(message) {
		n.identityMismatches++
		return
	}
	if message.Term > n.hard.Term && n.adoptsTerm(now, message) {
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

// identityMatches reports whether the message's identity is the one that the membership
// records for its sender. Senders without a recorded identity are accepted; they are
// not voters in this member's view.
func (n *Node) identityMatches(message Message) bool {
	if n.settings.Mechanisms.NoIdentityCheck {
		return true
	}
	identity, known := n.membership.Identities[message.From]
	return !known || identity == message.Identity
}

// adoptsTerm reports whether to adopt the higher term of the message. The term of a
// pre-vote request is never adopted, that of a vote request only if this member is
// free to vote, and that of a pre-vote reply only if it is a rejection.
func (n *Node) adoptsTerm(now kernel.Instant, message Message) bool {
	switch message.Kind {
	case MessagePreVote:
		return false
	case MessagePreVoteReply:
		return message.Reject
	case MessageVote:
		return !n.mustWithholdVote(now)
	}
	return true
}

// Tick advances time: it starts elections, sends heartbeats and checks the leader's
// contact with a quorum.
func (n *Node) Tick(now kernel.Instant) {
	n.detectStall(now)
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
		n.schedulePreVoteRetry(now)
	}
}

// stallLimit is the interval between two ticks above which the process counts as
// stalled.
const stallLimit = 100 * time.Millisecond

// detectStall suppresses timeouts after a late tick, so that messages received during
// the stall are processed first.
func (n *Node) detectStall(now kernel.Instant) {
	late := n.lastTick != 0 && now.Sub(n.lastTick) > stallLimit
	n.lastTick = now
	if !late || n.settings.Mechanisms.NoStallCheck {
		return
	}
	n.stallGraceUntil = now.Add(stallLimit)
	n.electionAt = max(n.electionAt, n.stallGraceUntil)
}

func (n *Node) tickLeader(now kernel.Instant) {
	silence := now.Sub(n.quorumContact(now))
	inStallGrace := now.Before(n.stallGraceUntil)
	if silence > 2*n.settings.ElectionTimeout && !inStallGrace && !n.settings.Mechanisms.NoCheckQuorum {
		n.becomeFollower(now, n.hard.Term, NoMember)
		return
	}
	for _, id := range n.others() {
		if now.Sub(n.peer(id).lastSent) >= n.settings.Heartbeat {
			n.scheduleAppend(now, id, true)
		}
	}
}

// others returns all members except this one.
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
