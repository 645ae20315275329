package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/spf13/cobra"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// run executes the command and returns its exit code, standard output and errors.
func run(arguments ...string) (code int, output, problems string) {
	var out, errors bytes.Buffer
	root := newRoot()
	root.SetArgs(arguments)
	root.SetOut(&out)
	root.SetErr(&errors)
	code = execute(root, &errors)
	return code, out.String(), errors.String()
}

// examples is the folder of valid and invalid settings files.
const examples = "../../platform/testdata/"

func TestCheckReportsEveryError(t *testing.T) {
	code, output, _ := run("check", "member", "--settings", examples+"member.toml")
	assert.Zero(t, code)
	assert.Equal(t, "settings are right\n", output)
	wanted, err := os.ReadFile(examples + "member-wrong.txt")
	require.NoError(t, err)
	code, output, problems := run("check", "member", "--settings", examples+"member-wrong.toml")
	assert.Equal(t, exitUsage, code)
	assert.Empty(t, output)
	assert.Equal(t, string(wanted), problems)
}

func TestExitCodes(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "none.toml")
	cases := []struct {
		name      string
		arguments []string
		code      int
	}{
		{"done", []string{"version"}, 0},
		{"failed", []string{"explain", "--version", "3", filepath.Join(t.TempDir(), "none.log")}, exitFailure},
		{"no such command", []string{"begin"}, exitUsage},
		{"no such flag", []string{"version", "--short"}, exitUsage},
		{"an argument is missing", []string{"target", "eject"}, exitUsage},
		{"no such role", []string{"check", "router"}, exitUsage},
		{"no settings", []string{"check", "edge", "--settings", missing}, exitUsage},
		{"a process without settings", []string{"edge", "--settings", missing}, exitUsage},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			code, _, problems := run(test.arguments...)
			assert.Equal(t, test.code, code, problems)
		})
	}
}

func TestVersionPrintsBuildInfo(t *testing.T) {
	_, output, _ := run("version")
	assert.Contains(t, output, "beamdoor-node ")
	assert.Contains(t, output, "built with go")
}

func TestEveryCommandHasExample(t *testing.T) {
	var look func(command *cobra.Command)
	look = func(command *cobra.Command) {
		assert.Contains(t, command.Example, command.CommandPath(), command.CommandPath())
		for _, child := range command.Commands() {
			look(child)
		}
	}
	look(newRoot())
}

func TestCompletion(t *testing.T) {
	code, output, _ := run("__complete", "check", "")
	assert.Zero(t, code)
	assert.Contains(t, output, "edge\nmember\n")
	_, output, _ = run("__complete", "target", "")
	for _, name := range []string{"eject", "readmit", "exempt", "list"} {
		assert.Contains(t, output, name)
	}
	code, output, _ = run("completion", "bash")
	assert.Zero(t, code)
	assert.Contains(t, output, "__start_beamdoor-node")
}

func TestProfilesAreDisabledByDefault(t *testing.T) {
	for _, role := range []string{"edge", "member"} {
		command, _, err := newRoot().Find([]string{role})
		require.NoError(t, err)
		assert.Equal(t, "0", command.Flag("profile-port").DefValue)
	}
}
