package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/eventlog"
)

// Guards against log volume that grows with the product of targets and members.
func TestFollowersSampleTargetStageEvents(t *testing.T) {
	const targets = 20
	c := newCluster(t, 1, 5)
	leader := c.waitForLeader()
	for number := range targets {
		require.NoError(t, c.submit(leader, putTarget(fmt.Sprint("i-", number), fmt.Sprintf("10.1.1.%d:1", number), directory.TargetReady)).Err)
	}
	c.run(time.Second)
	assert.Equal(t, 5*targets, c.events[eventlog.TargetStage])
	assert.Equal(t, 4*targets, c.sampled[eventlog.TargetStage])
	require.NoError(t, c.publish(leader, 7).Err)
	c.run(time.Second)
	assert.Zero(t, c.sampled[eventlog.VersionInForce], "each member logs a new version without sampling")
}
