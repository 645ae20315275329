// Package wire defines the messages between the processes of the system and their
// encoding: fixed-size fields in network byte order and length-prefixed byte strings.
package wire

import (
	"encoding/binary"
	"net/netip"

	"github.com/beamdoor/beamdoor/internal/steperror"
)

// MaxBytes is the maximum length of a byte string in a message.
const MaxBytes = 16 << 20

const addressSize = 18

// Encoder appends fields to a buffer.
type Encoder struct {
	Buffer []byte
}

// Uint8 appends one byte.
func (e *Encoder) Uint8(value uint8) { e.Buffer = append(e.Buffer, value) }

// Bool appends a boolean as one byte.
func (e *Encoder) Bool(value bool) {
	if value {
		e.Uint8(1)
		return
	}
	e.Uint8(0)
}

// Uint16 appends a 16-bit field.
func (e *Encoder) Uint16(value uint16) {
	e.Buffer = binary.BigEndian.AppendUint16(e.Buffer, value)
}

// Uint32 appends a 32-bit field.
func (e *Encoder) Uint32(value uint32) {
	e.Buffer = binary.BigEndian.AppendUint32(e.Buffer, value)
}

// compactEscape precedes a 32-bit field in the compact encoding.
const compactEscape = 255

// CompactUint32 appends a number in one byte if it is below 255, else in five bytes.
func (e *Encoder) CompactUint32(value uint32) {
	if value < compactEscape {
		e.Uint8(uint8(value))
		return
	}
	e.Uint8(compactEscape)
	e.Uint32(value)
}

// Uint64 appends a 64-bit field.
func (e *Encoder) Uint64(value uint64) {
	e.Buffer = binary.BigEndian.AppendUint64(e.Buffer, value)
}

// Bytes appends a length-prefixed byte string.
func (e *Encoder) Bytes(value []byte) {
	e.Uint32(uint32(len(value)))
	e.Buffer = append(e.Buffer, value...)
}

// String appends a length-prefixed string.
func (e *Encoder) String(value string) {
	e.Uint32(uint32(len(value)))
	e.Buffer = append(e.Buffer, value...)
}

// Address appends an IP address in 16 bytes and a port.
func (e *Encoder) Address(value netip.AddrPort) {
	ip := value.Addr().As16()
	e.Buffer = append(e.Buffer, ip[:]...)
	e.Uint16(value.Port())
}

// Decoder reads fields from a buffer. After the first failure every read returns a zero
// value and Err returns an error.
type Decoder struct {
	buffer []byte
	failed bool
}

// NewDecoder returns a decoder over the buffer, which it does not copy.
func NewDecoder(buffer []byte) *Decoder { return &Decoder{buffer: buffer} }

func (d *Decoder) take(size int) []byte {
	if d.failed || size < 0 || size > len(d.buffer) {
		d.failed = true
		return nil
	}
	part := d.buffer[:size]
	d.buffer = d.buffer[size:]
	return part
}

// Uint8 reads one byte.
func (d *Decoder) Uint8() uint8 {
	part := d.take(1)
	if part == nil {
		return 0
	}
	return part[0]
}

// Bool reads a boolean.
func (d *Decoder) Bool() bool { return d.Uint8() != 0 }

// Uint16 reads a 16-bit field.
func (d *Decoder) Uint16() uint16 {
	part := d.take(2)
	if part == nil {
		return 0
	}
	return binary.BigEndian.Uint16(part)
}

// Uint32 reads a 32-bit field.
func (d *Decoder) Uint32() uint32 {
	part := d.take(4)
	if part == nil {
		return 0
	}
	return binary.BigEndian.Uint32(part)
}

// CompactUint32 reads a number that Encoder.CompactUint32 has written.
func (d *Decoder) CompactUint32() uint32 {
	if first := d.Uint8(); first < compactEscape {
		return uint32(first)
	}
	return d.Uint32()
}

// Uint64 reads a 64-bit field.
func (d *Decoder) Uint64() uint64 {
	part := d.take(8)
	if part == nil {
		return 0
	}
	return binary.BigEndian.Uint64(part)
}

// Bytes reads a byte string; the result shares the decoder's buffer.
func (d *Decoder) Bytes() []byte {
	size := d.Uint32()
	if size > MaxBytes {
		d.failed = true
		return nil
	}
	return d.take(int(size))
}

// String reads a string.
func (d *Decoder) String() string { return string(d.Bytes()) }

// Address reads an IP address and a port.
func (d *Decoder) Address() netip.AddrPort {
	part := d.take(addressSize)
	if part == nil {
		return netip.AddrPort{}
	}
	ip := netip.AddrFrom16([16]byte(part[:16])).Unmap()
	return netip.AddrPortFrom(ip, binary.BigEndian.Uint16(part[16:]))
}

// Count reads a list length and fails if the remaining buffer cannot hold that many items
// of the given minimum size.
func (d *Decoder) Count(minSize int) int {
	count := int(d.Uint32())
	if d.failed || count*minSize > len(d.buffer) {
		d.failed = true
		return 0
	}
	return count
}

// HasMore reports whether unread bytes remain.
func (d *Decoder) HasMore() bool { return !d.failed && len(d.buffer) > 0 }

// Rest returns all unread bytes.
func (d *Decoder) Rest() []byte { return d.take(len(d.buffer)) }

// Err returns an error if any read has failed.
func (d *Decoder) Err(step string) error {
	if d.failed {
		return steperror.New(step, "", "message is truncated or a length is out of range")
	}
	return nil
}
