package directory

import (
	"maps"
	"slices"

	"github.com/beamdoor/beamdoor/internal/wire"
)

// TargetRule is an operator's rule for a target.
type TargetRule uint8

// The rules for targets.
const (
	// RuleJudged lets the members eject and readmit the target.
	RuleJudged TargetRule = iota
	// RuleEjected keeps new flows away from the target regardless of its health.
	RuleEjected
	// RuleExempt prevents the ejection of the target regardless of its health.
	RuleExempt
	targetRuleCount
)

// String returns the name of the rule as shown to operators.
func (r TargetRule) String() string {
	names := [...]string{"judged", "ejected", "exempt"}
	if int(r) >= len(names) {
		return "unknown"
	}
	return names[r]
}

// TargetOrder is an operator's order for one start of a target. It is deleted when the
// target ends.
type TargetOrder struct {
	// ID is the ID of the target.
	ID   string
	Rule TargetRule
	// Revision is the log position of the order. In a command it is the revision that the
	// order is based on; if another order was applied since, the command is rejected.
	Revision uint64
}

// TargetOrder returns the last order for a target, or the zero value if there is none.
func (s *State) TargetOrder(id string) TargetOrder { return s.targetOrders[id] }

// TargetOrders returns the last order for each target, sorted by ID.
func (s *State) TargetOrders() []TargetOrder {
	list := make([]TargetOrder, 0, len(s.targetOrders))
	for _, id := range slices.Sorted(maps.Keys(s.targetOrders)) {
		list = append(list, s.targetOrders[id])
	}
	return list
}

// orderTarget applies an order. An order that matches the current rule has no effect,
// except that RuleJudged based on the current revision is recorded again. Any other order
// is rejected if it is superseded or based on another revision.
func (s *State) orderTarget(position uint64, order TargetOrder, superseded bool) Code {
	target, exists := s.targets[order.ID]
	if !exists || target.State == TargetEnded || order.Rule >= targetRuleCount {
		return CodeNotFound
	}
	known := s.targetOrders[order.ID]
	if known.Rule == order.Rule && (order.Rule != RuleJudged || known.Revision > order.Revision) {
		return CodeDone
	}
	if superseded || known.Revision != order.Revision {
		return CodeConflict
	}
	order.Revision = position
	s.targetOrders[order.ID] = order
	s.revision = position
	return CodeDone
}

// minTargetOrderSize is the minimum encoded size of a target order in bytes.
const minTargetOrderSize = 13

func encodeTargetOrder(encoder *wire.Encoder, order TargetOrder) {
	encoder.String(order.ID)
	encoder.Uint8(uint8(order.Rule))
	encoder.Uint64(order.Revision)
}

func decodeTargetOrder(decoder *wire.Decoder) TargetOrder {
	return TargetOrder{ID: decoder.String(), Rule: TargetRule(decoder.Uint8()), Revision: decoder.Uint64()}
}

func encodeTargetOrders(encoder *wire.Encoder, orders []TargetOrder) {
	encoder.Uint32(uint32(len(orders)))
	for _, order := range orders {
		encodeTargetOrder(encoder, order)
	}
}

func decodeTargetOrders(decoder *wire.Decoder) []TargetOrder {
	var orders []TargetOrder
	for count := decoder.Count(minTargetOrderSize); count > 0; count-- {
		orders = append(orders, decodeTargetOrder(decoder))
	}
	return orders
}
