package steer

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

// MemberList holds the control members that a node can follow, and their failures.
type MemberList struct {
	// Zone is the node's zone.
	Zone    string
	Members []directory.Member
	// Seeds are configured addresses, which may or may not be those of members.
	Seeds []string

	// failures holds when each address last failed. Nodes also record a failure when they try
	// or leave a member, so that it comes last in the next order.
	failures map[string]kernel.Instant
	shuffle  func(n int, swap func(i, j int))
}

// MemberListOption configures a MemberList.
type MemberListOption func(*MemberList)

// WithShuffle replaces the shuffle function of math/rand/v2. Simulations use it for
// reproducible runs.
func WithShuffle(shuffle func(n int, swap func(i, j int))) MemberListOption {
	return func(l *MemberList) { l.shuffle = shuffle }
}

// NewMemberList returns an empty list for a node in a zone.
func NewMemberList(zone string, opts ...MemberListOption) *MemberList {
	l := &MemberList{Zone: zone, failures: map[string]kernel.Instant{}, shuffle: rand.Shuffle}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// RecordFailure moves a member behind all that failed earlier or never.
func (l *MemberList) RecordFailure(address string, now kernel.Instant) {
	l.failures[address] = now
}

// ClearFailures removes all failures, so that members of the node's zone come first.
func (l *MemberList) ClearFailures() { clear(l.failures) }

// Order returns the members in the order in which to try them. Members without failures
// come first: those of the node's zone, then the others at random, then seeds that are not
// known members. The rest follow, ordered by the time of failure, so that the node does not
// alternate between two members on the wrong side of a partition.
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

// unknownSeeds returns the seeds that are not known members, in random order.
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

// pruneFailures removes the failures of addresses that are no longer candidates. Once all
// candidates have failed it keeps only the latest failure, so that the node's zone comes
// first again.
func (l *MemberList) pruneFailures(list []directory.Member) {
	latest := ""
	kept := map[string]kernel.Instant{}
	for _, member := range list {
		at, failed := l.failures[member.Address]
		if !failed {
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

// Len returns the number of members plus seeds that are not known members.
func (l *MemberList) Len() int { return len(l.Members) + len(l.unknownSeeds()) }

// HasUntriedLocal reports whether a member of the node's zone has no recorded failure.
func (l *MemberList) HasUntriedLocal() bool {
	return slices.ContainsFunc(l.Members, func(member directory.Member) bool {
		_, failed := l.failures[member.Address]
		return member.Zone == l.Zone && !failed
	})
}

func (l *MemberList) distance(member directory.Member) int {
	if member.Zone == l.Zone {
		return 0
	}
	return 1
}

// HasCloserThan reports whether the node's zone has another member while the given one is
// in a different zone. The zone of a seed is known once the members are.
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
