package registry

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/outlier"
	"github.com/beamdoor/beamdoor/internal/strength"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// joinRequest asks for a place in the group.
type joinRequest struct {
	Address  string
	Zone     string
	Identity uint64
	// CanBootstrap is set while the sender waits for the group to be founded.
	CanBootstrap bool
	// KnownID is the number under which the sender knows itself; 0 if none.
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

// joinReply tells a member its number. Number 0 means that the group has no
// place for this identity any more and the data folder is to be emptied.
type joinReply struct {
	Identity uint64
	Number   uint32
	Members  []directory.Member
}

func (j joinReply) frame() wire.Frame {
	var encoder wire.Encoder
	encoder.Uint64(j.Identity)
	encoder.Uint32(j.Number)
	directory.EncodeMembers(&encoder, j.Members)
	return wire.Frame{Kind: wire.FrameJoinReply, Payload: encoder.Buffer}
}

func decodeJoinReply(payload []byte) (joinReply, error) {
	decoder := wire.NewDecoder(payload)
	reply := joinReply{Identity: decoder.Uint64(), Number: decoder.Uint32()}
	reply.Members = directory.DecodeMembers(decoder)
	return reply, decoder.Err("registry.decode_join_reply")
}

// forward carries a command, or a read without one, to the leader.
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

// forwarded is the leader's answer to a forward.
type forwarded struct {
	Ticket Ticket
	Result directory.Result
}

func (f forwarded) frame() wire.Frame {
	var encoder wire.Encoder
	encoder.Uint64(uint64(f.Ticket))
	encoder.Uint8(uint8(f.Result.Code))
	encoder.Uint64(f.Result.Revision)
	return wire.Frame{Kind: wire.FrameForwarded, Payload: encoder.Buffer}
}

func decodeForwarded(payload []byte) (forwarded, error) {
	decoder := wire.NewDecoder(payload)
	reply := forwarded{Ticket: Ticket(decoder.Uint64())}
	reply.Result = directory.Result{Code: directory.Code(decoder.Uint8()), Revision: decoder.Uint64()}
	return reply, decoder.Err("registry.decode_forwarded")
}

// Subscribe opens the stream of updates to a node.
type Subscribe struct {
	Node string
	Zone string
	// Revision is what the node already has; 0 asks for the whole state.
	Revision uint64
	// Waited is how long the node has been without any state.
	Waited time.Duration
	// HeartbeatAddress is the address at which the node takes heartbeats of targets, or "".
	HeartbeatAddress string
	// Referable is set while the node knows no member but the seeds: it can be
	// sent on to a nearer one.
	Referable bool
	// AnnouncementAddress is the address at which the node takes announcements, or "".
	AnnouncementAddress string
	// CachesVerdicts is set by nodes that keep the verdicts of a member until it sends
	// others.
	CachesVerdicts bool
	// Strength is what is stated of the node's machine. A node whose machine has changed
	// sends the whole message again over the open connection.
	Strength strength.Resources
}

// Frame returns the frame of a subscription.
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

// DecodeSubscribe reads a subscription.
func DecodeSubscribe(payload []byte) (Subscribe, error) {
	decoder := wire.NewDecoder(payload)
	subscribe := Subscribe{Node: decoder.String(), Zone: decoder.String(), Revision: decoder.Uint64()}
	subscribe.Waited = time.Duration(decoder.Uint64())
	subscribe.HeartbeatAddress = decoder.String()
	subscribe.Referable = decoder.Bool()
	subscribe.AnnouncementAddress = decoder.String()
	// Nodes of versions that heard the verdicts with each sign of life end here.
	if decoder.HasMore() {
		subscribe.CachesVerdicts = decoder.Bool()
	}
	// Nodes of versions that stated no strength end here.
	if decoder.HasMore() {
		subscribe.Strength = strength.Decode(decoder)
	}
	return subscribe, decoder.Err("registry.decode_subscribe")
}

// Keepalive tells a node that its member is up.
type Keepalive struct {
	// Current is set while the member hears from a leader with a quorum.
	Current bool
	// Empty is set while the member has no place in the group: its disk is new, and
	// it knows nothing until the group has taken it in.
	Empty bool
	// Leaderless is how long the member has had no leader, in whole milliseconds on
	// the wire; 0 while it is current.
	Leaderless time.Duration
	// Unchanged is set when the verdicts are those that the member told last over this
	// connection; they are left out then.
	Unchanged bool
	// Verdicts are the group's, as far as this member knows them.
	Verdicts directory.Verdicts
}

// Frame returns the frame of the message.
func (a Keepalive) Frame() wire.Frame {
	var encoder wire.Encoder
	encoder.Bool(a.Current)
	encoder.Bool(a.Empty)
	encoder.Uint32(uint32(a.Leaderless.Milliseconds()))
	a.Verdicts.Encode(&encoder)
	encoder.Bool(a.Unchanged)
	return wire.Frame{Kind: wire.FrameAlive, Payload: encoder.Buffer}
}

// DecodeKeepalive reads the message.
func DecodeKeepalive(payload []byte) (Keepalive, error) {
	decoder := wire.NewDecoder(payload)
	alive := Keepalive{Current: decoder.Bool(), Empty: decoder.Bool()}
	alive.Leaderless = time.Duration(decoder.Uint32()) * time.Millisecond
	alive.Verdicts = directory.DecodeVerdicts(decoder)
	if decoder.HasMore() {
		alive.Unchanged = decoder.Bool()
	}
	return alive, decoder.Err("registry.decode_alive")
}

// SilentTarget is a target that left packets of some flows unanswered.
type SilentTarget struct {
	Token directory.Token
	// Weight grows with the flows that wait for an answer and with their wait.
	Weight uint32
	// Nodes is the number of nodes that have seen it.
	Nodes uint32
	// UnreliableWeight is the weight of what nodes have seen whose callers' data gets lost, and
	// Witnesses the number of nodes that have seen anything.
	UnreliableWeight uint32
	Reporters        uint32
}

// FromSingleNode returns the silence as seen by one node.
func (s SilentTarget) FromSingleNode() SilentTarget {
	s.Reporters = 1
	s.Nodes = 0
	if s.Weight > 0 {
		s.Nodes = 1
	}
	return s
}

// add sums up what others have seen of the same target.
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

// Evidence is what a node has seen of targets since its last report.
type Evidence struct {
	Answering []directory.Token
	Silent    []SilentTarget
	// Refused are the targets that took no opening packets; their weight is the
	// number of these. Openings count those of all targets by zone.
	Refused  []SilentTarget
	Openings []directory.ZoneOpenings
	// Heartbeats are the targets whose heartbeats came to the node.
	Heartbeats []directory.Token
	// Outcomes count how exchanges with targets ended.
	Outcomes []directory.Outcomes
}

// IsEmpty reports whether there is nothing to tell.
func (e Evidence) IsEmpty() bool {
	return len(e.Answering)+len(e.Silent)+len(e.Heartbeats)+len(e.Refused)+len(e.Openings)+len(e.Outcomes) == 0
}

func (e Evidence) encode(encoder *wire.Encoder) {
	directory.EncodeTokens(encoder, e.Answering)
	encodeSilent(encoder, e.Silent)
	directory.EncodeTokens(encoder, e.Heartbeats)
	encodeSilent(encoder, e.Refused)
	encoder.Uint32(uint32(len(e.Openings)))
	for _, counted := range e.Openings {
		encoder.String(counted.Zone)
		encoder.Uint32(counted.Opened)
		encoder.Uint32(counted.Refused)
	}
	directory.EncodeOutcomes(encoder, e.Outcomes)
}

func encodeSilent(encoder *wire.Encoder, targets []SilentTarget) {
	encoder.Uint32(uint32(len(targets)))
	for _, silent := range targets {
		encoder.Uint32(uint32(silent.Token))
		encoder.Uint32(silent.Weight)
		encoder.Uint32(silent.Nodes)
		encoder.Uint32(silent.UnreliableWeight)
		encoder.Uint32(silent.Reporters)
	}
}

func decodeSilent(decoder *wire.Decoder) []SilentTarget {
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

// minZoneOpeningsSize is the encoded size in bytes of the counts of a zone without a
// name.
const minZoneOpeningsSize = 12

func decodeEvidence(decoder *wire.Decoder) Evidence {
	evidence := Evidence{Answering: directory.DecodeTokens(decoder)}
	evidence.Silent = decodeSilent(decoder)
	evidence.Heartbeats = directory.DecodeTokens(decoder)
	evidence.Refused = decodeSilent(decoder)
	for count := decoder.Count(minZoneOpeningsSize); count > 0; count-- {
		counted := directory.ZoneOpenings{Zone: decoder.String(), Opened: decoder.Uint32(), Refused: decoder.Uint32()}
		evidence.Openings = append(evidence.Openings, counted)
	}
	evidence.Outcomes = directory.DecodeOutcomes(decoder)
	return evidence
}

// Frame returns the frame of a node's evidence.
func (e Evidence) Frame() wire.Frame {
	var encoder wire.Encoder
	e.encode(&encoder)
	return wire.Frame{Kind: wire.FrameEvidence, Payload: encoder.Buffer}
}

// DecodeEvidence reads a node's evidence.
func DecodeEvidence(payload []byte) (Evidence, error) {
	decoder := wire.NewDecoder(payload)
	evidence := decodeEvidence(decoder)
	return evidence, decoder.Err("registry.decode_evidence")
}

// observations are what a member tells the leader about targets.
type observations struct {
	// From is the address of the member.
	From string
	// Heartbeats are the targets whose heartbeats came since the last message.
	Heartbeats []directory.Token
	Evidence   Evidence
	// Outcomes are the sums of what the member's nodes counted; those of the evidence
	// are empty here.
	Outcomes []outlier.Report
}

// isEmpty reports whether there is nothing to tell.
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

// leaderVerdicts is what the leader tells the members about targets.
type leaderVerdicts struct {
	directory.Verdicts
	// Queried are the targets of which members tell whether they answer.
	Queried []directory.Token
}

func (j leaderVerdicts) frame() wire.Frame {
	var encoder wire.Encoder
	encoder.Bool(true)
	j.Encode(&encoder)
	directory.EncodeTokens(&encoder, j.Queried)
	return wire.Frame{Kind: wire.FrameLiveness, Payload: encoder.Buffer}
}

// decodeLiveness reads verdicts of the leader or observations of a member.
func decodeLiveness(payload []byte) (fromLeader bool, judged leaderVerdicts, seen observations, err error) {
	decoder := wire.NewDecoder(payload)
	fromLeader = decoder.Bool()
	if fromLeader {
		judged = leaderVerdicts{Verdicts: directory.DecodeVerdicts(decoder)}
		judged.Queried = directory.DecodeTokens(decoder)
	} else {
		seen = observations{From: decoder.String(), Heartbeats: directory.DecodeTokens(decoder)}
		seen.Evidence = decodeEvidence(decoder)
		seen.Outcomes = decodeReports(decoder)
	}
	return fromLeader, judged, seen, decoder.Err("registry.decode_liveness")
}
