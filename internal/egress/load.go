package egress

import (
	"math"
	"time"

	"github.com/beamdoor/beamdoor/internal/steer"
)

const (
	// fullRateFraction is the fraction of the configured rate below which the estimated
	// rate counts as reduced.
	fullRateFraction = 0.8
	// minRefusalWait is the wait up to which a node refuses no flows for the capacity of
	// other nodes: a quarter of the callers' retransmission timeout of 200 ms.
	minRefusalWait = 50 * time.Millisecond
	// fullRefusalRatio is the ratio of the node's wait to that at other nodes from which
	// on the refusal fraction is 1. It is 0 up to a ratio of 1 and linear in between.
	fullRefusalRatio = 3
	// refusalGain is the part of the difference to its target value by which the
	// refusal fraction changes in a second. Load reports arrive seconds late, so the
	// load would oscillate if nodes reacted at once.
	refusalGain = 0.2
	// maxUtilization caps the utilization in ExpectedWait, which would otherwise
	// diverge.
	maxUtilization = 0.98
)

// Action is what is done with a new flow.
type Action uint8

// Actions for a new flow.
const (
	// ActionAccept forwards the opening packet.
	ActionAccept Action = iota
	// ActionHold delays the opening packet until the link has capacity for its data.
	ActionHold
	// ActionRefuse resets the flow, so that the caller retries through another node.
	ActionRefuse
)

// DecisionReason is the reason why a new flow is not accepted at once.
type DecisionReason uint8

// Reasons for holding or refusing a new flow.
const (
	// ReasonNone means that the flow is accepted.
	ReasonNone DecisionReason = iota
	// ReasonNarrowLink means that the link is slower than configured, while the load of
	// other nodes is unknown.
	ReasonNarrowLink
	// ReasonCapacityElsewhere means that the wait is longer than at other nodes of the
	// zone.
	ReasonCapacityElsewhere
	// ReasonPaced means that the upload is held while those before it send their data.
	ReasonPaced
	// ReasonLate means that the upload's data would wait for most of its objective.
	ReasonLate
	reasonCount
)

// DecisionReasons returns all reasons, for the metrics.
func DecisionReasons() []DecisionReason {
	list := make([]DecisionReason, 0, reasonCount)
	for reason := range reasonCount {
		list = append(list, reason)
	}
	return list
}

// String returns the reason as it appears in logs and metrics.
func (r DecisionReason) String() string {
	return [...]string{"taken", "narrow_link", "room_elsewhere", "paced", "late"}[r]
}

// Decision is the decision on a new flow.
type Decision struct {
	Action Action
	Reason DecisionReason
	// MaxHold is the longest time for which the opening is held.
	MaxHold time.Duration
}

// LinkLoad is the load of the node's own link and what is known of other nodes.
type LinkLoad struct {
	// Rate and ConfiguredRate are the estimated and the configured rate in bytes per
	// second; 0 means unlimited.
	Rate, ConfiguredRate float64
	// QueuedBytes is the size of the queue, and HeldUploads the number of uploads whose
	// opening is held.
	QueuedBytes float64
	HeldUploads int
	// Utilization is that of the busier direction.
	Utilization float64
	// RefusalFraction is the smoothed fraction of new flows to refuse, as computed by
	// the RefusalFraction type.
	RefusalFraction float64
	// PeersKnown is set while the waits at other nodes of the zone are known. RetryWait
	// is the wait that a refused caller can expect to find on a retry.
	PeersKnown bool
	RetryWait  time.Duration
}

// transmitTime returns the time in which the link carries the number of bytes.
func (l LinkLoad) transmitTime(bytes float64) time.Duration {
	if l.Rate <= 0 {
		return 0
	}
	return time.Duration(bytes / l.Rate * float64(time.Second))
}

// ExpectedWait returns the mean queueing time at the link's utilization, by the formula
// of an M/M/1 queue whose service time is that of a window of data.
func (l LinkLoad) ExpectedWait() time.Duration {
	use := min(l.Utilization, maxUtilization)
	return l.transmitTime(use / (1 - use) * windowBytes)
}

// refusalReason returns why a flow whose data would wait for the given time should be
// refused, or ReasonNone.
func (l LinkLoad) refusalReason(flow steer.FlowKey, wait time.Duration) DecisionReason {
	if !l.PeersKnown {
		if l.Rate < fullRateFraction*l.ConfiguredRate && wait > pacingWait {
			return ReasonNarrowLink
		}
		return ReasonNone
	}
	if flowFraction(flow) < max(l.RefusalFraction, l.refusalFractionAt(wait)) {
		return ReasonCapacityElsewhere
	}
	return ReasonNone
}

// RefusalFraction is the smoothed fraction of new flows that a node refuses. The zero
// value refuses none.
type RefusalFraction struct{ fraction float64 }

// Value returns the fraction.
func (r *RefusalFraction) Value() float64 { return r.fraction }

// Update moves the fraction towards the value for the current load. While the load of
// other nodes is unknown, it sets the fraction to 0.
func (r *RefusalFraction) Update(load LinkLoad, elapsed time.Duration) {
	if !load.PeersKnown {
		r.fraction = 0
		return
	}
	weight := 1 - math.Pow(1-refusalGain, elapsed.Seconds())
	r.fraction += weight * (load.refusalFractionAt(load.ExpectedWait()) - r.fraction)
}

// refusalFractionAt returns the fraction of flows to refuse at the given wait.
func (l LinkLoad) refusalFractionAt(wait time.Duration) float64 {
	ratio := float64(wait) / float64(max(l.RetryWait, minRefusalWait))
	return min(max((ratio-1)/(fullRefusalRatio-1), 0), 1)
}

// flowFraction hashes the flow to a number in [0, 1), so that a duplicate of its
// opening packet gets the same decision.
func flowFraction(flow steer.FlowKey) float64 { return float64(flowHash(flow)>>11) / (1 << 53) }
