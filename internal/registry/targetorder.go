package registry

import (
	"cmp"
	"context"
	"fmt"
	"slices"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/steperror"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// TargetStatus is one target, as an operator sees it.
type TargetStatus struct {
	ID, Service, Zone string
	Slots             uint32
	// Rule is what was ordered about it.
	Rule directory.TargetRule
	// Ejected is set while it gets no new flows, and Probation while it gets a few.
	Ejected, Probation bool
}

// isPlain reports whether there is nothing to say of the target.
func (t TargetStatus) isPlain() bool {
	return t.Rule == directory.RuleJudged && !t.Ejected && !t.Probation
}

// smallestTargetShare is the encoded size in bytes of a target without names.
const smallestTargetShare = 19

func encodeTargetShares(encoder *wire.Encoder, targets []TargetStatus) {
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

func decodeTargetShares(decoder *wire.Decoder) []TargetStatus {
	var targets []TargetStatus
	for count := decoder.Count(smallestTargetShare); count > 0; count-- {
		targets = append(targets, TargetStatus{
			ID: decoder.String(), Service: decoder.String(), Zone: decoder.String(), Slots: decoder.Uint32(),
			Rule: directory.TargetRule(decoder.Uint8()), Ejected: decoder.Bool(), Probation: decoder.Bool(),
		})
	}
	return targets
}

// SetTargetRule says whether a target is judged, ejected or exempt. It returns once a
// quorum has the order on disk. An order that has been overtaken by another one since
// it came fails; what holds may be another one then.
func (p *Process) SetTargetRule(ctx context.Context, id string, rule directory.TargetRule) error {
	result, err := p.call(ctx, func(core *Core, now kernel.Instant) (Ticket, Output) {
		order := directory.TargetOrder{ID: id, Rule: rule, Revision: core.State().TargetOrder(id).Revision}
		return core.Submit(now, directory.Command{Kind: directory.CommandOrderTarget, TargetOrder: order})
	})
	switch {
	case err != nil:
	case result.Code == directory.CodeNotFound:
		problem := &directory.Problem{Field: "target", Reason: fmt.Sprintf("%q is not known or has ended", id)}
		p.logger.Event(eventlog.TargetOrderRefused, "target", id, "rule", rule, "reason", problem)
		return problem
	case result.Code != directory.CodeDone:
		err = steperror.New("registry.order_target", p.settings.Name, "another order about the target came first")
	}
	if err != nil {
		p.logger.Event(eventlog.TargetOrderUnanswered, "target", id, "rule", rule, "err", err)
		return err
	}
	p.logger.Event(eventlog.TargetOrderAccepted, "target", id, "rule", rule, "revision", result.Revision)
	return nil
}

// targetShares returns the targets of which there is something to say, and the one with
// an ID.
func (c *Core) targetShares(id string) []TargetStatus {
	verdicts := c.liveness.verdicts.Verdicts
	var targets []TargetStatus
	c.state.EachTarget(func(target *directory.Target) {
		if target.State != directory.TargetReady {
			return
		}
		share := TargetStatus{ID: target.ID, Service: target.Service, Zone: target.Zone, Slots: target.Slots}
		share.Rule = c.state.TargetOrder(target.ID).Rule
		// The next verdicts, within livenessInterval, say what was just ordered.
		share.Ejected = slices.Contains(verdicts.Ejected, target.Token) || share.Rule == directory.RuleEjected
		share.Probation = slices.Contains(verdicts.Probation, target.Token)
		if target.ID == id || !share.isPlain() {
			targets = append(targets, share)
		}
	})
	slices.SortFunc(targets, func(a, b TargetStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.ID, b.ID))
	})
	return targets
}

// DryRunTarget works out what the ejection of a target would do, by what a member told,
// and what to beware of. It is false when the target is not among those that take new
// flows.
func DryRunTarget(reply OperatorResponse, id string) (effect ShareChange, warnings []string, known bool) {
	position := slices.IndexFunc(reply.Targets, func(target TargetStatus) bool { return target.ID == id })
	if position < 0 {
		return ShareChange{}, nil, false
	}
	chosen := reply.Targets[position]
	var total, out uint32
	for _, share := range reply.Zones {
		if share.Service == chosen.Service && !share.Evacuated {
			total += share.Slots
		}
	}
	for _, target := range reply.Targets {
		if target.Service == chosen.Service && target.Ejected && target.ID != id {
			out += target.Slots
		}
	}
	before := max(total, out) - out
	after := max(before, chosen.Slots) - chosen.Slots
	effect = ShareChange{Service: chosen.Service, Zone: chosen.Zone, Before: part(before, total), After: part(after, total)}
	switch {
	case chosen.Ejected:
		warnings = append(warnings, fmt.Sprintf("target %s is ejected already", id))
	case after == 0:
		warnings = append(warnings, fmt.Sprintf("service %s has no other targets: its callers are sent to ejected ones", chosen.Service))
	case float64(before)/float64(after) >= heavyLoad:
		warnings = append(warnings, fmt.Sprintf("service %s: the others bear %.1f times as much", chosen.Service, float64(before)/float64(after)))
	}
	return effect, warnings, true
}

// part returns the part that some slots are of all.
func part(slots, total uint32) float64 {
	if total == 0 {
		return 0
	}
	return float64(slots) / float64(total)
}
