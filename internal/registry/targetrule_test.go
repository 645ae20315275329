package registry

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/eventlog"
)

// setTargetRule submits a rule at a member, as its process does.
func (c *cluster) setTargetRule(m *machine, id string, rule directory.TargetRule) Outcome {
	order := directory.TargetOrder{ID: id, Rule: rule, Revision: m.core.State().TargetOrder(id).Revision}
	return c.submit(m, directory.Command{Kind: directory.CommandOrderTarget, TargetOrder: order})
}

func TestTargetRequestsOverMemberProtocol(t *testing.T) {
	process, address := startMember(t)
	for id, zone := range map[string]string{"i-1": "north", "i-2": "south", "i-3": "south"} {
		target := directory.Target{ID: id, Service: "booking", Zone: zone, Slots: 2, State: directory.TargetReady}
		target.Address = netip.MustParseAddrPort("10.0.0." + id[2:] + ":1")
		require.Eventually(t, func() bool {
			_, err := process.HandleHeartbeat(context.Background(), Heartbeat{Target: target})
			return err == nil
		}, 10*time.Second, 20*time.Millisecond)
	}
	ejected := sendRequest(t, address, OperatorRequest{Action: ActionEjectTarget, Target: "i-1"}).Targets
	expected := TargetStatus{ID: "i-1", Service: "booking", Zone: "north", Slots: 2, Rule: directory.RuleEjected, Ejected: true}
	assert.Equal(t, []TargetStatus{expected}, ejected)
	assert.Equal(t, ejected, sendRequest(t, address, OperatorRequest{}).Targets, "listed")
	exempt := sendRequest(t, address, OperatorRequest{Action: ActionExemptTarget, Target: "i-1"}).Targets
	require.Len(t, exempt, 1)
	assert.Equal(t, directory.RuleExempt, exempt[0].Rule)
	sendRequest(t, address, OperatorRequest{Action: ActionReadmitTarget, Target: "i-1"})
	readmitted := func() bool { return len(sendRequest(t, address, OperatorRequest{}).Targets) == 0 }
	assert.Eventually(t, readmitted, 5*time.Second, 20*time.Millisecond, "the next verdicts apply the rule")
	assert.Len(t, sendRequest(t, address, OperatorRequest{Target: "i-2"}).Targets, 1, "a named target is always included")
	rejected := sendRequest(t, address, OperatorRequest{Action: ActionEjectTarget, Target: "i-9"})
	assert.True(t, rejected.Rejected)
	assert.Equal(t, `target: "i-9" is not known or has ended`, rejected.Error)
}

func TestDryRunTargetPredictsLoad(t *testing.T) {
	response := OperatorResponse{
		Zones: []ZoneStatus{{Zone: "a", Service: "one", Slots: 6}, {Zone: "b", Service: "one", Slots: 6}, {Zone: "c", Service: "one", Slots: 9, Evacuated: true}},
		Targets: []TargetStatus{
			{ID: "i-1", Service: "one", Slots: 2}, {ID: "i-2", Service: "one", Slots: 4, Ejected: true}, {ID: "i-3", Service: "one", Slots: 8},
			{ID: "i-4", Service: "two", Slots: 9, Ejected: true},
		},
	}
	effect, warnings, known := DryRunTarget(response, "i-1")
	require.True(t, known)
	assert.Equal(t, ShareChange{Service: "one", Before: 8.0 / 12, After: 6.0 / 12}, effect)
	assert.Empty(t, warnings)
	_, warnings, _ = DryRunTarget(response, "i-3")
	assert.Equal(t, []string{"service one has no other targets: new flows still go to ejected ones"}, warnings)
	_, warnings, _ = DryRunTarget(response, "i-2")
	assert.Equal(t, []string{"target i-2 is already ejected"}, warnings)
	_, _, known = DryRunTarget(response, "i-9")
	assert.False(t, known)
	response.Targets[0].Slots = 3
	_, warnings, _ = DryRunTarget(response, "i-1")
	assert.Equal(t, []string{"service one: load on the other targets rises by a factor of 1.6"}, warnings)
}

func TestAcknowledgedTargetRuleSurvivesDiskAndPowerLoss(t *testing.T) {
	for seed := range uint64(20) {
		c := newTolerantCluster(t, seed, 5, 2)
		leader := c.leader()
		require.NoError(t, c.submit(leader, putTarget("i-1", "10.1.1.1:1", directory.TargetReady)).Err)
		require.NoError(t, c.submit(leader, putTarget("i-2", "10.1.1.2:1", directory.TargetReady)).Err)
		require.NoError(t, c.setTargetRule(leader, "i-1", directory.RuleEjected).Err)
		require.NoError(t, c.setTargetRule(leader, "i-2", directory.RuleEjected).Err)
		require.NoError(t, c.setTargetRule(leader, "i-2", directory.RuleJudged).Err)
		c.loseDisksAndPower(2)
		leader = c.waitForLeader()
		_, err := c.read(leader)
		require.NoError(t, err)
		assert.Equal(t, directory.RuleEjected, leader.core.State().TargetOrder("i-1").Rule, "seed %d", seed)
		assert.Equal(t, directory.RuleJudged, leader.core.State().TargetOrder("i-2").Rule, "seed %d", seed)
		c.run(2 * time.Second)
		target, _ := leader.core.State().Target("i-1")
		assert.Equal(t, []directory.Token{target.Token}, c.waitForLeader().core.liveness.verdicts.Ejected, "seed %d", seed)
	}
}

func TestTargetRulesReachNodes(t *testing.T) {
	b := newOutcomeFixture(t)
	m := b.reporters[0]
	b.subscribe(m, 1)
	target := b.targets[4]
	require.NoError(t, b.setTargetRule(m, target.ID, directory.RuleEjected).Err)
	b.run(200 * time.Millisecond)
	assert.Equal(t, []directory.Token{target.Token}, b.ejected(m))
	assert.Zero(t, b.events[eventlog.TargetEjected])
	assert.Equal(t, 3, b.events[eventlog.TargetOrderInForce])
	require.NoError(t, b.setTargetRule(m, target.ID, directory.RuleJudged).Err)
	b.run(200 * time.Millisecond)
	assert.Empty(t, b.ejected(m))
	b.reportExchanges(3 * time.Second)
	require.NoError(t, b.setTargetRule(m, target.ID, directory.RuleExempt).Err)
	b.failing[target.Token] = true
	b.reportExchanges(3 * time.Second)
	assert.Empty(t, b.ejected(m))
}

// A rule delayed at a partitioned member must not undo a later one that was acknowledged
// elsewhere.
func TestDelayedTargetRuleDoesNotOverwriteNewer(t *testing.T) {
	for seed := range uint64(20) {
		c := newTolerantCluster(t, seed, 5, 2)
		leader := c.leader()
		require.NoError(t, c.submit(leader, putTarget("i-1", "10.1.1.1:1", directory.TargetReady)).Err)
		c.run(200 * time.Millisecond)
		var partitioned *machine
		for _, name := range c.names() {
			if m := c.machines[name]; m != leader {
				partitioned = m
			}
		}
		c.cut = func(from, to string) bool { return to == leader.address && from == partitioned.address }
		order := directory.TargetOrder{ID: "i-1", Rule: directory.RuleEjected}
		ticket, output := partitioned.core.Submit(c.now, directory.Command{Kind: directory.CommandOrderTarget, TargetOrder: order})
		c.apply(partitioned, output)
		c.run(100 * time.Millisecond)
		require.NoError(t, c.setTargetRule(leader, "i-1", directory.RuleEjected).Err)
		require.NoError(t, c.setTargetRule(leader, "i-1", directory.RuleJudged).Err)
		c.cut = func(string, string) bool { return false }
		c.runUntil(3*time.Second, "an outcome", func() bool { _, done := partitioned.outcomes[ticket]; return done })
		c.run(time.Second)
		outcome := partitioned.outcomes[ticket]
		assert.True(t, outcome.Err != nil || outcome.Result.Code == directory.CodeConflict, "seed %d: %+v", seed, outcome)
		assert.Equal(t, directory.RuleJudged, c.waitForLeader().core.State().TargetOrder("i-1").Rule, "seed %d", seed)
	}
}

// Requests and responses of older versions lack the fields about targets.
func TestDecodeRequestsOfOlderClients(t *testing.T) {
	const emptyField = 4
	payload := OperatorRequest{Action: ActionEvacuateZone, Zone: "north"}.frame().Payload
	decoded, err := decodeOperatorRequest(payload[:len(payload)-emptyField])
	require.NoError(t, err)
	assert.Equal(t, OperatorRequest{Action: ActionEvacuateZone, Zone: "north"}, decoded)
	response := OperatorResponse{Zones: []ZoneStatus{{Zone: "a", Service: "b"}}}
	payload = response.frame().Payload
	read, err := decodeOperatorResponse(payload[:len(payload)-emptyField])
	require.NoError(t, err)
	assert.Equal(t, response, read)
}
