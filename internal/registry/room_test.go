package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/room"
)

// linkUsageFixture is a group whose nodes tell how their links are used.
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

// tell lets the nodes of all members that are up say the same for a time.
func (b *linkUsageFixture) tell(duration time.Duration, word room.LinkReport) {
	for end := b.now.Add(duration); b.now < end; b.run(room.ReportInterval) {
		for _, name := range b.names() {
			if m := b.machines[name]; m.up {
				m.core.RecordLinkUsage(b.now, 1, word)
				m.core.RecordLinkUsage(b.now, 2, word)
			}
		}
	}
}

func (b *linkUsageFixture) nodes(m *machine) int {
	zones, age := m.core.LinkUsage(b.now)
	if len(zones) == 0 || age >= room.ReportLifetime {
		return 0
	}
	return zones[0].Nodes()
}

func TestEachMemberLearnsTheRoomOfAllNodes(t *testing.T) {
	b := newLinkUsageFixture(t)
	b.tell(4*time.Second, room.LinkReport{Rate: 100, InPercent: 50})
	for _, name := range b.names() {
		zones, _ := b.machines[name].core.LinkUsage(b.now)
		require.Len(t, zones, 1)
		assert.Equal(t, 6, zones[0].Nodes())
		assert.Equal(t, uint64(300), zones[0].UsedRate)
	}
}

func TestAMemberThatIsCutOffAgesOutOnBothSides(t *testing.T) {
	b := newLinkUsageFixture(t)
	b.tell(4*time.Second, room.LinkReport{Rate: 100})
	b.cut = func(from, to string) bool { return from == b.follower.address || to == b.follower.address }
	b.tell(2*room.ReportLifetime, room.LinkReport{Rate: 100, InPercent: 10})
	assert.Equal(t, 4, b.nodes(b.leader))
	assert.Zero(t, b.nodes(b.follower), "its view is old")
	b.cut = func(string, string) bool { return false }
	b.tell(6*time.Second, room.LinkReport{Rate: 100, InPercent: 20})
	assert.Equal(t, 6, b.nodes(b.follower))
}

func TestANewLeaderSumsUpAnew(t *testing.T) {
	b := newLinkUsageFixture(t)
	b.tell(4*time.Second, room.LinkReport{Rate: 100})
	b.kill(b.leader.address, false)
	b.run(2 * time.Second)
	b.leader = b.waitForLeader()
	b.tell(2*room.ReportLifetime, room.LinkReport{Rate: 100, InPercent: 30})
	assert.Equal(t, 4, b.nodes(b.leader))
	assert.Equal(t, 4, b.nodes(b.follower))
}

// Sums that come late or twice replace each other; one of an earlier leader is left out.
func TestSumsThatComeLateOrTwice(t *testing.T) {
	b := newLinkUsageFixture(t)
	b.tell(4*time.Second, room.LinkReport{Rate: 100})
	old := room.Message{Term: 0, Zones: []room.ZoneSummary{{Zone: "south"}}}
	b.apply(b.follower, b.follower.core.HandleFrame(b.now, old.Frame()))
	assert.Equal(t, 6, b.nodes(b.follower))
	own := room.Message{Member: b.follower.address, Zones: b.follower.core.room.nodes.Summaries(b.now)}
	for range 3 {
		b.apply(b.leader, b.leader.core.HandleFrame(b.now, own.Frame()))
	}
	b.tell(3*time.Second, room.LinkReport{Rate: 100, InPercent: 1})
	assert.Equal(t, 6, b.nodes(b.leader))
}

func TestAZoneWhoseNodesRefuseIsAnEvent(t *testing.T) {
	b := newLinkUsageFixture(t)
	b.tell(4*time.Second, room.LinkReport{Rate: 100, Refusing: true})
	assert.Equal(t, 3, b.events[eventlog.ZoneShortOfRoom], "once a member")
	b.tell(4*time.Second, room.LinkReport{Rate: 100})
	assert.Equal(t, 3, b.events[eventlog.ZonesHaveRoom])
}
