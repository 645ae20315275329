package steer

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

const (
	// NotCurrentTimeout is how long a member may be not current: some elections.
	NotCurrentTimeout = 700 * time.Millisecond
	// LeaderlessTimeout is how long a member may be without a leader: as long as it
	// counts as current after it has heard from one, and longer than an election
	// takes (0.25 to 0.5 s without a leader, then a few round trips).
	LeaderlessTimeout = 800 * time.Millisecond
	// LeaveJitter is the time over which nodes leave a member without a leader:
	// the members of one side of a split lose theirs at the same moment, and
	// hundreds of nodes with them.
	LeaveJitter = 200 * time.Millisecond
	// firstPause and longestPause bound the pause after each further member that
	// has no leader; it doubles, so that a group without a quorum is not kept from
	// its election by nodes that go round. Six members in a row cost half a second.
	minBackoff = 10 * time.Millisecond
	maxBackoff = 320 * time.Millisecond
	// DefaultRetryDelay is the pause after a member that was left for another reason.
	DefaultRetryDelay = 40 * time.Millisecond
	// FirstStatusTimeout is how long a node that has lost its leader waits for the
	// first sign of life of a member; a member that runs gives it at once.
	FirstStatusTimeout = 200 * time.Millisecond
	// RemoteStay is how long a node stays with a member of another zone before it
	// tries one of its own zone again that it has left for a fault.
	RemoteStay = 8 * time.Second
	// ReturnJitter is the time over which the nodes of a fleet go to members of their
	// own zones: hundreds at once would hold up those members. A fleet that has
	// just been founded registers its targets in its first seconds, and each
	// registration goes to each node, so a longer time costs bytes between zones.
	ReturnJitter = time.Second
)

// The reasons for which a node leaves a member.
var (
	// ErrCloserMember ends the stream of a far member.
	ErrCloserMember = errors.New("a member of the own zone is tried")
	// ErrReferred ends the stream of a seed that names the group's members.
	ErrReferred = errors.New("the member names others")
	// ErrEmpty ends the stream of a member that knows nothing.
	ErrEmpty = errors.New("the member has no place in the group")
	// ErrNotCurrent ends the stream of a member that may be behind.
	ErrNotCurrent = errors.New("the member is not current")
	// ErrLeaderless ends the stream of a member that has had no leader for longer
	// than an election takes.
	ErrLeaderless = errors.New("the member has no leader")
)

// MemberStatus is what a member says about itself in a sign of life.
type MemberStatus struct {
	// Current is set while the member hears from a leader with a quorum.
	Current bool
	// Empty is set while the member has no place in the group.
	Empty bool
	// Leaderless is how long the member has had no leader.
	Leaderless time.Duration
}

// Follower decides which control member a node follows and for how long. One
// goroutine owns it; it reads no clock.
type Follower struct {
	// List holds the members that can be followed.
	List *MemberList

	random *rand.Rand
	member directory.Member
	// currentAt is when the member was last current, or when it was first followed.
	currentAt kernel.Instant
	// signed is set once the member has given a sign of life.
	gotStatus bool
	// leaveAt is when a far member is left; 0 while it is not known to be far.
	leaveAt kernel.Instant
	// leaderless is the number of members in a row that were left because they had
	// no leader, or gave no sign of life while the node looked for one that has.
	leaderlessCount int
	// emptyMet is the number of signs of life from members that know nothing since
	// the last one from a member that was current.
	emptyCount int
}

// NewFollower returns a follower that follows nobody yet.
func NewFollower(list *MemberList, random *rand.Rand) *Follower {
	return &Follower{List: list, random: random}
}

// Follow notes that a member is followed.
func (f *Follower) Follow(now kernel.Instant, member directory.Member) {
	f.member = member
	f.currentAt = now
	f.leaveAt = 0
	f.gotStatus = false
}

// NeedsReferral reports whether the node knows no member but the seeds.
func (f *Follower) NeedsReferral() bool { return len(f.List.Members) == 0 }

// ApplyReferral takes the members that a seed names. The node goes to one of them.
func (f *Follower) ApplyReferral(members []directory.Member) error {
	f.List.Members = members
	return ErrReferred
}

// HandleStatus takes a sign of life and returns why the member is to be left, or nil.
// Stateless is set while the node waits for its first state.
func (f *Follower) HandleStatus(now kernel.Instant, presence MemberStatus, stateless bool) error {
	f.gotStatus = true
	if presence.Current {
		f.currentAt = now
		f.emptyCount = 0
		f.leaderlessCount = 0
		return nil
	}
	if presence.Leaderless >= LeaderlessTimeout && f.mayFindLeader() {
		f.leaderlessCount++
		return ErrLeaderless
	}
	if presence.Empty && stateless && f.shouldLeaveEmpty() {
		return ErrEmpty
	}
	if now.Sub(f.currentAt) > NotCurrentTimeout {
		return ErrNotCurrent
	}
	return nil
}

// mayFindLeader reports whether there are members that the node has not found to
// be without a leader. Once all were met the group has no quorum, and the node
// gives each of them the time of some elections.
func (f *Follower) mayFindLeader() bool { return f.leaderlessCount < f.List.Len() }

// RetryDelay returns the wait before the next member is tried, after one was left for
// a reason.
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

// maxPauseDoublings keeps the pause within its type.
const maxBackoffDoublings = 16

// ReadTimeout returns how long the node waits for the next byte of the member
// that it follows, where usual is the limit for one that is current. A node that
// waits for its first state stays with the member that prepares it.
func (f *Follower) ReadTimeout(usual time.Duration, stateless bool) time.Duration {
	if stateless || f.gotStatus || f.leaderlessCount == 0 || !f.mayFindLeader() {
		return usual
	}
	return FirstStatusTimeout
}

// HandleReadError notes that the member gave no sign of life within the limit, and returns
// why it is left.
func (f *Follower) HandleReadError(reason error) error {
	if f.gotStatus || f.leaderlessCount == 0 || !f.mayFindLeader() {
		return reason
	}
	f.leaderlessCount++
	return ErrLeaderless
}

// leavesEmpty reports whether a member that knows nothing is left at once. Once
// all were found to know nothing, the group is being founded, and the node waits.
func (f *Follower) shouldLeaveEmpty() bool {
	f.emptyCount++
	return f.emptyCount < f.List.Len()
}

// CheckZone returns ErrNearer when the node has stayed with a far member for long
// enough, else nil. The near ones then come first.
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

// farTime returns how long the node stays with a far member: not long when a
// member of its own zone has not been tried yet.
func (f *Follower) remoteStayTime() time.Duration {
	spread := time.Duration(f.random.Int64N(int64(ReturnJitter)))
	if f.List.HasUntriedLocal() {
		return spread
	}
	return RemoteStay + spread
}
