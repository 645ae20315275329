package edge

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
)

// candidates are the control members that a node can follow, with the faults
// that it has left them for. The zero value knows no member.
type candidates struct {
	zone    string
	members []directory.Member
	// seeds are addresses that may or may not be among the members.
	seeds []string
	// faults holds when a member was last tried or left, unless that was no
	// fault of its.
	faults map[string]time.Time
}

// noteFault makes a member come after all that were left earlier or never.
func (c *candidates) noteFault(address string, now time.Time) {
	if c.faults == nil {
		c.faults = map[string]time.Time{}
	}
	c.faults[address] = now
}

// clearFaults forgets that members were left, so that the nearest comes first.
func (c *candidates) clearFaults() { c.faults = nil }

// order returns the members to try. Those that were never left for a fault
// come first: the own zone, then others in random order, then seeds that are
// not among the known members. The others follow, the one that was left last
// at the end, so that no two members on the wrong side of a cut are tried in
// turns.
func (c *candidates) order() []directory.Member {
	list := slices.Clone(c.members)
	rand.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
	slices.SortStableFunc(list, func(a, b directory.Member) int {
		return cmp.Compare(c.distance(a), c.distance(b))
	})
	list = append(list, c.unknownSeeds()...)
	c.dropOldFaults(list)
	slices.SortStableFunc(list, func(a, b directory.Member) int {
		return c.faults[a.Address].Compare(c.faults[b.Address])
	})
	return list
}

// unknownSeeds returns the seeds that are not among the members, in random
// order.
func (c *candidates) unknownSeeds() []directory.Member {
	var list []directory.Member
	for _, seed := range c.seeds {
		known := slices.ContainsFunc(c.members, func(member directory.Member) bool { return member.Address == seed })
		if !known {
			list = append(list, directory.Member{Address: seed})
		}
	}
	rand.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
	return list
}

// dropOldFaults forgets the faults of addresses that are no candidates any
// more. Once every candidate has been left, all but the latest fault are
// forgotten, so that the own zone comes first again.
func (c *candidates) dropOldFaults(list []directory.Member) {
	latest := ""
	kept := map[string]time.Time{}
	for _, member := range list {
		at, left := c.faults[member.Address]
		if !left {
			continue
		}
		kept[member.Address] = at
		if latest == "" || at.After(kept[latest]) {
			latest = member.Address
		}
	}
	if len(kept) == len(list) && latest != "" {
		kept = map[string]time.Time{latest: kept[latest]}
	}
	c.faults = kept
}

func (c *candidates) distance(member directory.Member) int {
	if member.Zone == c.zone {
		return 0
	}
	return 1
}

// isFar reports whether a nearer member than this one is known. The zone of a
// seed is known once the list of members is.
func (c *candidates) isFar(member directory.Member) bool {
	for _, known := range c.members {
		if known.Address == member.Address {
			member = known
		}
	}
	if member.Zone == c.zone {
		return false
	}
	return slices.ContainsFunc(c.members, func(other directory.Member) bool {
		return other.Zone == c.zone && other.Address != member.Address
	})
}
