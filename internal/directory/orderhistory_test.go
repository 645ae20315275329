package directory

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// orderKinds are the kinds of orders that the tests draw, each about its subject with a number.
var orderKinds = []struct {
	name string
	// settings is the number of states that an order can set, of which 0 is the default.
	settings int
	// command returns the order that a member with the state s prepares.
	command func(s *State, subject, setting int) Command
	// setting returns the state that orders have set.
	setting func(s *State, subject int) int
}{
	{"zone", 2,
		func(s *State, subject, setting int) Command {
			zone := fmt.Sprint("z", subject)
			return Command{Kind: CommandEvacuate, Evacuation: Evacuation{Zone: zone, Active: setting == 1, Revision: s.Evacuation(zone).Revision}}
		},
		func(s *State, subject int) int {
			if s.Evacuation(fmt.Sprint("z", subject)).Active {
				return 1
			}
			return 0
		}},
	{"target", int(targetRuleCount),
		func(s *State, subject, setting int) Command {
			id := fmt.Sprint("i-", subject)
			return Command{Kind: CommandOrderTarget, TargetOrder: TargetOrder{ID: id, Rule: TargetRule(setting), Revision: s.TargetOrder(id).Revision}}
		},
		func(s *State, subject int) int { return int(s.TargetOrder(fmt.Sprint("i-", subject)).Rule) }},
	{"version", int(versionRuleCount),
		func(s *State, subject, setting int) Command {
			version := ServiceVersion{Service: "s", Version: fmt.Sprint("v", subject)}
			return Command{Kind: CommandOrderVersion, VersionOrder: VersionOrder{ServiceVersion: version, Rule: VersionRule(setting), Revision: s.VersionOrder(version).Revision}}
		},
		func(s *State, subject int) int {
			return int(s.VersionOrder(ServiceVersion{Service: "s", Version: fmt.Sprint("v", subject)}).Rule)
		}},
}

// registerSubjects registers a start of each target that the drawn orders are about.
func registerSubjects(s *State, position *uint64, start uint64) {
	for subject := range 2 {
		target := Target{ID: fmt.Sprint("i-", subject), StartTime: start, Service: "s", Version: fmt.Sprint("v", subject), State: TargetReady}
		target.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), uint16(subject+1))
		*position++
		s.Apply(*position, Command{Kind: CommandPutTarget, Target: target})
	}
}

// An order must not change anything if another one about its subject was acknowledged after it
// was confirmed, whatever state the member that prepares it has by then.
func TestSupersededOrdersChangeNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		position := uint64(0)
		start := uint64(1)
		registerSubjects(s, &position, start)
		acknowledged := map[[2]int]uint64{}
		for id := range uint64(rapid.IntRange(1, 40).Draw(t, "orders")) {
			kind := rapid.IntRange(0, len(orderKinds)-1).Draw(t, "kind")
			subject := rapid.IntRange(0, 1).Draw(t, "subject")
			setting := rapid.IntRange(0, orderKinds[kind].settings-1).Draw(t, "setting")
			confirmed := position - min(position-1, rapid.Uint64Range(0, 6).Draw(t, "age"))
			if rapid.IntRange(0, 9).Draw(t, "restarted") == 0 {
				start++
				registerSubjects(s, &position, start)
			}
			if rapid.Bool().Draw(t, "restored") {
				restored, err := Decode(s.Encode())
				require.NoError(t, err)
				s = restored
			}
			command := orderKinds[kind].command(s, subject, setting)
			command.Confirmation = Confirmation{ID: id + 1, Position: confirmed}
			command, err := DecodeCommand(EncodeCommand(command))
			require.NoError(t, err)
			before := orderKinds[kind].setting(s, subject)
			position++
			code := s.Apply(position, command).Code
			after := orderKinds[kind].setting(s, subject)
			superseded := acknowledged[[2]int{kind, subject}] > confirmed
			switch {
			case superseded:
				assert.Equal(t, before, after, "%s order confirmed at %d", orderKinds[kind].name, confirmed)
				assert.True(t, code != CodeDone || before == setting)
			default:
				assert.Equal(t, CodeDone, code, "%s order confirmed at %d", orderKinds[kind].name, confirmed)
				assert.Equal(t, setting, after)
			}
			if code == CodeDone {
				acknowledged[[2]int{kind, subject}] = position
			}
		}
	})
}

// An order confirmed with a position of another log must not bypass the check.
func TestOrderConfirmedWithFuturePositionIsRejected(t *testing.T) {
	s := New()
	order := evacuate("a", true, 0)
	order.Confirmation = Confirmation{ID: 1, Position: 7}
	assert.Equal(t, CodeConflict, s.Apply(7, order).Code)
	assert.Equal(t, CodeDone, s.Apply(8, order).Code)
}

// The order history must stay bounded without letting a superseded order through.
func TestOrderHistoryIsBounded(t *testing.T) {
	s := New()
	for number := range uint64(maxOrderHistory + 10) {
		order := evacuate(fmt.Sprint("z", number), true, 0)
		order.Confirmation = Confirmation{ID: number + 1, Position: number}
		require.Equal(t, CodeDone, s.Apply(number+1, order).Code)
	}
	assert.Len(t, s.orders.positions, maxOrderHistory)
	assert.Equal(t, uint64(10), s.orders.removed)
	restored, err := Decode(s.Encode())
	require.NoError(t, err)
	assert.Equal(t, s.orders, restored.orders)
	position := uint64(maxOrderHistory + 11)
	late := evacuate("z0", false, s.Evacuation("z0").Revision)
	late.Confirmation = Confirmation{ID: position, Position: 5}
	assert.Equal(t, CodeConflict, restored.Apply(position, late).Code)
	late.Confirmation.Position = 10
	assert.Equal(t, CodeDone, restored.Apply(position, late).Code)
}

// Logs and snapshots of earlier releases have no confirmations.
func TestOrdersOfEarlierReleaseAreApplied(t *testing.T) {
	const confirmationSize = 16
	data := EncodeCommand(evacuate("a", true, 0))
	command, err := DecodeCommand(data[:len(data)-confirmationSize])
	require.NoError(t, err)
	assert.Equal(t, evacuate("a", true, 0), command)
	s := New()
	s.Apply(1, command)
	assert.True(t, s.Evacuation("a").Active)
	s.orders = newOrderHistory()
	restored, err := Decode(s.Encode())
	require.NoError(t, err)
	assert.Empty(t, restored.orders.positions)
	assert.True(t, restored.Evacuation("a").Active)
}
