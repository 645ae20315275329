package steer

import (
	"slices"

	"github.com/beamdoor/beamdoor/internal/directory"
)

// ApplyAnnouncement takes the members that one of them names, which is up and current. It
// returns the members to try, that one first, or nil when the node knows members
// already: then it needs no hint.
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

// isOther returns 0 for the member at an address and 1 for others.
func announcerRank(member directory.Member, address string) int {
	if member.Address == address {
		return 0
	}
	return 1
}
