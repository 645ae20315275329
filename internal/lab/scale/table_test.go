package scale

import (
	"bytes"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestFitOfWrittenRows(t *testing.T) {
	path := filepath.Join(t.TempDir(), "rows.csv")
	for _, nodes := range []int{100, 200, 300} {
		require.NoError(t, AppendCSV(path, Row{Nodes: nodes, LeaderCore: 0.5 + 0.001*float64(nodes)}))
	}
	table, err := ReadCSV(path)
	require.NoError(t, err)
	fit, err := table.FitColumn("Nodes", "LeaderCore", 600)
	require.NoError(t, err)
	assert.InDelta(t, 0.001, fit.Slope, 1e-9)
	assert.InDelta(t, 1.1, fit.At, 1e-9)
	assert.InDelta(t, 2, fit.Stretch, 1e-9)
	var out bytes.Buffer
	require.NoError(t, table.WriteFits(&out, "Nodes", 600))
	assert.Contains(t, out.String(), "LeaderCore")
	drawing := filepath.Join(t.TempDir(), "leader.svg")
	require.NoError(t, table.Plot(drawing, "leader", "Nodes", "LeaderCore"))
	assert.FileExists(t, drawing)
}

func TestBadTables(t *testing.T) {
	_, err := ReadCSV("missing.csv")
	assert.Error(t, err)
	table := &Table{Columns: []string{"Nodes", "X"}, Values: [][]float64{{1, 1}, {2, 2}}}
	_, err = table.FitColumn("Nodes", "X", 5)
	assert.ErrorContains(t, err, "a slope needs 3")
	_, err = table.FitColumn("Nodes", "Y", 5)
	assert.ErrorContains(t, err, `no column "Y"`)
}
