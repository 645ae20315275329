package explain

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// fleetLog is the log of 200 nodes and two members: version 4 and a draining target reach
// node n after n ms. A node that starts later applies both with its first update.
func fleetLog() string {
	var log strings.Builder
	at := func(ms int) string {
		return time.UnixMilli(1_767_225_600_000 + int64(ms)).UTC().Format(time.RFC3339Nano)
	}
	for node := range 200 {
		fmt.Fprintf(&log, "ts=%s process=front-%d event=2100 name=directory_updated msg=m revision=5 version=3\n", at(0), node)
		fmt.Fprintf(&log, "ts=%s process=front-%d event=2100 name=directory_updated msg=m revision=7 version=4\n", at(1000+node), node)
	}
	for member, ms := range []int{1000, 1040} {
		fmt.Fprintf(&log, "ts=%s process=core-%d event=1083 name=version_in_force msg=m version=4 revision=6\n", at(ms), member)
		fmt.Fprintf(&log, "ts=%s process=core-%d event=1090 name=target_stage msg=m target=i-1 token=0a state=draining revision=7\n", at(ms), member)
		fmt.Fprintf(&log, "ts=%s process=core-%d event=1090 name=target_stage msg=m target=i-2 token=0b state=draining revision=9\n", at(ms), member)
	}
	fmt.Fprintf(&log, "ts=%s process=front-late event=2100 name=directory_updated msg=m revision=9 version=4\n", at(9000))
	return log.String()
}

func TestPropagations(t *testing.T) {
	lines, err := Read(strings.NewReader(fleetLog()), Query{})
	require.NoError(t, err)
	ms := time.Millisecond
	assert.Equal(t, []Propagation{
		{Kind: "version 4", Changes: 1, Nodes: 200, First: 0, Median: 100 * ms, P99: 198 * ms, Last: 199 * ms},
		{Kind: "target draining", Changes: 2, Nodes: 200, First: 0, Median: 100 * ms, P99: 198 * ms, Last: 199 * ms},
	}, Propagations(lines))
	var text bytes.Buffer
	require.NoError(t, PrintPropagations(&text, Propagations(lines)))
	assert.Contains(t, text.String(), "version 4        1       200    0s     100ms  198ms      199ms")
	assert.Empty(t, Propagations(nil))
}
