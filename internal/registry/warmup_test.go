package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

func TestWarmupBudget(t *testing.T) {
	cases := []struct {
		rate   float64
		limits WarmupLimits
		budget uint32
	}{
		{0, WarmupLimits{1.5, 5}, 0},
		{0.3, WarmupLimits{1.5, 5}, 1},
		{1, WarmupLimits{1.5, 5}, 1},
		{100, WarmupLimits{1.5, 5}, 100},
		{100, WarmupLimits{0.5, 5}, 55},
		{100, WarmupLimits{}, 1},
	}
	for _, test := range cases {
		core := &Core{settings: CoreSettings{WarmupLimits: test.limits}}
		assert.Equal(t, test.budget, core.budget(WarmupConfig{Rate: test.rate}), "%+v", test)
	}
}

func TestInvalidWarmupConfigIsRejected(t *testing.T) {
	assert.NoError(t, WarmupConfig{Time: time.Second, Rate: 100}.Validate("time", "rate"))
	assert.ErrorContains(t, WarmupConfig{Time: -1}.Validate("time", "rate"), "time: ")
	assert.ErrorContains(t, WarmupConfig{Time: 2 * time.Hour}.Validate("time", "rate"), "time: ")
	assert.ErrorContains(t, WarmupConfig{Rate: -1}.Validate("time", "rate"), "rate: -1: must be")
	assert.ErrorContains(t, WarmupConfig{Rate: 1e9}.Validate("time", "rate"), "rate: ")
}

// leaderWithNodes returns a leader with subscribed nodes and a configured warm-up.
func leaderWithNodes(c *cluster, nodes int) *machine {
	leader := c.waitForLeader()
	leader.core.settings.WarmupLimits = WarmupLimits{Factor: 1.5, Slack: 5}
	leader.core.settings.WarmupOf = func(directory.Service) (WarmupConfig, error) {
		return WarmupConfig{Time: 2 * time.Second, Rate: 3}, nil
	}
	next := directory.Configuration{Version: 1, Services: []directory.Service{{Name: "booking"}}}
	edit := directory.Difference(leader.core.State().Configuration(), next)
	require.NoError(c, c.submit(leader, directory.Command{Kind: directory.CommandPublish, Edit: edit}).Err)
	for number := range nodes {
		c.apply(leader, leader.core.Subscribe(c.now, ConnectionID(number+1), Subscribe{Node: string(rune('a' + number))}))
	}
	return leader
}

func TestColdTargetHasAssignedNodesUntilWarm(t *testing.T) {
	c := newCluster(t, 1, 3)
	leader := leaderWithNodes(c, 10)
	command := putTarget("i-1", "10.1.1.1:1", directory.TargetReady)
	command.Target.Warmup = &directory.Warmup{Remaining: time.Second}
	command.Target.Warmup = leader.core.newWarmup(command.Target)
	require.Equal(t, uint32(3), command.Target.Warmup.Budget)
	require.Len(t, command.Target.Warmup.AssignedNodes, 3)
	require.NoError(t, c.submit(leader, command).Err)
	first := leader.core.adjustWarmups(c.now, leader.core.State().UpdateSince(0))
	require.NotNil(t, first.Targets[0].Warmup)
	assert.LessOrEqual(t, first.Targets[0].Warmup.Remaining, time.Second)
	c.run(500 * time.Millisecond)
	later := leader.core.adjustWarmups(c.now, leader.core.State().UpdateSince(0))
	assert.Less(t, later.Targets[0].Warmup.Remaining, 600*time.Millisecond, "the time that is left")
	c.run(time.Second)
	assert.Nil(t, leader.core.adjustWarmups(c.now, leader.core.State().UpdateSince(0)).Targets[0].Warmup, "the warm-up is over")
}

// A restarted member does not know the age of the registrations on its disk, so it counts
// their whole warm-up again.
func TestWarmupRestartsWithMember(t *testing.T) {
	c := newCluster(t, 1, 3)
	leader := leaderWithNodes(c, 4)
	command := putTarget("i-1", "10.1.1.1:1", directory.TargetReady)
	command.Target.Warmup = &directory.Warmup{Remaining: 2 * time.Second}
	require.NoError(t, c.submit(leader, command).Err)
	c.run(500 * time.Millisecond)
	for _, name := range c.names() {
		c.kill(name, true)
	}
	for _, name := range c.names() {
		c.start(name)
	}
	core := c.waitForLeader().core
	require.NotNil(t, core.adjustWarmups(c.now, core.State().UpdateSince(0)).Targets[0].Warmup)
	c.run(2 * time.Second)
	assert.Nil(t, core.adjustWarmups(c.now, core.State().UpdateSince(0)).Targets[0].Warmup)
}

func TestEndOfEvacuationStartsWarmups(t *testing.T) {
	c := newCluster(t, 1, 3)
	leader := leaderWithNodes(c, 10)
	command := putTarget("i-1", "10.1.1.1:1", directory.TargetReady)
	command.Target.Zone = "north"
	require.NoError(t, c.submit(leader, command).Err)
	require.NoError(t, c.evacuate(leader, "north", true).Err)
	base := leader.core.State().Evacuation("north").Revision
	evacuation := leader.core.endEvacuation(directory.Evacuation{Zone: "north", Revision: base})
	require.NoError(t, c.submit(leader, directory.Command{Kind: directory.CommandEvacuate, Evacuation: evacuation}).Err)
	update := leader.core.adjustWarmups(c.now, leader.core.State().UpdateSince(0))
	require.Len(t, update.Evacuations, 1)
	warmup, known := update.Evacuations[0].Warmup("booking")
	require.True(t, known)
	assert.Equal(t, uint32(3), warmup.Budget)
	assert.Len(t, warmup.AssignedNodes, 3)
	c.run(3 * time.Second)
	assert.Empty(t, leader.core.adjustWarmups(c.now, leader.core.State().UpdateSince(0)).Evacuations[0].Warmups)
}

func TestWarmupTableRemovesWarmTargets(t *testing.T) {
	now := kernel.Instant(time.Minute)
	table := newWarmupTable(now)
	for token := range directory.Token(10 * minWarmupSweep) {
		now = now.Add(10 * time.Millisecond)
		table.record(now, directory.Target{Token: token, Warmup: &directory.Warmup{Remaining: time.Second}})
		require.LessOrEqual(t, len(table.startedAt), minWarmupSweep+1)
	}
}

// When a whole fleet starts cold, a sweep for each target would make the cost quadratic.
func TestWarmupTableIsSweptRarely(t *testing.T) {
	const targets = 20_000
	now := kernel.Instant(time.Minute)
	table := newWarmupTable(now)
	sweeps := 0
	for token := range directory.Token(targets) {
		before := table.nextSweepSize
		table.record(now, directory.Target{Token: token, Warmup: &directory.Warmup{Remaining: time.Minute}})
		if table.nextSweepSize != before {
			sweeps++
		}
	}
	assert.Len(t, table.startedAt, targets)
	assert.LessOrEqual(t, sweeps, 7, "each at twice the size of the previous one")
}

// A restarted member that is not current does not know the budget. If it registered a cold
// target, all nodes would send flows there.
func TestStaleMemberRegistersNoColdTarget(t *testing.T) {
	c := newCluster(t, 1, 3)
	leaderWithNodes(c, 4)
	name := address(1)
	c.kill(name, true)
	c.start(name)
	m := c.machines[name]
	require.False(t, m.core.IsCurrent(c.now))
	cold := putTarget("i-1", "10.1.1.1:1", directory.TargetReady).Target
	cold.Warmup = &directory.Warmup{Remaining: 2 * time.Second}
	_, _, err := m.core.Register(c.now, cold)
	assert.ErrorIs(t, err, errNotCurrent)
	warm := putTarget("i-2", "10.1.1.2:1", directory.TargetReady).Target
	ticket, output, err := m.core.Register(c.now, warm)
	require.NoError(t, err, "a warm target waits for the group")
	c.apply(m, output)
	c.runUntil(5*time.Second, "an outcome", func() bool { _, done := m.outcomes[ticket]; return done })
	c.runUntil(5*time.Second, "the member is current", func() bool { return m.core.IsCurrent(c.now) })
	_, output, err = m.core.Register(c.now, cold)
	require.NoError(t, err)
	c.apply(m, output)
}
