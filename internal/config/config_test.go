package config

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	beamdoorv1 "github.com/beamdoor/beamdoor/api/beamdoor/v1"
)

const validFile = `
services:
  - name: booking
    address: 10.1.0.1:5683
    priority: balance
    limits: {default_deadline: 8s, retransmit_span: 10s}
    targets:
      - {name: t1, address: '10.0.0.1:9000', admin: '10.0.0.1:9100', zone: z1}
policies:
  - name: mine
    source: |
      def weight(target):
          return 100
`

func TestParseAppliesDefaults(t *testing.T) {
	parsed, err := Parse("f.yaml", []byte(validFile))
	require.NoError(t, err)
	require.Len(t, parsed.Services, 1)
	booking := parsed.Services[0]
	assert.Equal(t, uint32(DefaultCell), booking.Cell)
	assert.Equal(t, DefaultSharingPolicy, booking.SharingPolicy)
	assert.Equal(t, uint32((8 * time.Second).Milliseconds()), booking.Limits.DefaultDeadlineMs)
	assert.Equal(t, uint32(DefaultSlots), booking.Targets[0].Slots)
	assert.Equal(t, "mine", parsed.Policies[0].Name)
}

func TestParseReportsAllInvalidFields(t *testing.T) {
	tests := map[string]struct {
		file string
		want []string
	}{
		"unknown field":     {"services:\n  - name: a\n    adress: 10.0.0.1:1\n", []string{"adress"}},
		"not yaml":          {"services: [", []string{"f.yaml"}},
		"bad address":       {"services:\n  - {name: a, address: nowhere}\n", []string{"services[0].address", "nowhere"}},
		"bad name":          {"services:\n  - {name: A b, address: '10.0.0.1:1'}\n", []string{"services[0].name", "A b"}},
		"bad priority":      {"services:\n  - {name: a, address: '10.0.0.1:1', priority: speed}\n", []string{"services[0].priority", "speed"}},
		"duplicate address": {"services:\n  - {name: a, address: '10.0.0.1:1'}\n  - {name: b, address: '10.0.0.1:1'}\n", []string{"services[1].address"}},
		"duplicate name":    {"services:\n  - {name: a, address: '10.0.0.1:1'}\n  - {name: a, address: '10.0.0.2:1'}\n", []string{"services[1].name"}},
		"target address": {"services:\n  - name: a\n    address: '10.0.0.1:1'\n    targets:\n      - {name: t, address: x}\n",
			[]string{"services[0].targets[0].address"}},
		"negative time": {"services:\n  - {name: a, address: '10.0.0.1:1', limits: {default_deadline: -1s}}\n",
			[]string{"services[0].limits.default_deadline"}},
		"bad policy": {"policies:\n  - {name: p, source: 'x = 1'}\n", []string{"policies[0]"}},
		"several errors": {"services:\n  - {name: A, address: nowhere, priority: speed}\n",
			[]string{"services[0].name", "services[0].address", "services[0].priority"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("f.yaml", []byte(test.file))
			require.Error(t, err)
			for _, want := range test.want {
				assert.ErrorContains(t, err, want)
			}
		})
	}
}

func TestLoadReadsPolicyFileFromSameDirectory(t *testing.T) {
	folder := t.TempDir()
	program := "def weight(target):\n    return 1\n"
	require.NoError(t, os.WriteFile(filepath.Join(folder, "p.star"), []byte(program), 0o600))
	path := filepath.Join(folder, "f.yaml")
	require.NoError(t, os.WriteFile(path, []byte("policies:\n  - {name: p, file: p.star}\n"), 0o600))
	parsed, err := Load(path)
	require.NoError(t, err)
	assert.Equal(t, program, parsed.Policies[0].Source)
	_, err = Load(filepath.Join(folder, "missing.yaml"))
	assert.ErrorContains(t, err, "missing.yaml")
}

func TestValidateRequestReportsInvalidFields(t *testing.T) {
	request := &beamdoorv1.ApplyRequest{
		Services: []*beamdoorv1.Service{{Name: "BAD", Address: "x", Targets: []*beamdoorv1.Target{{Name: "t", Address: "y"}}}},
		Policies: []*beamdoorv1.Policy{{Name: "p", Source: "("}},
	}
	err := ValidateRequest(request)
	for _, want := range []string{"services[0].name", "services[0].address", "services[0].targets[0].address", "policies[0].source"} {
		assert.ErrorContains(t, err, want)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validFile))
	f.Fuzz(func(t *testing.T, data []byte) {
		parsed, err := Parse("f.yaml", data)
		assert.True(t, (parsed == nil) == (err != nil))
	})
}
