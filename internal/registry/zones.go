package registry

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/raft"
)

// Zones are failure domains: machines of one zone can be lost together. The voters
// are spread so that the loss of any LostZones zones leaves a quorum. A voter is
// moved by one more voter in the zone that has too few, then one fewer where there
// are too many; in between the group bears no less than before.

// minZoneVoterGap is the difference between the voters of two zones from which on
// a voter is moved. With a difference of 1 no move makes it smaller.
const minZoneVoterGap = 2

// zoneOf returns the zone of a member, or "" when it is not known.
func (c *Core) zoneOf(id raft.MemberID) string {
	member, _ := c.state.Member(uint32(id))
	return member.Zone
}

// votersByZone counts the voters of each zone.
func (c *Core) votersByZone(membership raft.Membership) map[string]int {
	voters := map[string]int{}
	for _, id := range membership.Voters {
		voters[c.zoneOf(id)]++
	}
	return voters
}

// improvesZoneSpread reports whether a learner would vote better than a voter of another
// zone: its own has far fewer voters.
func (c *Core) improvesZoneSpread(membership raft.Membership, learner raft.MemberID) bool {
	if c.settings.LostZones == 0 {
		return false
	}
	voters := c.votersByZone(membership)
	most := slices.Max(slices.Collect(maps.Values(voters)))
	return most-voters[c.zoneOf(learner)] >= minZoneVoterGap
}

// voterInLargestZone returns a voter of the zone with the most voters, of several the one
// that joined last. It is never this leader itself.
func (c *Core) voterInLargestZone(membership raft.Membership) raft.MemberID {
	voters := c.votersByZone(membership)
	crowded := raft.NoMember
	for _, id := range slices.Sorted(slices.Values(membership.Voters)) {
		if id == c.settings.Raft.ID {
			continue
		}
		if crowded == raft.NoMember || voters[c.zoneOf(id)] >= voters[c.zoneOf(crowded)] {
			crowded = id
		}
	}
	return crowded
}

// ToleratesZoneLoss reports whether a quorum of the voters is left when the
// LostZones zones with the most voters are lost.
func (c *Core) ToleratesZoneLoss() bool {
	if c.settings.LostZones == 0 || c.replica.Node == nil {
		return true
	}
	membership := c.replica.Node.Membership()
	counts := slices.Sorted(maps.Values(c.votersByZone(membership)))
	slices.Reverse(counts)
	lost := 0
	for _, count := range counts[:min(c.settings.LostZones, len(counts))] {
		lost += count
	}
	return len(membership.Voters)-lost >= membership.Quorum()
}

// logZoneTolerance writes an event when the loss of zones would begin or cease to stop
// the group.
func (c *Core) logZoneTolerance() {
	if !c.IsLeader() || c.groupSize.isExposed == !c.ToleratesZoneLoss() {
		return
	}
	c.groupSize.isExposed = !c.groupSize.isExposed
	c.logEvent(eventlog.ZoneToleranceChanged, "bears_lost_zones", !c.groupSize.isExposed, "lost_zones", c.settings.LostZones,
		"voters_by_zone", formatZones(c.votersByZone(c.replica.Node.Membership())))
}

func formatZones(voters map[string]int) string {
	var words []string
	for _, zone := range slices.Sorted(maps.Keys(voters)) {
		words = append(words, fmt.Sprintf("%s:%d", zone, voters[zone]))
	}
	return strings.Join(words, ",")
}
