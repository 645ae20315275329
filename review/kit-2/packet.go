package main

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// Flags of a packet, as PROTOCOL.md lists them.
const (
	flagRST = 1
	flagFIN = 2
	flagSYN = 8
	flagACK = 16
)

const (
	headSize   = 32
	prefixSize = 8
	// sumKey is known to clients and targets only.
	sumKey = 0x2545f491
)

// packet is one datagram of a flow.
type packet struct {
	echo, seq, ack, sum uint32
	src, dst            netip.AddrPort
	flags               byte
	data                []byte
	// valid is set on a received packet whose sum is right.
	valid bool
	// from is the sender of the datagram.
	from netip.AddrPort
}

func (p packet) has(flag byte) bool { return p.flags&flag != 0 }

func (p packet) encode() []byte {
	b := make([]byte, headSize, headSize+len(p.data))
	binary.BigEndian.PutUint32(b[4:], p.seq)
	binary.BigEndian.PutUint32(b[8:], p.ack)
	binary.BigEndian.PutUint16(b[16:], uint16(len(p.data)))
	dst, src := p.dst.Addr().As4(), p.src.Addr().As4()
	copy(b[18:], dst[:])
	binary.BigEndian.PutUint16(b[22:], p.src.Port())
	copy(b[24:], src[:])
	binary.BigEndian.PutUint16(b[28:], p.dst.Port())
	b[30] = p.flags
	b = append(b, p.data...)
	binary.BigEndian.PutUint32(b[12:], sumOf(b))
	binary.BigEndian.PutUint32(b, p.echo)
	return b
}

// sumOf is the keyed sum over all but echo, sum and padding.
func sumOf(b []byte) uint32 {
	sum := crc32.Update(sumKey, crc32.IEEETable, b[4:12])
	sum = crc32.Update(sum, crc32.IEEETable, b[16:31])
	return crc32.Update(sum, crc32.IEEETable, b[headSize:]) | 1
}

func decode(b []byte) (packet, bool) {
	if len(b) < headSize || int(binary.BigEndian.Uint16(b[16:])) != len(b)-headSize {
		return packet{}, false
	}
	address := func(ip, port int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[ip:ip+4])), binary.BigEndian.Uint16(b[port:]))
	}
	p := packet{
		echo: binary.BigEndian.Uint32(b), seq: binary.BigEndian.Uint32(b[4:]), ack: binary.BigEndian.Uint32(b[8:]),
		sum: binary.BigEndian.Uint32(b[12:]), dst: address(18, 28), src: address(24, 22), flags: b[30],
		data: append([]byte(nil), b[headSize:]...),
	}
	p.valid = p.sum == sumOf(b)
	return p, true
}
