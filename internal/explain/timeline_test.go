package explain

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const logs = `
   1.0 front-1 ts=2026-01-01T00:00:01Z process=front-1 event=2100 name=directory_updated msg="update" revision=5 version=3
ts=2026-01-01T00:00:02Z process=front-1 event=2120 name=flow_placed msg="new flow" caller=10.0.0.1:5 target=i-1 target_token=0000aaaa version=3
ts=2026-01-01T00:00:02Z process=front-1 event=2120 name=flow_placed msg="new flow" caller=10.0.0.2:5 target=i-1 target_token=0000aaaa version=3
ts=2026-01-01T00:00:03Z process=core-1 event=1092 name=target_held_lost msg="lost" target=i-1 token=0000aaaa weight=4
ts=2026-01-01T00:00:03Z process=core-1 event=1091 name=targets_suspected msg="set" suspects= lost=0000bbbb,0000aaaa
ts=2026-01-01T00:00:03Z process=core-1 event=1090 name=target_stage msg="stage" target=i-2 token=0000bbbb state=ready
ts=2026-01-01T00:00:04Z process=front-2 event=2122 name=flow_reset msg="reset" caller=10.0.0.1:5 reason=lost token=0000aaaa
ts=2026-01-01T00:00:05Z process=core-1 event=1010 name=role_changed msg="role" role=follower
ts=2026-01-01T00:00:06Z process=core-2 event=1083 name=version_in_force msg="holds" version=4
ts=broken process=core-2 event=1
not a log line
`

func eventNames(timeline []Line) []string {
	var list []string
	for _, line := range timeline {
		list = append(list, line.Name)
	}
	return list
}

// flowLines is the number of valid lines with a caller in the logs, and otherLines the
// number without.
const (
	flowLines  = 3
	otherLines = 9 - flowLines
)

func read(t *testing.T, query Query) []Line {
	lines, err := Read(strings.NewReader(logs), query)
	require.NoError(t, err)
	return lines
}

func timelineOf(t *testing.T, query Query) []Line { return Timeline(read(t, query), query) }

// Read must drop the lines of other flows, which are most of a large fleet's logs.
func TestReadSkipsLinesOfOtherFlows(t *testing.T) {
	assert.Len(t, read(t, Query{Caller: "10.0.0.1:5"}), otherLines+flowLines-1, "one line is about another flow")
	assert.Len(t, read(t, Query{Caller: "10.0.0.1"}), otherLines, "a prefix of a caller does not match")
	assert.Len(t, read(t, Query{Target: "i-1"}), otherLines)
	assert.Len(t, read(t, Query{Version: "4"}), otherLines)
}

func TestFlowTimelineIncludesTargetEvents(t *testing.T) {
	timeline := timelineOf(t, Query{Caller: "10.0.0.1:5"})
	assert.Equal(t, []string{"flow_placed", "target_held_lost", "targets_suspected", "flow_reset"}, eventNames(timeline))
	assert.Equal(t, float64(1), timeline[0].StateAge.Seconds())
	assert.Negative(t, timeline[3].StateAge, "front-2 has no update in the logs")
}

const waitLogs = `
ts=2026-01-01T00:00:01Z process=front-1 event=2140 name=link_congested msg="link" delay=120ms packets=20 bytes=24000
ts=2026-01-01T00:00:02Z process=front-1 event=2142 name=flow_waited_for_link msg="packet waited long" caller=10.0.0.1:5 virtual=198.18.0.1:443 wait=250ms urgency=2 bytes=1268
ts=2026-01-01T00:00:02Z process=front-1 event=2142 name=flow_waited_for_link msg="packet waited long" caller=10.0.0.2:5 virtual=198.18.0.1:443 wait=210ms urgency=2 bytes=1268
`

func TestFlowTimelineIncludesLinkWait(t *testing.T) {
	query := Query{Caller: "10.0.0.1:5"}
	lines, err := Read(strings.NewReader(waitLogs), query)
	require.NoError(t, err)
	timeline := Timeline(lines, query)
	require.Equal(t, []string{"flow_waited_for_link"}, eventNames(timeline))
	assert.Equal(t, "250ms", timeline[0].Value("wait"))
}

func TestTargetTimeline(t *testing.T) {
	timeline := timelineOf(t, Query{Target: "i-1"})
	assert.Equal(t, []string{"target_held_lost", "targets_suspected"}, eventNames(timeline))
}

func TestVersionTimelineIncludesRoleChanges(t *testing.T) {
	timeline := timelineOf(t, Query{Version: "4"})
	assert.Equal(t, []string{"role_changed", "version_in_force"}, eventNames(timeline))
}

func TestPrint(t *testing.T) {
	var text strings.Builder
	require.NoError(t, Print(&text, timelineOf(t, Query{Caller: "10.0.0.1:5"})))
	assert.Contains(t, text.String(), "+2.000s  front-2")
	assert.Contains(t, text.String(), "reason=lost")
	assert.Contains(t, text.String(), "state age: 1s")
	text.Reset()
	require.NoError(t, Print(&text, nil))
	assert.Contains(t, text.String(), "no matching lines")
}

func FuzzRead(f *testing.F) {
	f.Add(logs)
	f.Fuzz(func(t *testing.T, text string) {
		query := Query{Caller: "10.0.0.1:5"}
		lines, err := Read(strings.NewReader(text), query)
		if err == nil {
			Timeline(lines, query)
		}
	})
}
