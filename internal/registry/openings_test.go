package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

// targetsPerZone is the number of targets in each zone.
const targetsPerZone = 10

// openingFixture is a group with targets in several zones.
type openingFixture struct {
	*cluster
	leader, follower *machine
	tokens           map[string][]directory.Token
}

func newOpeningFixture(t *testing.T) *openingFixture {
	b := &openingFixture{cluster: newCluster(t, 5, 3), tokens: map[string][]directory.Token{}}
	b.leader = b.waitForLeader()
	for _, name := range b.names() {
		if m := b.machines[name]; m != b.leader {
			b.follower = m
		}
	}
	for number := range testZones * targetsPerZone {
		command := putTarget(fmt.Sprint("i-", number), fmt.Sprintf("10.1.1.%d:1", number+1), directory.TargetReady)
		command.Target.Zone = fmt.Sprint("zone-", number%testZones)
		require.NoError(t, b.submit(b.leader, command).Err)
		target, _ := b.leader.core.State().Target(command.Target.ID)
		b.tokens[target.Zone] = append(b.tokens[target.Zone], target.Token)
	}
	b.run(time.Second)
	return b
}

// report repeats the evidence of some nodes at the follower for a duration.
func (b *openingFixture) report(duration time.Duration, nodes int, evidence Evidence) {
	for end := b.now.Add(duration); b.now < end; b.run(livenessInterval) {
		b.reportEvidence(b.follower, nodes, evidence)
	}
}

func (b *openingFixture) verdicts() directory.Verdicts { return b.follower.keepalive.Verdicts }

func TestRefusingZoneIsAvoided(t *testing.T) {
	b := newOpeningFixture(t)
	refusing := Evidence{Openings: []directory.ZoneOpenings{{Zone: "zone-1", Opened: 1, Refused: 6}, {Zone: "zone-2", Opened: 7}}}
	b.report(300*time.Millisecond, 2, refusing)
	assert.Equal(t, []string{"zone-1"}, b.verdicts().AvoidedZones)
	assert.Equal(t, 1, b.events[eventlog.ZoneAvoided])
	b.run(zoneAvoidTime)
	assert.Empty(t, b.verdicts().AvoidedZones, "the avoidance has ended")
	b.report(300*time.Millisecond, 2, refusing)
	b.run(zoneAvoidTime + zoneAvoidTime/2)
	assert.Equal(t, []string{"zone-1"}, b.verdicts().AvoidedZones, "longer after repeated refusals")
	b.run(zoneAvoidTime)
	assert.Empty(t, b.verdicts().AvoidedZones)
}

// A zone must not be avoided because of packet loss, targets that are down or little traffic.
func TestMostlyAcceptingZoneIsNotAvoided(t *testing.T) {
	cases := map[string]directory.ZoneOpenings{
		"lossy":     {Opened: 20, Refused: 8},
		"half down": {Opened: 10, Refused: 10},
		"idle":      {Refused: 1},
	}
	for name, counted := range cases {
		t.Run(name, func(t *testing.T) {
			b := newOpeningFixture(t)
			counted.Zone = "zone-1"
			b.report(time.Second, 2, Evidence{Openings: []directory.ZoneOpenings{counted}})
			assert.Empty(t, b.verdicts().AvoidedZones)
		})
	}
}

// When the targets of most zones refuse, there is nowhere else to send flows.
func TestNoZoneIsAvoidedWhenMostRefuse(t *testing.T) {
	b := newOpeningFixture(t)
	b.report(time.Second, 3, Evidence{Openings: []directory.ZoneOpenings{{Zone: "zone-0", Refused: 9}, {Zone: "zone-1", Refused: 9}}})
	assert.Empty(t, b.verdicts().AvoidedZones)
}

func TestRefusingTargetIsSuspectUntilHeartbeat(t *testing.T) {
	b := newOpeningFixture(t)
	token := b.tokens["zone-1"][0]
	b.report(200*time.Millisecond, 2, Evidence{Refused: []SilentTarget{{Token: token, Weight: 1, Nodes: 1}}})
	b.run(KeepaliveInterval)
	assert.Equal(t, []directory.Token{token}, b.verdicts().Suspects)
	b.follower.core.RecordHeartbeats(b.now, []directory.Token{token})
	b.run(livenessInterval + KeepaliveInterval + 100*time.Millisecond)
	assert.Empty(t, b.verdicts().Suspects)
}

func TestRefusalsAtOneNodeAreNotEnough(t *testing.T) {
	b := newOpeningFixture(t)
	token := b.tokens["zone-1"][0]
	b.report(time.Second, 1, Evidence{Refused: []SilentTarget{{Token: token, Weight: 2, Nodes: 1}}})
	b.run(KeepaliveInterval)
	assert.Empty(t, b.verdicts().Suspects)
}

func TestAnswerClearsRefusalSuspicion(t *testing.T) {
	s := &targetLiveness{lastHeartbeat: kernel.Instant(time.Second)}
	now := kernel.Instant(time.Minute)
	s.recordRefusal(now, "m1", SilentTarget{Weight: 2, Nodes: 1})
	assert.False(t, s.isRefusing(now), "too few refusals")
	s.recordRefusal(now, "m2", SilentTarget{Weight: 1, Nodes: 1})
	assert.True(t, s.isRefusing(now))
	assert.True(t, s.isRefusing(now.Add(refusalSuspicionTime-1)))
	assert.False(t, s.isRefusing(now.Add(refusalSuspicionTime)))
	s.lastAnswer = now.Add(1)
	assert.False(t, s.isRefusing(now.Add(2)))
}

func TestOpeningTableSumsReports(t *testing.T) {
	evidence := Evidence{
		Refused:  []SilentTarget{{Token: 1, Weight: 2, Nodes: 1}},
		Openings: []directory.ZoneOpenings{{Zone: "a", Opened: 1, Refused: 2}},
	}
	table := newOpeningTable()
	table.add(evidence)
	table.add(evidence)
	zones, refused := table.drain()
	assert.Equal(t, []directory.ZoneOpenings{{Zone: "a", Opened: 2, Refused: 4}}, zones)
	assert.Equal(t, []SilentTarget{{Token: 1, Weight: 4, Nodes: 2}}, refused)
	zones, refused = table.drain()
	assert.Empty(t, zones)
	assert.Empty(t, refused)
	decoded, err := DecodeEvidence(evidence.Frame().Payload)
	require.NoError(t, err)
	assert.Equal(t, evidence, decoded)
}
