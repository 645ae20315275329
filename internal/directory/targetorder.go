package directory

import (
	"maps"
	"slices"

	"github.com/beamdoor/beamdoor/internal/wire"
)

// TargetRule is what an operator has ordered about a target.
type TargetRule uint8

// The rules.
const (
	// RuleJudged leaves it to the members whether the target gets new flows.
	RuleJudged TargetRule = iota
	// RuleEjected keeps new flows from the target, whatever is seen of it.
	RuleEjected
	// RuleExempt keeps the target from being ejected, whatever is seen of it.
	RuleExempt
	targetRuleCount
)

// String returns the rule as a word for operators.
func (r TargetRule) String() string {
	names := [...]string{"judged", "ejected", "exempt"}
	if int(r) >= len(names) {
		return "unknown"
	}
	return names[r]
}

// TargetOrder is an operator's order about one incarnation of a target. It ends with
// the target.
type TargetOrder struct {
	// ID is that of the target.
	ID   string
	Rule TargetRule
	// Revision is the log position of the order that made it so. In a command it is
	// the one that the order was given on: an order that another one has overtaken
	// changes nothing.
	Revision uint64
}

// TargetOrder returns what was last ordered about a target; all is zero where nothing
// was.
func (s *State) TargetOrder(id string) TargetOrder { return s.targetOrders[id] }

// TargetOrders returns what was last ordered about each target, in the order of IDs.
func (s *State) TargetOrders() []TargetOrder {
	list := make([]TargetOrder, 0, len(s.targetOrders))
	for _, id := range slices.Sorted(maps.Keys(s.targetOrders)) {
		list = append(list, s.targetOrders[id])
	}
	return list
}

// orderTarget carries out an order. One that asks for what holds already is done, and
// so is a copy of one that gave the target back. One that was given before the newest
// order about the target is refused.
func (s *State) orderTarget(position uint64, order TargetOrder) Code {
	target, exists := s.targets[order.ID]
	if !exists || target.State == TargetEnded || order.Rule >= targetRuleCount {
		return CodeNotFound
	}
	known := s.targetOrders[order.ID]
	if known.Rule == order.Rule && (order.Rule != RuleJudged || known.Revision > order.Revision) {
		return CodeDone
	}
	if known.Revision != order.Revision {
		return CodeConflict
	}
	order.Revision = position
	s.targetOrders[order.ID] = order
	s.revision = position
	return CodeDone
}

// smallestTargetOrder is the encoded size in bytes of an order about a target without
// a name.
const smallestTargetOrder = 13

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
	for count := decoder.Count(smallestTargetOrder); count > 0; count-- {
		orders = append(orders, decodeTargetOrder(decoder))
	}
	return orders
}
