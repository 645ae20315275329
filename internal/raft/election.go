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

// preVoteRetryDivisor gives the time between two requests for pre-votes as a
// part of the election timeout.
const preVoteRetryDivisor = 12

// retryPreVoteSoon asks again before a whole election timeout has passed. A
// pre-vote changes nothing, and most refusals end within that time: after a
// restart of the whole group the others are bound for the rest of it.
func (n *Node) retryPreVoteSoon(now kernel.Instant) {
	pause := n.settings.ElectionTimeout / preVoteRetryDivisor
	spread := time.Duration(n.settings.Random.Int64N(int64(pause)))
	n.electionAt = now.Add(pause + spread)
}

// bound reports whether this member may not vote yet: it hears from a leader,
// or it restarted so recently that it may have promised one its support.
func (n *Node) bound(now kernel.Instant) bool {
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

// upToDate reports whether the candidate's log is no older than this one's
// (Raft paper, section 5.4.1).
func (n *Node) upToDate(message Message) bool {
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
	if n.won() {
		n.becomeCandidate(now)
		return
	}
	n.askForVotes(MessagePreVote, n.hard.Term+1)
}

func (n *Node) becomeCandidate(now kernel.Instant) {
	n.role = Candidate
	n.leader = NoMember
	n.hard = HardState{Term: n.hard.Term + 1, Vote: n.settings.ID}
	n.hardChanged = true
	n.votes = map[MemberID]bool{n.settings.ID: true}
	n.resetElectionTimer(now)
	if n.won() {
		n.becomeLeader(now)
		return
	}
	n.askForVotes(MessageVote, n.hard.Term)
}

func (n *Node) askForVotes(kind MessageKind, term uint64) {
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

func (n *Node) won() bool {
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
		n.ledUntil = n.quorumContact(now)
	}
	if term != n.hard.Term {
		n.hard = HardState{Term: term}
		n.hardChanged = true
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
	n.appendOwn(now, EntryNoOp, nil)
}

func (n *Node) handlePreVote(now kernel.Instant, message Message) {
	granted := message.Term > n.hard.Term && !n.bound(now) && n.upToDate(message) && n.pledge(now, message.From)
	reply := Message{Kind: MessagePreVoteReply, To: message.From, Reject: !granted}
	if granted {
		reply.Term = message.Term
	}
	n.send(reply)
}

// pledge promises a pre-vote to one member at a time, and puts off this one's own
// request meanwhile. Members that have waited for the same third one would
// otherwise get its support together, become candidates together and split the
// vote.
func (n *Node) pledge(now kernel.Instant, to MemberID) bool {
	if n.pledgedTo != to && now.Before(n.pledgedUntil) {
		return false
	}
	n.pledgedTo = to
	n.pledgedUntil = now.Add(n.settings.ElectionTimeout / preVoteRetryDivisor)
	if n.role == PreCandidate {
		n.retryPreVoteSoon(now)
	}
	return true
}

func (n *Node) handleVote(now kernel.Instant, message Message) {
	if message.Term < n.hard.Term || n.bound(now) {
		n.send(Message{Kind: MessageVoteReply, To: message.From, Reject: true})
		return
	}
	free := n.hard.Vote == NoMember || n.hard.Vote == message.From
	granted := message.Term == n.hard.Term && free && n.upToDate(message)
	if granted {
		n.hard.Vote = message.From
		n.hardChanged = true
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
	if !n.won() {
		return
	}
	if preVote {
		n.becomeCandidate(now)
		return
	}
	n.becomeLeader(now)
}

// quorumContact returns the newest instant at which a quorum of voters is
// known to have heard from this leader.
func (n *Node) quorumContact(now kernel.Instant) kernel.Instant {
	var contacts []kernel.Instant
	for _, id := range n.membership.Voters {
		if id == n.settings.ID {
			contacts = append(contacts, now)
			continue
		}
		contacts = append(contacts, n.peer(id).acked)
	}
	if len(contacts) == 0 {
		return now
	}
	sort.Slice(contacts, func(a, b int) bool { return contacts[a] > contacts[b] })
	quorum := n.membership.Quorum()
	return contacts[min(quorum, len(contacts))-1]
}
