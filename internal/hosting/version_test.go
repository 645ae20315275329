package hosting

import (
	"runtime/debug"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestVersionOf(t *testing.T) {
	build := &debug.BuildInfo{GoVersion: "go1.26", Main: debug.Module{Version: "(devel)"}}
	assert.Equal(t, "(devel) revision unknown built with go1.26", versionOf(build))
	build.Settings = []debug.BuildSetting{
		{Key: keyRevision, Value: "abc123"}, {Key: keyTime, Value: "2026-01-02T03:04:05Z"}, {Key: keyModified, Value: "true"},
	}
	assert.Equal(t, "(devel) revision abc123 of 2026-01-02T03:04:05Z with changes built with go1.26", versionOf(build))
	assert.NotEmpty(t, Version())
}
