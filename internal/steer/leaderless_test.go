package steer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

// defaultReadTimeout is the usual read timeout of a connection to a member.
const defaultReadTimeout = 1300 * time.Millisecond

// partitionedGroup is a group in which some members have lost the leader. Its members are
// spread over three zones.
type partitionedGroup struct {
	members       []directory.Member
	leaderless    map[string]bool
	partitionedAt kernel.Instant
	// statusDelay returns the time until a member's first status.
	statusDelay func(address string) time.Duration
}

// newPartitionedGroup cuts off the members of zone 0, and more until only a quorum is left.
func newPartitionedGroup(size int, now kernel.Instant) *partitionedGroup {
	g := &partitionedGroup{leaderless: map[string]bool{}, partitionedAt: now, statusDelay: func(string) time.Duration { return 3 * time.Millisecond }}
	for number := range size {
		g.members = append(g.members, directory.Member{Address: fmt.Sprint("m", number), Zone: fmt.Sprint("zone-", number%3)})
	}
	limit := (size - 1) / 2
	for _, zone := range []string{"zone-0", "zone-1", "zone-2"} {
		for _, member := range g.members {
			if member.Zone == zone && len(g.leaderless) < limit {
				g.leaderless[member.Address] = true
			}
		}
	}
	return g
}

// connectionAttempt is a connection of a node to a member.
type connectionAttempt struct {
	address string
	at      kernel.Instant
}

// connectTime is the time to connect to a member of another zone.
const connectTime = 3 * time.Millisecond

// findCurrent follows members like a node does, from the moment at which its own member
// reports the loss of its leader, and returns when a current one is found.
func (g *partitionedGroup) findCurrent(f *Follower, now kernel.Instant) (kernel.Instant, []connectionAttempt) {
	var attempts []connectionAttempt
	reason := f.HandleStatus(now, MemberStatus{Leaderless: now.Sub(g.partitionedAt)}, false)
	for reason == nil {
		now = now.Add(400 * time.Millisecond)
		reason = f.HandleStatus(now, MemberStatus{Leaderless: now.Sub(g.partitionedAt)}, false)
	}
	for len(attempts) < 100 {
		now = now.Add(f.RetryDelay(reason))
		member := f.List.Order()[0]
		f.List.RecordFailure(member.Address, now)
		now = now.Add(connectTime)
		f.Follow(now, member)
		attempts = append(attempts, connectionAttempt{address: member.Address, at: now})
		if now, reason = g.stay(f, now, member); reason == nil {
			return now, attempts
		}
	}
	return now, attempts
}

// stay follows one member until it is left; the error is nil if it is current.
func (g *partitionedGroup) stay(f *Follower, now kernel.Instant, member directory.Member) (kernel.Instant, error) {
	wait := g.statusDelay(member.Address)
	if limit := f.ReadTimeout(defaultReadTimeout, false); wait > limit {
		return now.Add(limit), f.HandleReadError(assert.AnError)
	}
	now = now.Add(wait)
	if !g.leaderless[member.Address] {
		return now, f.HandleStatus(now, MemberStatus{Current: true}, false)
	}
	for {
		if reason := f.HandleStatus(now, MemberStatus{Leaderless: now.Sub(g.partitionedAt)}, false); reason != nil {
			return now, reason
		}
		now = now.Add(400 * time.Millisecond)
	}
}

// followerIn returns a follower in a zone that is connected to a member without a leader.
func (g *partitionedGroup) followerIn(zone string, seed uint64, now kernel.Instant) *Follower {
	random := rand.New(rand.NewPCG(seed, 1))
	f := NewFollower(NewMemberList(zone, WithShuffle(random.Shuffle)), random)
	f.List.Members = slices.Clone(g.members)
	f.Follow(now, f.List.Order()[0])
	f.List.RecordFailure(f.member.Address, now)
	_ = f.HandleStatus(now, MemberStatus{Current: true}, false)
	return f
}

// A node whose zone has only cut-off members must not wait for each of them in turn and place
// flows by an old configuration meanwhile.
func TestCurrentMemberIsFoundWithinASecondOfPartition(t *testing.T) {
	for _, size := range []int{3, 5, 9, 13} {
		for seed := range uint64(200) {
			partitionedAt := start
			reportedAt := partitionedAt.Add(LeaderlessTimeout)
			g := newPartitionedGroup(size, partitionedAt)
			found, attempts := g.findCurrent(g.followerIn("zone-0", seed, partitionedAt), reportedAt)
			assert.LessOrEqual(t, found.Sub(reportedAt), time.Second, "%d members, seed %d, attempts %v", size, seed, attempts)
		}
	}
}

// A frozen member accepts connections and sends nothing.
func TestUnresponsiveMemberIsLeftSoonWithoutLeader(t *testing.T) {
	for seed := range uint64(200) {
		partitionedAt := start
		reportedAt := partitionedAt.Add(LeaderlessTimeout)
		g := newPartitionedGroup(9, partitionedAt)
		silent := g.members[seed%9].Address
		g.statusDelay = func(address string) time.Duration {
			if address == silent {
				return time.Hour
			}
			return 50 * time.Millisecond
		}
		found, attempts := g.findCurrent(g.followerIn("zone-0", seed, partitionedAt), reportedAt)
		assert.LessOrEqual(t, found.Sub(reportedAt), time.Second, "seed %d, attempts %v", seed, attempts)
	}
}

// Many nodes lose their leader together and must not overload the remaining members.
func TestReconnectsAreSpreadOverTime(t *testing.T) {
	const nodes = 346
	const window = 50 * time.Millisecond
	partitionedAt := start
	reportedAt := partitionedAt.Add(LeaderlessTimeout)
	g := newPartitionedGroup(9, partitionedAt)
	counts := map[string]map[int]int{}
	for node := range nodes {
		_, attempts := g.findCurrent(g.followerIn(fmt.Sprint("zone-", node%3), uint64(node), partitionedAt), reportedAt)
		for _, attempt := range attempts {
			if counts[attempt.address] == nil {
				counts[attempt.address] = map[int]int{}
			}
			counts[attempt.address][int(attempt.at.Sub(reportedAt)/window)]++
		}
	}
	for address, windows := range counts {
		for number, count := range windows {
			assert.LessOrEqual(t, count, nodes/9, "%s, window %d", address, number)
		}
	}
}

// A group without a quorum must be able to hold its election: each node tries every member
// once, then stays with one for several election timeouts.
func TestGroupWithoutQuorumIsTriedOnce(t *testing.T) {
	partitionedAt := start
	reportedAt := partitionedAt.Add(LeaderlessTimeout)
	g := newPartitionedGroup(9, partitionedAt)
	for _, member := range g.members {
		g.leaderless[member.Address] = true
	}
	_, attempts := g.findCurrent(g.followerIn("zone-0", 1, partitionedAt), reportedAt)
	early := 0
	for _, attempt := range attempts {
		if attempt.at.Sub(reportedAt) < 3*time.Second {
			early++
		}
	}
	assert.LessOrEqual(t, early, 13)
	first, last := attempts[0].at, attempts[len(attempts)-1].at
	assert.Greater(t, last.Sub(first)/time.Duration(len(attempts)), 600*time.Millisecond)
}

func TestMemberIsKeptDuringElection(t *testing.T) {
	f := newTestFollower()
	f.Follow(start, f.List.Members[1])
	assert.NoError(t, f.HandleStatus(start, MemberStatus{Leaderless: LeaderlessTimeout - time.Millisecond}, false))
	assert.ErrorIs(t, f.HandleStatus(start, MemberStatus{Leaderless: LeaderlessTimeout}, false), ErrLeaderless)
}
