package registry

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/raft"
)

// Zones are failure domains: all machines of a zone can fail together. Voters are spread so
// that a quorum survives the loss of any LostZones zones. To move a vote, a learner in the
// zone with too few voters is promoted first, and then a voter is demoted where there are
// too many, so that fault tolerance never drops in between.

// minZoneVoterGap is the smallest difference in voters between two zones at which a vote is
// moved. Moving one at a difference of 1 gains nothing.
const minZoneVoterGap = 2

// zoneOf returns the zone of a member, or "" if it is unknown.
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

// improvesZoneSpread reports whether promoting a learner improves the spread: its zone has
// far fewer voters than another one.
func (c *Core) improvesZoneSpread(membership raft.Membership, learner raft.MemberID) bool {
	if c.settings.LostZones == 0 {
		return false
	}
	voters := c.votersByZone(membership)
	most := slices.Max(slices.Collect(maps.Values(voters)))
	return most-voters[c.zoneOf(learner)] >= minZoneVoterGap
}

// voterInLargestZone returns the voter with the highest ID in the zone with the most
// voters. It never returns this member, the leader.
func (c *Core) voterInLargestZone(membership raft.Membership) raft.MemberID {
	voters := c.votersByZone(membership)
	chosen := raft.NoMember
	for _, id := range slices.Sorted(slices.Values(membership.Voters)) {
		if id == c.settings.Raft.ID {
			continue
		}
		if chosen == raft.NoMember || voters[c.zoneOf(id)] >= voters[c.zoneOf(chosen)] {
			chosen = id
		}
	}
	return chosen
}

// ToleratesZoneLoss reports whether a quorum of the voters survives the loss of the
// LostZones zones with the most voters.
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

// logZoneTolerance logs when the group begins or ceases to tolerate the loss of zones.
func (c *Core) logZoneTolerance() {
	if !c.IsLeader() || c.groupSize.isExposed == !c.ToleratesZoneLoss() {
		return
	}
	c.groupSize.isExposed = !c.groupSize.isExposed
	c.logEvent(eventlog.ZoneToleranceChanged, "bears_lost_zones", !c.groupSize.isExposed, "lost_zones", c.settings.LostZones,
		"voters_by_zone", formatZones(c.votersByZone(c.replica.Node.Membership())))
}

func formatZones(voters map[string]int) string {
	var parts []string
	for _, zone := range slices.Sorted(maps.Keys(voters)) {
		parts = append(parts, fmt.Sprintf("%s:%d", zone, voters[zone]))
	}
	return strings.Join(parts, ",")
}
