package wire

import (
	"encoding/binary"
	"net/netip"

	"github.com/beamdoor/beamdoor/internal/steperror"
)

// PeerKind tells the purpose of a datagram between balancers.
type PeerKind uint8

// The kinds of datagrams between balancers.
const (
	// PeerToPrimary relays a caller's packet to the primary of its flow.
	PeerToPrimary PeerKind = iota + 1
	// PeerToBackup relays a caller's packet with the primary's decision.
	PeerToBackup
	// PeerConsult asks whether anyone knows the flow of a packet.
	PeerConsult
	// PeerConsultReply returns the packet with what was found.
	PeerConsultReply
	// PeerAnswer copies a target's answer to the primary, and on to the backup.
	PeerAnswer
	// PeerHandover carries records to a new member of a pair.
	PeerHandover
	// PeerHandoverReply confirms a PeerHandover.
	PeerHandoverReply
	// PeerNewerView tells the sender of an old view the number of the newer one.
	PeerNewerView
	// PeerProbe asks whether a balancer answers, and PeerProbeReply says so.
	PeerProbe
	PeerProbeReply
)

// PeerFlags qualify a datagram between balancers.
type PeerFlags uint8

// Flags of datagrams between balancers.
const (
	// FlagKnown says that TargetID is the flow's target as far as the sender knows.
	FlagKnown PeerFlags = 1 << iota
	// FlagCovered says that the sender holds all records of the partition.
	FlagCovered
	// FlagRefuse asks the backup to record a refusal and to answer "not run".
	FlagRefuse
	// FlagUnsafe marks a request that may not be repeated.
	FlagUnsafe
	// FlagFinal marks an answer that the primary has passed on to the backup,
	// or a consultation that was answered with certainty.
	FlagFinal
	// FlagRefusal marks an answer by which a target refused a request.
	FlagRefusal
)

// Has reports whether all the given flags are set.
func (f PeerFlags) Has(flags PeerFlags) bool { return f&flags == flags }

// PeerPacket is a datagram between balancers.
type PeerPacket struct {
	Kind  PeerKind
	Flags PeerFlags
	// Hops counts the relays so far.
	Hops uint8
	// Attempt counts the targets tried for a request, from 1.
	Attempt uint8
	From    uint32
	// View is the number of the sender's view.
	View      uint64
	ServiceID uint32
	TargetID  uint32
	// RequestKey identifies a request that may not be repeated; in a handover
	// it is the sequence number.
	RequestKey uint64
	// Visited marks the members already consulted, by place in the view.
	Visited uint64
	Caller  netip.AddrPort
	Payload []byte
}

// PeerHeaderSize is the size of a PeerPacket without its payload, in bytes.
const PeerHeaderSize = 58

// AppendPeerPacket appends the bytes of a packet.
func AppendPeerPacket(buffer []byte, packet *PeerPacket) []byte {
	buffer = append(buffer, byte(packet.Kind), byte(packet.Flags), packet.Hops, packet.Attempt)
	buffer = binary.BigEndian.AppendUint32(buffer, packet.From)
	buffer = binary.BigEndian.AppendUint64(buffer, packet.View)
	buffer = binary.BigEndian.AppendUint32(buffer, packet.ServiceID)
	buffer = binary.BigEndian.AppendUint32(buffer, packet.TargetID)
	buffer = binary.BigEndian.AppendUint64(buffer, packet.RequestKey)
	buffer = binary.BigEndian.AppendUint64(buffer, packet.Visited)
	ip := packet.Caller.Addr().As16()
	buffer = append(buffer, ip[:]...)
	buffer = binary.BigEndian.AppendUint16(buffer, packet.Caller.Port())
	return append(buffer, packet.Payload...)
}

// DecodePeerPacket reads a packet; its payload shares the buffer.
func DecodePeerPacket(buffer []byte, packet *PeerPacket) error {
	if len(buffer) < PeerHeaderSize {
		return steperror.New("wire.decode_peer", "", "packet is shorter than its header")
	}
	packet.Kind = PeerKind(buffer[0])
	packet.Flags = PeerFlags(buffer[1])
	packet.Hops = buffer[2]
	packet.Attempt = buffer[3]
	packet.From = binary.BigEndian.Uint32(buffer[4:])
	packet.View = binary.BigEndian.Uint64(buffer[8:])
	packet.ServiceID = binary.BigEndian.Uint32(buffer[16:])
	packet.TargetID = binary.BigEndian.Uint32(buffer[20:])
	packet.RequestKey = binary.BigEndian.Uint64(buffer[24:])
	packet.Visited = binary.BigEndian.Uint64(buffer[32:])
	ip := netip.AddrFrom16([16]byte(buffer[40:56])).Unmap()
	packet.Caller = netip.AddrPortFrom(ip, binary.BigEndian.Uint16(buffer[56:]))
	packet.Payload = buffer[PeerHeaderSize:]
	if packet.Kind < PeerToPrimary || packet.Kind > PeerProbeReply {
		return steperror.New("wire.decode_peer", "", "unknown packet kind")
	}
	return nil
}

// ForwardTag travels with a packet to a target, which returns it with its
// answer: it says whose packet it was and where the flow was registered.
type ForwardTag struct {
	ServiceID uint32
	// TargetID is the incarnation of the target; it is never reused.
	TargetID uint32
	// View is the view in which the flow was registered with its pair.
	View uint64
	// RequestKey is not 0 for a request that may not be repeated.
	RequestKey uint64
}

// ForwardTagSize is the size of a tag in bytes.
const ForwardTagSize = 24

// AppendForwardTag appends the bytes of a tag.
func AppendForwardTag(buffer []byte, tag ForwardTag) []byte {
	buffer = binary.BigEndian.AppendUint32(buffer, tag.ServiceID)
	buffer = binary.BigEndian.AppendUint32(buffer, tag.TargetID)
	buffer = binary.BigEndian.AppendUint64(buffer, tag.View)
	return binary.BigEndian.AppendUint64(buffer, tag.RequestKey)
}

// DecodeForwardTag reads a tag.
func DecodeForwardTag(buffer []byte) (ForwardTag, error) {
	if len(buffer) != ForwardTagSize {
		return ForwardTag{}, steperror.New("wire.decode_tag", "", "tag has the wrong size")
	}
	return ForwardTag{
		ServiceID:  binary.BigEndian.Uint32(buffer),
		TargetID:   binary.BigEndian.Uint32(buffer[4:]),
		View:       binary.BigEndian.Uint64(buffer[8:]),
		RequestKey: binary.BigEndian.Uint64(buffer[16:]),
	}, nil
}
