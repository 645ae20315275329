package registry

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/eventlog"
)

// testZones is the number of zones that members are assigned to in turn.
const testZones = 3

// newZonedCluster returns a group in three zones that tolerates the loss of two disks or of
// one zone.
func newZonedCluster(t *testing.T, seed uint64, members int) *cluster {
	c := newCluster(t, seed, 0)
	c.voterCount = 5
	c.lostZones = 1
	zones := map[string]string{}
	c.zoneOf = func(name string) string { return zones[name] }
	for number := range members {
		zones[address(number+1)] = fmt.Sprint("zone-", number%testZones)
	}
	for number := range testSeeds {
		c.seeds = append(c.seeds, address(number+1))
	}
	for number := range members {
		c.add(address(number+1), true)
	}
	c.waitForSpread()
	return c
}

// votersByZone returns the number of voters in each zone that the leader knows.
func (c *cluster) votersByZone() map[string]int {
	leader := c.leader()
	if leader == nil {
		return nil
	}
	return leader.core.votersByZone(leader.core.Raft().Membership())
}

// waitForSpread waits until the group has enough voters and tolerates the loss of a zone.
func (c *cluster) waitForSpread() {
	c.runUntil(15*time.Second, "the voters are spread", func() bool {
		leader := c.leader()
		return leader != nil && len(c.voters()) == c.voterCount && leader.core.ToleratesZoneLoss()
	})
}

// membersInZone returns the members of a zone.
func (c *cluster) membersInZone(zone string) []string {
	var names []string
	for _, name := range c.names() {
		if c.zoneOf(name) == zone {
			names = append(names, name)
		}
	}
	return names
}

// Promoting learners regardless of their zone could place a majority of the voters in one
// zone.
func TestVotersStaySpreadOverZones(t *testing.T) {
	for seed := range uint64(15) {
		c := newZonedCluster(t, seed, 9)
		for round := range 4 {
			names := c.membersInZone(fmt.Sprint("zone-", (round+int(seed))%testZones))
			for _, name := range names[:2] {
				c.wipe(name)
			}
			c.run(4 * time.Second)
			for _, name := range names[:2] {
				c.start(name)
			}
			c.waitForSpread()
			require.LessOrEqual(t, slices.Max(slices.Collect(maps.Values(c.votersByZone()))), 2, "seed %d, round %d", seed, round)
		}
	}
}

// waitForVoters waits until every voter is live and up to date. Before that the previous
// zone has not recovered, and losing another means losing two.
func (c *cluster) waitForVoters() {
	c.runUntil(15*time.Second, "all voters have recovered", func() bool {
		leader := c.leader()
		if leader == nil {
			return false
		}
		node := leader.core.Raft()
		for _, id := range node.Membership().Voters {
			if id != leader.core.settings.Raft.ID && (node.Match(id) < node.Commit() || !leader.core.isLive(c.now, id, leader.core.settings.Raft.ElectionTimeout)) {
				return false
			}
		}
		return true
	})
}

// Zones are lost one after the other, each after the previous one has recovered.
func TestQuorumSurvivesLossOfAnyZone(t *testing.T) {
	for seed := range uint64(60) {
		c := newZonedCluster(t, seed, 9)
		for round := range 5 {
			zone := fmt.Sprint("zone-", (round+int(seed))%testZones)
			for _, name := range c.membersInZone(zone) {
				c.kill(name, true)
			}
			leader := c.waitForLeader()
			require.NoError(t, c.publish(leader, leader.core.State().Configuration().Version+1).Err, "seed %d, %s", seed, zone)
			c.run(time.Duration(c.random.Int64N(int64(6 * time.Second))))
			for _, name := range c.membersInZone(zone) {
				c.start(name)
			}
			c.waitForVoters()
			c.waitForSpread()
		}
	}
}

// Moving a voter must never reduce the number of voters.
func TestMovingVoterKeepsVoterCount(t *testing.T) {
	c := newZonedCluster(t, 1, 9)
	minVoters := c.voterCount
	c.kill(c.membersInZone("zone-0")[0], true)
	c.kill(c.membersInZone("zone-0")[1], true)
	c.kill(c.membersInZone("zone-0")[2], true)
	c.run(12 * time.Second)
	require.Len(t, c.voters(), 5, "learners of the other zones were promoted")
	for _, name := range c.membersInZone("zone-0") {
		c.start(name)
	}
	c.runUntil(15*time.Second, "the voters are spread", func() bool {
		minVoters = min(minVoters, len(c.voters()))
		leader := c.leader()
		return leader != nil && len(c.voters()) == 5 && leader.core.ToleratesZoneLoss()
	})
	assert.Equal(t, 5, minVoters)
	assert.Positive(t, c.events[eventlog.ZoneToleranceChanged])
}

func TestMissingZoneToleranceIsLogged(t *testing.T) {
	c := newCluster(t, 1, 0)
	c.lostZones = 1
	c.seeds = []string{address(1), address(2), address(3)}
	for _, name := range c.seeds {
		c.add(name, true)
	}
	leader := c.waitForLeader()
	c.run(time.Second)
	assert.False(t, leader.core.ToleratesZoneLoss(), "all members are in one zone")
	assert.Positive(t, c.events[eventlog.ZoneToleranceChanged])
}
