package registry

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// takeKeepalives calls sendKeepalive and returns the keepalives to a node and their size in
// bytes.
func takeKeepalives(t *testing.T, core *Core, now kernel.Instant, connection ConnectionID) (keepalives []Keepalive, bytes int) {
	t.Helper()
	core.sendKeepalive(now, connection)
	for _, sent := range core.takeOutput().Nodes {
		if sent.Connection != connection || sent.Frame.Kind != wire.FrameKeepalive {
			continue
		}
		keepalive, err := DecodeKeepalive(sent.Frame.Payload)
		require.NoError(t, err)
		keepalives = append(keepalives, keepalive)
		bytes += wire.FrameSize(sent.Frame)
	}
	return keepalives, bytes
}

// Guards against sending the long verdicts after the loss of a zone with each keepalive to
// each node.
func TestUnchangedVerdictsAreOmitted(t *testing.T) {
	const suspects = 6000
	c := newCluster(t, 1, 3)
	core := c.waitForLeader().core
	tokens := make([]directory.Token, suspects)
	for number := range tokens {
		tokens[number] = directory.Token(number + 1)
	}
	core.liveness.verdicts = leaderVerdicts{Verdicts: directory.Verdicts{Suspects: tokens}}
	for _, caches := range []bool{true, false} {
		const connection = 7
		core.Subscribe(c.now, connection, Subscribe{Node: "edge", CachesVerdicts: caches})
		total := 0
		for range 10 {
			core.nodes[connection].nextKeepalive = c.now
			keepalives, bytes := takeKeepalives(t, core, c.now, connection)
			require.Len(t, keepalives, 1)
			require.True(t, keepalives[0].Current)
			assert.Equal(t, caches, keepalives[0].Unchanged, "verdicts were sent on subscription")
			total += bytes
		}
		if caches {
			assert.Less(t, total, 10*50)
		} else {
			assert.Greater(t, total, 10*suspects*4)
		}
		core.liveness.verdicts.Lost = []directory.Token{3}
		keepalives, _ := takeKeepalives(t, core, c.now, connection)
		require.Len(t, keepalives, 1)
		assert.False(t, keepalives[0].Unchanged)
		assert.Equal(t, []directory.Token{3}, keepalives[0].Verdicts.Lost)
		assert.Len(t, keepalives[0].Verdicts.Suspects, suspects)
		core.liveness.verdicts.Lost = nil
		core.Unsubscribe(connection)
	}
}

// Nodes ignore verdicts from a member that is not current, which must send them again later.
func TestVerdictsAreResentOnceMemberIsCurrent(t *testing.T) {
	c := newCluster(t, 1, 3)
	core := c.waitForLeader().core
	core.liveness.verdicts = leaderVerdicts{Verdicts: directory.Verdicts{Suspects: []directory.Token{5}}}
	staleTime := c.now.Add(10 * core.settings.MaxStaleness)
	require.False(t, core.IsCurrent(staleTime))
	core.Subscribe(staleTime, 7, Subscribe{Node: "edge", CachesVerdicts: true})
	core.takeOutput()
	keepalives, _ := takeKeepalives(t, core, staleTime.Add(KeepaliveInterval), 7)
	require.Len(t, keepalives, 1)
	assert.False(t, keepalives[0].Current || keepalives[0].Unchanged)
	require.True(t, core.IsCurrent(c.now))
	core.nodes[7].nextKeepalive = c.now
	keepalives, _ = takeKeepalives(t, core, c.now, 7)
	require.Len(t, keepalives, 1)
	assert.True(t, keepalives[0].Current)
	assert.False(t, keepalives[0].Unchanged)
	assert.Equal(t, []directory.Token{5}, keepalives[0].Verdicts.Suspects)
}
