package edge

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/registry"
)

// A node acknowledges heartbeats that agree with the committed state, and only while it
// is in contact with a member to report them to.
func TestHeartbeatsNeedFreshState(t *testing.T) {
	process := NewProcess(Settings{Name: "edge-1", Zone: "north"}, eventlog.Discard())
	process.heartbeats.Update([]directory.Target{{ID: "i-1", Token: 5, State: directory.TargetReady}})
	acknowledges := func(id string, state directory.TargetState) bool {
		_, err := process.HandleHeartbeat(context.Background(), registry.Heartbeat{Target: directory.Target{ID: id, State: state}})
		return err == nil
	}
	setStateAge := func(age time.Duration) {
		at := time.Now().Add(-age)
		process.subscriber.lastCurrentAt.Store(&at)
	}
	setStateAge(0)
	assert.True(t, acknowledges("i-1", directory.TargetReady))
	assert.False(t, acknowledges("i-1", directory.TargetDraining), "not committed yet")
	assert.False(t, acknowledges("i-2", directory.TargetReady), "not registered")
	setStateAge(2 * maxHeartbeatStateAge)
	assert.False(t, acknowledges("i-1", directory.TargetReady), "stale state")
	setStateAge(0)
	process.draining.Store(true)
	assert.False(t, acknowledges("i-1", directory.TargetReady), "draining")
	assert.Equal(t, []directory.Token{5}, process.heartbeats.TakeAcknowledged())
}
