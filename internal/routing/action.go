package routing

import (
	"net/netip"

	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// ActionKind identifies the operation that an Action requests.
type ActionKind uint8

// The operations that the router requests from its process.
const (
	// ActionToTarget sends Payload to the target at Address, prefixed with a
	// header that holds Caller, Service and Tag.
	ActionToTarget ActionKind = iota + 1
	// ActionToCaller sends Payload to Caller with Service as source address.
	ActionToCaller
	// ActionToPeer sends Packet to the balancer at Address.
	ActionToPeer
	// ActionToControl sends Report to the control plane.
	ActionToControl
	// ActionLog writes Event with Fields to the event log.
	ActionLog
)

// Action is an operation that the process carries out for the router. Its byte
// slices are valid until the next call of a Router method that returns actions.
type Action struct {
	Kind    ActionKind
	Address netip.AddrPort
	Caller  netip.AddrPort
	Service netip.AddrPort
	Tag     wire.ForwardTag
	Payload []byte
	Packet  wire.PeerPacket
	Report  wire.NodeReport
	Event   eventlog.ID
	Fields  []any
}

// Counters holds counts of packets and decisions since the router started. The
// field names are label values of a metric.
type Counters struct {
	CallerPackets    uint64
	TargetPackets    uint64
	PeerPackets      uint64
	ForwardedDirect  uint64
	RelayedToPrimary uint64
	RelayedToBackup  uint64
	Consulted        uint64
	UnknownService   uint64
	Malformed        uint64
	StaleAnswers     uint64
	PacketsTooOld    uint64
	PeersSuspected   uint64
	HeldForView      uint64
	LedgerFull       uint64
	ServedByBackup   uint64
	OldViewRefused   uint64
	WithoutLease     uint64
	Unroutable       uint64
	FlowsPlaced      uint64
	FlowsBroken      uint64
	RefusedNotRun    uint64
	UnknownOutcome   uint64
	Retried          uint64
	RetriesDenied    uint64
	Retransmissions  uint64
	AnswersKept      uint64
	HistoryUnknown   uint64
	HandoverRecords  uint64
	// ControlBytes counts the encoded bytes of all messages that carry no caller's
	// packet: reports, handovers, probes and view notices.
	ControlBytes uint64
}
