package labcli

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func execute(t *testing.T, arguments ...string) (string, error) {
	var out bytes.Buffer
	root := NewRoot()
	root.SetOut(&out)
	root.SetArgs(arguments)
	err := root.ExecuteContext(t.Context())
	return out.String(), err
}

func TestSimWritesSummaryTraceAndReport(t *testing.T) {
	folder := t.TempDir()
	trace := filepath.Join(folder, "trace.txt")
	out, err := execute(t, "sim", "--scenario", "steady", "--seeds", "3", "--trace", trace, "--report", folder)
	require.NoError(t, err)
	assert.Contains(t, out, "steady")
	assert.FileExists(t, trace)
	assert.FileExists(t, filepath.Join(folder, "steady", "load.svg"))
	page, err := os.ReadFile(filepath.Join(folder, "index.html"))
	require.NoError(t, err)
	assert.Contains(t, string(page), "steady, seed 3")
}

func TestSimFailsWithSeedAndRule(t *testing.T) {
	out, err := execute(t, "sim", "--scenario", "race", "--seeds", "1", "--disable", "compare-and-set")
	assert.Error(t, err)
	assert.Contains(t, out, "seed 1")
	assert.Contains(t, out, "one winner for a base revision")
}

func TestSimUsage(t *testing.T) {
	for _, seeds := range []string{"x", "5-1", "1-x", ""} {
		_, err := execute(t, "sim", "--seeds", seeds)
		assert.ErrorContains(t, err, "--seeds")
	}
	out, err := execute(t, "sim", "list")
	require.NoError(t, err)
	assert.Contains(t, out, "chaos")
	assert.Contains(t, out, "disk-identity")
	_, err = execute(t, "sim", "--scenario", "no-such")
	assert.ErrorContains(t, err, "no-such")
}
