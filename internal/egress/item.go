package egress

import (
	"net/netip"
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/steer"
)

// ItemKind tells what a datagram is for.
type ItemKind uint8

// The kinds of datagrams.
const (
	// KindData carries data of a caller.
	KindData ItemKind = iota
	// KindOpening is the first packet of a flow, or a copy of it.
	KindOpening
	// KindAcknowledgement carries an acknowledgement and nothing else.
	KindAcknowledgement
	// KindClosing ends the caller's side without data. It stays behind the data of
	// its flow.
	KindClosing
	// KindAbort is the caller's reset: what waits of its flow is wanted no more.
	KindAbort
	// KindReset is the node's own reset to a caller.
	KindReset
)

// Item is a datagram that leaves the node.
type Item struct {
	Flow steer.FlowKey
	Kind ItemKind
	// Urgency is that of the flow's route; 0 is the most urgent one.
	Urgency uint8
	// Objective is the time from the beginning of a request within which its answer is
	// of full use to the caller; 0 states none.
	Objective time.Duration
	// Sequence is the position of the data in the caller's stream.
	Sequence uint32
	// Data is the number of bytes of data.
	Data int
	// Size is the number of bytes on the link, with all headers.
	Size    int
	Address netip.AddrPort
	// Payload is owned by the scheduler from Offer, when it is queued, until Next or
	// Dropped hands it back.
	Payload []byte
	// OfferedAt is when the item was offered.
	OfferedAt kernel.Instant
	// WaitedLong is set by Next on the first item of a flow, since the flow last rested,
	// that waited so long that its caller has sent its data again.
	WaitedLong bool
	// ExpiresAt is when the caller has surely given up; 0 tells nothing.
	ExpiresAt kernel.Instant
}

// covers reports whether the item holds all data of another one.
func (i *Item) covers(other *Item) bool {
	offset := int64(int32(other.Sequence - i.Sequence))
	return offset >= 0 && offset+int64(other.Data) <= int64(i.Data)
}

// Outcome tells what became of an offered item.
type Outcome uint8

// The outcomes of an offer.
const (
	// OutcomeSendNow is an item that the caller of Offer sends now: nothing waits and
	// the link takes it.
	OutcomeSendNow Outcome = iota
	// OutcomeQueued is an item that waits; Next returns it later.
	OutcomeQueued
	// OutcomeDuplicate is an item whose data waits already.
	OutcomeDuplicate
	// OutcomeFull is an item that found no room.
	OutcomeFull
)

// DropReason tells why something that waited was not sent.
type DropReason uint8

// The reasons why what waited is not sent.
const (
	// DropFull made room for what helps more.
	DropFull DropReason = iota
	// DropExpired belongs to a caller that has given up.
	DropExpired
	// DropTargetLost belongs to a flow whose target is lost or has ended.
	DropTargetLost
	// DropAborted belongs to a flow that its caller has broken off.
	DropAborted
	dropReasonCount
)

// DropReasons returns all reasons, for counters.
func DropReasons() []DropReason {
	list := make([]DropReason, 0, dropReasonCount)
	for reason := range dropReasonCount {
		list = append(list, reason)
	}
	return list
}

// String returns the reason as a word for logs and counters.
func (r DropReason) String() string { return [...]string{"full", "expired", "lost", "broken_off"}[r] }
