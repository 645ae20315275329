package report

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// rules returns the names of the broken rules.
func rules(r *Report) []string {
	var names []string
	for _, violation := range r.Violations() {
		names = append(names, violation.Rule)
	}
	return names
}

func TestEachRuleCanBreak(t *testing.T) {
	tests := map[string]func(*Report){
		"open flow survives":           func(r *Report) { r.FlowBroken("froze") },
		"no packet to another service": func(r *Report) { r.Foreign() },
		"whole downloads":              func(r *Report) { r.Download("half", 0) },
		"at most once":                 func(r *Report) { r.Ran("t", "1"); r.Ran("u", "1") },
		"not run is true":              func(r *Report) { r.Ran("t", "1"); r.Request("1", NotRun, 0) },
		"answers are true":             func(r *Report) { r.Request("1", Done, 0) },
		"own answer":                   func(r *Report) { r.Request("1", Wrong, 0) },
	}
	for rule, breakIt := range tests {
		r := New()
		breakIt(r)
		assert.Equal(t, []string{rule}, rules(r))
	}
}

func TestGoodRunBreaksNothing(t *testing.T) {
	r := New()
	r.FlowOpened()
	r.Ran("booking-1", "1")
	r.Ran("booking-1", "2")
	r.Ran("booking-2", "3")
	r.Request("1", Done, time.Millisecond)
	r.Request("2", Unknown, time.Second)
	r.Request("4", NotRun, time.Second)
	r.Download("", time.Second)
	assert.Empty(t, rules(r))
	assert.InDelta(t, 4.0/3, r.Imbalance("booking"), 1e-9)
	assert.NoError(t, r.CheckProgress(0.7))
	assert.Error(t, r.CheckProgress(0.5), "a run that refuses everything is worth nothing")
	assert.Error(t, New().CheckProgress(1))
	var out bytes.Buffer
	assert.Zero(t, r.Write(&out))
	assert.Contains(t, out.String(), "no rule was broken")
}

func TestJournals(t *testing.T) {
	folder := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(folder, "a.journal"), []byte("ran a 1\nran a 1\nforeign a -\n"), 0o600))
	r := New()
	require.NoError(t, r.ReadJournals(folder))
	assert.Equal(t, []string{"at most once", "no packet to another service"}, rules(r))
	require.NoError(t, os.WriteFile(filepath.Join(folder, "b.journal"), []byte("rubbish\n"), 0o600))
	assert.Error(t, New().ReadJournals(folder))
}
