package steer

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

// MemberList holds the control members that a node can follow, with the faults
// that it has left them for.
type MemberList struct {
	// Zone is the node's own zone.
	Zone    string
	Members []directory.Member
	// Seeds are addresses that may or may not be among the members.
	Seeds []string

	// faults holds when a member was last tried or left, unless that was no
	// fault of its.
	failures map[string]kernel.Instant
	shuffle  func(n int, swap func(i, j int))
}

// MemberListOption changes a new list.
type MemberListOption func(*MemberList)

// WithShuffle sets what puts equal members into random order; the default is
// that of math/rand/v2. A simulator passes its own, so that runs repeat.
func WithShuffle(shuffle func(n int, swap func(i, j int))) MemberListOption {
	return func(l *MemberList) { l.shuffle = shuffle }
}

// NewMemberList returns a list for a node in a zone that knows no member yet.
func NewMemberList(zone string, opts ...MemberListOption) *MemberList {
	l := &MemberList{Zone: zone, failures: map[string]kernel.Instant{}, shuffle: rand.Shuffle}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// RecordFailure makes a member come after all that were left earlier or never.
func (l *MemberList) RecordFailure(address string, now kernel.Instant) {
	l.failures[address] = now
}

// ClearFailures forgets that members were left, so that the nearest comes first.
func (l *MemberList) ClearFailures() { clear(l.failures) }

// Order returns the members to try. Those that were never left for a fault
// come first: the own zone, then others in random order, then seeds that are
// not among the known members. The others follow, the one that was left last
// at the end, so that no two members on the wrong side of a cut are tried in
// turns.
func (l *MemberList) Order() []directory.Member {
	list := slices.Clone(l.Members)
	l.shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
	slices.SortStableFunc(list, func(a, b directory.Member) int {
		return cmp.Compare(l.distance(a), l.distance(b))
	})
	list = append(list, l.unknownSeeds()...)
	l.pruneFailures(list)
	slices.SortStableFunc(list, func(a, b directory.Member) int {
		return cmp.Compare(l.failures[a.Address], l.failures[b.Address])
	})
	return list
}

// unknownSeeds returns the seeds that are not among the members, in random
// order.
func (l *MemberList) unknownSeeds() []directory.Member {
	var list []directory.Member
	for _, seed := range l.Seeds {
		known := slices.ContainsFunc(l.Members, func(member directory.Member) bool { return member.Address == seed })
		if !known {
			list = append(list, directory.Member{Address: seed})
		}
	}
	l.shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
	return list
}

// dropOldFaults forgets the faults of addresses that are no candidates any
// more. Once every candidate has been left, all but the latest fault are
// forgotten, so that the own zone comes first again.
func (l *MemberList) pruneFailures(list []directory.Member) {
	latest := ""
	kept := map[string]kernel.Instant{}
	for _, member := range list {
		at, left := l.failures[member.Address]
		if !left {
			continue
		}
		kept[member.Address] = at
		if latest == "" || kept[latest].Before(at) {
			latest = member.Address
		}
	}
	if len(kept) == len(list) && latest != "" {
		kept = map[string]kernel.Instant{latest: kept[latest]}
	}
	l.failures = kept
}

// Len returns the number of members and of seeds that are not among them.
func (l *MemberList) Len() int { return len(l.Members) + len(l.unknownSeeds()) }

// HasUntriedLocal reports whether a member of the own zone was never left for a
// fault.
func (l *MemberList) HasUntriedLocal() bool {
	return slices.ContainsFunc(l.Members, func(member directory.Member) bool {
		_, left := l.failures[member.Address]
		return member.Zone == l.Zone && !left
	})
}

func (l *MemberList) distance(member directory.Member) int {
	if member.Zone == l.Zone {
		return 0
	}
	return 1
}

// HasCloserThan reports whether a nearer member than this one is known. The zone of a
// seed is known once the list of members is.
func (l *MemberList) HasCloserThan(member directory.Member) bool {
	for _, known := range l.Members {
		if known.Address == member.Address {
			member = known
		}
	}
	if member.Zone == l.Zone {
		return false
	}
	return slices.ContainsFunc(l.Members, func(other directory.Member) bool {
		return other.Zone == l.Zone && other.Address != member.Address
	})
}
