package routing

import (
	"net/netip"
	"reflect"
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

// Explanation says why a flow goes where it goes.
type Explanation struct {
	// Known says that this balancer holds the flow.
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

// Explain looks a flow up. The second result is false when the service is not
// in force here.
func (r *Router) Explain(now kernel.Instant, serviceName string, caller netip.AddrPort) (Explanation, bool) {
	owner := r.table.byName[serviceName]
	if owner == nil {
		return Explanation{}, false
	}
	fingerprint := Flow{Caller: caller, ServiceID: owner.id}.Fingerprint()
	explanation := Explanation{
		Partition: PartitionOf(fingerprint),
		Revision:  r.table.revision,
		Policy:    owner.policy,
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

func (r *Router) explainRecord(now kernel.Instant, record flowRecord, explanation *Explanation) {
	explanation.Known = true
	explanation.IdleTime = time.Duration(lastSeenAt(now)-record.lastSeen) * lastSeenUnit
	to := r.table.targets[record.targetID]
	if to == nil {
		explanation.Reason = "the flow's target is no longer known"
		return
	}
	explanation.Target = to.name
	explanation.Weight = to.weight
	switch {
	case !to.usable():
		explanation.Reason = "the flow's target is dead; the next packet is placed anew"
	case to.draining || to.removed:
		explanation.Reason = "the flow was open before its target began to drain, and stays until it ends"
	case to.service.balance:
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

// ByName returns the counters by the names of their fields.
func (c Counters) ByName() map[string]uint64 {
	counts := map[string]uint64{}
	value := reflect.ValueOf(c)
	for i := range value.NumField() {
		counts[value.Type().Field(i).Name] = value.Field(i).Uint()
	}
	return counts
}
