package raft

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

// group runs members in memory. Messages are delivered at the next step.
type group struct {
	t           *testing.T
	now         kernel.Instant
	nodes       map[MemberID]*Node
	partitioned map[MemberID]bool
	inFlight    []Message
	// applied holds the commands applied by each member, in order.
	applied   map[MemberID][]string
	configure func(*Settings)
	// entriesTo counts the entries sent to each member, including resent ones.
	entriesTo map[MemberID]int
}

const tickInterval = 20 * time.Millisecond

func testSettings(id MemberID) Settings {
	return Settings{
		ID:              id,
		Identity:        uint64(100 + id),
		ElectionTimeout: 600 * time.Millisecond,
		Heartbeat:       100 * time.Millisecond,
		MaxAppend:       4,
		ChunkSize:       8,
		Random:          rand.New(rand.NewPCG(uint64(id), 7)),
	}
}

func newGroup(t *testing.T, size int, configure func(*Settings)) *group {
	g := &group{t: t, nodes: map[MemberID]*Node{}, partitioned: map[MemberID]bool{}, applied: map[MemberID][]string{}, configure: configure, entriesTo: map[MemberID]int{}}
	identities := map[MemberID]uint64{}
	for id := MemberID(1); id <= MemberID(size); id++ {
		identities[id] = uint64(100 + id)
	}
	first := PersistentState{Snapshot: Snapshot{Index: 1, Membership: NewMembership(identities)}}
	for id := range identities {
		g.start(id, first)
	}
	return g
}

func (g *group) start(id MemberID, restored PersistentState) *Node {
	settings := testSettings(id)
	if g.configure != nil {
		g.configure(&settings)
	}
	g.nodes[id] = NewNode(g.now, settings, restored)
	return g.nodes[id]
}

func (g *group) processReady(node *Node) {
	for node.HasReady() {
		ready := node.Ready()
		node.Advance(g.now)
		g.inFlight = append(g.inFlight, ready.Messages...)
		for _, message := range ready.Messages {
			g.entriesTo[message.To] += len(message.Entries)
		}
		for _, entry := range ready.Committed {
			if entry.Kind == EntryCommand {
				g.applied[node.settings.ID] = append(g.applied[node.settings.ID], string(entry.Data))
			}
		}
	}
}

func (g *group) advance(length time.Duration) {
	for end := g.now.Add(length); g.now < end; g.now = g.now.Add(tickInterval) {
		delivered := g.inFlight
		g.inFlight = nil
		for _, message := range delivered {
			to := g.nodes[message.To]
			if to == nil || g.partitioned[message.From] || g.partitioned[message.To] {
				continue
			}
			to.Step(g.now, message)
			g.processReady(to)
		}
		for id := MemberID(1); id < 20; id++ {
			if node := g.nodes[id]; node != nil {
				node.Tick(g.now)
				g.processReady(node)
			}
		}
	}
}

func (g *group) leader() *Node {
	var found *Node
	for id, node := range g.nodes {
		if node.Role() == Leader && !g.partitioned[id] {
			require.Nil(g.t, found, "two connected leaders")
			found = node
		}
	}
	require.NotNil(g.t, found, "no leader")
	return found
}

func (g *group) propose(node *Node, command string) {
	_, _, err := node.Propose(g.now, []byte(command))
	require.NoError(g.t, err)
	g.processReady(node)
}

func TestReplication(t *testing.T) {
	g := newGroup(t, 3, nil)
	g.advance(2 * time.Second)
	leader := g.leader()
	for i := range 20 {
		g.propose(leader, fmt.Sprint(i))
	}
	g.advance(time.Second)
	for id := range g.nodes {
		assert.Len(t, g.applied[id], 20)
		assert.Equal(t, g.applied[1], g.applied[id])
	}
	assert.True(t, leader.HasLease(g.now))
}

func TestLeaderWithoutQuorumStepsDown(t *testing.T) {
	g := newGroup(t, 3, nil)
	g.advance(2 * time.Second)
	leader := g.leader()
	for id := range g.nodes {
		g.partitioned[id] = id != leader.settings.ID
	}
	g.propose(leader, "lost")
	g.advance(3 * time.Second)
	assert.Empty(t, g.applied[leader.settings.ID])
	assert.NotEqual(t, Leader, leader.Role(), "a leader without a quorum must step down")
	assert.False(t, leader.HasLease(g.now))
}

func TestPreVotePreventsDisruption(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"default":                    nil,
		"no pre-vote, no stickiness": func(s *Settings) { s.Mechanisms = Mechanisms{NoPreVote: true, NoStickiness: true} },
	} {
		t.Run(name, func(t *testing.T) {
			g := newGroup(t, 3, change)
			g.advance(2 * time.Second)
			leader := g.leader()
			term := leader.Term()
			var isolated MemberID
			for id := range g.nodes {
				if id != leader.settings.ID {
					isolated = id
				}
			}
			g.partitioned[isolated] = true
			g.advance(30 * time.Second)
			g.partitioned[isolated] = false
			g.advance(3 * time.Second)
			if change == nil {
				assert.Equal(t, term, g.leader().Term())
			} else {
				assert.Greater(t, g.leader().Term(), term, "without pre-vote and stickiness the returning member must force a new term")
			}
		})
	}
}

func TestIdentityMismatchIsIgnored(t *testing.T) {
	g := newGroup(t, 3, nil)
	g.advance(2 * time.Second)
	leader := g.leader()
	g.propose(leader, "kept")
	g.advance(time.Second)
	var wiped, survivor MemberID
	for id := range g.nodes {
		if id == leader.settings.ID {
			continue
		}
		wiped, survivor = id, wiped
		if survivor == 0 {
			survivor = id
		}
	}
	g.configure = func(s *Settings) { s.Identity = 999 }
	g.start(wiped, PersistentState{})
	g.partitioned[leader.settings.ID] = true
	g.advance(10 * time.Second)
	assert.NotEqual(t, Leader, g.nodes[wiped].Role())
	assert.NotEqual(t, Leader, g.nodes[survivor].Role(), "the vote of the wiped member must not count")
	assert.NotZero(t, g.nodes[survivor].IdentityMismatches())
}

func TestSingleMembershipChange(t *testing.T) {
	g := newGroup(t, 3, nil)
	g.advance(2 * time.Second)
	leader := g.leader()
	next := leader.Membership().AddLearner(4, 104)
	_, _, err := leader.ProposeMembership(g.now, next)
	require.NoError(t, err)
	_, _, err = leader.ProposeMembership(g.now, next.AddLearner(5, 105))
	assert.ErrorContains(t, err, "not committed yet")
	g.processReady(leader)
	_, _, err = leader.ProposeMembership(g.now, next.Promote(4))
	assert.Error(t, err, "a change is rejected while the previous one is not committed")
	g.start(4, PersistentState{})
	g.advance(time.Second)
	_, _, err = leader.ProposeMembership(g.now, next.Promote(4))
	require.NoError(t, err)
	g.processReady(leader)
	g.advance(time.Second)
	assert.True(t, g.nodes[4].Membership().IsVoter(4))
	_, _, err = leader.ProposeMembership(g.now, Membership{})
	assert.ErrorContains(t, err, "last voter")
}

func TestRemovedLeaderStepsDown(t *testing.T) {
	g := newGroup(t, 3, nil)
	g.advance(2 * time.Second)
	leader := g.leader()
	_, _, err := leader.ProposeMembership(g.now, leader.Membership().Remove(leader.settings.ID))
	require.NoError(t, err)
	g.processReady(leader)
	g.advance(5 * time.Second)
	assert.NotEqual(t, leader, g.leader())
	assert.NotEqual(t, Leader, leader.Role())
}

func TestChunkedSnapshotTransfer(t *testing.T) {
	g := newGroup(t, 3, nil)
	g.advance(2 * time.Second)
	leader := g.leader()
	var lagging MemberID
	for id := range g.nodes {
		if id != leader.settings.ID {
			lagging = id
		}
	}
	g.partitioned[lagging] = true
	for i := range 50 {
		g.propose(leader, fmt.Sprint(i))
	}
	g.advance(time.Second)
	leader.Compact(leader.Commit(), []byte("a state of the machine that needs several chunks"))
	g.partitioned[lagging] = false
	g.advance(3 * time.Second)
	assert.Equal(t, leader.Commit(), g.nodes[lagging].Commit())
	assert.Equal(t, "a state of the machine that needs several chunks", string(g.nodes[lagging].PersistentState().Snapshot.Data))
}

// Counting replicas must not commit an entry of an earlier term (Raft paper,
// figure 8).
func TestCommitOnlyCurrentTerm(t *testing.T) {
	for name, mechanisms := range map[string]Mechanisms{"default": {}, "counting": {NoCommitTermCheck: true}} {
		t.Run(name, func(t *testing.T) {
			settings := testSettings(1)
			settings.Mechanisms = mechanisms
			identities := map[MemberID]uint64{1: 101, 2: 102, 3: 103}
			node := NewNode(0, settings, PersistentState{
				HardState: HardState{Term: 4},
				Snapshot:  Snapshot{Index: 1, Term: 1, Membership: NewMembership(identities)},
				Entries:   []Entry{{Term: 2, Index: 2, Kind: EntryCommand, Data: []byte("old")}},
			})
			node.becomeCandidate(0)
			node.Step(0, Message{Kind: MessageVoteReply, From: 2, Identity: 102, Term: 5})
			require.Equal(t, Leader, node.Role())
			node.Step(0, Message{Kind: MessageAppendReply, From: 2, Identity: 102, Term: 5, LogIndex: 2})
			want := uint64(1)
			if mechanisms.NoCommitTermCheck {
				want = 2
			}
			assert.Equal(t, want, node.Commit())
		})
	}
}

func TestMessageRoundTrip(t *testing.T) {
	message := Message{
		Kind: MessageSnapshot, From: 1, To: 2, Identity: 3, Term: 4, LogIndex: 5, LogTerm: 6, Commit: 7, SentAt: 8,
		Entries: []Entry{{Term: 1, Index: 2, Kind: EntryCommand, Data: []byte("x")}},
		Reject:  true, Offset: 9, Data: []byte("chunk"), Last: true,
		Membership: NewMembership(map[MemberID]uint64{1: 11, 2: 22}).AddLearner(3, 33),
	}
	decoded, err := DecodeMessage(EncodeMessage(message))
	require.NoError(t, err)
	assert.Equal(t, message, decoded)
	for size := range EncodeMessage(message) {
		_, err := DecodeMessage(EncodeMessage(message)[:size])
		assert.Error(t, err, "size %d", size)
	}
}

func FuzzDecodeMessage(f *testing.F) {
	f.Add(EncodeMessage(Message{Kind: MessageAppend, Entries: []Entry{{Term: 1, Index: 2, Data: []byte("x")}}}))
	f.Fuzz(func(t *testing.T, data []byte) {
		message, err := DecodeMessage(data)
		if err != nil {
			return
		}
		again, err := DecodeMessage(EncodeMessage(message))
		require.NoError(t, err)
		assert.Equal(t, message, again)
	})
}

// A stalled member must process queued messages before its election timer expires;
// otherwise overloaded members keep deposing their leader.
func TestStallSuppressesTimeouts(t *testing.T) {
	for _, noStallCheck := range []bool{false, true} {
		t.Run(fmt.Sprint("NoStallCheck=", noStallCheck), func(t *testing.T) {
			g := newGroup(t, 3, func(s *Settings) { s.Mechanisms.NoStallCheck = noStallCheck })
			g.advance(3 * time.Second)
			term := g.leader().Term()
			stalled := g.now.Add(3 * time.Second)
			roles := map[MemberID]Role{}
			for id, node := range g.nodes {
				node.Tick(stalled)
				roles[id] = node.Role()
			}
			g.now = stalled
			changed := false
			for id, node := range g.nodes {
				changed = changed || node.Role() == PreCandidate || node.Role() == Candidate || (roles[id] == Follower && node.Leader() == NoMember)
			}
			assert.Equal(t, noStallCheck, changed)
			g.advance(time.Second)
			if !noStallCheck {
				assert.Equal(t, term, g.leader().Term())
			}
		})
	}
}

func TestElectionAfterStall(t *testing.T) {
	g := newGroup(t, 3, nil)
	g.advance(3 * time.Second)
	dead := g.leader().settings.ID
	g.partitioned[dead] = true
	g.now = g.now.Add(3 * time.Second)
	g.advance(3 * time.Second)
	assert.NotEqual(t, dead, g.leader().settings.ID)
}

// After a lost append the follower rejects all later ones. The leader must not resend
// the log tail for each rejection.
func TestLostAppendResendsTailOnce(t *testing.T) {
	g := newGroup(t, 3, func(s *Settings) { s.MaxAppend = 64 })
	g.advance(3 * time.Second)
	leader := g.leader()
	other := MemberID(1)
	if other == leader.settings.ID {
		other = 2
	}
	g.inFlight = nil
	clear(g.entriesTo)
	const commands = 30
	for number := range commands {
		g.now = g.now.Add(time.Millisecond)
		g.propose(leader, fmt.Sprint("command ", number))
	}
	lost := slices.IndexFunc(g.inFlight, func(m Message) bool { return m.To == other && len(m.Entries) > 0 })
	require.GreaterOrEqual(t, lost, 0)
	g.inFlight = slices.Delete(g.inFlight, lost, lost+1)
	g.advance(time.Second)
	assert.Len(t, g.applied[other], commands)
	assert.LessOrEqual(t, g.entriesTo[other], 3*commands)
}

func TestReplicationWindowLimitsUnresponsiveFollower(t *testing.T) {
	g := newGroup(t, 3, nil)
	g.advance(3 * time.Second)
	leader := g.leader()
	other := MemberID(1)
	if other == leader.settings.ID {
		other = 2
	}
	g.partitioned[other] = true
	clear(g.entriesTo)
	for number := range 200 {
		g.propose(leader, fmt.Sprint("command ", number))
		g.advance(tickInterval)
	}
	assert.LessOrEqual(t, g.entriesTo[other], maxInflightAppends*leader.settings.MaxAppend)
	g.partitioned[other] = false
	g.advance(3 * time.Second)
	assert.Len(t, g.applied[other], 200)
}

// Proposals made between two Ready calls must be batched into one message per member.
func TestProposalsAreBatched(t *testing.T) {
	g := newGroup(t, 3, func(s *Settings) { s.MaxAppend = 64 })
	g.advance(3 * time.Second)
	leader := g.leader()
	const commands = 30
	for number := range commands {
		_, _, err := leader.Propose(g.now, []byte(fmt.Sprint("command ", number)))
		require.NoError(t, err)
	}
	ready := leader.Ready()
	assert.Len(t, ready.Messages, 2, "one message per follower")
	for _, message := range ready.Messages {
		assert.Len(t, message.Entries, commands)
	}
}

func TestPipelinedAppendsFillWindow(t *testing.T) {
	g := newGroup(t, 3, nil)
	g.advance(3 * time.Second)
	leader := g.leader()
	wanted := maxInflightAppends * leader.settings.MaxAppend
	for number := range wanted + 10 {
		_, _, err := leader.Propose(g.now, []byte(fmt.Sprint("command ", number)))
		require.NoError(t, err)
	}
	sent := map[MemberID]int{}
	for _, message := range leader.Ready().Messages {
		sent[message.To] += len(message.Entries)
	}
	for id, entries := range sent {
		assert.Equal(t, wanted, entries, "member %d", id)
	}
	assert.Len(t, sent, 2)
}

// A new leader does not know where a follower's log ends. Until its first probe is
// answered it must not pipeline entries, since the follower would reject them.
func TestOneProbePerHeartbeat(t *testing.T) {
	g := newGroup(t, 3, func(s *Settings) { s.MaxAppend = 64 })
	g.advance(3 * time.Second)
	old := g.leader()
	behind, next := MemberID(0), MemberID(0)
	for id := range g.nodes {
		if id != old.settings.ID {
			behind, next = next, id
		}
	}
	g.partitioned[behind] = true
	const missedCommands, later = 40, 60
	for number := range missedCommands {
		g.propose(old, fmt.Sprint("missed ", number))
		g.advance(tickInterval)
	}
	g.partitioned[behind] = false
	g.partitioned[old.settings.ID] = true
	for g.nodes[next].Role() != Leader {
		g.advance(tickInterval)
	}
	clear(g.entriesTo)
	for number := range later {
		g.propose(g.nodes[next], fmt.Sprint("later ", number))
	}
	g.advance(2 * time.Second)
	assert.Len(t, g.applied[behind], missedCommands+later)
	assert.LessOrEqual(t, g.entriesTo[behind], missedCommands+later+5)
}
