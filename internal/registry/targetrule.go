package registry

import (
	"cmp"
	"context"
	"fmt"
	"slices"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// TargetStatus is the status of one target, as shown to operators.
type TargetStatus struct {
	ID, Service, Zone string
	Slots             uint32
	// Rule is the rule that an operator set.
	Rule directory.TargetRule
	// Ejected is set while the target gets no new flows, and Probation while it gets a few.
	Ejected, Probation bool
}

// isDefault reports whether no rule applies to the target and it gets new flows as usual.
func (t TargetStatus) isDefault() bool {
	return t.Rule == directory.RuleJudged && !t.Ejected && !t.Probation
}

// minTargetStatusSize is the encoded size in bytes of a status with empty names.
const minTargetStatusSize = 19

func encodeTargetStatuses(encoder *wire.Encoder, targets []TargetStatus) {
	encoder.Uint32(uint32(len(targets)))
	for _, target := range targets {
		encoder.String(target.ID)
		encoder.String(target.Service)
		encoder.String(target.Zone)
		encoder.Uint32(target.Slots)
		encoder.Uint8(uint8(target.Rule))
		encoder.Bool(target.Ejected)
		encoder.Bool(target.Probation)
	}
}

func decodeTargetStatuses(decoder *wire.Decoder) []TargetStatus {
	var targets []TargetStatus
	for count := decoder.Count(minTargetStatusSize); count > 0; count-- {
		targets = append(targets, TargetStatus{
			ID: decoder.String(), Service: decoder.String(), Zone: decoder.String(), Slots: decoder.Uint32(),
			Rule: directory.TargetRule(decoder.Uint8()), Ejected: decoder.Bool(), Probation: decoder.Bool(),
		})
	}
	return targets
}

// SetTargetRule sets whether a target is judged, ejected or exempt; see submitOrder for position.
func (p *Process) SetTargetRule(ctx context.Context, id string, rule directory.TargetRule, position uint64) error {
	return p.submitOrder(ctx, position, operatorOrder{
		subject: "target", fields: []any{"target", id, "rule", rule},
		accepted: eventlog.TargetOrderAccepted, refused: eventlog.TargetOrderRefused, unanswered: eventlog.TargetOrderUnanswered,
		prepare: func(core *Core) (directory.Command, error) {
			order := directory.TargetOrder{ID: id, Rule: rule, Revision: core.State().TargetOrder(id).Revision}
			return directory.Command{Kind: directory.CommandOrderTarget, TargetOrder: order}, nil
		},
		unknown: &directory.Problem{Field: "target", Reason: fmt.Sprintf("%q is not known or has ended", id)},
	})
}

// targetStatuses returns the ready targets that are not in the default state, and the one
// with the given ID if it is ready.
func (c *Core) targetStatuses(id string) []TargetStatus {
	verdicts := c.liveness.verdicts.Verdicts
	var targets []TargetStatus
	c.state.EachTarget(func(target *directory.Target) {
		if target.State != directory.TargetReady {
			return
		}
		status := TargetStatus{ID: target.ID, Service: target.Service, Zone: target.Zone, Slots: target.Slots}
		status.Rule = c.state.TargetOrder(target.ID).Rule
		// A rule that was just set shows only in the next verdicts, within
		// livenessInterval.
		status.Ejected = slices.Contains(verdicts.Ejected, target.Token) || status.Rule == directory.RuleEjected
		status.Probation = slices.Contains(verdicts.Probation, target.Token)
		if target.ID == id || !status.isDefault() {
			targets = append(targets, status)
		}
	})
	slices.SortFunc(targets, func(a, b TargetStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.ID, b.ID))
	})
	return targets
}

// DryRunTarget computes the effect of ejecting a target from a member's response, with
// warnings for the operator. It returns false if the response does not list the target.
func DryRunTarget(response OperatorResponse, id string) (effect ShareChange, warnings []string, known bool) {
	position := slices.IndexFunc(response.Targets, func(target TargetStatus) bool { return target.ID == id })
	if position < 0 {
		return ShareChange{}, nil, false
	}
	chosen := response.Targets[position]
	var total, out uint32
	for _, status := range response.Zones {
		if status.Service == chosen.Service && !status.Evacuated {
			total += status.Slots
		}
	}
	for _, target := range response.Targets {
		if target.Service == chosen.Service && target.Ejected && target.ID != id {
			out += target.Slots
		}
	}
	before := max(total, out) - out
	after := max(before, chosen.Slots) - chosen.Slots
	effect = ShareChange{Service: chosen.Service, Zone: chosen.Zone, Before: fraction(before, total), After: fraction(after, total)}
	switch {
	case chosen.Ejected:
		warnings = append(warnings, fmt.Sprintf("target %s is already ejected", id))
	case after == 0:
		warnings = append(warnings, fmt.Sprintf("service %s has no other targets: new flows still go to ejected ones", chosen.Service))
	case float64(before)/float64(after) >= loadWarningFactor:
		warnings = append(warnings, fmt.Sprintf("service %s: load on the other targets rises by a factor of %.1f", chosen.Service, float64(before)/float64(after)))
	}
	return effect, warnings, true
}

// fraction returns slots as a fraction of total, or 0 if total is 0.
func fraction(slots, total uint32) float64 {
	if total == 0 {
		return 0
	}
	return float64(slots) / float64(total)
}
