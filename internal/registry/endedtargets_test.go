package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/directory"
)

// Every start of a target gets a new token, so that entries of ended targets would
// accumulate with each release.
func TestLivenessTableRemovesEndedTargets(t *testing.T) {
	c := newCluster(t, 5, 3)
	leader := c.waitForLeader()
	for number := range 300 {
		id := fmt.Sprint("i-", number)
		require.NoError(t, c.submit(leader, putTarget(id, fmt.Sprintf("10.1.1.%d:%d", number%200+1, number+1), directory.TargetReady)).Err)
		for _, name := range c.names() {
			c.machines[name].core.RecordHeartbeat(c.now, directory.Start{ID: id})
		}
		if number > 0 {
			before, _ := leader.core.State().Target(fmt.Sprint("i-", number-1))
			before.State = directory.TargetEnded
			require.NoError(t, c.submit(leader, directory.Command{Kind: directory.CommandPutTarget, Target: before}).Err)
		}
	}
	c.run(time.Second)
	last, _ := leader.core.State().Target("i-299")
	for _, name := range c.names() {
		m := c.machines[name]
		m.core.RecordHeartbeat(c.now, directory.Start{ID: "i-299"})
		c.run(livenessInterval)
		assert.LessOrEqual(t, len(m.core.liveness.targets), 2+livenessSweepSlack, name)
		assert.Contains(t, m.core.liveness.targets, last.Token)
	}
}

// At most half of the targets that have not ended may be marked as lost, however many have.
func TestEndedTargetsDoNotRaiseLossLimit(t *testing.T) {
	c := newCluster(t, 6, 3)
	leader := c.waitForLeader()
	var living []directory.Target
	for number := range 40 {
		id := fmt.Sprint("i-", number)
		require.NoError(t, c.submit(leader, putTarget(id, fmt.Sprintf("10.1.1.%d:1", number+1), directory.TargetReady)).Err)
		target, _ := leader.core.State().Target(id)
		if number < 34 {
			target.State = directory.TargetEnded
			require.NoError(t, c.submit(leader, directory.Command{Kind: directory.CommandPutTarget, Target: target}).Err)
			continue
		}
		living = append(living, target)
	}
	c.run(time.Second)
	restored, err := directory.Decode(leader.core.State().Encode())
	require.NoError(t, err)
	assert.Equal(t, len(living), restored.TargetCount())
	var silent []SilentTarget
	for _, target := range living[:5] {
		silent = append(silent, SilentTarget{Token: target.Token, Weight: 4, Nodes: 1})
	}
	for range 15 {
		c.reportEvidence(leader, 3, Evidence{Silent: silent})
		c.run(livenessInterval)
		assert.LessOrEqual(t, len(leader.core.liveness.verdicts.Lost), len(living)/verdictShareDivisor)
	}
}
