package steer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/beamdoor/beamdoor/internal/directory"
)

const failureTime = start

func addresses(members []directory.Member) []string {
	var list []string
	for _, member := range members {
		list = append(list, member.Address)
	}
	return list
}

// A node that found its first member by a seed must not keep rotating through the seeds.
func TestLocalMembersComeFirstOnceKnown(t *testing.T) {
	l := NewMemberList("north")
	l.Seeds = []string{"a", "b", "c"}
	assert.ElementsMatch(t, []string{"a", "b", "c"}, addresses(l.Order()))
	l.Members = []directory.Member{{Address: "a", Zone: "south"}, {Address: "b", Zone: "north"}, {Address: "c", Zone: "west"}}
	for range 20 {
		assert.Equal(t, "b", l.Order()[0].Address)
	}
	assert.True(t, l.HasCloserThan(directory.Member{Address: "a"}), "a seed whose zone is known")
	assert.False(t, l.HasCloserThan(directory.Member{Address: "b"}))
}

func TestFailedMemberComesLast(t *testing.T) {
	l := NewMemberList("north")
	l.Members = []directory.Member{{Address: "a", Zone: "south"}, {Address: "b", Zone: "north"}}
	l.RecordFailure("b", failureTime)
	order := addresses(l.Order())
	assert.Equal(t, "a", order[0])
	assert.Equal(t, "b", order[len(order)-1])
}

// A node must not alternate between two members on the wrong side of a partition.
func TestFailedMembersAreNotAlternated(t *testing.T) {
	members := []directory.Member{
		{Address: "own", Zone: "north"}, {Address: "b", Zone: "south"}, {Address: "c", Zone: "south"},
		{Address: "d", Zone: "west"}, {Address: "e", Zone: "west"},
	}
	l := NewMemberList("north")
	l.Members = members
	tried := map[string]bool{}
	for attempt := range len(members) {
		next := l.Order()[0].Address
		assert.False(t, tried[next], "attempt %d goes to %s again", attempt, next)
		tried[next] = true
		l.RecordFailure(next, failureTime.Add(time.Duration(attempt)*time.Second))
	}
	assert.Equal(t, "own", l.Order()[0].Address, "the local member comes first in the next round")
}

func TestClearFailuresRestoresLocalMember(t *testing.T) {
	l := NewMemberList("north")
	l.Members = []directory.Member{{Address: "a", Zone: "south"}, {Address: "b", Zone: "north"}}
	l.RecordFailure("b", failureTime)
	l.RecordFailure("a", failureTime.Add(time.Second))
	l.ClearFailures()
	assert.Equal(t, "b", l.Order()[0].Address)
}

func TestFailuresOfRemovedAddressesAreDropped(t *testing.T) {
	l := NewMemberList("north")
	l.Seeds = []string{"old", "new"}
	l.RecordFailure("old", failureTime)
	l.Seeds = []string{"new", "newer"}
	l.Order()
	assert.Empty(t, l.failures)
}
