package routing

import (
	"net/netip"
	"reflect"
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

// Explanation describes the target of a flow and why it was chosen.
type Explanation struct {
	// Known reports whether this balancer holds a record of the flow.
	Known     bool
	Target    string
	Partition int
	Primary   string
	Backup    string
	View      uint64
	Revision  uint64
	Reason    string
	Policy    string
	Weight    uint8
	DecidedBy string
	IdleTime  time.Duration
}

// Explain returns the explanation of a caller's flow with a service. The second
// result is false when the service is not in the current configuration.
func (r *Router) Explain(now kernel.Instant, serviceName string, caller netip.AddrPort) (Explanation, bool) {
	svc := r.table.byName[serviceName]
	if svc == nil {
		return Explanation{}, false
	}
	fingerprint := Flow{Caller: caller, ServiceID: svc.id}.Fingerprint()
	explanation := Explanation{
		Partition: PartitionOf(fingerprint),
		Revision:  r.table.revision,
		Policy:    svc.policy,
		View:      r.ViewNumber(),
	}
	if r.table.view != nil {
		owners := r.table.view.pairs[explanation.Partition]
		explanation.Primary = r.memberName(owners.primary)
		explanation.Backup = r.memberName(owners.backup)
		explanation.DecidedBy = explanation.Primary
	}
	record, known := r.flows.get(fingerprint)
	if !known {
		explanation.Reason = "no flow is open; a new one would be placed by the primary"
		return explanation, true
	}
	r.explainRecord(now, record, &explanation)
	return explanation, true
}

// explainRecord fills in the fields that depend on the flow's record.
func (r *Router) explainRecord(now kernel.Instant, record flowRecord, explanation *Explanation) {
	explanation.Known = true
	explanation.IdleTime = time.Duration(flowTimestamp(now)-record.lastSeen) * timestampUnit
	dest := r.table.targets[record.targetID]
	if dest == nil {
		explanation.Reason = "the flow's target is no longer known"
		return
	}
	explanation.Target = dest.name
	explanation.Weight = dest.weight
	switch {
	case !dest.usable():
		explanation.Reason = "the flow's target is dead; the next packet is placed anew"
	case dest.draining || dest.removed:
		explanation.Reason = "the flow was open before its target began to drain, and stays until it ends"
	case dest.service.balance:
		explanation.Reason = "placed on the least loaded of all targets by weight"
	default:
		explanation.Reason = "placed on the less loaded of two targets drawn by weight"
	}
}

func (r *Router) memberName(id uint32) string {
	if peer := r.table.view.member(id); peer != nil {
		return peer.name
	}
	return ""
}

// ByName returns the counters keyed by field name.
func (c Counters) ByName() map[string]uint64 {
	counts := map[string]uint64{}
	value := reflect.ValueOf(c)
	for i := range value.NumField() {
		counts[value.Type().Field(i).Name] = value.Field(i).Uint()
	}
	return counts
}
