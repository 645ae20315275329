package directory

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func orderTarget(id string, rule TargetRule, base uint64) Command {
	return Command{Kind: CommandOrderTarget, TargetOrder: TargetOrder{ID: id, Rule: rule, Revision: base}}
}

// Each order has the position 2, 3, ...; the target registers at 1.
func TestOrdersAboutATarget(t *testing.T) {
	cases := []struct {
		name   string
		orders []Command
		codes  []Code
		rule   TargetRule
	}{
		{"ejected", []Command{orderTarget("a", RuleEjected, 0)}, []Code{CodeDone}, RuleEjected},
		{"ejected twice", []Command{orderTarget("a", RuleEjected, 0), orderTarget("a", RuleEjected, 0)}, []Code{CodeDone, CodeDone}, RuleEjected},
		{"exempt after ejected", []Command{orderTarget("a", RuleEjected, 0), orderTarget("a", RuleExempt, 2)}, []Code{CodeDone, CodeDone}, RuleExempt},
		{"given back", []Command{orderTarget("a", RuleEjected, 0), orderTarget("a", RuleJudged, 2)}, []Code{CodeDone, CodeDone}, RuleJudged},
		{"a late copy of the ejection", []Command{orderTarget("a", RuleEjected, 0), orderTarget("a", RuleJudged, 2), orderTarget("a", RuleEjected, 0)},
			[]Code{CodeDone, CodeDone, CodeConflict}, RuleJudged},
		{"a copy of the end", []Command{orderTarget("a", RuleEjected, 0), orderTarget("a", RuleJudged, 2), orderTarget("a", RuleJudged, 2)},
			[]Code{CodeDone, CodeDone, CodeDone}, RuleJudged},
		{"a late copy of the end", []Command{orderTarget("a", RuleEjected, 0), orderTarget("a", RuleJudged, 2), orderTarget("a", RuleEjected, 3), orderTarget("a", RuleJudged, 2)},
			[]Code{CodeDone, CodeDone, CodeDone, CodeConflict}, RuleEjected},
		{"not known", []Command{orderTarget("b", RuleEjected, 0)}, []Code{CodeNotFound}, RuleJudged},
		{"no such rule", []Command{orderTarget("a", targetRuleCount, 0)}, []Code{CodeNotFound}, RuleJudged},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			s := New()
			s.Apply(1, register("a", "10.0.0.1:1", TargetReady))
			for position, order := range test.orders {
				command, err := DecodeCommand(EncodeCommand(order))
				require.NoError(t, err)
				assert.Equal(t, test.codes[position], s.Apply(uint64(position+2), command).Code, "order %d", position)
			}
			assert.Equal(t, test.rule, s.TargetOrder("a").Rule)
			restored, err := Decode(s.Encode())
			require.NoError(t, err)
			assert.Equal(t, s.TargetOrders(), restored.TargetOrders())
		})
	}
}

// A target that ends takes the orders about it along, however it ends.
func TestOrdersEndWithTheTarget(t *testing.T) {
	ends := map[string]Command{
		"its own word":           register("a", "10.0.0.1:1", TargetEnded),
		"another one's address":  register("b", "10.0.0.1:1", TargetReady),
		"its end after draining": {Kind: CommandEndTarget, Target: Target{ID: "a"}},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			s := New()
			s.Apply(1, register("a", "10.0.0.1:1", TargetReady))
			s.Apply(2, orderTarget("a", RuleEjected, 0))
			s.Apply(3, register("a", "10.0.0.1:1", TargetDraining))
			require.Len(t, s.TargetOrders(), 1)
			s.Apply(4, end)
			assert.Empty(t, s.TargetOrders())
			assert.Equal(t, CodeNotFound, s.Apply(5, orderTarget("a", RuleExempt, 0)).Code)
		})
	}
}
