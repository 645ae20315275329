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

// All nodes that had followed a member of another zone left it within 80 ms of
// each other, 8 s after an outage (patitas-uio-large and swancoast-geo-large).
func TestNodesGoToTheirOwnZoneAtDifferentTimes(t *testing.T) {
	f := newTestFollower()
	times := map[time.Duration]bool{}
	for range 100 {
		wait := f.farTime()
		assert.Less(t, wait, FarSpread, "the near member was never tried")
		times[wait/(FarSpread/10)] = true
	}
	assert.Greater(t, len(times), 5)
	f.List.NoteFault("b", start)
	assert.GreaterOrEqual(t, f.farTime(), FarLimit)
}

func TestAFarMemberIsLeftForANearOne(t *testing.T) {
	f := newTestFollower()
	f.Begin(start, f.List.Members[0])
	assert.NoError(t, f.Check(start))
	assert.ErrorIs(t, f.Check(start.Add(FarSpread)), ErrNearer)
	f.List.NoteFault("b", start)
	f.Begin(start, f.List.Members[0])
	assert.NoError(t, f.Check(start))
	assert.NoError(t, f.Check(start.Add(FarLimit-time.Millisecond)), "the near one was left for a fault")
	assert.ErrorIs(t, f.Check(start.Add(FarLimit+FarSpread)), ErrNearer)
	assert.Equal(t, "b", f.List.Order()[0].Address)
	f.Begin(start, f.List.Members[1])
	assert.NoError(t, f.Check(start.Add(time.Hour)), "a near member is never left for that")
}

func TestAMemberThatIsNotCurrentIsLeftAfterAWhile(t *testing.T) {
	f := newTestFollower()
	f.Begin(start, f.List.Members[1])
	later := start.Add(NotCurrentLimit)
	assert.NoError(t, f.Hear(later, Presence{}, false))
	assert.ErrorIs(t, f.Hear(later.Add(1), Presence{}, false), ErrNotCurrent)
	assert.NoError(t, f.Hear(later.Add(2), Presence{Current: true}, false))
	assert.NoError(t, f.Hear(later.Add(3), Presence{}, false), "it has been current since")
}

func TestAMemberThatKnowsNothingIsLeftAtOnceUntilAllWereMet(t *testing.T) {
	f := newTestFollower()
	f.List.Seeds = []string{"c"}
	empty := Presence{Empty: true}
	f.Begin(start, f.List.Members[1])
	assert.NoError(t, f.Hear(start, empty, false), "a node that has state waits")
	assert.ErrorIs(t, f.Hear(start, empty, true), ErrEmpty)
	assert.ErrorIs(t, f.Hear(start, empty, true), ErrEmpty)
	assert.NoError(t, f.Hear(start, empty, true), "all three were met")
	assert.NoError(t, f.Hear(start, Presence{Current: true}, true))
	assert.ErrorIs(t, f.Hear(start, empty, true), ErrEmpty)
}

func TestANodeIsReferredOnce(t *testing.T) {
	f := NewFollower(NewMemberList("north"), rand.New(rand.NewPCG(1, 1)))
	assert.True(t, f.IsReferable())
	assert.ErrorIs(t, f.Refer([]directory.Member{{Address: "b", Zone: "north"}}), ErrReferred)
	assert.False(t, f.IsReferable())
}
