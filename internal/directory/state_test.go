package directory

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func register(id, address string, state TargetState) Command {
	return Command{Kind: CommandPutTarget, Target: Target{ID: id, Service: "s", Address: netip.MustParseAddrPort(address), State: state}}
}

func end(id string) Command { return Command{Kind: CommandEndTarget, Target: Target{ID: id}} }

func publish(s *State, next Configuration) Command {
	return Command{Kind: CommandPublish, Edit: Difference(s.Configuration(), next)}
}

func TestTargetStates(t *testing.T) {
	const here, there = "10.0.0.1:1", "10.0.0.2:1"
	cases := []struct {
		name     string
		commands []Command
		want     TargetState
	}{
		{"registered", []Command{register("a", here, TargetReady)}, TargetReady},
		{"draining", []Command{register("a", here, TargetReady), register("a", here, TargetDraining)}, TargetDraining},
		{"registered as draining", []Command{register("a", here, TargetDraining)}, TargetDraining},
		{"delayed heartbeat", []Command{register("a", here, TargetDraining), register("a", here, TargetReady)}, TargetDraining},
		{"ended after draining", []Command{register("a", here, TargetDraining), end("a")}, TargetEnded},
		{"ended without draining", []Command{register("a", here, TargetReady), end("a")}, TargetLeaving},
		{"ended twice without draining", []Command{register("a", here, TargetReady), end("a"), end("a")}, TargetLeaving},
		{"heartbeat after the end", []Command{register("a", here, TargetDraining), end("a"), register("a", here, TargetReady)}, TargetEnded},
		{"heartbeat after the end of an unregistered target", []Command{end("a"), register("a", here, TargetReady)}, TargetEnded},
		{"another target at its address", []Command{register("a", here, TargetReady), register("b", here, TargetReady)}, TargetEnded},
		{"another target at another address", []Command{register("a", here, TargetReady), register("b", there, TargetReady)}, TargetReady},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			s := New()
			for position, command := range test.commands {
				s.Apply(uint64(position+1), command)
			}
			target, known := s.Target("a")
			require.True(t, known)
			assert.Equal(t, test.want, target.State)
		})
	}
	s := New()
	assert.Equal(t, CodeDone, s.Apply(1, end("nobody")).Code)
	target, known := s.Target("nobody")
	assert.True(t, known)
	assert.Equal(t, TargetEnded, target.State)
	assert.Zero(t, s.TargetCount())
	assert.Empty(t, s.addresses)
}

func TestTokensAreUnique(t *testing.T) {
	s := New()
	clash := s.allocateToken(Start{ID: "a"})
	s.tokens[clash] = &Target{ID: "other", Token: clash}
	s.Apply(1, register("a", "10.0.0.1:1", TargetReady))
	target, _ := s.Target("a")
	assert.NotEqual(t, clash, target.Token)
	assert.NotZero(t, target.Token)
}

func TestOldestEndedTargetsAreRemoved(t *testing.T) {
	s := New()
	for number := range minEndedLimit + 2 {
		s.Apply(uint64(number+1), register(fmt.Sprint("t", number), "10.0.0.1:1", TargetReady))
	}
	_, known := s.Target("t0")
	assert.False(t, known, "the oldest target is removed")
	_, known = s.Target("t1")
	assert.True(t, known)
	assert.Len(t, s.tokens, len(s.targets))
}

func TestPublishIgnoresOldVersions(t *testing.T) {
	s := New()
	assert.Equal(t, CodeDone, s.Apply(1, publish(s, Configuration{Version: 7})).Code)
	stale := publish(s, Configuration{Version: 9})
	assert.Equal(t, CodeDone, s.Apply(2, publish(s, Configuration{Version: 8})).Code)
	assert.Equal(t, CodeConflict, s.Apply(3, stale).Code)
	assert.Equal(t, uint64(8), s.Configuration().Version)
	assert.Equal(t, CodeDone, s.Apply(4, publish(s, Configuration{Version: 3})).Code)
	assert.Equal(t, CodeDone, s.Apply(5, publish(s, Configuration{Version: 8, Annotation: []byte("other content")})).Code)
	assert.Equal(t, uint64(8), s.Configuration().Version)
	assert.Empty(t, s.Configuration().Annotation)
	assert.Equal(t, uint64(2), s.Revision())
}

func TestMemberIDIsUniquePerIdentity(t *testing.T) {
	s := New()
	s.Apply(1, Command{Kind: CommandAddMember, Member: Member{Identity: 11, Address: "a"}})
	s.Apply(2, Command{Kind: CommandAddMember, Member: Member{Identity: 22, Address: "b"}})
	s.Apply(3, Command{Kind: CommandAddMember, Member: Member{Identity: 11, Address: "a"}})
	require.Len(t, s.Members(), 2)
	s.Apply(4, Command{Kind: CommandRemoveMember, Member: Member{ID: 1}})
	assert.True(t, s.WasRemoved(11))
	s.Apply(5, Command{Kind: CommandAddMember, Member: Member{Identity: 11, Address: "a"}})
	assert.Len(t, s.Members(), 1, "a removed identity cannot rejoin")
	s.Apply(6, Command{Kind: CommandAddMember, Member: Member{Identity: 33, Address: "a"}})
	member, _ := s.MemberByIdentity(33)
	assert.Equal(t, uint32(3), member.ID)
}

func drawConfiguration(t *rapid.T, version uint64) Configuration {
	configuration := Configuration{Version: version, IdleTimeout: time.Second}
	for _, number := range rapid.SliceOfNDistinct(rapid.IntRange(0, 12), 0, 12, rapid.ID[int]).Draw(t, "routes") {
		configuration.Routes = append(configuration.Routes, Route{
			Name:    fmt.Sprint("r", number),
			Address: netip.AddrPortFrom(netip.MustParseAddr("198.18.0.1"), uint16(number)),
			Timeout: time.Duration(rapid.IntRange(1, 2).Draw(t, "timeout")) * time.Second,
		})
	}
	return configuration
}

func TestDifferenceAndApply(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := drawConfiguration(t, 1)
		next := drawConfiguration(t, 2)
		edit := Difference(base, next)
		decoded, err := DecodeCommand(EncodeCommand(Command{Kind: CommandPublish, Edit: edit}))
		require.NoError(t, err)
		got, fits := decoded.Edit.Apply(base)
		require.True(t, fits)
		require.Equal(t, len(next.Routes), len(got.Routes))
		for position := range next.Routes {
			assert.True(t, next.Routes[position].Equal(got.Routes[position]))
		}
		_, fits = edit.Apply(Configuration{Version: 5})
		assert.False(t, fits)
	})
}

// Checks what a node learns from updates after random changes, and that snapshots are
// complete.
func TestUpdatesAndSnapshotsAreComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		seen := map[string]TargetState{}
		version := uint64(0)
		revision := uint64(0)
		steps := rapid.IntRange(1, 40).Draw(t, "steps")
		for position := range steps {
			command := register(fmt.Sprint("t", rapid.IntRange(0, 6).Draw(t, "id")),
				fmt.Sprintf("10.0.0.%d:1", rapid.IntRange(0, 4).Draw(t, "address")),
				TargetState(rapid.IntRange(1, 2).Draw(t, "state")))
			if rapid.Bool().Draw(t, "publish") {
				command = publish(s, drawConfiguration(t, uint64(position+1)))
			}
			s.Apply(uint64(position+1), command)
			if rapid.IntRange(0, 3).Draw(t, "look") > 0 {
				continue
			}
			update, err := DecodeUpdate(EncodeUpdate(s.UpdateSince(revision)))
			require.NoError(t, err)
			revision = update.Revision
			for _, target := range update.Targets {
				seen[target.ID] = target.State
			}
			if update.Whole {
				version = update.Configuration.Version
			}
			for _, edit := range update.Edits {
				require.Equal(t, version, edit.Base)
				version = edit.Version
			}
			require.Equal(t, s.Configuration().Version, version)
		}
		for _, target := range s.Targets() {
			if state, known := seen[target.ID]; known && target.Revision <= revision {
				assert.Equal(t, target.State, state)
			}
		}
		restored, err := Decode(s.Encode())
		require.NoError(t, err)
		assert.Equal(t, s.Encode(), restored.Encode())
		assert.Equal(t, s.Targets(), restored.Targets())
	})
}

func FuzzDecode(f *testing.F) {
	s := New()
	s.Apply(1, register("a", "10.0.0.1:1", TargetReady))
	f.Add(s.Encode())
	f.Add(EncodeUpdate(s.UpdateSince(0)))
	f.Add(EncodeCommand(register("a", "10.0.0.1:1", TargetReady)))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = Decode(data)
		_, _ = DecodeUpdate(data)
		_, _ = DecodeCommand(data)
	})
}

// Annotations must not delay the first update of a node on a slow link.
func TestUpdatesOmitAnnotations(t *testing.T) {
	s := New()
	text := []byte(strings.Repeat("operator's text ", 20))
	first := Configuration{
		Version:    1,
		Routes:     []Route{{Name: "r", Timeout: time.Second, Backends: []Backend{{Service: "a", Weight: 1}}, Annotation: text}},
		Services:   []Service{{Name: "a", Annotation: text}},
		Annotation: text,
	}
	require.Equal(t, CodeDone, s.Apply(1, publish(s, first)).Code)
	second := first
	second.Version = 2
	second.Routes = append(slices.Clone(first.Routes), Route{Name: "r2", Annotation: text})
	require.Equal(t, CodeDone, s.Apply(2, publish(s, second)).Code)
	for _, revision := range []uint64{0, 1} {
		assert.Less(t, len(EncodeUpdate(s.UpdateSince(revision))), len(text))
	}
	node, fits := s.UpdateSince(1).Edits[0].Apply(first)
	require.True(t, fits)
	assert.Len(t, node.Routes, 2)
	assert.Equal(t, time.Second, s.UpdateSince(0).Configuration.Routes[0].Timeout)
	assert.Equal(t, text, s.Configuration().Routes[0].Annotation, "the stored configuration keeps annotations")
	assert.Equal(t, text, s.Configuration().Services[0].Annotation)
	decoded, err := Decode(s.Encode())
	require.NoError(t, err)
	assert.Equal(t, text, decoded.Configuration().Routes[1].Annotation)
}

// The first update of a node must stay small, since it is sent over slow links.
func TestEncodedSizeOfLargeFleet(t *testing.T) {
	const targets, routes, budget = 600, 240, 20_000
	s := New()
	random := rand.New(rand.NewPCG(1, 1))
	var list []Target
	for position := range targets {
		number := random.Uint64N(1 << 40)
		target := Target{
			ID: fmt.Sprintf("i-%010x", number), Number: number, Service: "huvo11a", Zone: "osborne-park", Slots: 2, State: TargetReady,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(random.IntN(6)), byte(random.IntN(64)), byte(random.IntN(250))}), uint16(8000+random.IntN(1000))),
		}
		s.Apply(uint64(position+1), Command{Kind: CommandPutTarget, Target: target})
		list = append(list, target)
	}
	configuration := Configuration{Version: 1}
	for position := range routes {
		configuration.Routes = append(configuration.Routes, Route{
			Name: fmt.Sprintf("r-%07x", random.Uint32()), Timeout: time.Second, Backends: []Backend{{Service: "huvo11a", Weight: 100}},
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, byte(position)}), uint16(8000+random.IntN(1000))),
		})
	}
	s.Apply(targets+1, publish(s, configuration))
	whole := EncodeUpdate(s.UpdateSince(0))
	assert.Less(t, len(whole), budget)
	assert.Less(t, len(EncodeRemembered(Remembered{Targets: list})), budget)
	update, err := DecodeUpdate(whole)
	require.NoError(t, err)
	assert.Equal(t, s.Targets()[0], update.Targets[slices.IndexFunc(update.Targets, func(target Target) bool { return target.ID == s.Targets()[0].ID })])
	t.Logf("first state %d bytes, remembered targets %d", len(whole), len(EncodeRemembered(Remembered{Targets: list})))
}
