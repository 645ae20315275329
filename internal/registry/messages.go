package registry

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/outlier"
	"github.com/beamdoor/beamdoor/internal/strength"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// joinRequest asks for membership in the group.
type joinRequest struct {
	Address  string
	Zone     string
	Identity uint64
	// CanBootstrap is set while the sender waits for the group to be bootstrapped.
	CanBootstrap bool
	// KnownID is the sender's current member ID; 0 if it has none.
	KnownID uint32
}

func (j joinRequest) frame() wire.Frame {
	var encoder wire.Encoder
	encoder.String(j.Address)
	encoder.String(j.Zone)
	encoder.Uint64(j.Identity)
	encoder.Bool(j.CanBootstrap)
	encoder.Uint32(j.KnownID)
	return wire.Frame{Kind: wire.FrameJoin, Payload: encoder.Buffer}
}

func decodeJoinRequest(payload []byte) (joinRequest, error) {
	decoder := wire.NewDecoder(payload)
	request := joinRequest{
		Address:      decoder.String(),
		Zone:         decoder.String(),
		Identity:     decoder.Uint64(),
		CanBootstrap: decoder.Bool(),
		KnownID:      decoder.Uint32(),
	}
	return request, decoder.Err("registry.decode_join")
}

// joinReply returns the receiver's member ID. ID 0 means that the group has removed this
// identity and that the data folder must be emptied.
type joinReply struct {
	Identity uint64
	MemberID uint32
	Members  []directory.Member
}

func (j joinReply) frame() wire.Frame {
	var encoder wire.Encoder
	encoder.Uint64(j.Identity)
	encoder.Uint32(j.MemberID)
	directory.EncodeMembers(&encoder, j.Members)
	return wire.Frame{Kind: wire.FrameJoinReply, Payload: encoder.Buffer}
}

func decodeJoinReply(payload []byte) (joinReply, error) {
	decoder := wire.NewDecoder(payload)
	reply := joinReply{Identity: decoder.Uint64(), MemberID: decoder.Uint32()}
	reply.Members = directory.DecodeMembers(decoder)
	return reply, decoder.Err("registry.decode_join_reply")
}

// forward carries a command, or a read if the command is empty, to the leader.
type forward struct {
	Origin  string
	Ticket  Ticket
	Command []byte
}

func (f forward) frame() wire.Frame {
	kind := wire.FrameForward
	if len(f.Command) == 0 {
		kind = wire.FrameReadIndex
	}
	var encoder wire.Encoder
	encoder.String(f.Origin)
	encoder.Uint64(uint64(f.Ticket))
	encoder.Bytes(f.Command)
	return wire.Frame{Kind: kind, Payload: encoder.Buffer}
}

func decodeForward(payload []byte) (forward, error) {
	decoder := wire.NewDecoder(payload)
	request := forward{Origin: decoder.String(), Ticket: Ticket(decoder.Uint64()), Command: decoder.Bytes()}
	return request, decoder.Err("registry.decode_forward")
}

// forwardReply returns the result of a forward to its origin.
type forwardReply struct {
	Ticket Ticket
	Result directory.Result
}

func (f forwardReply) frame() wire.Frame {
	var encoder wire.Encoder
	encoder.Uint64(uint64(f.Ticket))
	encoder.Uint8(uint8(f.Result.Code))
	encoder.Uint64(f.Result.Revision)
	return wire.Frame{Kind: wire.FrameForwardReply, Payload: encoder.Buffer}
}

func decodeForwardReply(payload []byte) (forwardReply, error) {
	decoder := wire.NewDecoder(payload)
	reply := forwardReply{Ticket: Ticket(decoder.Uint64())}
	reply.Result = directory.Result{Code: directory.Code(decoder.Uint8()), Revision: decoder.Uint64()}
	return reply, decoder.Err("registry.decode_forwarded")
}

// Subscribe opens a node's stream of updates.
type Subscribe struct {
	Node string
	Zone string
	// Revision is the revision of the node's state; 0 requests the whole state.
	Revision uint64
	// Waited is how long the node has been without state.
	Waited time.Duration
	// HeartbeatAddress is where the node accepts heartbeats of targets, or "".
	HeartbeatAddress string
	// Referable is set while the node knows only the seeds, so that it may be referred to
	// another member.
	Referable bool
	// AnnouncementAddress is where the node accepts announcements, or "".
	AnnouncementAddress string
	// CachesVerdicts is set by nodes that keep the last verdicts until others are sent.
	CachesVerdicts bool
	// Strength is the stated capacity of the node's machine. If it changes, the node sends
	// the whole message again over the open connection.
	Strength strength.Resources
}

// Frame encodes the subscription.
func (s Subscribe) Frame() wire.Frame {
	var encoder wire.Encoder
	encoder.String(s.Node)
	encoder.String(s.Zone)
	encoder.Uint64(s.Revision)
	encoder.Uint64(uint64(s.Waited))
	encoder.String(s.HeartbeatAddress)
	encoder.Bool(s.Referable)
	encoder.String(s.AnnouncementAddress)
	encoder.Bool(s.CachesVerdicts)
	s.Strength.Encode(&encoder)
	return wire.Frame{Kind: wire.FrameSubscribe, Payload: encoder.Buffer}
}

// DecodeSubscribe decodes the payload of a subscription frame.
func DecodeSubscribe(payload []byte) (Subscribe, error) {
	decoder := wire.NewDecoder(payload)
	subscribe := Subscribe{Node: decoder.String(), Zone: decoder.String(), Revision: decoder.Uint64()}
	subscribe.Waited = time.Duration(decoder.Uint64())
	subscribe.HeartbeatAddress = decoder.String()
	subscribe.Referable = decoder.Bool()
	subscribe.AnnouncementAddress = decoder.String()
	// Older nodes, which receive the verdicts in each keepalive, omit the rest.
	if decoder.HasMore() {
		subscribe.CachesVerdicts = decoder.Bool()
	}
	// Older nodes, which state no strength, omit the rest.
	if decoder.HasMore() {
		subscribe.Strength = strength.Decode(decoder)
	}
	return subscribe, decoder.Err("registry.decode_subscribe")
}

// Keepalive tells a node that its member is running.
type Keepalive struct {
	// Current is set while the member's state is up to date.
	Current bool
	// Empty is set while the member has no ID in the group and therefore no state.
	Empty bool
	// Leaderless is how long the member has had no leader; 0 while it is current. It is
	// encoded in whole milliseconds.
	Leaderless time.Duration
	// Unchanged is set if the verdicts equal those sent last over this connection, in which
	// case they are omitted.
	Unchanged bool
	// Verdicts are the group's verdicts as known to this member.
	Verdicts directory.Verdicts
}

// Frame encodes the keepalive.
func (k Keepalive) Frame() wire.Frame {
	var encoder wire.Encoder
	encoder.Bool(k.Current)
	encoder.Bool(k.Empty)
	encoder.Uint32(uint32(k.Leaderless.Milliseconds()))
	k.Verdicts.Encode(&encoder)
	encoder.Bool(k.Unchanged)
	return wire.Frame{Kind: wire.FrameKeepalive, Payload: encoder.Buffer}
}

// DecodeKeepalive decodes the payload of a keepalive frame.
func DecodeKeepalive(payload []byte) (Keepalive, error) {
	decoder := wire.NewDecoder(payload)
	keepalive := Keepalive{Current: decoder.Bool(), Empty: decoder.Bool()}
	keepalive.Leaderless = time.Duration(decoder.Uint32()) * time.Millisecond
	keepalive.Verdicts = directory.DecodeVerdicts(decoder)
	if decoder.HasMore() {
		keepalive.Unchanged = decoder.Bool()
	}
	return keepalive, decoder.Err("registry.decode_alive")
}

// SilentTarget reports a target that left packets of some flows unanswered or, in
// Evidence.Refused, refused opening packets. Without any weight, members are only asked
// whether the target answers.
type SilentTarget struct {
	Token directory.Token
	// Weight increases with the number of waiting flows and their waiting time.
	Weight uint32
	// Nodes is the number of nodes that reported the target with a weight.
	Nodes uint32
	// UnreliableWeight is the weight of evidence that may be due to a fault of the reporting
	// node or its link, and Reporters the number of nodes that reported any weight.
	UnreliableWeight uint32
	Reporters        uint32
}

// FromSingleNode returns the report with the counts of a single reporting node.
func (s SilentTarget) FromSingleNode() SilentTarget {
	s.Reporters = 0
	s.Nodes = 0
	if s.Weight+s.UnreliableWeight > 0 {
		s.Reporters = 1
	}
	if s.Weight > 0 {
		s.Nodes = 1
	}
	return s
}

// add sums two reports about the same target.
func (s SilentTarget) add(other SilentTarget) SilentTarget {
	s.Token = other.Token
	s.Weight += other.Weight
	s.Nodes += other.Nodes
	s.UnreliableWeight += other.UnreliableWeight
	s.Reporters += other.Reporters
	return s
}

// silentTargetSize is the encoded size of a SilentTarget in bytes.
const silentTargetSize = 20

// Evidence is what a node observed about targets since its last report.
type Evidence struct {
	Answering []directory.Token
	Silent    []SilentTarget
	// Refused are the targets that refused opening packets, with the number of refused
	// packets as weight. Openings are the counts of opening packets to all targets by zone.
	Refused  []SilentTarget
	Openings []directory.ZoneOpenings
	// Heartbeats are the targets that sent heartbeats to the node.
	Heartbeats []directory.Token
	// Outcomes count the results of exchanges with targets.
	Outcomes []directory.Outcomes
}

// IsEmpty reports whether there is nothing to report.
func (e Evidence) IsEmpty() bool {
	return len(e.Answering)+len(e.Silent)+len(e.Heartbeats)+len(e.Refused)+len(e.Openings)+len(e.Outcomes) == 0
}

func (e Evidence) encode(encoder *wire.Encoder) {
	directory.EncodeTokens(encoder, e.Answering)
	encodeSilentTargets(encoder, e.Silent)
	directory.EncodeTokens(encoder, e.Heartbeats)
	encodeSilentTargets(encoder, e.Refused)
	encoder.Uint32(uint32(len(e.Openings)))
	for _, counted := range e.Openings {
		encoder.String(counted.Zone)
		encoder.Uint32(counted.Opened)
		encoder.Uint32(counted.Refused)
	}
	directory.EncodeOutcomes(encoder, e.Outcomes)
}

func encodeSilentTargets(encoder *wire.Encoder, targets []SilentTarget) {
	encoder.Uint32(uint32(len(targets)))
	for _, silent := range targets {
		encoder.Uint32(uint32(silent.Token))
		encoder.Uint32(silent.Weight)
		encoder.Uint32(silent.Nodes)
		encoder.Uint32(silent.UnreliableWeight)
		encoder.Uint32(silent.Reporters)
	}
}

func decodeSilentTargets(decoder *wire.Decoder) []SilentTarget {
	var targets []SilentTarget
	for count := decoder.Count(silentTargetSize); count > 0; count-- {
		silent := SilentTarget{Token: directory.Token(decoder.Uint32()), Weight: decoder.Uint32()}
		silent.Nodes = decoder.Uint32()
		silent.UnreliableWeight = decoder.Uint32()
		silent.Reporters = decoder.Uint32()
		targets = append(targets, silent)
	}
	return targets
}

// minZoneOpeningsSize is the encoded size in bytes of a zone's counts with an empty name.
const minZoneOpeningsSize = 12

func decodeEvidence(decoder *wire.Decoder) Evidence {
	evidence := Evidence{Answering: directory.DecodeTokens(decoder)}
	evidence.Silent = decodeSilentTargets(decoder)
	evidence.Heartbeats = directory.DecodeTokens(decoder)
	evidence.Refused = decodeSilentTargets(decoder)
	for count := decoder.Count(minZoneOpeningsSize); count > 0; count-- {
		counted := directory.ZoneOpenings{Zone: decoder.String(), Opened: decoder.Uint32(), Refused: decoder.Uint32()}
		evidence.Openings = append(evidence.Openings, counted)
	}
	evidence.Outcomes = directory.DecodeOutcomes(decoder)
	return evidence
}

// Frame encodes the evidence.
func (e Evidence) Frame() wire.Frame {
	var encoder wire.Encoder
	e.encode(&encoder)
	return wire.Frame{Kind: wire.FrameEvidence, Payload: encoder.Buffer}
}

// DecodeEvidence decodes the payload of an evidence frame.
func DecodeEvidence(payload []byte) (Evidence, error) {
	decoder := wire.NewDecoder(payload)
	evidence := decodeEvidence(decoder)
	return evidence, decoder.Err("registry.decode_evidence")
}

// observations are a member's report to the leader about targets.
type observations struct {
	// From is the address of the reporting member.
	From string
	// Heartbeats are the targets whose heartbeats arrived since the last report.
	Heartbeats []directory.Token
	Evidence   Evidence
	// Outcomes are the sums over the member's nodes. Evidence.Outcomes is empty here.
	Outcomes []outlier.Report
}

// isEmpty reports whether there is nothing to report.
func (o observations) isEmpty() bool {
	return len(o.Heartbeats) == 0 && len(o.Outcomes) == 0 && o.Evidence.IsEmpty()
}

func (o observations) frame() wire.Frame {
	var encoder wire.Encoder
	encoder.Bool(false)
	encoder.String(o.From)
	directory.EncodeTokens(&encoder, o.Heartbeats)
	o.Evidence.encode(&encoder)
	encodeReports(&encoder, o.Outcomes)
	return wire.Frame{Kind: wire.FrameLiveness, Payload: encoder.Buffer}
}

// leaderVerdicts is the leader's message to the members about targets.
type leaderVerdicts struct {
	directory.Verdicts
	// Queried are the targets whose answers members must report.
	Queried []directory.Token
	// Term is the leader's term, or 0 from an older leader, which states none.
	Term uint64
}

func (v leaderVerdicts) frame() wire.Frame {
	var encoder wire.Encoder
	encoder.Bool(true)
	v.Encode(&encoder)
	directory.EncodeTokens(&encoder, v.Queried)
	encoder.Uint64(v.Term)
	return wire.Frame{Kind: wire.FrameLiveness, Payload: encoder.Buffer}
}

// decodeLiveness decodes either the leader's verdicts or a member's observations.
func decodeLiveness(payload []byte) (fromLeader bool, verdicts leaderVerdicts, observed observations, err error) {
	decoder := wire.NewDecoder(payload)
	fromLeader = decoder.Bool()
	if fromLeader {
		verdicts = leaderVerdicts{Verdicts: directory.DecodeVerdicts(decoder)}
		verdicts.Queried = directory.DecodeTokens(decoder)
		if decoder.HasMore() {
			verdicts.Term = decoder.Uint64()
		}
	} else {
		observed = observations{From: decoder.String(), Heartbeats: directory.DecodeTokens(decoder)}
		observed.Evidence = decodeEvidence(decoder)
		observed.Outcomes = decodeReports(decoder)
	}
	return fromLeader, verdicts, observed, decoder.Err("registry.decode_liveness")
}
