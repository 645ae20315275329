package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/room"
)

// linkUsageFixture is a group whose nodes report the usage of their links.
type linkUsageFixture struct {
	*cluster
	leader, follower *machine
}

func newLinkUsageFixture(t *testing.T) *linkUsageFixture {
	b := &linkUsageFixture{cluster: newCluster(t, 5, 3)}
	b.leader = b.waitForLeader()
	for _, name := range b.names() {
		m := b.machines[name]
		if m != b.leader {
			b.follower = m
		}
		for node := range ConnectionID(2) {
			b.apply(m, m.core.Subscribe(b.now, node+1, Subscribe{Node: "edge", Zone: "north"}))
		}
	}
	return b
}

// report lets the nodes of all running members repeat a report for a duration.
func (b *linkUsageFixture) report(duration time.Duration, report room.LinkReport) {
	for end := b.now.Add(duration); b.now < end; b.run(room.ReportInterval) {
		for _, name := range b.names() {
			if m := b.machines[name]; m.up {
				m.core.RecordLinkUsage(b.now, 1, report)
				m.core.RecordLinkUsage(b.now, 2, report)
			}
		}
	}
}

func (b *linkUsageFixture) nodeCount(m *machine) int {
	zones, age := m.core.LinkUsage(b.now)
	if len(zones) == 0 || age >= room.ReportLifetime {
		return 0
	}
	return zones[0].Nodes()
}

func TestEveryMemberLearnsFleetLinkUsage(t *testing.T) {
	b := newLinkUsageFixture(t)
	b.report(4*time.Second, room.LinkReport{Rate: 100, InPercent: 50})
	for _, name := range b.names() {
		zones, _ := b.machines[name].core.LinkUsage(b.now)
		require.Len(t, zones, 1)
		assert.Equal(t, 6, zones[0].Nodes())
		assert.Equal(t, uint64(300), zones[0].UsedRate)
	}
}

func TestLinkUsageExpiresOnBothSidesOfPartition(t *testing.T) {
	b := newLinkUsageFixture(t)
	b.report(4*time.Second, room.LinkReport{Rate: 100})
	b.cut = func(from, to string) bool { return from == b.follower.address || to == b.follower.address }
	b.report(2*room.ReportLifetime, room.LinkReport{Rate: 100, InPercent: 10})
	assert.Equal(t, 4, b.nodeCount(b.leader))
	assert.Zero(t, b.nodeCount(b.follower), "its view has expired")
	b.cut = func(string, string) bool { return false }
	b.report(6*time.Second, room.LinkReport{Rate: 100, InPercent: 20})
	assert.Equal(t, 6, b.nodeCount(b.follower))
}

func TestNewLeaderRebuildsLinkUsage(t *testing.T) {
	b := newLinkUsageFixture(t)
	b.report(4*time.Second, room.LinkReport{Rate: 100})
	b.kill(b.leader.address, false)
	b.run(2 * time.Second)
	b.leader = b.waitForLeader()
	b.report(2*room.ReportLifetime, room.LinkReport{Rate: 100, InPercent: 30})
	assert.Equal(t, 4, b.nodeCount(b.leader))
	assert.Equal(t, 4, b.nodeCount(b.follower))
}

// Late or duplicate summaries must replace earlier ones, and those of an earlier term must
// be ignored.
func TestLateAndDuplicateLinkUsageMessages(t *testing.T) {
	b := newLinkUsageFixture(t)
	b.report(4*time.Second, room.LinkReport{Rate: 100})
	old := room.Message{Term: 0, Zones: []room.ZoneSummary{{Zone: "south"}}}
	b.apply(b.follower, b.follower.core.HandleFrame(b.now, old.Frame()))
	assert.Equal(t, 6, b.nodeCount(b.follower))
	own := room.Message{Member: b.follower.address, Zones: b.follower.core.linkUsage.nodes.Summaries(b.now)}
	for range 3 {
		b.apply(b.leader, b.leader.core.HandleFrame(b.now, own.Frame()))
	}
	b.report(3*time.Second, room.LinkReport{Rate: 100, InPercent: 1})
	assert.Equal(t, 6, b.nodeCount(b.leader))
}

func TestZoneWithRefusingNodesIsLogged(t *testing.T) {
	b := newLinkUsageFixture(t)
	b.report(4*time.Second, room.LinkReport{Rate: 100, Refusing: true})
	assert.Equal(t, 3, b.events[eventlog.ZoneShortOfRoom], "once at each member")
	b.report(4*time.Second, room.LinkReport{Rate: 100})
	assert.Equal(t, 3, b.events[eventlog.ZonesHaveRoom])
}
