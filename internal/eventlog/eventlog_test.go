package eventlog

import (
	"bytes"
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestCatalogueIsUniqueAndOrdered(t *testing.T) {
	last := ID(0)
	names := map[string]bool{}
	for _, description := range Catalogue() {
		assert.Greater(t, description.ID, last)
		last = description.ID
		assert.False(t, names[description.Name], description.Name)
		names[description.Name] = true
		assert.NotEmpty(t, description.Text)
	}
}

func TestCatalogueInTheDocs(t *testing.T) {
	page, err := os.ReadFile("../../docs/EVENTS.md")
	require.NoError(t, err)
	for _, description := range Catalogue() {
		row := fmt.Sprintf("| %d | %s |", description.ID, description.Name)
		assert.Contains(t, string(page), row)
	}
}

func TestEventLine(t *testing.T) {
	var out bytes.Buffer
	New(&out, "control").Event(RoleChanged, "term", 3)
	assert.Contains(t, out.String(), `process=control event=1010 name=role_changed msg="role or term of the member changed" term=3`)
	Discard().Event(RoleChanged)
}
