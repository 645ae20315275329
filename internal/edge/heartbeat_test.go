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

// A node acknowledges what its members have on their disks, and only while it
// hears from them: nobody else would know that the target was heard.
func TestANodeTakesHeartbeatsOnlyWithAFreshState(t *testing.T) {
	process := NewProcess(Settings{Name: "edge-1", Zone: "north"}, eventlog.Discard())
	process.beats.Update([]directory.Target{{ID: "i-1", Token: 5, State: directory.TargetReady}})
	takes := func(id string, state directory.TargetState) bool {
		_, err := process.Beat(context.Background(), registry.Heartbeat{Target: directory.Target{ID: id, State: state}})
		return err == nil
	}
	hear := func(age time.Duration) {
		at := time.Now().Add(-age)
		process.subscriber.currentAt.Store(&at)
	}
	hear(0)
	assert.True(t, takes("i-1", directory.TargetReady))
	assert.False(t, takes("i-1", directory.TargetDraining), "the members must have it first")
	assert.False(t, takes("i-2", directory.TargetReady), "not registered")
	hear(2 * beatStateAge)
	assert.False(t, takes("i-1", directory.TargetReady), "no member is heard")
	hear(0)
	process.leaving.Store(true)
	assert.False(t, takes("i-1", directory.TargetReady), "the node is about to stop")
	assert.Equal(t, []directory.Token{5}, process.beats.TakeAcknowledged())
}
