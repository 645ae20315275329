package standin

import (
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
)

// A fleet that fails to start reports the cause and can be closed.
func TestFleetClosesAfterFailedStart(t *testing.T) {
	fleet := New(Settings{Program: filepath.Join(t.TempDir(), "missing"), Folder: t.TempDir(), Edges: 1, Hash: HashRendezvous, Block: 199})
	defer fleet.Close()
	assert.ErrorContains(t, fleet.Start(), "missing")
}
