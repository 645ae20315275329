package registry

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/eventlog"
)

// newTwoVersionFixture returns a group with one service, half of whose targets in each zone
// have the newer version, and the tokens of these targets.
func newTwoVersionFixture(t *testing.T) (*outcomeFixture, []directory.Token) {
	b := &outcomeFixture{cluster: newCluster(t, 5, 3), failing: map[directory.Token]bool{}}
	b.leader = b.waitForLeader()
	var newer []directory.Token
	for number := range fixtureTargets {
		command := putTarget(fmt.Sprint("i-", number), fmt.Sprintf("10.1.1.%d:1", number+1), directory.TargetReady)
		command.Target.Zone = fmt.Sprint("zone-", number%testZones)
		command.Target.Slots = 2
		command.Target.Version = "v1"
		if number >= fixtureTargets/2 {
			command.Target.Version = "v2"
		}
		require.NoError(b, b.submit(b.leader, command).Err)
		target, _ := b.leader.core.State().Target(command.Target.ID)
		b.targets = append(b.targets, target)
		if target.Version == "v2" {
			newer = append(newer, target.Token)
		}
	}
	for _, name := range b.names() {
		if m := b.machines[name]; m != b.leader {
			b.reporters = append(b.reporters, m)
		}
	}
	b.run(time.Second)
	b.reportExchanges(3 * time.Second)
	return b, newer
}

func (b *outcomeFixture) failTargets(tokens []directory.Token) {
	for _, token := range tokens {
		b.failing[token] = true
	}
}

func TestBadVersionIsHeldAndReadmitted(t *testing.T) {
	b, newer := newTwoVersionFixture(t)
	b.failTargets(newer)
	b.reportExchanges(1500 * time.Millisecond)
	for _, m := range b.reporters {
		assert.ElementsMatch(t, newer, b.ejected(m))
	}
	assert.Equal(t, 1, b.events[eventlog.VersionHeld])
	assert.Equal(t, 1, b.leader.core.outcomes.detector.HeldVersions())
	b.failing = nil
	b.reportExchanges(12 * time.Second)
	assert.Empty(t, b.ejected(b.reporters[0]))
	assert.Empty(t, b.reporters[0].keepalive.Verdicts.Probation)
	assert.Equal(t, 1, b.events[eventlog.VersionOnTrial])
	assert.Equal(t, 1, b.events[eventlog.VersionReadmitted])
	assert.Zero(t, b.leader.core.outcomes.detector.HeldVersions())
}

// A new leader has no counts. It keeps the version held and soon puts it on trial.
func TestNewLeaderKeepsVersionHeld(t *testing.T) {
	b, newer := newTwoVersionFixture(t)
	b.failTargets(newer)
	b.reportExchanges(1500 * time.Millisecond)
	b.kill(b.leader.address, false)
	b.runUntil(5*time.Second, "a new leader", func() bool { return b.nextLeader() != nil })
	b.run(b.nextLeader().core.settings.LostAfter + 200*time.Millisecond)
	for _, m := range b.reporters {
		assert.ElementsMatch(t, newer, m.keepalive.Verdicts.Ejected)
	}
	assert.Equal(t, 2, b.events[eventlog.VersionHeld])
	b.reportExchanges(4 * time.Second)
	assert.Equal(t, 3, b.events[eventlog.VersionHeld], "the trial failed")
	b.failing = nil
	b.reportExchanges(20 * time.Second)
	assert.Empty(t, b.reporters[0].keepalive.Verdicts.Ejected)
}

func TestVersionRuleSurvivesLeaderAndDiskLoss(t *testing.T) {
	for seed := range uint64(10) {
		c := newTolerantCluster(t, seed, 5, 2)
		leader := c.leader()
		for number, version := range []string{"v1", "v2"} {
			command := putTarget(fmt.Sprint("i-", number), fmt.Sprintf("10.1.1.%d:1", number+1), directory.TargetReady)
			command.Target.Version = version
			require.NoError(t, c.submit(leader, command).Err)
		}
		target, _ := leader.core.State().Target("i-1")
		order := directory.VersionOrder{ServiceVersion: target.ServiceVersion(), Rule: directory.VersionHeld}
		require.NoError(t, c.submit(leader, directory.Command{Kind: directory.CommandOrderVersion, VersionOrder: order}).Err)
		c.loseDisksAndPower(2)
		leader = c.waitForLeader()
		_, err := c.read(leader)
		require.NoError(t, err)
		c.run(2 * time.Second)
		assert.Equal(t, []directory.Token{target.Token}, c.waitForLeader().core.liveness.verdicts.Ejected, "seed %d", seed)
	}
}

func TestVersionRequestsOverMemberProtocol(t *testing.T) {
	process, address := startMember(t)
	for id, version := range map[string]string{"i-1": "v1", "i-2": "v1", "i-3": "v2", "i-4": ""} {
		target := directory.Target{ID: id, Service: "booking", Zone: "north", Slots: 2, State: directory.TargetReady, Version: version}
		target.Address = netip.MustParseAddrPort("10.0.0." + id[2:] + ":1")
		require.Eventually(t, func() bool {
			_, err := process.HandleHeartbeat(context.Background(), Heartbeat{Target: target})
			return err == nil
		}, 10*time.Second, 20*time.Millisecond)
	}
	v1, v2 := directory.ServiceVersion{Service: "booking", Version: "v1"}, directory.ServiceVersion{Service: "booking", Version: "v2"}
	listed := sendRequest(t, address, OperatorRequest{})
	assert.Equal(t, []VersionStatus{{ServiceVersion: v1, Targets: 2, Slots: 4}, {ServiceVersion: v2, Targets: 1, Slots: 2}}, listed.Versions)
	effect, warnings, known := DryRunVersion(listed, v1)
	assert.True(t, known)
	assert.Equal(t, ShareChange{Service: "booking", Before: 1, After: 0.5}, effect)
	assert.Equal(t, []string{"service booking: load on the other targets rises by a factor of 2.0"}, warnings)
	held := sendRequest(t, address, OperatorRequest{Action: ActionHoldVersion, Version: v2})
	require.Len(t, held.Versions, 2)
	assert.Equal(t, directory.VersionHeld, held.Versions[1].Rule)
	ejected := func() uint32 { return sendRequest(t, address, OperatorRequest{}).Versions[1].Ejected }
	assert.Eventually(t, func() bool { return ejected() == 1 }, 5*time.Second, 20*time.Millisecond, "the next verdicts apply the rule")
	sendRequest(t, address, OperatorRequest{Action: ActionJudgeVersion, Version: v2})
	assert.Eventually(t, func() bool { return ejected() == 0 }, 5*time.Second, 20*time.Millisecond)
	rejected := sendRequest(t, address, OperatorRequest{Action: ActionHoldVersion, Version: directory.ServiceVersion{Service: "booking", Version: "v9"}})
	assert.True(t, rejected.Rejected)
	assert.Equal(t, `version: "v9" of service "booking" has no targets`, rejected.Error)
	_, _, known = DryRunVersion(listed, directory.ServiceVersion{Service: "booking", Version: "v9"})
	assert.False(t, known)
}
