package directory

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func registerVersion(id, version string) Command {
	command := register(id, "10.0.0."+id+":1", TargetReady)
	command.Target.Service, command.Target.Version = "s", version
	return command
}

func orderVersion(version string, rule VersionRule, base uint64) Command {
	return Command{Kind: CommandOrderVersion, VersionOrder: VersionOrder{ServiceVersion: ServiceVersion{Service: "s", Version: version}, Rule: rule, Revision: base}}
}

func encodeAndDecode(t *testing.T, command Command) Command {
	decoded, err := DecodeCommand(EncodeCommand(command))
	require.NoError(t, err)
	return decoded
}

func TestCommandsIncludeVersions(t *testing.T) {
	for _, startTime := range []uint64{0, firstStart} {
		for _, warmup := range []*Warmup{nil, {Remaining: 1000}} {
			command := registerVersion("1", "v2")
			command.Target.StartTime = startTime
			command.Target.Warmup = warmup
			decoded := encodeAndDecode(t, command)
			assert.Equal(t, "v2", decoded.Target.Version)
			assert.Equal(t, startTime, decoded.Target.StartTime)
		}
	}
	plain := EncodeCommand(registerVersion("1", ""))
	withVersion := EncodeCommand(registerVersion("1", "v2"))
	assert.Equal(t, plain, withVersion[:len(plain)], "earlier releases must be able to read the other fields")
}

// Targets of v1 and v2 are registered; the orders follow from position 10 on.
func TestVersionOrders(t *testing.T) {
	cases := []struct {
		name   string
		orders []Command
		codes  []Code
		rule   VersionRule
	}{
		{"held", []Command{orderVersion("v2", VersionHeld, 0)}, []Code{CodeDone}, VersionHeld},
		{"held twice", []Command{orderVersion("v2", VersionHeld, 0), orderVersion("v2", VersionHeld, 0)}, []Code{CodeDone, CodeDone}, VersionHeld},
		{"released after held", []Command{orderVersion("v2", VersionHeld, 0), orderVersion("v2", VersionReleased, 10)}, []Code{CodeDone, CodeDone}, VersionReleased},
		{"delayed duplicate", []Command{orderVersion("v2", VersionHeld, 0), orderVersion("v2", VersionReleased, 10), orderVersion("v2", VersionHeld, 0)},
			[]Code{CodeDone, CodeDone, CodeConflict}, VersionReleased},
		{"version without targets", []Command{orderVersion("v3", VersionHeld, 0)}, []Code{CodeNotFound}, VersionJudged},
		{"no version", []Command{orderVersion("", VersionHeld, 0)}, []Code{CodeNotFound}, VersionJudged},
		{"unknown rule", []Command{orderVersion("v2", versionRuleCount, 0)}, []Code{CodeNotFound}, VersionJudged},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			s := New()
			s.Apply(1, registerVersion("1", "v1"))
			s.Apply(2, registerVersion("2", "v2"))
			s.Apply(3, registerVersion("3", ""))
			for position, order := range test.orders {
				assert.Equal(t, test.codes[position], s.Apply(uint64(10+position), encodeAndDecode(t, order)).Code)
			}
			assert.Equal(t, test.rule, s.VersionOrder(ServiceVersion{Service: "s", Version: "v2"}).Rule)
			restored, err := Decode(s.Encode())
			require.NoError(t, err)
			assert.Equal(t, s.VersionOrders(), restored.VersionOrders())
			assert.Equal(t, s.Targets(), restored.Targets())
		})
	}
}

func TestVersionOrderEndsWithLastTarget(t *testing.T) {
	s := New()
	s.Apply(1, registerVersion("1", "v2"))
	s.Apply(2, registerVersion("2", "v2"))
	s.Apply(3, orderVersion("v2", VersionHeld, 0))
	for position, id := range []string{"1", "2"} {
		assert.Len(t, s.VersionOrders(), 1)
		s.Apply(uint64(4+2*position), Command{Kind: CommandPutTarget, Target: Target{ID: id, State: TargetEnded}})
	}
	assert.Empty(t, s.VersionOrders())
}

// Earlier releases must be able to read a snapshot up to the versions.
func TestSnapshotEndsWithVersions(t *testing.T) {
	s, plain := New(), New()
	for number := range 300 {
		id := fmt.Sprint(number % 250)
		s.Apply(uint64(number+1), registerVersion(id, fmt.Sprint("v", number%3)))
		plain.Apply(uint64(number+1), registerVersion(id, ""))
	}
	data, withoutVersions := s.Encode(), plain.Encode()
	require.Equal(t, withoutVersions, data[:len(withoutVersions)])
	assert.Equal(t, EncodeUpdate(plain.UpdateSince(0)), EncodeUpdate(s.UpdateSince(0)), "updates contain no versions")
	restored, err := Decode(withoutVersions)
	require.NoError(t, err)
	assert.Equal(t, plain.Targets(), restored.Targets())
	restored, err = Decode(data)
	require.NoError(t, err)
	assert.Equal(t, s.Targets(), restored.Targets())
}
