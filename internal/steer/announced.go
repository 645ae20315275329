package steer

import (
	"slices"

	"github.com/beamdoor/beamdoor/internal/directory"
)

// ApplyAnnouncement sets the members that a current member has announced. It returns the
// order in which to try them, the announcing one first, or nil if members are known already.
func (l *MemberList) ApplyAnnouncement(from string, members []directory.Member) []directory.Member {
	if len(l.Members) > 0 || len(members) == 0 {
		return nil
	}
	l.Members = members
	order := l.Order()
	slices.SortStableFunc(order, func(a, b directory.Member) int {
		return announcerRank(a, from) - announcerRank(b, from)
	})
	return order
}

// announcerRank returns 0 for the member with the given address and 1 for others.
func announcerRank(member directory.Member, address string) int {
	if member.Address == address {
		return 0
	}
	return 1
}
