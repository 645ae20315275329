package settings

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/spf13/pflag"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func write(t *testing.T, content string) string {
	path := filepath.Join(t.TempDir(), "settings.yaml")
	require.NoError(t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

const balancerFile = `
name: b1
zone: z1
callers: 127.0.0.1:1
targets: 127.0.0.1:2
peers: 127.0.0.1:3
admin: 127.0.0.1:4
fabric: 127.0.0.1:5
control: ['127.0.0.1:6']
`

func TestFlagsOverrideFile(t *testing.T) {
	flags := pflag.NewFlagSet("test", pflag.ContinueOnError)
	flags.String("zone", "", "")
	require.NoError(t, flags.Parse([]string{"--zone", "z9"}))
	loaded, err := LoadBalancer(write(t, balancerFile), flags)
	require.NoError(t, err)
	assert.Equal(t, "z9", loaded.Zone)
	assert.Equal(t, "b1", loaded.Name, "an unset flag does not override the file")
	assert.Equal(t, uint32(1), loaded.Cell)
}

func TestLoadBalancerReportsInvalidFields(t *testing.T) {
	_, err := LoadBalancer(write(t, "name: ''\ncallers: x\n"), nil)
	for _, want := range []string{"name", "callers", "targets", "peers", "fabric", "admin", "control"} {
		assert.ErrorContains(t, err, want)
	}
	_, err = LoadBalancer(write(t, "nme: b1\n"), nil)
	assert.ErrorContains(t, err, "nme")
	_, err = LoadBalancer("missing.yaml", nil)
	assert.ErrorContains(t, err, "missing.yaml")
}

func TestLoadControlReportsInvalidFields(t *testing.T) {
	loaded, err := LoadControl(write(t, `
id: 1
data_folder: data
members:
  - {id: 1, peer: '127.0.0.1:1', nodes: '127.0.0.1:2', admin: '127.0.0.1:3'}
`), nil)
	require.NoError(t, err)
	assert.Equal(t, "127.0.0.1:3", loaded.Self().Admin)
	_, err = LoadControl(write(t, "id: 2\nmembers:\n  - {id: 1, peer: x}\n  - {id: 1, peer: y}\n"), nil)
	for _, want := range []string{"data_folder", "members[0].peer", "members[1].id", "must list this member's own addresses under id 2"} {
		assert.ErrorContains(t, err, want)
	}
}
