// Package standin is a test double of the platform that the load balancer runs on:
// routers that hash flows across edges, targets that register and send heartbeats,
// callers that retransmit SYNs, and an operator, around a fleet of real edge and
// member processes on loopback. It checks what callers and targets observe against
// the platform's rules.
package standin

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// TCP-style packet flags.
const (
	flagRST = 1
	flagFIN = 2
	flagSYN = 8
	flagACK = 16
)

const (
	headerSize = 32
	// maxData is the maximum payload size in bytes.
	maxData = 1200
	// prefixSize is the size of the target number that precedes a packet to a target.
	prefixSize = 8
	// checksumSeed is known only to callers and targets, not to edges.
	checksumSeed = 0x5ca1ab1e
)

// packet is a packet between a caller and a target. Its codec is independent of the
// adapter's, so that the two can't share a bug.
type packet struct {
	echo        uint32
	sequence    uint32
	ack         uint32
	source      netip.AddrPort
	destination netip.AddrPort
	flags       byte
	data        []byte
	// checksumValid is set on a received packet whose checksum matches.
	checksumValid bool
	checksum      uint32
	// from is the UDP source address of a received packet.
	from netip.AddrPort
}

func (p packet) has(flag byte) bool { return p.flags&flag != 0 }

// encode returns the wire form of the packet, including its checksum.
func (p packet) encode() []byte {
	buffer := make([]byte, headerSize, headerSize+len(p.data))
	binary.BigEndian.PutUint32(buffer[4:], p.sequence)
	binary.BigEndian.PutUint32(buffer[8:], p.ack)
	binary.BigEndian.PutUint16(buffer[16:], uint16(len(p.data)))
	putAddrPort(buffer, 18, 22, p.destination)
	putAddrPort(buffer, 24, 28, p.source)
	// Wire order: destination address, source port, source address, destination port.
	binary.BigEndian.PutUint16(buffer[22:], p.source.Port())
	binary.BigEndian.PutUint16(buffer[28:], p.destination.Port())
	buffer[30] = p.flags
	buffer = append(buffer, p.data...)
	binary.BigEndian.PutUint32(buffer[12:], checksum(buffer))
	binary.BigEndian.PutUint32(buffer, p.echo)
	return buffer
}

func putAddrPort(buffer []byte, address, port int, addrPort netip.AddrPort) {
	ip := addrPort.Addr().As4()
	copy(buffer[address:], ip[:])
	binary.BigEndian.PutUint16(buffer[port:], addrPort.Port())
}

// checksum covers everything except the echo, the padding and the checksum itself.
func checksum(buffer []byte) uint32 {
	var digest xxhash.Digest
	digest.ResetWithSeed(checksumSeed)
	_, _ = digest.Write(buffer[4:12])
	_, _ = digest.Write(buffer[16:31])
	_, _ = digest.Write(buffer[headerSize:])
	return uint32(digest.Sum64())
}

// decode parses a packet. It returns false if the length is inconsistent.
func decode(buffer []byte) (packet, bool) {
	if len(buffer) < headerSize || int(binary.BigEndian.Uint16(buffer[16:])) != len(buffer)-headerSize {
		return packet{}, false
	}
	addrPort := func(address, port int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(buffer[address:address+4])), binary.BigEndian.Uint16(buffer[port:]))
	}
	sum := binary.BigEndian.Uint32(buffer[12:])
	return packet{
		echo:          binary.BigEndian.Uint32(buffer),
		sequence:      binary.BigEndian.Uint32(buffer[4:]),
		ack:           binary.BigEndian.Uint32(buffer[8:]),
		destination:   addrPort(18, 28),
		source:        addrPort(24, 22),
		flags:         buffer[30],
		data:          append([]byte(nil), buffer[headerSize:]...),
		checksumValid: sum == checksum(buffer),
		checksum:      sum,
	}, true
}

// request is the payload sent by a caller. Its header fits in the first packet.
type request struct {
	id     uint64
	unsafe bool
	// responseSize is the size of the response body, uploadSize that of the request body.
	responseSize uint32
	uploadSize   uint32
}

// requestHeaderSize is the encoded size of a request without its body.
const requestHeaderSize = 17

func (r request) encode() []byte {
	buffer := binary.BigEndian.AppendUint64(nil, r.id)
	buffer = append(buffer, boolByte(r.unsafe))
	buffer = binary.BigEndian.AppendUint32(buffer, r.responseSize)
	buffer = binary.BigEndian.AppendUint32(buffer, r.uploadSize)
	return append(buffer, make([]byte, r.uploadSize)...)
}

func boolByte(value bool) byte {
	if value {
		return 1
	}
	return 0
}

// decodeRequest parses the header of a request.
func decodeRequest(data []byte) (request, bool) {
	if len(data) < requestHeaderSize {
		return request{}, false
	}
	return request{
		id:           binary.BigEndian.Uint64(data),
		unsafe:       data[8] == 1,
		responseSize: binary.BigEndian.Uint32(data[9:]),
		uploadSize:   binary.BigEndian.Uint32(data[13:]),
	}, true
}
