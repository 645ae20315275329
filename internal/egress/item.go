package egress

import (
	"net/netip"
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/steer"
)

// ItemKind is the purpose of a datagram.
type ItemKind uint8

// Kinds of datagrams.
const (
	// KindData carries data from a caller.
	KindData ItemKind = iota
	// KindOpening is the first packet of a flow, or a duplicate of it.
	KindOpening
	// KindAcknowledgement carries only an acknowledgement.
	KindAcknowledgement
	// KindClosing closes the caller's side and carries no data. It is sent after the
	// flow's queued data.
	KindClosing
	// KindAbort is a reset from the caller. The flow's queued data is dropped.
	KindAbort
	// KindReset is a reset that the node sends to a caller.
	KindReset
)

// Item is an outgoing datagram.
type Item struct {
	Flow steer.FlowKey
	Kind ItemKind
	// Urgency is that of the flow's route; 0 is the most urgent.
	Urgency uint8
	// Objective is the time from the start of a request within which it should
	// complete; 0 means none.
	Objective time.Duration
	// Sequence is the offset of the data in the caller's stream.
	Sequence uint32
	// Data is the number of payload bytes.
	Data int
	// Size is the number of bytes on the link, including all headers.
	Size    int
	Address netip.AddrPort
	// Payload is owned by the scheduler from the time Offer queues it until Next or
	// OnDrop hands it back.
	Payload []byte
	// OfferedAt is when the item was offered.
	OfferedAt kernel.Instant
	// WaitedLong is set by Next on the first item of a request that was queued for at
	// least the callers' initial retransmission timeout.
	WaitedLong bool
	// ExpiresAt is the time from which the caller no longer waits for the item, which is
	// then dropped; 0 means never.
	ExpiresAt kernel.Instant
}

// covers reports whether the item contains all data of another.
func (i *Item) covers(other *Item) bool {
	offset := int64(int32(other.Sequence - i.Sequence))
	return offset >= 0 && offset+int64(other.Data) <= int64(i.Data)
}

// Outcome is the result of offering an item.
type Outcome uint8

// Outcomes of an offer.
const (
	// OutcomeSendNow means that the caller of Offer sends the item now: the queue is
	// empty and the link has capacity.
	OutcomeSendNow Outcome = iota
	// OutcomeQueued means that the item was queued; Next returns it later.
	OutcomeQueued
	// OutcomeDuplicate means that the opening, or all data of the item, is queued
	// already.
	OutcomeDuplicate
	// OutcomeFull means that the queue has no room for the item.
	OutcomeFull
)

// DropReason is the reason why a queued item was dropped.
type DropReason uint8

// Reasons for dropping a queued item.
const (
	// DropFull is for items that make room for one that ranks before them.
	DropFull DropReason = iota
	// DropExpired is for items whose caller has given up.
	DropExpired
	// DropTargetLost is for flows whose target was lost or has ended.
	DropTargetLost
	// DropAborted is for flows that the caller has reset.
	DropAborted
	dropReasonCount
)

// DropReasons returns all reasons, for the metrics.
func DropReasons() []DropReason {
	list := make([]DropReason, 0, dropReasonCount)
	for reason := range dropReasonCount {
		list = append(list, reason)
	}
	return list
}

// String returns the reason as it appears in logs and metrics.
func (r DropReason) String() string { return [...]string{"full", "expired", "lost", "broken_off"}[r] }
