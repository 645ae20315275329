package directory

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func evacuate(zone string, active bool, base uint64) Command {
	return Command{Kind: CommandEvacuate, Evacuation: Evacuation{Zone: zone, Active: active, Revision: base}}
}

func TestEvacuationOrders(t *testing.T) {
	cases := []struct {
		name   string
		orders []Command
		codes  []Code
		active bool
	}{
		{"started", []Command{evacuate("a", true, 0)}, []Code{CodeDone}, true},
		{"started twice", []Command{evacuate("a", true, 0), evacuate("a", true, 0)}, []Code{CodeDone, CodeDone}, true},
		{"started and ended", []Command{evacuate("a", true, 0), evacuate("a", false, 1)}, []Code{CodeDone, CodeDone}, false},
		{"ended without a start", []Command{evacuate("a", false, 0)}, []Code{CodeDone}, false},
		{"delayed duplicate of the start", []Command{evacuate("a", true, 0), evacuate("a", false, 1), evacuate("a", true, 0)},
			[]Code{CodeDone, CodeDone, CodeConflict}, false},
		{"delayed duplicate of the end", []Command{evacuate("a", true, 0), evacuate("a", false, 1), evacuate("a", true, 2), evacuate("a", false, 1)},
			[]Code{CodeDone, CodeDone, CodeDone, CodeConflict}, true},
		{"another zone", []Command{evacuate("b", true, 0), evacuate("b", false, 1)}, []Code{CodeDone, CodeDone}, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			s := New()
			for position, order := range test.orders {
				command, err := DecodeCommand(EncodeCommand(order))
				require.NoError(t, err)
				assert.Equal(t, test.codes[position], s.Apply(uint64(position+1), command).Code, "order %d", position)
			}
			assert.Equal(t, test.active, s.Evacuation("a").Active)
		})
	}
}

func TestUpdatesAndSnapshotsIncludeEvacuations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		held := map[string]bool{}
		seen := uint64(0)
		for position := range uint64(rapid.IntRange(1, 30).Draw(t, "orders")) {
			zone := fmt.Sprint("z", rapid.IntRange(0, 2).Draw(t, "zone"))
			s.Apply(position+1, evacuate(zone, rapid.Bool().Draw(t, "active"), s.Evacuation(zone).Revision))
			if rapid.Bool().Draw(t, "restored") {
				restored, err := Decode(s.Encode())
				require.NoError(t, err)
				s = restored
			}
			if rapid.Bool().Draw(t, "look") {
				update, err := DecodeUpdate(EncodeUpdate(s.UpdateSince(seen)))
				require.NoError(t, err)
				for _, evacuation := range update.Evacuations {
					held[evacuation.Zone] = evacuation.Active
				}
				seen = update.Revision
				for _, evacuation := range s.Evacuations() {
					assert.Equal(t, evacuation.Active, held[evacuation.Zone], evacuation.Zone)
				}
			}
		}
	})
}

// Earlier releases wrote snapshots without evacuations or target orders.
func TestDecodeSnapshotOfEarlierRelease(t *testing.T) {
	s := New()
	s.Apply(1, register("a", "10.0.0.1:1", TargetReady))
	data := s.Encode()
	// The lists of evacuations and target orders are the last ones.
	const emptyList = 4
	for _, missing := range []int{emptyList, 2 * emptyList} {
		restored, err := Decode(data[:len(data)-missing])
		require.NoError(t, err)
		assert.Empty(t, restored.Evacuations())
		assert.Empty(t, restored.TargetOrders())
		assert.Len(t, restored.Targets(), 1)
	}
}
