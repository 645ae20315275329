package standin

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/lab/drawn"
)

func runDrawn(t *testing.T, arguments ...string) (string, error) {
	t.Helper()
	command := NewDrawnCommand()
	var out bytes.Buffer
	command.SetOut(&out)
	command.SetArgs(arguments)
	command.SilenceUsage = true
	command.SilenceErrors = true
	err := command.Execute()
	return out.String(), err
}

func TestDrawnValidatesOptions(t *testing.T) {
	cases := []struct {
		name      string
		arguments []string
		problem   string
	}{
		{"reversed seed range", []string{"--seeds", "5-1"}, "--seeds"},
		{"no jobs", []string{"--jobs", "0"}, "--jobs"},
		{"no length", []string{"--length", "0s"}, "--length"},
		{"no such block", []string{"--block", "300"}, "--block"},
		{"no program", []string{"--processes", "--program", "/nowhere"}, "--program"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			_, err := runDrawn(t, test.arguments...)
			assert.ErrorContains(t, err, test.problem)
		})
	}
}

func TestDrawnReportsRunsInSeedOrder(t *testing.T) {
	out, err := runDrawn(t, "--seeds", "3-4")
	require.NoError(t, err)
	assert.Regexp(t, `(?s)^seed 3, small.*\nseed 4, small.*\n2 deployments played, 0 broke a rule\n$`, out)
}

func TestReportDrawnFailsOnBreaches(t *testing.T) {
	var out bytes.Buffer
	err := reportDrawn(&out, []drawnRun{{text: "seed 1"}, {text: "seed 2", broken: 3}})
	assert.ErrorContains(t, err, "1 of 2")
	assert.Contains(t, out.String(), "2 deployments played, 1 broke a rule")
}

func TestDrawnProcessFleetsAreBounded(t *testing.T) {
	for seed := range uint64(100) {
		setup := setupOf(drawn.Draw(seed))
		assert.LessOrEqual(t, setup.Edges, maxEdges)
		assert.LessOrEqual(t, setup.Boards+setup.Documents, maxTargets+1)
		assert.Positive(t, setup.Documents)
	}
}
