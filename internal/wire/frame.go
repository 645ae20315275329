package wire

import (
	"encoding/binary"
	"io"

	"github.com/beamdoor/beamdoor/internal/steperror"
)

// FrameKind tells what a frame on a TCP connection holds.
type FrameKind uint8

// The kinds of frames between control members, and between a control member
// and a balancer.
const (
	// FrameRaft holds a message of the replicated log.
	FrameRaft FrameKind = iota + 1
	// FrameReports holds reports that a member passes on to the leader.
	FrameReports
	// FrameGrants holds grants that the leader returns through a member.
	FrameGrants
	// FrameSignals holds the verdicts on the targets of a cell.
	FrameSignals
	// FrameReport holds one report of a balancer.
	FrameReport
	// FrameGrant holds one grant for a balancer.
	FrameGrant
	// FrameConfig holds a CellConfig in protobuf.
	FrameConfig
	// FrameHello holds the introduction of one control member to another.
	FrameHello
	// FrameJoin asks for membership in a group of registry members.
	FrameJoin
	// FrameJoinReply tells a member its number and the group's members.
	FrameJoinReply
	// FrameForward holds a command that a member passes on to the leader.
	FrameForward
	// FrameForwardReply holds the outcome of a forwarded command or read.
	FrameForwardReply
	// FrameReadIndex asks the leader for the position that a read must see.
	FrameReadIndex
	// FrameLiveness holds the targets that a member or the leader heard from.
	FrameLiveness
	// FrameSubscribe opens the stream of updates to a node.
	FrameSubscribe
	// FrameUpdate holds an update of the directory for a node.
	FrameUpdate
	// FrameEvidence holds what a node has seen of targets.
	FrameEvidence
	// FrameKeepalive tells a node that its member is up and whether it is current.
	FrameKeepalive
	// FrameRemembered holds the targets that a member's disk knows of before
	// the member has learned what is committed.
	FrameRemembered
	// FrameReferral sends a node that knows only seeds on to other members.
	FrameReferral
	// FrameOrder holds an operator's order to a control member.
	FrameOrder
	// FrameOrderReply holds the answer to an order.
	FrameOrderReply
	// FrameAnnouncement tells a node, in a datagram, that a member is current and which
	// members there are.
	FrameAnnouncement
	// FrameEcho asks a member for the same frame, and is its answer.
	FrameEcho
	// FrameRoom tells how the links of nodes are used: a node's own word, a member's sum,
	// or the leader's for all.
	FrameRoom
	// FrameSpeeds tells how long targets take, on the same way.
	FrameSpeeds
	// FrameRoster tells another member where nodes take announcements.
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

// String returns the name of the kind, as metrics give it.
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

// frameHeader is the length of kind and payload (4 bytes) and the kind (1 byte).
const frameHeader = 5

// FrameSize returns the number of bytes of a frame on the connection.
func FrameSize(frame Frame) int { return frameHeader + len(frame.Payload) }

// AppendFrame appends the bytes of a frame.
func AppendFrame(buffer []byte, frame Frame) []byte {
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(frame.Payload)+1))
	buffer = append(buffer, byte(frame.Kind))
	return append(buffer, frame.Payload...)
}

// ReadFrame reads the next frame of a connection.
func ReadFrame(reader io.Reader) (Frame, error) {
	const step = "wire.read_frame"
	var header [frameHeader]byte
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
	return Frame{Kind: FrameKind(header[frameHeader-1]), Payload: payload}, nil
}

// Hello introduces a control member that belongs to no group yet, or answers
// one.
type Hello struct {
	// Identity is the random number of the sender's data folder.
	Identity uint64
	// Empty says that the data folder holds no state of a group.
	Empty bool
}

// HelloFrame returns the frame of an introduction.
func HelloFrame(hello Hello) Frame {
	var encoder Encoder
	encoder.Uint64(hello.Identity)
	encoder.Bool(hello.Empty)
	return Frame{Kind: FrameHello, Payload: encoder.Buffer}
}

// DecodeHello reads an introduction.
func DecodeHello(payload []byte) (Hello, error) {
	decoder := NewDecoder(payload)
	hello := Hello{Identity: decoder.Uint64(), Empty: decoder.Bool()}
	return hello, decoder.Err("wire.decode_hello")
}

// ReportFrame returns the frame of one report.
func ReportFrame(report NodeReport) Frame {
	var encoder Encoder
	EncodeNodeReport(&encoder, report)
	return Frame{Kind: FrameReport, Payload: encoder.Buffer}
}

// GrantFrame returns the frame of one grant.
func GrantFrame(grant Grant) Frame {
	var encoder Encoder
	EncodeGrant(&encoder, grant)
	return Frame{Kind: FrameGrant, Payload: encoder.Buffer}
}

// SignalsFrame returns the frame of the signals of a cell.
func SignalsFrame(signals Signals) Frame {
	var encoder Encoder
	EncodeSignals(&encoder, signals)
	return Frame{Kind: FrameSignals, Payload: encoder.Buffer}
}

// ReportsFrame returns the frame of many reports.
func ReportsFrame(reports []NodeReport) Frame {
	var encoder Encoder
	encoder.Uint32(uint32(len(reports)))
	for _, report := range reports {
		EncodeNodeReport(&encoder, report)
	}
	return Frame{Kind: FrameReports, Payload: encoder.Buffer}
}

// GrantsFrame returns the frame of many grants.
func GrantsFrame(grants []Grant) Frame {
	var encoder Encoder
	encoder.Uint32(uint32(len(grants)))
	for _, grant := range grants {
		EncodeGrant(&encoder, grant)
	}
	return Frame{Kind: FrameGrants, Payload: encoder.Buffer}
}

const (
	smallestReport = 39
	grantSize      = 40
)

// DecodeReports reads the payload of a FrameReports.
func DecodeReports(payload []byte) ([]NodeReport, error) {
	decoder := NewDecoder(payload)
	var reports []NodeReport
	for count := decoder.Count(smallestReport); count > 0; count-- {
		reports = append(reports, DecodeNodeReport(decoder))
	}
	return reports, decoder.Err("wire.decode_reports")
}

// DecodeGrants reads the payload of a FrameGrants.
func DecodeGrants(payload []byte) ([]Grant, error) {
	decoder := NewDecoder(payload)
	var grants []Grant
	for count := decoder.Count(grantSize); count > 0; count-- {
		grants = append(grants, DecodeGrant(decoder))
	}
	return grants, decoder.Err("wire.decode_grants")
}
