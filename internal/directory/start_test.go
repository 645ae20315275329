package directory

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	firstBorn  = 1_790_000_000_000
	secondBorn = firstBorn + 5_000
)

// run is a target that starts again under its ID.
func run(born uint64, place, service, zone string, state TargetState) Target {
	return Target{ID: "i-1", StartTime: born, Number: 1, Service: service, Zone: zone, Address: netip.MustParseAddrPort(place), Slots: 2, State: state}
}

// A restart at any stage of the start before, at the same or another place, heard of
// before or after late words of the earlier start, and with a snapshot in between.
func TestALaterStartReplacesAnEarlierOneForGood(t *testing.T) {
	stages := []TargetState{TargetReady, TargetDraining, TargetLeaving, TargetEnded}
	both := []bool{false, true}
	for _, stage := range stages {
		for _, born := range []uint64{0, firstBorn} {
			for _, moves := range both {
				for _, changesService := range both {
					for _, changesZone := range both {
						for _, late := range stages {
							name := fmt.Sprintf("%v, born %d, moves %v, service %v, zone %v, late %v", stage, born, moves, changesService, changesZone, late)
							t.Run(name, func(t *testing.T) {
								later := run(secondBorn, "10.0.0.1:1", "one", "north", TargetReady)
								if moves {
									later.Address = netip.MustParseAddrPort("10.0.0.2:1")
								}
								if changesService {
									later.Service = "two"
								}
								if changesZone {
									later.Zone = "south"
								}
								checkReplaced(t, run(born, "10.0.0.1:1", "one", "north", stage), later, late)
							})
						}
					}
				}
			}
		}
	}
}

func checkReplaced(t *testing.T, earlier, later Target, late TargetState) {
	t.Helper()
	s := New()
	s.Apply(1, Command{Kind: CommandPutTarget, Target: earlier})
	before, known := s.Target("i-1")
	require.True(t, known)
	require.Equal(t, CodeDone, s.Apply(2, Command{Kind: CommandPutTarget, Target: later}).Code)
	assertLatest(t, s, before, later)

	earlier.State = late
	assert.Equal(t, CodeOutdated, s.Apply(3, Command{Kind: CommandPutTarget, Target: earlier}).Code)
	assert.Equal(t, uint64(2), s.Revision(), "a late word changes nothing")
	if earlier.StartTime > 0 {
		assert.Equal(t, CodeDone, s.Apply(4, Command{Kind: CommandEndTarget, Target: earlier}).Code)
		assert.Equal(t, uint64(2), s.Revision(), "nor does a late farewell")
	}
	assertLatest(t, s, before, later)

	restored, err := Decode(s.Encode())
	require.NoError(t, err)
	assert.Equal(t, CodeOutdated, restored.Apply(5, Command{Kind: CommandPutTarget, Target: earlier}).Code)
	assertLatest(t, restored, before, later)
	assert.Equal(t, s.Targets(), restored.Targets())
	assert.Equal(t, 1, restored.TargetCount())
}

// assertLatest checks that the later start serves and that flows of the one before are
// known to be over.
func assertLatest(t *testing.T, s *State, before, later Target) {
	t.Helper()
	latest, known := s.Target("i-1")
	require.True(t, known)
	assert.NotEqual(t, before.Token, latest.Token, "flows of the one never reach the other")
	assert.Equal(t, []any{later.Start(), later.Address, later.Service, later.Zone, TargetReady},
		[]any{latest.Start(), latest.Address, latest.Service, latest.Zone, latest.State})
	over, known := s.TargetByToken(before.Token)
	require.True(t, known)
	assert.Equal(t, TargetEnded, over.State)
	holder, _ := s.TargetByAddress(later.Address)
	assert.Equal(t, later.Start(), holder.Start())
	if holder, held := s.TargetByAddress(before.Address); held && before.Address != later.Address {
		assert.Equal(t, TargetEnded, holder.State)
	}
}

func TestTheOrderOfStarts(t *testing.T) {
	at := func(born uint64) Start { return Start{ID: "i-1", StartTime: born} }
	assert.True(t, at(1).IsBefore(at(2)))
	assert.False(t, at(2).IsBefore(at(1)))
	assert.False(t, at(2).IsBefore(at(2)), "the same millisecond is the same start")
	assert.True(t, at(0).IsBefore(at(1)), "one that is not told comes first")
	assert.False(t, at(0).IsBefore(at(0)))
	assert.False(t, at(1).IsBefore(Start{ID: "i-2", StartTime: 2}), "other targets have no order")
	assert.Error(t, at(MaxStartTime+1).Validate())
	assert.NoError(t, at(MaxStartTime).Validate())
}

func TestAFarewellWithoutAStartEndsTheLatest(t *testing.T) {
	s := New()
	s.Apply(1, Command{Kind: CommandPutTarget, Target: run(firstBorn, "10.0.0.1:1", "one", "north", TargetReady)})
	s.Apply(2, Command{Kind: CommandPutTarget, Target: run(secondBorn, "10.0.0.1:1", "one", "north", TargetDraining)})
	assert.Equal(t, CodeDone, s.Apply(3, end("i-1")).Code)
	latest, _ := s.Target("i-1")
	assert.Equal(t, TargetEnded, latest.State)
}

func TestAFarewellOfAStartThatNeverRegisteredEndsTheOneBefore(t *testing.T) {
	s := New()
	s.Apply(1, Command{Kind: CommandPutTarget, Target: run(firstBorn, "10.0.0.1:1", "one", "north", TargetReady)})
	assert.Equal(t, CodeDone, s.Apply(2, Command{Kind: CommandEndTarget, Target: Target{ID: "i-1", StartTime: secondBorn}}).Code)
	latest, _ := s.Target("i-1")
	assert.Equal(t, TargetEnded, latest.State)
}

// A release of a large fleet ends more targets than the least that are remembered: all
// of them are, and none beyond, also after a snapshot.
func TestAsManyEndedTargetsAreRememberedAsLive(t *testing.T) {
	const living = 2 * endedLimit
	s := New()
	position := uint64(0)
	apply := func(command Command) {
		position++
		s.Apply(position, command)
	}
	place := func(number int) string { return fmt.Sprintf("10.%d.%d.%d:1", number>>16, number>>8&255, number&255) }
	for number := range living {
		apply(register(fmt.Sprint("t", number), place(number), TargetReady))
	}
	for number := range living + 10 {
		apply(register(fmt.Sprint("n", number), place(number%living), TargetReady))
	}
	assert.Equal(t, living, s.TargetCount())
	// The one that was replaced last had ended before its successor lived.
	assert.Equal(t, 2*living-1, len(s.tokens))
	_, known := s.Target("t10")
	assert.False(t, known, "the oldest ones")
	_, known = s.Target("t11")
	assert.True(t, known)
	restored, err := Decode(s.Encode())
	require.NoError(t, err)
	assert.Equal(t, s.Targets(), restored.Targets())
	position++
	next := register("last", place(0), TargetReady)
	s.Apply(position, next)
	restored.Apply(position, next)
	assert.Equal(t, s.Targets(), restored.Targets(), "both forget the same")
}

// registered is what the oracle knows of the latest start of a target.
type registered struct {
	born    uint64
	state   TargetState
	address netip.AddrPort
}

// TestStartsAgainstAnOracle plays words of targets that start again, in any order, with
// snapshots, beside a node that follows by updates.
func TestStartsAgainstAnOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		latest := map[string]registered{}
		node := map[Token]Target{}
		nodeAt := uint64(0)
		for position := uint64(1); position < 60; position++ {
			word := drawWord(t)
			command := Command{Kind: CommandPutTarget, Target: word}
			leaves := rapid.IntRange(0, 5).Draw(t, "leaves") == 0
			if leaves {
				command.Kind = CommandEndTarget
			}
			decoded, err := DecodeCommand(EncodeCommand(command))
			require.NoError(t, err)
			require.Equal(t, command, decoded)
			s.Apply(position, decoded)
			expect(latest, word, leaves)
			if rapid.IntRange(0, 7).Draw(t, "snapshot") == 0 {
				s, err = Decode(s.Encode())
				require.NoError(t, err)
			}
			if rapid.Bool().Draw(t, "update") {
				update, err := DecodeUpdate(EncodeUpdate(s.UpdateSince(nodeAt)))
				require.NoError(t, err)
				for _, target := range update.Targets {
					node[target.Token] = target
				}
				nodeAt = update.Revision
				checkNode(t, s, node)
			}
			checkOracle(t, s, latest)
		}
	})
}

func drawWord(t *rapid.T) Target {
	number := rapid.IntRange(1, 3).Draw(t, "target")
	target := Target{
		ID:        fmt.Sprint("i-", number),
		StartTime: rapid.Uint64Range(0, 3).Draw(t, "born"),
		Number:    uint64(number),
		Service:   rapid.SampledFrom([]string{"one", "two"}).Draw(t, "service"),
		Zone:      rapid.SampledFrom([]string{"north", "south"}).Draw(t, "zone"),
		Address:   netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:1", rapid.IntRange(1, 3).Draw(t, "address"))),
		Slots:     2,
		State:     rapid.SampledFrom([]TargetState{TargetReady, TargetDraining}).Draw(t, "state"),
	}
	if rapid.Bool().Draw(t, "cold") {
		target.Warmup = &Warmup{Remaining: 1500 * 1e6}
	}
	return target
}

// expect lets the oracle take a word.
func expect(latest map[string]registered, word Target, leaves bool) {
	known, exists := latest[word.ID]
	switch {
	case leaves && !exists, leaves && word.StartTime > 0 && word.StartTime < known.born, !leaves && exists && word.StartTime < known.born:
		return
	case leaves:
		if known.state == TargetDraining || word.StartTime > known.born {
			known.state = TargetEnded
		}
		known.state = max(known.state, TargetLeaving)
	case exists && word.StartTime == known.born:
		known.state = max(known.state, word.State)
	default:
		known = registered{born: word.StartTime, state: word.State, address: word.Address}
		for id, other := range latest {
			if other.address == word.Address {
				other.state = TargetEnded
				latest[id] = other
			}
		}
	}
	latest[word.ID] = known
}

func checkOracle(t *rapid.T, s *State, latest map[string]registered) {
	tokens := map[Token]bool{}
	for _, target := range s.Targets() {
		require.False(t, tokens[target.Token], "two starts share a token")
		tokens[target.Token] = true
		if target.StartTime < latest[target.ID].born {
			require.Equal(t, TargetEnded, target.State, "an earlier start lives")
		}
	}
	for id, want := range latest {
		target, known := s.Target(id)
		require.True(t, known)
		require.Equal(t, []any{want.born, want.state, want.address}, []any{target.StartTime, target.State, target.Address}, id)
	}
}

func checkNode(t *rapid.T, s *State, node map[Token]Target) {
	for _, target := range s.Targets() {
		seen, known := node[target.Token]
		if target.State == TargetEnded && !known {
			continue
		}
		require.Equal(t, target, seen)
	}
}
