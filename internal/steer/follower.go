package steer

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

const (
	// NotCurrentLimit is how long a member may be not current: some elections.
	NotCurrentLimit = 700 * time.Millisecond
	// FarLimit is how long a node stays with a member of another zone before it
	// tries one of its own zone again that it has left for a fault.
	FarLimit = 8 * time.Second
	// FarSpread is the time over which the nodes of a fleet go to members of their
	// own zones: hundreds at once would hold up those members. A fleet that has
	// just been founded registers its targets in its first seconds, and each
	// registration goes to each node, so a longer time costs bytes between zones.
	FarSpread = time.Second
)

// The reasons for which a node leaves a member.
var (
	// ErrNearer ends the stream of a far member.
	ErrNearer = errors.New("a member of the own zone is tried")
	// ErrReferred ends the stream of a seed that names the group's members.
	ErrReferred = errors.New("the member names others")
	// ErrEmpty ends the stream of a member that knows nothing.
	ErrEmpty = errors.New("the member has no place in the group")
	// ErrNotCurrent ends the stream of a member that may be behind.
	ErrNotCurrent = errors.New("the member is not current")
)

// Presence is what a member says about itself in a sign of life.
type Presence struct {
	// Current is set while the member hears from a leader with a quorum.
	Current bool
	// Empty is set while the member has no place in the group.
	Empty bool
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
	// leaveAt is when a far member is left; 0 while it is not known to be far.
	leaveAt kernel.Instant
	// emptyMet is the number of signs of life from members that know nothing since
	// the last one from a member that was current.
	emptyMet int
}

// NewFollower returns a follower that follows nobody yet.
func NewFollower(list *MemberList, random *rand.Rand) *Follower {
	return &Follower{List: list, random: random}
}

// Begin notes that a member is followed.
func (f *Follower) Begin(now kernel.Instant, member directory.Member) {
	f.member = member
	f.currentAt = now
	f.leaveAt = 0
}

// IsReferable reports whether the node knows no member but the seeds.
func (f *Follower) IsReferable() bool { return len(f.List.Members) == 0 }

// Refer takes the members that a seed names. The node goes to one of them.
func (f *Follower) Refer(members []directory.Member) error {
	f.List.Members = members
	return ErrReferred
}

// Hear takes a sign of life and returns why the member is to be left, or nil.
// Stateless is set while the node waits for its first state.
func (f *Follower) Hear(now kernel.Instant, presence Presence, stateless bool) error {
	if presence.Current {
		f.currentAt = now
		f.emptyMet = 0
		return nil
	}
	if presence.Empty && stateless && f.leavesEmpty() {
		return ErrEmpty
	}
	if now.Sub(f.currentAt) > NotCurrentLimit {
		return ErrNotCurrent
	}
	return nil
}

// leavesEmpty reports whether a member that knows nothing is left at once. Once
// all were found to know nothing, the group is being founded, and the node waits.
func (f *Follower) leavesEmpty() bool {
	f.emptyMet++
	return f.emptyMet < f.List.Len()
}

// Check returns ErrNearer when the node has stayed with a far member for long
// enough, else nil. The near ones then come first.
func (f *Follower) Check(now kernel.Instant) error {
	if !f.List.IsFar(f.member) {
		return nil
	}
	if f.leaveAt == 0 {
		f.leaveAt = now.Add(f.farTime())
	}
	if now.Before(f.leaveAt) {
		return nil
	}
	f.List.ClearFaults()
	return ErrNearer
}

// farTime returns how long the node stays with a far member: not long when a
// member of its own zone has not been tried yet.
func (f *Follower) farTime() time.Duration {
	spread := time.Duration(f.random.Int64N(int64(FarSpread)))
	if f.List.HasUntriedNear() {
		return spread
	}
	return FarLimit + spread
}
