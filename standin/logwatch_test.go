package standin

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Target stages are tracked across the logs of all processes, including a line that is
// written in two parts.
func TestLogWatchTracksTargetStages(t *testing.T) {
	folder := t.TempDir()
	write := func(process, text string) {
		file, err := os.OpenFile(filepath.Join(folder, process+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		require.NoError(t, err)
		_, err = file.WriteString(text)
		require.NoError(t, err)
		require.NoError(t, file.Close())
	}
	now := time.Now()
	line := func(at time.Time, event, name, rest string) string {
		return fmt.Sprintf("ts=%s process=m event=%s name=%s msg=\"some words\" %s\n", at.Format(time.RFC3339Nano), event, name, rest)
	}
	logs := newLogWatch(folder)
	ejection := line(now.Add(-2*time.Second), eventEjected, "target_ejected", "target=i-1 reason=\"3 of 4\" hold=4s")
	write("member-1", ejection[:40])
	logs.poll()
	assert.False(t, logs.isEjected("i-1"))
	write("member-1", ejection[40:])
	logs.poll()
	require.True(t, logs.isEjected("i-1"))
	assert.WithinDuration(t, now.Add(2*time.Second), logs.holdEnd("i-1"), time.Millisecond)
	since, flows := logs.recordFlow("i-1", time.Second)
	assert.GreaterOrEqual(t, since, 2*time.Second)
	assert.Equal(t, 1, flows)
	_, flows = logs.recordFlow("i-1", time.Minute)
	assert.Equal(t, 1, flows, "flows within the bound are not counted")
	_, flows = logs.recordFlow("i-2", 0)
	assert.Zero(t, flows)
	write("member-2", line(now, eventProbation, "target_on_probation", "target=i-1"))
	logs.poll()
	_, flows = logs.recordFlow("i-1", 0)
	assert.Zero(t, flows, "a target on probation may receive flows")
	write("member-2", line(now, eventReadmitted, "target_readmitted", "target=i-1"))
	write("edge-1", line(now, eventAnnounced, "member_announced", ""))
	write("edge-1", line(now, eventConnected, "control_connected", "address=127.30.2.1:7720"))
	assert.Empty(t, logs.nodesFollowingOthers("127.30.2.1"))
	nodes := logs.nodesFollowingOthers("127.30.2.11")
	assert.Len(t, nodes, 1)
	assert.Equal(t, 1, logs.announcedCount(nodes))
	assert.False(t, logs.isEjected("i-1"))
	assert.Equal(t, 1, logs.snapshot()["event 1094 target_ejected"])
	logs.reset()
	assert.Zero(t, logs.announcedCount(nodes))
}
