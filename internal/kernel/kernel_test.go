package kernel

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

type goodPlugin struct{}

func (goodPlugin) PluginID() PluginID { return "test.kind.good" }

type invalidPlugin struct{}

func (invalidPlugin) PluginID() PluginID { return "test.kind.invalid" }

func (invalidPlugin) Validate() error { return errors.New("field x: must be set") }

func init() {
	Register(func() Plugin { return goodPlugin{} })
	Register(func() Plugin { return invalidPlugin{} })
}

func TestRegistry(t *testing.T) {
	made, err := New("test.kind.good")
	require.NoError(t, err)
	assert.Equal(t, PluginID("test.kind.good"), made.PluginID())
	_, err = New("test.kind.invalid")
	assert.ErrorContains(t, err, "field x: must be set")
	_, err = New("test.kind.missing")
	assert.ErrorContains(t, err, "test.kind.good, test.kind.invalid", "the error lists the registered plug-ins")
	assert.Panics(t, func() { Register(func() Plugin { return goodPlugin{} }) })
	assert.Equal(t, "", PluginID("plain").Namespace())
}

func TestInstant(t *testing.T) {
	start := Instant(5)
	later := start.Add(time.Second)
	assert.Equal(t, time.Second, later.Sub(start))
	assert.True(t, start.Before(later))
}
