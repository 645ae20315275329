package wire

import (
	"encoding/binary"
	"net/netip"

	"github.com/beamdoor/beamdoor/internal/steperror"
)

// PeerKind is the type of a datagram between balancers.
type PeerKind uint8

// The kinds of datagrams between balancers.
const (
	// PeerToPrimary relays a caller's packet to the primary of its flow.
	PeerToPrimary PeerKind = iota + 1
	// PeerToBackup relays a caller's packet with the primary's decision.
	PeerToBackup
	// PeerConsult asks other balancers whether they know the flow of a packet.
	PeerConsult
	// PeerConsultReply returns the packet with the result of the lookup.
	PeerConsultReply
	// PeerAnswer copies a target's answer to the primary, which forwards it to the
	// backup.
	PeerAnswer
	// PeerHandover transfers records to a new member of a pair.
	PeerHandover
	// PeerHandoverReply confirms a PeerHandover.
	PeerHandoverReply
	// PeerNewerView tells a sender with an outdated view the number of the newer view.
	PeerNewerView
	// PeerProbe checks whether a balancer responds, and PeerProbeReply is the response.
	PeerProbe
	PeerProbeReply
)

// PeerFlags qualify a datagram between balancers.
type PeerFlags uint8

// Flags of datagrams between balancers.
const (
	// FlagKnown means that TargetID is the flow's target as far as the sender knows.
	FlagKnown PeerFlags = 1 << iota
	// FlagCovered means that the sender holds all records of the partition.
	FlagCovered
	// FlagRefuse asks the backup to record a refusal and to answer "not run".
	FlagRefuse
	// FlagUnsafe marks a request that may not be repeated.
	FlagUnsafe
	// FlagFinal marks an answer that the primary has forwarded to the backup, or a
	// conclusive PeerConsultReply.
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
	// Visited is a bit set of the balancers already consulted, by position in the view.
	Visited uint64
	Caller  netip.AddrPort
	Payload []byte
}

// PeerHeaderSize is the size of a PeerPacket without its payload, in bytes.
const PeerHeaderSize = 58

// AppendPeerPacket appends an encoded packet.
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

// DecodePeerPacket decodes a packet; its payload shares the buffer.
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

// ForwardTag is sent with a packet to a target, which returns it with its answer. It
// identifies the service and the target of the packet and the view in which the flow was
// registered.
type ForwardTag struct {
	ServiceID uint32
	// TargetID identifies one start of the target; it is never reused.
	TargetID uint32
	// View is the view in which the flow was registered with its pair.
	View uint64
	// RequestKey is not 0 for a request that may not be repeated.
	RequestKey uint64
}

// ForwardTagSize is the encoded size of a tag in bytes.
const ForwardTagSize = 24

// AppendForwardTag appends an encoded tag.
func AppendForwardTag(buffer []byte, tag ForwardTag) []byte {
	buffer = binary.BigEndian.AppendUint32(buffer, tag.ServiceID)
	buffer = binary.BigEndian.AppendUint32(buffer, tag.TargetID)
	buffer = binary.BigEndian.AppendUint64(buffer, tag.View)
	return binary.BigEndian.AppendUint64(buffer, tag.RequestKey)
}

// DecodeForwardTag decodes a tag.
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
