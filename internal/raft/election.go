package raft

import (
	"sort"
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

func (n *Node) resetElectionTimer(now kernel.Instant) {
	timeout := n.settings.ElectionTimeout
	spread := time.Duration(n.settings.Random.Int64N(int64(timeout)))
	n.electionAt = now.Add(timeout + spread)
}

// preVoteRetryDivisor is the ratio of the election timeout to the pre-vote retry
// interval.
const preVoteRetryDivisor = 12

// schedulePreVoteRetry schedules another pre-vote well before a full election timeout.
// Pre-votes change no term, and rejections are often temporary: a restarted voter, for
// example, withholds votes only for the rest of its election timeout.
func (n *Node) schedulePreVoteRetry(now kernel.Instant) {
	pause := n.settings.ElectionTimeout / preVoteRetryDivisor
	spread := time.Duration(n.settings.Random.Int64N(int64(pause)))
	n.electionAt = now.Add(pause + spread)
}

// mustWithholdVote reports whether this member must deny votes: within the election
// timeout it has heard from a leader, has led with contact to a quorum, or may have
// heard from a leader before a restart.
func (n *Node) mustWithholdVote(now kernel.Instant) bool {
	if n.settings.Mechanisms.NoStickiness {
		return false
	}
	if n.role == Leader {
		return now.Sub(n.quorumContact(now)) < n.settings.ElectionTimeout
	}
	restarted := now.Sub(n.startedAt) < n.settings.ElectionTimeout && n.log.lastIndex() > 0
	if restarted && !n.settings.VoteAfterRestart {
		return true
	}
	return n.heardLeader && now.Sub(n.leaderContact) < n.settings.ElectionTimeout
}

// candidateIsUpToDate reports whether the candidate's log is at least as up to date as
// this member's log (Raft paper, section 5.4.1).
func (n *Node) candidateIsUpToDate(message Message) bool {
	if message.LogTerm != n.log.lastTerm() {
		return message.LogTerm > n.log.lastTerm()
	}
	return message.LogIndex >= n.log.lastIndex()
}

func (n *Node) startElection(now kernel.Instant) {
	if n.settings.Mechanisms.NoPreVote {
		n.becomeCandidate(now)
		return
	}
	n.role = PreCandidate
	n.leader = NoMember
	n.votes = map[MemberID]bool{n.settings.ID: true}
	if n.hasVoteQuorum() {
		n.becomeCandidate(now)
		return
	}
	n.requestVotes(MessagePreVote, n.hard.Term+1)
}

func (n *Node) becomeCandidate(now kernel.Instant) {
	n.role = Candidate
	n.leader = NoMember
	n.hard = HardState{Term: n.hard.Term + 1, Vote: n.settings.ID}
	n.hardStateChanged = true
	n.votes = map[MemberID]bool{n.settings.ID: true}
	n.resetElectionTimer(now)
	if n.hasVoteQuorum() {
		n.becomeLeader(now)
		return
	}
	n.requestVotes(MessageVote, n.hard.Term)
}

func (n *Node) requestVotes(kind MessageKind, term uint64) {
	for _, id := range without(n.membership.Voters, n.settings.ID) {
		n.send(Message{
			Kind:     kind,
			To:       id,
			Term:     term,
			LogIndex: n.log.lastIndex(),
			LogTerm:  n.log.lastTerm(),
		})
	}
}

func (n *Node) hasVoteQuorum() bool {
	granted := 0
	for _, id := range n.membership.Voters {
		if n.votes[id] {
			granted++
		}
	}
	return granted >= n.membership.Quorum()
}

func (n *Node) becomeFollower(now kernel.Instant, term uint64, leader MemberID) {
	if n.role == Leader {
		n.lastQuorumAsLeader = n.quorumContact(now)
	}
	if term != n.hard.Term {
		n.hard = HardState{Term: term}
		n.hardStateChanged = true
	}
	n.role = Follower
	n.leader = leader
	n.peers = nil
	n.votes = nil
	n.resetElectionTimer(now)
}

func (n *Node) becomeLeader(now kernel.Instant) {
	n.role = Leader
	n.leader = n.settings.ID
	n.electedAt = now
	n.peers = map[MemberID]*progress{}
	n.electedIndex = n.log.lastIndex() + 1
	n.appendAsLeader(now, EntryNoOp, nil)
}

func (n *Node) handlePreVote(now kernel.Instant, message Message) {
	granted := message.Term > n.hard.Term && !n.mustWithholdVote(now) && n.candidateIsUpToDate(message) && n.grantPreVote(now, message.From)
	reply := Message{Kind: MessagePreVoteReply, To: message.From, Reject: !granted}
	if granted {
		reply.Term = message.Term
	}
	n.send(reply)
}

// grantPreVote grants a pre-vote and postpones this member's own, or returns false if
// another member holds the pre-vote. Members that win pre-votes at the same time would
// become candidates together and split the vote.
func (n *Node) grantPreVote(now kernel.Instant, to MemberID) bool {
	if n.preVotedFor != to && now.Before(n.preVoteUntil) {
		return false
	}
	n.preVotedFor = to
	n.preVoteUntil = now.Add(n.settings.ElectionTimeout / preVoteRetryDivisor)
	if n.role == PreCandidate {
		n.schedulePreVoteRetry(now)
	}
	return true
}

func (n *Node) handleVote(now kernel.Instant, message Message) {
	if message.Term < n.hard.Term || n.mustWithholdVote(now) {
		n.send(Message{Kind: MessageVoteReply, To: message.From, Reject: true})
		return
	}
	free := n.hard.Vote == NoMember || n.hard.Vote == message.From
	granted := message.Term == n.hard.Term && free && n.candidateIsUpToDate(message)
	if granted {
		n.hard.Vote = message.From
		n.hardStateChanged = true
		n.resetElectionTimer(now)
	}
	n.send(Message{Kind: MessageVoteReply, To: message.From, Reject: !granted})
}

func (n *Node) handleVoteReply(now kernel.Instant, message Message) {
	preVote := n.role == PreCandidate && message.Kind == MessagePreVoteReply && message.Term == n.hard.Term+1
	vote := n.role == Candidate && message.Kind == MessageVoteReply && message.Term == n.hard.Term
	if (!preVote && !vote) || message.Reject {
		return
	}
	n.votes[message.From] = true
	if !n.hasVoteQuorum() {
		return
	}
	if preVote {
		n.becomeCandidate(now)
		return
	}
	n.becomeLeader(now)
}

// quorumContact returns the latest instant at which a quorum of voters is known to
// have been in contact with this leader.
func (n *Node) quorumContact(now kernel.Instant) kernel.Instant {
	var contacts []kernel.Instant
	for _, id := range n.membership.Voters {
		if id == n.settings.ID {
			contacts = append(contacts, now)
			continue
		}
		contacts = append(contacts, n.peer(id).ackedSentAt)
	}
	if len(contacts) == 0 {
		return now
	}
	sort.Slice(contacts, func(a, b int) bool { return contacts[a] > contacts[b] })
	quorum := n.membership.Quorum()
	return contacts[min(quorum, len(contacts))-1]
}
