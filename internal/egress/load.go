package egress

import (
	"math"
	"time"

	"github.com/beamdoor/beamdoor/internal/steer"
)

const (
	// fullRateFraction is the part of the stated rate from which on a link counts as no
	// narrower than the others, where nothing is known of these.
	fullRateFraction = 0.8
	// minRefusalWait is the wait up to which a node has room: a quarter of the 200 ms after
	// which callers send data again.
	minRefusalWait = 50 * time.Millisecond
	// fullRefusalRatio is how many times longer than elsewhere the wait must be for all that
	// may be refused to be refused; between one and that a part is.
	fullRefusalRatio = 3
	// refusalGain is the part of the way that the refused share follows in a second. Nodes
	// learn of each other some seconds late: followed at once, all would turn from taking
	// to refusing and back.
	refusalGain = 0.2
	// maxUtilization bounds the wait that a use stands for.
	maxUtilization = 0.98
)

// Action is what is done with a new flow.
type Action uint8

// What is done with a new flow.
const (
	// ActionAccept forwards its opening packet.
	ActionAccept Action = iota
	// ActionHold lets its opening packet wait until its data has room.
	ActionHold
	// ActionRefuse resets it: its caller comes back by another node.
	ActionRefuse
)

// DecisionReason tells why a new flow is not taken at once.
type DecisionReason uint8

// The reasons why a new flow is not taken at once.
const (
	// ReasonNone is a flow that is taken.
	ReasonNone DecisionReason = iota
	// ReasonNarrowLink is a link narrower than stated, where nothing is known of others.
	ReasonNarrowLink
	// ReasonCapacityElsewhere is a longer wait than other nodes of the zone have.
	ReasonCapacityElsewhere
	// ReasonPaced is an upload that begins once those before it have sent their data.
	ReasonPaced
	// ReasonLate is an upload whose data would wait for most of its objective.
	ReasonLate
	reasonCount
)

// DecisionReasons returns all reasons, for counters.
func DecisionReasons() []DecisionReason {
	list := make([]DecisionReason, 0, reasonCount)
	for reason := range reasonCount {
		list = append(list, reason)
	}
	return list
}

// String returns the reason as a word for logs and counters.
func (r DecisionReason) String() string {
	return [...]string{"taken", "narrow_link", "room_elsewhere", "paced", "late"}[r]
}

// Decision tells what is done with a new flow.
type Decision struct {
	Action Action
	Reason DecisionReason
	// MaxHold is how long an opening is held at most.
	MaxHold time.Duration
}

// LinkLoad is how a node's own link stands, and what is known of others.
type LinkLoad struct {
	// Rate and ConfiguredRate are the learned and the stated rate in bytes a second; 0 bounds
	// nothing.
	Rate, ConfiguredRate float64
	// QueuedBytes are the bytes that wait, and Held the openings of uploads that are held.
	QueuedBytes float64
	HeldUploads int
	// Utilization is the used share of the busier direction.
	Utilization float64
	// RefusalFraction is the share of new flows that are better off elsewhere (RefusedShare).
	RefusalFraction float64
	// PeersKnown is set while the waits at other nodes of the zone are known. Offered is the
	// wait at those that a refused caller may well find.
	PeersKnown bool
	RetryWait  time.Duration
}

// transmitTime returns the time in which the link carries so many bytes.
func (l LinkLoad) transmitTime(bytes float64) time.Duration {
	if l.Rate <= 0 {
		return 0
	}
	return time.Duration(bytes / l.Rate * float64(time.Second))
}

// ExpectedWait returns the wait that a window of data meets on average at the link's use, as in a
// queue with random arrivals.
func (l LinkLoad) ExpectedWait() time.Duration {
	use := min(l.Utilization, maxUtilization)
	return l.transmitTime(use / (1 - use) * windowBytes)
}

// excess tells why a flow whose data waits so long is better off elsewhere, or ReasonNone.
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

// RefusalFraction is the share of new flows that a node refuses for the wait at its use. The
// zero value refuses none.
type RefusalFraction struct{ fraction float64 }

// Value returns the share.
func (r *RefusalFraction) Value() float64 { return r.fraction }

// Update lets the share follow how the link stands for a time. Where the others are not
// known there is none.
func (r *RefusalFraction) Update(load LinkLoad, elapsed time.Duration) {
	if !load.PeersKnown {
		r.fraction = 0
		return
	}
	way := 1 - math.Pow(1-refusalGain, elapsed.Seconds())
	r.fraction += way * (load.refusalFractionAt(load.ExpectedWait()) - r.fraction)
}

// refusalFractionAt returns the share of flows that are better off elsewhere for a wait.
func (l LinkLoad) refusalFractionAt(wait time.Duration) float64 {
	ratio := float64(wait) / float64(max(l.RetryWait, minRefusalWait))
	return min(max((ratio-1)/(fullRefusalRatio-1), 0), 1)
}

// flowFraction returns a number from 0 to below 1 that a flow's ends decide, so that a copy of
// its opening packet meets the same decision.
func flowFraction(flow steer.FlowKey) float64 { return float64(flowHash(flow)>>11) / (1 << 53) }
