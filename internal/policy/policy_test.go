package policy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func compile(t *testing.T, source string) *Program {
	program, err := Compile("test", source)
	require.NoError(t, err)
	return program
}

func builtin(t *testing.T, name string) *Program {
	source, err := Builtin(name)
	require.NoError(t, err)
	return compile(t, source)
}

func TestBuiltinPolicies(t *testing.T) {
	healthy := Sample{Name: "t", Ready: true, Slots: 2, Capacity: 2000, Uptime: time.Hour}
	with := func(change func(*Sample)) Sample {
		changed := healthy
		change(&changed)
		return changed
	}
	health := builtin(t, "builtin/health")
	tests := []struct {
		name     string
		sample   Sample
		excluded bool
	}{
		{"healthy", healthy, false},
		{"not ready", with(func(s *Sample) { s.Ready = false }), true},
		{"sheds load", with(func(s *Sample) { s.Shedding = true }), true},
		{"one missed report", with(func(s *Sample) { s.Failures = 1 }), false},
		{"two missed reports", with(func(s *Sample) { s.Failures = 2 }), true},
	}
	for _, test := range tests {
		verdict, err := Evaluate(builtin(t, "builtin/even"), health, test.sample)
		require.NoError(t, err, test.name)
		assert.Equal(t, test.excluded, verdict.Excluded, test.name)
		assert.Equal(t, test.excluded, verdict.Weight == 0, test.name)
	}
	cold := with(func(s *Sample) { s.ColdStart = 10 * time.Second; s.Uptime = time.Second })
	warm, err := builtin(t, "builtin/even").Weight(healthy)
	require.NoError(t, err)
	starting, err := builtin(t, "builtin/even").Weight(cold)
	require.NoError(t, err)
	assert.Less(t, starting, warm)
	busy, err := builtin(t, "builtin/least-load").Weight(with(func(s *Sample) { s.Busy = 2; s.Queued = 4 }))
	require.NoError(t, err)
	idle, err := builtin(t, "builtin/least-load").Weight(healthy)
	require.NoError(t, err)
	assert.Less(t, busy, idle)
	assert.NotZero(t, busy, "a busy target must not be excluded")
}

func TestCompileRejectsInvalidPrograms(t *testing.T) {
	for name, source := range map[string]string{
		"syntax":        "def weight(target)\n  return 1",
		"no function":   "x = 1",
		"load":          "load('os', 'x')\ndef weight(target):\n  return 1",
		"endless start": "x = [i for i in range(10000000)]\ndef weight(target):\n  return 1",
	} {
		_, err := Compile(name, source)
		assert.Error(t, err, name)
	}
	_, err := Builtin("builtin/none")
	assert.ErrorContains(t, err, "builtin/even", "the error must list the built-in programs")
}

func TestInvalidResultsAreRejected(t *testing.T) {
	for name, source := range map[string]string{
		"too many steps": "def weight(target):\n  n = 0\n  for i in range(100000000):\n    n += i\n  return 1",
		"not a number":   "def weight(target):\n  return 'much'",
		"too large":      "def weight(target):\n  return 256",
		"negative":       "def weight(target):\n  return -1",
		"no such field":  "def weight(target):\n  return target.secret",
	} {
		_, err := compile(t, source).Weight(Sample{})
		assert.Error(t, err, name)
	}
	_, err := compile(t, "def leave_alone(target):\n  return 7").ExclusionReason(Sample{})
	assert.ErrorContains(t, err, "want a string or None")
	_, err = compile(t, "def weight(target):\n  return 1").ExclusionReason(Sample{})
	assert.Error(t, err)
}
