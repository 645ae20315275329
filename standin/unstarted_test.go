package standin

import (
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
)

// A fleet that could not be started can be closed, and says why.
func TestAFleetThatCannotStartIsClosed(t *testing.T) {
	fleet := New(Settings{Program: filepath.Join(t.TempDir(), "missing"), Folder: t.TempDir(), Edges: 1, Hash: HashRendezvous, Block: 199})
	defer fleet.Close()
	assert.ErrorContains(t, fleet.Start(), "missing")
}
