package wire

import (
	"encoding/binary"
	"io"

	"github.com/beamdoor/beamdoor/internal/steperror"
)

// FrameKind is the type of a frame on a TCP connection.
type FrameKind uint8

// The kinds of frames between control members, balancers, nodes and operators' tools.
const (
	// FrameRaft holds a message of the replicated log.
	FrameRaft FrameKind = iota + 1
	// FrameReports holds reports that a member forwards to the leader.
	FrameReports
	// FrameGrants holds grants that the leader sends through a member.
	FrameGrants
	// FrameSignals holds the signals of all targets of a cell.
	FrameSignals
	// FrameReport holds one report of a balancer.
	FrameReport
	// FrameGrant holds one grant for a balancer.
	FrameGrant
	// FrameConfig holds a CellConfig in protobuf.
	FrameConfig
	// FrameHello holds the Hello of one control member to another.
	FrameHello
	// FrameJoin requests membership in a group of registry members.
	FrameJoin
	// FrameJoinReply holds the ID assigned to a member and the members of the group.
	FrameJoinReply
	// FrameForward holds a command that a member forwards to the leader.
	FrameForward
	// FrameForwardReply holds the result of a forwarded command or read.
	FrameForwardReply
	// FrameReadIndex requests the read index from the leader.
	FrameReadIndex
	// FrameLiveness holds the targets that a member or the leader heard from.
	FrameLiveness
	// FrameSubscribe opens the stream of updates to a node.
	FrameSubscribe
	// FrameUpdate holds an update of the directory for a node.
	FrameUpdate
	// FrameEvidence holds what a node has observed about targets.
	FrameEvidence
	// FrameKeepalive tells a node that its member is running and whether it is current.
	FrameKeepalive
	// FrameRemembered holds the persisted state of a member that does not yet know what
	// is committed.
	FrameRemembered
	// FrameReferral refers a node that knows only seeds to other members.
	FrameReferral
	// FrameOrder holds an operator's order to a control member.
	FrameOrder
	// FrameOrderReply holds the reply to an order.
	FrameOrderReply
	// FrameAnnouncement announces, in a datagram to a node, that a member is current and
	// which members the group has.
	FrameAnnouncement
	// FrameEcho is an echo request and also the reply to it.
	FrameEcho
	// FrameRoom holds the load of nodes' links: the report of a node or a summary of a
	// member or the leader.
	FrameRoom
	// FrameSpeeds holds the speeds of targets: reports to the leader or its results.
	FrameSpeeds
	// FrameRoster tells another member at which addresses nodes receive announcements.
	FrameRoster
)

var frameNames = [...]string{
	FrameRaft: "raft", FrameReports: "reports", FrameGrants: "grants", FrameSignals: "signals", FrameReport: "report",
	FrameGrant: "grant", FrameConfig: "config", FrameHello: "hello", FrameJoin: "join", FrameJoinReply: "join_reply",
	FrameForward: "forward", FrameForwardReply: "forwarded", FrameReadIndex: "read_index", FrameLiveness: "liveness",
	FrameSubscribe: "subscribe", FrameUpdate: "update", FrameEvidence: "evidence", FrameKeepalive: "alive",
	FrameRemembered: "remembered", FrameReferral: "referral", FrameOrder: "order", FrameOrderReply: "order_reply", FrameAnnouncement: "announcement",
	FrameEcho: "echo", FrameRoom: "room", FrameSpeeds: "speeds", FrameRoster: "roster",
}

// String returns the name of the kind as used in metrics.
func (k FrameKind) String() string {
	if int(k) >= len(frameNames) || frameNames[k] == "" {
		return "unknown"
	}
	return frameNames[k]
}

// Frame is one message on a TCP connection.
type Frame struct {
	Kind    FrameKind
	Payload []byte
}

// frameHeaderSize is the size in bytes of the length (4 bytes) and the kind (1 byte). The
// length counts the kind and the payload.
const frameHeaderSize = 5

// FrameSize returns the encoded size of a frame in bytes.
func FrameSize(frame Frame) int { return frameHeaderSize + len(frame.Payload) }

// AppendFrame appends an encoded frame.
func AppendFrame(buffer []byte, frame Frame) []byte {
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(frame.Payload)+1))
	buffer = append(buffer, byte(frame.Kind))
	return append(buffer, frame.Payload...)
}

// ReadFrame reads the next frame of a connection.
func ReadFrame(reader io.Reader) (Frame, error) {
	const step = "wire.read_frame"
	var header [frameHeaderSize]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return Frame{}, steperror.Wrap(step, "", err)
	}
	length := binary.BigEndian.Uint32(header[:])
	if length == 0 || length > MaxBytes {
		return Frame{}, steperror.New(step, "", "frame length is out of range")
	}
	payload := make([]byte, length-1)
	if _, err := io.ReadFull(reader, payload); err != nil {
		return Frame{}, steperror.Wrap(step, "", err)
	}
	return Frame{Kind: FrameKind(header[frameHeaderSize-1]), Payload: payload}, nil
}

// Hello is a request from a control member that belongs to no group, and also the reply
// to it.
type Hello struct {
	// Identity is the random ID of the sender's data directory.
	Identity uint64
	// Empty is set if the data directory holds no group state.
	Empty bool
}

// HelloFrame returns a FrameHello.
func HelloFrame(hello Hello) Frame {
	var encoder Encoder
	encoder.Uint64(hello.Identity)
	encoder.Bool(hello.Empty)
	return Frame{Kind: FrameHello, Payload: encoder.Buffer}
}

// DecodeHello decodes the payload of a FrameHello.
func DecodeHello(payload []byte) (Hello, error) {
	decoder := NewDecoder(payload)
	hello := Hello{Identity: decoder.Uint64(), Empty: decoder.Bool()}
	return hello, decoder.Err("wire.decode_hello")
}

// ReportFrame returns a FrameReport.
func ReportFrame(report NodeReport) Frame {
	var encoder Encoder
	EncodeNodeReport(&encoder, report)
	return Frame{Kind: FrameReport, Payload: encoder.Buffer}
}

// GrantFrame returns a FrameGrant.
func GrantFrame(grant Grant) Frame {
	var encoder Encoder
	EncodeGrant(&encoder, grant)
	return Frame{Kind: FrameGrant, Payload: encoder.Buffer}
}

// SignalsFrame returns a FrameSignals.
func SignalsFrame(signals Signals) Frame {
	var encoder Encoder
	EncodeSignals(&encoder, signals)
	return Frame{Kind: FrameSignals, Payload: encoder.Buffer}
}

// ReportsFrame returns a FrameReports.
func ReportsFrame(reports []NodeReport) Frame {
	var encoder Encoder
	encoder.Uint32(uint32(len(reports)))
	for _, report := range reports {
		EncodeNodeReport(&encoder, report)
	}
	return Frame{Kind: FrameReports, Payload: encoder.Buffer}
}

// GrantsFrame returns a FrameGrants.
func GrantsFrame(grants []Grant) Frame {
	var encoder Encoder
	encoder.Uint32(uint32(len(grants)))
	for _, grant := range grants {
		EncodeGrant(&encoder, grant)
	}
	return Frame{Kind: FrameGrants, Payload: encoder.Buffer}
}

const (
	minReportSize = 39
	grantSize     = 40
)

// DecodeReports decodes the payload of a FrameReports.
func DecodeReports(payload []byte) ([]NodeReport, error) {
	decoder := NewDecoder(payload)
	var reports []NodeReport
	for count := decoder.Count(minReportSize); count > 0; count-- {
		reports = append(reports, DecodeNodeReport(decoder))
	}
	return reports, decoder.Err("wire.decode_reports")
}

// DecodeGrants decodes the payload of a FrameGrants.
func DecodeGrants(payload []byte) ([]Grant, error) {
	decoder := NewDecoder(payload)
	var grants []Grant
	for count := decoder.Count(grantSize); count > 0; count-- {
		grants = append(grants, DecodeGrant(decoder))
	}
	return grants, decoder.Err("wire.decode_grants")
}
