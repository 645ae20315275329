package cli

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// execute runs a command and returns its output, exit code and error.
func execute(t *testing.T, arguments ...string) (string, int, error) {
	var out bytes.Buffer
	root := NewRoot()
	root.SetOut(&out)
	root.SetErr(&out)
	root.SetArgs(arguments)
	err := root.ExecuteContext(t.Context())
	return out.String(), ExitCode(err), err
}

func writeFile(t *testing.T, name, content string) string {
	path := filepath.Join(t.TempDir(), name)
	require.NoError(t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

func TestCheckReportsAllErrors(t *testing.T) {
	good := writeFile(t, "good.yaml", "services:\n  - {name: a, address: '10.0.0.1:1'}\n")
	_, code, err := execute(t, "check", good)
	require.NoError(t, err)
	assert.Equal(t, ExitOK, code)
	bad := writeFile(t, "bad.yaml", "services:\n  - {name: A, address: nowhere}\n")
	_, code, err = execute(t, "check", bad)
	assert.Equal(t, ExitUsage, code)
	assert.ErrorContains(t, err, "services[0].name")
	assert.ErrorContains(t, err, "services[0].address")
	policy := writeFile(t, "p.star", "def weight(target):\n  return 'x'")
	_, code, _ = execute(t, "check", "--kind", "policy", policy)
	assert.Equal(t, ExitOK, code, "check does not run the program")
	_, code, _ = execute(t, "check", "--kind", "nonsense", policy)
	assert.Equal(t, ExitUsage, code)
}

func TestExitCodes(t *testing.T) {
	tests := []struct {
		name      string
		arguments []string
		want      int
	}{
		{"unknown flag", []string{"status", "--nonsense"}, ExitUsage},
		{"bad format", []string{"status", "-o", "xml"}, ExitUsage},
		{"bad timeout", []string{"status", "--timeout", "0s"}, ExitUsage},
		{"missing file", []string{"apply", "-f", "missing.yaml"}, ExitUsage},
		{"no member answers", []string{"status", "--control", "127.0.0.1:1", "--timeout", "300ms"}, ExitUnavailable},
		{"no such folder", []string{"data", "verify", "/no/such/folder"}, ExitNotFound},
		{"restore without addresses", []string{"data", "restore", "/tmp/x"}, ExitUsage},
		{"settings", []string{"balancer", "--settings", "missing.yaml"}, ExitUsage},
	}
	for _, test := range tests {
		_, code, err := execute(t, test.arguments...)
		assert.Equal(t, test.want, code, "%s: %v", test.name, err)
	}
	assert.Equal(t, ExitFailed, ExitCode(errors.New("any other")))
}

func TestPolicyCommands(t *testing.T) {
	out, _, err := execute(t, "policy", "list")
	require.NoError(t, err)
	assert.Contains(t, out, "builtin/least-load")
	samples := writeFile(t, "samples.yaml", "- {name: idle, ready: true, slots: 2, capacity: 100}\n- {name: full, ready: true, slots: 2, busy: 2, queued: 9, capacity: 100}\n")
	out, _, err = execute(t, "policy", "test", "builtin/least-load", "--samples", samples)
	require.NoError(t, err)
	assert.Contains(t, out, "idle")
	assert.Contains(t, out, "full")
}

func TestCommandsHaveShortHelp(t *testing.T) {
	for _, command := range NewRoot().Commands() {
		if !command.IsAvailableCommand() || command.HasSubCommands() || command.Name() == "completion" {
			continue
		}
		assert.NotEmpty(t, command.Short, command.Name())
	}
	out, _, err := execute(t, "--version")
	require.NoError(t, err)
	assert.Contains(t, out, "beamdoor")
}
