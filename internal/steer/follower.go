package steer

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

const (
	// NotCurrentTimeout is how long a member may be not current: a few election timeouts.
	NotCurrentTimeout = 700 * time.Millisecond
	// LeaderlessTimeout is how long a member may be without a leader: as long as it counts as
	// current after it last heard from one. It is longer than an election: 0.25 to 0.5 s
	// without a leader, then a few round trips.
	LeaderlessTimeout = 800 * time.Millisecond
	// LeaveJitter spreads the reconnects of nodes whose members lose their leader at the same
	// time, as all members on one side of a partition do.
	LeaveJitter = 200 * time.Millisecond
	// minBackoff and maxBackoff bound the exponential delay after each further member without
	// a leader, so that a group without a quorum can hold its election.
	minBackoff = 10 * time.Millisecond
	maxBackoff = 320 * time.Millisecond
	// DefaultRetryDelay is the delay after leaving a member for any other reason.
	DefaultRetryDelay = 40 * time.Millisecond
	// FirstStatusTimeout is how long a node that has left a member without a leader waits for
	// the first status of the next one.
	FirstStatusTimeout = 200 * time.Millisecond
	// RemoteStay is how long a node stays with a member of another zone before it retries
	// the members of its own zone after failures.
	RemoteStay = 8 * time.Second
	// ReturnJitter spreads the moves of nodes to members of their own zone, so that they do
	// not overload those members. A new fleet registers its targets in its first seconds and
	// each registration goes to each node, so a longer time would cost bytes between zones.
	ReturnJitter = time.Second
)

// The reasons for leaving a member.
var (
	// ErrCloserMember ends the connection to a member of another zone.
	ErrCloserMember = errors.New("switching to a member in the node's zone")
	// ErrReferred ends the connection to a seed that has returned the members of the group.
	ErrReferred = errors.New("seed returned the members of the group")
	// ErrEmpty ends the connection to a member that has not joined the group.
	ErrEmpty = errors.New("member has not joined the group")
	// ErrNotCurrent ends the connection to a member whose state may be stale.
	ErrNotCurrent = errors.New("member is not current")
	// ErrLeaderless ends the connection to a member without a leader for longer than an
	// election takes.
	ErrLeaderless = errors.New("member has no leader")
)

// MemberStatus is what a member reports about itself.
type MemberStatus struct {
	// Current is set while the member hears from a leader that has a quorum.
	Current bool
	// Empty is set while the member has not joined the group.
	Empty bool
	// Leaderless is how long the member has been without a leader.
	Leaderless time.Duration
}

// Follower decides which control member a node follows and for how long. It reads no clock
// and is not safe for concurrent use.
type Follower struct {
	// List holds the members and seeds to choose from.
	List *MemberList

	random *rand.Rand
	member directory.Member
	// currentAt is when the member was last current, or when the node connected to it.
	currentAt kernel.Instant
	// gotStatus is set once the member has sent a status.
	gotStatus bool
	// leaveAt is when a member of another zone is left; 0 until that is computed.
	leaveAt kernel.Instant
	// leaderlessCount is the number of consecutive members left because they had no leader,
	// or sent no status while the node was looking for one that has.
	leaderlessCount int
	// emptyCount is the number of statuses from empty members since the last current one.
	emptyCount int
}

// NewFollower returns a follower without a member.
func NewFollower(list *MemberList, random *rand.Rand) *Follower {
	return &Follower{List: list, random: random}
}

// Follow sets the member that the node has connected to.
func (f *Follower) Follow(now kernel.Instant, member directory.Member) {
	f.member = member
	f.currentAt = now
	f.leaveAt = 0
	f.gotStatus = false
}

// NeedsReferral reports whether the node knows only seeds and no members.
func (f *Follower) NeedsReferral() bool { return len(f.List.Members) == 0 }

// ApplyReferral sets the members that a seed has returned. The error ends the connection to
// the seed.
func (f *Follower) ApplyReferral(members []directory.Member) error {
	f.List.Members = members
	return ErrReferred
}

// HandleStatus processes a member's status and returns why to leave the member, or nil. The
// stateless flag is set while the node waits for its first state.
func (f *Follower) HandleStatus(now kernel.Instant, status MemberStatus, stateless bool) error {
	f.gotStatus = true
	if status.Current {
		f.currentAt = now
		f.emptyCount = 0
		f.leaderlessCount = 0
		return nil
	}
	if status.Leaderless >= LeaderlessTimeout && f.mayFindLeader() {
		f.leaderlessCount++
		return ErrLeaderless
	}
	if status.Empty && stateless && f.shouldLeaveEmpty() {
		return ErrEmpty
	}
	if now.Sub(f.currentAt) > NotCurrentTimeout {
		return ErrNotCurrent
	}
	return nil
}

// mayFindLeader reports whether some member has not been found leaderless yet. If all have,
// the group has no quorum, and the node stays longer with each of them.
func (f *Follower) mayFindLeader() bool { return f.leaderlessCount < f.List.Len() }

// RetryDelay returns how long to wait before trying the next member.
func (f *Follower) RetryDelay(reason error) time.Duration {
	switch {
	case errors.Is(reason, ErrReferred):
		return 0
	case !errors.Is(reason, ErrLeaderless):
		return DefaultRetryDelay
	case f.leaderlessCount <= 1:
		return time.Duration(f.random.Int64N(int64(LeaveJitter)))
	}
	doublings := min(f.leaderlessCount-2, maxBackoffDoublings)
	return min(minBackoff<<doublings, maxBackoff)
}

// maxBackoffDoublings keeps the shift from overflowing.
const maxBackoffDoublings = 16

// ReadTimeout returns how long to wait for the next byte of the member, given the timeout for
// a current one. A node without state stays with the member that prepares it.
func (f *Follower) ReadTimeout(timeout time.Duration, stateless bool) time.Duration {
	if stateless || f.gotStatus || f.leaderlessCount == 0 || !f.mayFindLeader() {
		return timeout
	}
	return FirstStatusTimeout
}

// HandleReadError processes a failed read from the member and returns why to leave it. While
// the node looks for a leader, a member without a status counts as leaderless.
func (f *Follower) HandleReadError(reason error) error {
	if f.gotStatus || f.leaderlessCount == 0 || !f.mayFindLeader() {
		return reason
	}
	f.leaderlessCount++
	return ErrLeaderless
}

// shouldLeaveEmpty reports whether to leave an empty member at once. If all members are
// empty, the group is still being bootstrapped, and the node waits.
func (f *Follower) shouldLeaveEmpty() bool {
	f.emptyCount++
	return f.emptyCount < f.List.Len()
}

// CheckZone returns ErrCloserMember when the node has stayed long enough with a member of
// another zone, and clears the failures, so that members of its own zone are tried first.
func (f *Follower) CheckZone(now kernel.Instant) error {
	if !f.List.HasCloserThan(f.member) {
		return nil
	}
	if f.leaveAt == 0 {
		f.leaveAt = now.Add(f.remoteStayTime())
	}
	if now.Before(f.leaveAt) {
		return nil
	}
	f.List.ClearFailures()
	return ErrCloserMember
}

// remoteStayTime returns how long to stay with a member of another zone; it is short if a
// member of the node's own zone has not been tried yet.
func (f *Follower) remoteStayTime() time.Duration {
	jitter := time.Duration(f.random.Int64N(int64(ReturnJitter)))
	if f.List.HasUntriedLocal() {
		return jitter
	}
	return RemoteStay + jitter
}
