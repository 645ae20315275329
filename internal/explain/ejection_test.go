package explain

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const ejectionLogs = `
ts=2026-01-01T00:00:00Z process=core-1 event=1090 name=target_stage msg="stage" target=i-1 token=0000aaaa service=booking state=ready
ts=2026-01-01T00:00:00Z process=core-1 event=1094 name=target_ejected msg="fails" target=i-0 token=00000000 service=booking reason="9 of 9 exchanges ended unanswered" hold=2s
ts=2026-01-01T00:02:01Z process=core-1 event=1094 name=target_ejected msg="fails" target=i-2 token=0000bbbb service=booking reason="12 of 13 exchanges ended unanswered" nodes=5 hold=32s
ts=2026-01-01T00:02:02Z process=core-1 event=1094 name=target_ejected msg="fails" target=i-3 token=0000cccc service=stock reason="7 of 8 exchanges ended unanswered" nodes=3 hold=2s
ts=2026-01-01T00:02:30Z process=front-1 event=2120 name=flow_placed msg="new flow" caller=10.0.0.1:5 target=i-1 target_token=0000aaaa candidates=11 ejected=1 version=3
ts=2026-01-01T00:02:31Z process=front-1 event=2120 name=flow_placed msg="new flow" caller=10.0.0.2:5 target=i-1 target_token=0000aaaa candidates=12 ejected=0 version=3
ts=2026-01-01T00:02:33Z process=core-1 event=1095 name=target_on_probation msg="hold over" target=i-2 token=0000bbbb service=booking
ts=2026-01-01T00:02:36Z process=core-1 event=1096 name=target_readmitted msg="serves" target=i-2 token=0000bbbb service=booking reason="0 of 8 exchanges ended unanswered"
`

func timelineFromLogs(t *testing.T, logs string, query Query) []Line {
	lines, err := Read(strings.NewReader(logs), query)
	require.NoError(t, err)
	return Timeline(lines, query)
}

// The placement event only counts the skipped targets; the timeline names them with the reason.
func TestFlowTimelineIncludesSkippedTargets(t *testing.T) {
	timeline := timelineFromLogs(t, ejectionLogs, Query{Caller: "10.0.0.1:5"})
	assert.Equal(t, []string{"target_ejected", "flow_placed", "target_on_probation", "target_readmitted"}, eventNames(timeline))
	var text strings.Builder
	require.NoError(t, Print(&text, timeline))
	assert.Contains(t, text.String(), "skipped: 12 of 13 exchanges ended unanswered")
	assert.Contains(t, text.String(), "ejected=1")
	assert.NotContains(t, text.String(), "i-3", "another service")
	assert.NotContains(t, text.String(), "i-0", "outside the lookback")
}

func TestFlowTimelineWithoutSkippedTargets(t *testing.T) {
	timeline := timelineFromLogs(t, ejectionLogs, Query{Caller: "10.0.0.2:5"})
	assert.Equal(t, []string{"flow_placed"}, eventNames(timeline))
}

func TestTargetTimelineIncludesEjection(t *testing.T) {
	timeline := timelineFromLogs(t, ejectionLogs, Query{Target: "i-2"})
	assert.Equal(t, []string{"target_ejected", "target_on_probation", "target_readmitted"}, eventNames(timeline))
	var text strings.Builder
	require.NoError(t, Print(&text, timeline))
	assert.Contains(t, text.String(), "skipped: 12 of 13 exchanges ended unanswered")
}

// Version events name no target and are matched by service.
func TestFlowTimelineIncludesSkippedVersion(t *testing.T) {
	held := `ts=2026-01-01T00:02:29Z process=core-1 event=1135 name=version_held msg="held" service=booking version=v8 targets=5 cause="it fails far more requests than the earlier versions" reason="30 of 40 exchanges ended unanswered" hold=2s
ts=2026-01-01T00:02:29Z process=core-1 event=1135 name=version_held msg="held" service=stock version=v3 targets=2 cause=ordered hold=2s
`
	timeline := timelineFromLogs(t, ejectionLogs+held, Query{Caller: "10.0.0.1:5"})
	assert.Equal(t, []string{"target_ejected", "version_held", "flow_placed", "target_on_probation", "target_readmitted"}, eventNames(timeline))
	var text strings.Builder
	require.NoError(t, Print(&text, timeline))
	assert.Contains(t, text.String(), "version v8 skipped: it fails far more requests than the earlier versions")
}
