package registry

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// A verdict of a replaced leader may arrive after those of its successor. It must not mark a
// target as lost that has been heard from since.
func TestVerdictOfReplacedLeaderIsIgnored(t *testing.T) {
	c := newCluster(t, 13, 3)
	leader := c.waitForLeader()
	require.NoError(t, c.submit(leader, putTarget("i-0", "10.1.1.1:1", directory.TargetReady)).Err)
	target, _ := leader.core.State().Target("i-0")
	c.run(time.Second)
	isVerdict := func(sent inFlightFrame) bool {
		if sent.from != leader.address || sent.frame.Kind != wire.FrameLiveness {
			return false
		}
		_, verdicts, _, err := decodeLiveness(sent.frame.Payload)
		require.NoError(t, err)
		return slices.Contains(verdicts.Lost, target.Token)
	}
	evidence := Evidence{Silent: []SilentTarget{{Token: target.Token, Weight: 9, Nodes: 1}}}
	c.runUntil(3*time.Second, "a verdict", func() bool {
		c.reportEvidence(leader, 3, evidence)
		return slices.ContainsFunc(c.inFlight, isVerdict)
	})
	late := c.inFlight[slices.IndexFunc(c.inFlight, isVerdict)].frame

	c.kill(leader.address, false)
	c.run(100 * time.Millisecond)
	successor := c.waitForLeader()
	for range 3 {
		successor.core.RecordHeartbeat(c.now, target.Start())
		c.run(500 * time.Millisecond)
	}
	for _, m := range c.machines {
		if !m.up || m == successor {
			continue
		}
		require.Empty(t, m.core.liveness.verdicts.Lost)
		c.deliverFrame(m, late)
		assert.Empty(t, m.core.liveness.verdicts.Lost)
	}
}

func TestVerdictsSurviveEncoding(t *testing.T) {
	sent := leaderVerdicts{Verdicts: directory.Verdicts{Suspects: []directory.Token{1, 2}, Lost: []directory.Token{2}}, Queried: []directory.Token{3}, Term: 7}
	fromLeader, decoded, _, err := decodeLiveness(sent.frame().Payload)
	require.NoError(t, err)
	assert.True(t, fromLeader)
	assert.Equal(t, sent, decoded)
	const termSize = 8
	older := sent.frame().Payload
	_, decoded, _, err = decodeLiveness(older[:len(older)-termSize])
	require.NoError(t, err)
	assert.Zero(t, decoded.Term, "older leaders state no term")
}
