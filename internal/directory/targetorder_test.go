package directory

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func orderTarget(id string, rule TargetRule, base uint64) Command {
	return Command{Kind: CommandOrderTarget, TargetOrder: TargetOrder{ID: id, Rule: rule, Revision: base}}
}

// The target registers at position 1; the orders follow from position 2 on.
func TestTargetOrders(t *testing.T) {
	cases := []struct {
		name   string
		orders []Command
		codes  []Code
		rule   TargetRule
	}{
		{"ejected", []Command{orderTarget("a", RuleEjected, 0)}, []Code{CodeDone}, RuleEjected},
		{"ejected twice", []Command{orderTarget("a", RuleEjected, 0), orderTarget("a", RuleEjected, 0)}, []Code{CodeDone, CodeDone}, RuleEjected},
		{"exempt after ejected", []Command{orderTarget("a", RuleEjected, 0), orderTarget("a", RuleExempt, 2)}, []Code{CodeDone, CodeDone}, RuleExempt},
		{"restored", []Command{orderTarget("a", RuleEjected, 0), orderTarget("a", RuleJudged, 2)}, []Code{CodeDone, CodeDone}, RuleJudged},
		{"delayed duplicate of the ejection", []Command{orderTarget("a", RuleEjected, 0), orderTarget("a", RuleJudged, 2), orderTarget("a", RuleEjected, 0)},
			[]Code{CodeDone, CodeDone, CodeConflict}, RuleJudged},
		{"duplicate of the restoration", []Command{orderTarget("a", RuleEjected, 0), orderTarget("a", RuleJudged, 2), orderTarget("a", RuleJudged, 2)},
			[]Code{CodeDone, CodeDone, CodeDone}, RuleJudged},
		{"delayed duplicate of the restoration", []Command{orderTarget("a", RuleEjected, 0), orderTarget("a", RuleJudged, 2), orderTarget("a", RuleEjected, 3), orderTarget("a", RuleJudged, 2)},
			[]Code{CodeDone, CodeDone, CodeDone, CodeConflict}, RuleEjected},
		{"unknown target", []Command{orderTarget("b", RuleEjected, 0)}, []Code{CodeNotFound}, RuleJudged},
		{"unknown rule", []Command{orderTarget("a", targetRuleCount, 0)}, []Code{CodeNotFound}, RuleJudged},
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

// An order must not outlive its target, however the target ends.
func TestTargetOrderEndsWithTarget(t *testing.T) {
	ends := map[string]Command{
		"own registration":   register("a", "10.0.0.1:1", TargetEnded),
		"address reuse":      register("b", "10.0.0.1:1", TargetReady),
		"end after draining": {Kind: CommandEndTarget, Target: Target{ID: "a"}},
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
