package steer

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/beamdoor/beamdoor/internal/directory"
)

func newTestFollower() *Follower {
	f := NewFollower(NewMemberList("north"), rand.New(rand.NewPCG(1, 1)))
	f.List.Members = []directory.Member{{Address: "a", Zone: "south"}, {Address: "b", Zone: "north"}}
	return f
}

// After an outage the nodes must not all return to their own zone at the same time.
func TestReturnToLocalZoneIsJittered(t *testing.T) {
	f := newTestFollower()
	times := map[time.Duration]bool{}
	for range 100 {
		wait := f.remoteStayTime()
		assert.Less(t, wait, ReturnJitter, "the local member has not been tried")
		times[wait/(ReturnJitter/10)] = true
	}
	assert.Greater(t, len(times), 5)
	f.List.RecordFailure("b", start)
	assert.GreaterOrEqual(t, f.remoteStayTime(), RemoteStay)
}

func TestRemoteMemberIsLeftForLocalOne(t *testing.T) {
	f := newTestFollower()
	f.Follow(start, f.List.Members[0])
	assert.NoError(t, f.CheckZone(start))
	assert.ErrorIs(t, f.CheckZone(start.Add(ReturnJitter)), ErrCloserMember)
	f.List.RecordFailure("b", start)
	f.Follow(start, f.List.Members[0])
	assert.NoError(t, f.CheckZone(start))
	assert.NoError(t, f.CheckZone(start.Add(RemoteStay-time.Millisecond)), "the local member has failed")
	assert.ErrorIs(t, f.CheckZone(start.Add(RemoteStay+ReturnJitter)), ErrCloserMember)
	assert.Equal(t, "b", f.List.Order()[0].Address)
	f.Follow(start, f.List.Members[1])
	assert.NoError(t, f.CheckZone(start.Add(time.Hour)), "a local member is kept")
}

func TestNotCurrentMemberIsLeftAfterTimeout(t *testing.T) {
	f := newTestFollower()
	f.Follow(start, f.List.Members[1])
	later := start.Add(NotCurrentTimeout)
	assert.NoError(t, f.HandleStatus(later, MemberStatus{}, false))
	assert.ErrorIs(t, f.HandleStatus(later.Add(1), MemberStatus{}, false), ErrNotCurrent)
	assert.NoError(t, f.HandleStatus(later.Add(2), MemberStatus{Current: true}, false))
	assert.NoError(t, f.HandleStatus(later.Add(3), MemberStatus{}, false), "the timeout restarts when the member is current")
}

func TestEmptyMemberIsLeftUntilAllWereTried(t *testing.T) {
	f := newTestFollower()
	f.List.Seeds = []string{"c"}
	empty := MemberStatus{Empty: true}
	f.Follow(start, f.List.Members[1])
	assert.NoError(t, f.HandleStatus(start, empty, false), "a node with state waits")
	assert.ErrorIs(t, f.HandleStatus(start, empty, true), ErrEmpty)
	assert.ErrorIs(t, f.HandleStatus(start, empty, true), ErrEmpty)
	assert.NoError(t, f.HandleStatus(start, empty, true), "all three have been tried")
	assert.NoError(t, f.HandleStatus(start, MemberStatus{Current: true}, true))
	assert.ErrorIs(t, f.HandleStatus(start, empty, true), ErrEmpty)
}

func TestReferralIsTakenOnce(t *testing.T) {
	f := NewFollower(NewMemberList("north"), rand.New(rand.NewPCG(1, 1)))
	assert.True(t, f.NeedsReferral())
	assert.ErrorIs(t, f.ApplyReferral([]directory.Member{{Address: "b", Zone: "north"}}), ErrReferred)
	assert.False(t, f.NeedsReferral())
}
