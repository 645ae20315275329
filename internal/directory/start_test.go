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
	firstStart  = 1_790_000_000_000
	secondStart = firstStart + 5_000
)

// restartableTarget returns a target that can restart under its ID.
func restartableTarget(startTime uint64, address, service, zone string, state TargetState) Target {
	return Target{ID: "i-1", StartTime: startTime, Number: 1, Service: service, Zone: zone, Address: netip.MustParseAddrPort(address), Slots: 2, State: state}
}

// Covers restarts in any state at the same or another address, delayed commands of the
// earlier start, and a snapshot.
func TestLaterStartReplacesEarlierStart(t *testing.T) {
	states := []TargetState{TargetReady, TargetDraining, TargetLeaving, TargetEnded}
	both := []bool{false, true}
	for _, state := range states {
		for _, startTime := range []uint64{0, firstStart} {
			for _, moves := range both {
				for _, changesService := range both {
					for _, changesZone := range both {
						for _, delayedState := range states {
							name := fmt.Sprintf("%v, start time %d, moves %v, service %v, zone %v, delayed %v", state, startTime, moves, changesService, changesZone, delayedState)
							t.Run(name, func(t *testing.T) {
								later := restartableTarget(secondStart, "10.0.0.1:1", "one", "north", TargetReady)
								if moves {
									later.Address = netip.MustParseAddrPort("10.0.0.2:1")
								}
								if changesService {
									later.Service = "two"
								}
								if changesZone {
									later.Zone = "south"
								}
								checkReplaced(t, restartableTarget(startTime, "10.0.0.1:1", "one", "north", state), later, delayedState)
							})
						}
					}
				}
			}
		}
	}
}

func checkReplaced(t *testing.T, earlier, later Target, delayedState TargetState) {
	t.Helper()
	s := New()
	s.Apply(1, Command{Kind: CommandPutTarget, Target: earlier})
	before, known := s.Target("i-1")
	require.True(t, known)
	require.Equal(t, CodeDone, s.Apply(2, Command{Kind: CommandPutTarget, Target: later}).Code)
	assertLatest(t, s, before, later)

	earlier.State = delayedState
	assert.Equal(t, CodeOutdated, s.Apply(3, Command{Kind: CommandPutTarget, Target: earlier}).Code)
	assert.Equal(t, uint64(2), s.Revision(), "a delayed registration changes nothing")
	if earlier.StartTime > 0 {
		assert.Equal(t, CodeDone, s.Apply(4, Command{Kind: CommandEndTarget, Target: earlier}).Code)
		assert.Equal(t, uint64(2), s.Revision(), "a delayed end changes nothing")
	}
	assertLatest(t, s, before, later)

	restored, err := Decode(s.Encode())
	require.NoError(t, err)
	assert.Equal(t, CodeOutdated, restored.Apply(5, Command{Kind: CommandPutTarget, Target: earlier}).Code)
	assertLatest(t, restored, before, later)
	assert.Equal(t, s.Targets(), restored.Targets())
	assert.Equal(t, 1, restored.TargetCount())
}

// assertLatest checks that the later start is registered and the earlier one has ended.
func assertLatest(t *testing.T, s *State, before, later Target) {
	t.Helper()
	latest, known := s.Target("i-1")
	require.True(t, known)
	assert.NotEqual(t, before.Token, latest.Token, "tokens of two starts must differ")
	assert.Equal(t, []any{later.Start(), later.Address, later.Service, later.Zone, TargetReady},
		[]any{latest.Start(), latest.Address, latest.Service, latest.Zone, latest.State})
	replaced, known := s.TargetByToken(before.Token)
	require.True(t, known)
	assert.Equal(t, TargetEnded, replaced.State)
	holder, _ := s.TargetByAddress(later.Address)
	assert.Equal(t, later.Start(), holder.Start())
	if holder, held := s.TargetByAddress(before.Address); held && before.Address != later.Address {
		assert.Equal(t, TargetEnded, holder.State)
	}
}

func TestStartOrder(t *testing.T) {
	at := func(startTime uint64) Start { return Start{ID: "i-1", StartTime: startTime} }
	assert.True(t, at(1).IsBefore(at(2)))
	assert.False(t, at(2).IsBefore(at(1)))
	assert.False(t, at(2).IsBefore(at(2)), "equal start times are the same start")
	assert.True(t, at(0).IsBefore(at(1)), "an unknown start time comes first")
	assert.False(t, at(0).IsBefore(at(0)))
	assert.False(t, at(1).IsBefore(Start{ID: "i-2", StartTime: 2}), "starts of different targets are not ordered")
	assert.Error(t, at(MaxStartTime+1).Validate())
	assert.NoError(t, at(MaxStartTime).Validate())
}

func TestEndWithoutStartTimeEndsLatestStart(t *testing.T) {
	s := New()
	s.Apply(1, Command{Kind: CommandPutTarget, Target: restartableTarget(firstStart, "10.0.0.1:1", "one", "north", TargetReady)})
	s.Apply(2, Command{Kind: CommandPutTarget, Target: restartableTarget(secondStart, "10.0.0.1:1", "one", "north", TargetDraining)})
	assert.Equal(t, CodeDone, s.Apply(3, end("i-1")).Code)
	latest, _ := s.Target("i-1")
	assert.Equal(t, TargetEnded, latest.State)
}

func TestEndOfUnregisteredStartEndsEarlierStart(t *testing.T) {
	s := New()
	s.Apply(1, Command{Kind: CommandPutTarget, Target: restartableTarget(firstStart, "10.0.0.1:1", "one", "north", TargetReady)})
	assert.Equal(t, CodeDone, s.Apply(2, Command{Kind: CommandEndTarget, Target: Target{ID: "i-1", StartTime: secondStart}}).Code)
	latest, _ := s.Target("i-1")
	assert.Equal(t, TargetEnded, latest.State)
	holder, _ := s.TargetByAddress(netip.MustParseAddrPort("10.0.0.1:1"))
	assert.Equal(t, TargetEnded, holder.State)
	// The registration of the later start was delayed.
	s.Apply(3, Command{Kind: CommandPutTarget, Target: restartableTarget(secondStart, "10.0.0.1:1", "one", "north", TargetReady)})
	latest, _ = s.Target("i-1")
	assert.Equal(t, []any{uint64(secondStart), TargetEnded}, []any{latest.StartTime, latest.State})
}

// A rolling update of a large fleet ends more targets than minEndedLimit.
func TestEndedLimitGrowsWithLiveTargets(t *testing.T) {
	const live = 2 * minEndedLimit
	s := New()
	position := uint64(0)
	apply := func(command Command) {
		position++
		s.Apply(position, command)
	}
	address := func(number int) string { return fmt.Sprintf("10.%d.%d.%d:1", number>>16, number>>8&255, number&255) }
	for number := range live {
		apply(register(fmt.Sprint("t", number), address(number), TargetReady))
	}
	for number := range live + 10 {
		apply(register(fmt.Sprint("n", number), address(number%live), TargetReady))
	}
	assert.Equal(t, live, s.TargetCount())
	// The last replaced target ended before its successor was counted as live.
	assert.Equal(t, 2*live-1, len(s.tokens))
	_, known := s.Target("t10")
	assert.False(t, known, "the oldest ones are removed")
	_, known = s.Target("t11")
	assert.True(t, known)
	restored, err := Decode(s.Encode())
	require.NoError(t, err)
	assert.Equal(t, s.Targets(), restored.Targets())
	position++
	next := register("last", address(0), TargetReady)
	s.Apply(position, next)
	restored.Apply(position, next)
	assert.Equal(t, s.Targets(), restored.Targets(), "both remove the same targets")
}

// expectedTarget is the expected state of the latest start of a target.
type expectedTarget struct {
	startTime uint64
	state     TargetState
	address   netip.AddrPort
}

// Compares random registrations and ends, with snapshots and updates to a node, to a
// simple model.
func TestStartsAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		latest := map[string]expectedTarget{}
		node := map[Token]Target{}
		nodeAt := uint64(0)
		for position := uint64(1); position < 60; position++ {
			target := drawTarget(t)
			command := Command{Kind: CommandPutTarget, Target: target}
			ends := rapid.IntRange(0, 5).Draw(t, "ends") == 0
			if ends {
				command.Kind = CommandEndTarget
			}
			decoded, err := DecodeCommand(EncodeCommand(command))
			require.NoError(t, err)
			require.Equal(t, command, decoded)
			s.Apply(position, decoded)
			applyToModel(latest, target, ends)
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
			checkState(t, s, latest)
		}
	})
}

func drawTarget(t *rapid.T) Target {
	number := rapid.IntRange(1, 3).Draw(t, "target")
	target := Target{
		ID:        fmt.Sprint("i-", number),
		StartTime: rapid.Uint64Range(0, 3).Draw(t, "start time"),
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

// applyToModel applies a command to the model.
func applyToModel(latest map[string]expectedTarget, target Target, ends bool) {
	known, exists := latest[target.ID]
	switch {
	case ends && (!exists || target.StartTime > known.startTime):
		known = expectedTarget{startTime: target.StartTime, state: TargetEnded}
	case ends && target.StartTime > 0 && target.StartTime < known.startTime, !ends && exists && target.StartTime < known.startTime:
		return
	case ends:
		if known.state == TargetDraining {
			known.state = TargetEnded
		}
		known.state = max(known.state, TargetLeaving)
	case exists && target.StartTime == known.startTime:
		known.state = max(known.state, target.State)
	default:
		known = expectedTarget{startTime: target.StartTime, state: target.State, address: target.Address}
		for id, other := range latest {
			if other.address == target.Address {
				other.state = TargetEnded
				latest[id] = other
			}
		}
	}
	latest[target.ID] = known
}

func checkState(t *rapid.T, s *State, latest map[string]expectedTarget) {
	tokens := map[Token]bool{}
	for _, target := range s.Targets() {
		require.False(t, tokens[target.Token], "two starts share a token")
		tokens[target.Token] = true
		if target.StartTime < latest[target.ID].startTime {
			require.Equal(t, TargetEnded, target.State, "an earlier start has not ended")
		}
	}
	for id, want := range latest {
		target, known := s.Target(id)
		require.True(t, known)
		require.Equal(t, []any{want.startTime, want.state, want.address}, []any{target.StartTime, target.State, target.Address}, id)
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
