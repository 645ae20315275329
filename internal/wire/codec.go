// Package wire holds the messages between the system's own processes and
// their encoding: fixed-size fields in network byte order by encoding/binary,
// and byte strings behind a length.
package wire

import (
	"encoding/binary"
	"net/netip"

	"github.com/beamdoor/beamdoor/internal/steperror"
)

// MaxBytes bounds one byte string inside a message.
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

// escape is the byte that a longer field follows.
const escape = 255

// CompactUint32 appends a number that is mostly small: one byte, or five from 255 on.
func (e *Encoder) CompactUint32(value uint32) {
	if value < escape {
		e.Uint8(uint8(value))
		return
	}
	e.Uint8(escape)
	e.Uint32(value)
}

// Uint64 appends a 64-bit field.
func (e *Encoder) Uint64(value uint64) {
	e.Buffer = binary.BigEndian.AppendUint64(e.Buffer, value)
}

// Bytes appends a length and the bytes.
func (e *Encoder) Bytes(value []byte) {
	e.Uint32(uint32(len(value)))
	e.Buffer = append(e.Buffer, value...)
}

// String appends a length and the text.
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

// Decoder reads fields from a buffer. After the first failure every read
// returns a zero value and Err tells what was wrong.
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

// CompactUint32 reads a number that is mostly small.
func (d *Decoder) CompactUint32() uint32 {
	if first := d.Uint8(); first < escape {
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

// String reads a text.
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

// Count reads a list length and fails when the rest of the buffer cannot
// hold so many items of the given smallest size.
func (d *Decoder) Count(smallest int) int {
	count := int(d.Uint32())
	if d.failed || count*smallest > len(d.buffer) {
		d.failed = true
		return 0
	}
	return count
}

// HasMore reports whether there are bytes that have not been read.
func (d *Decoder) HasMore() bool { return !d.failed && len(d.buffer) > 0 }

// Rest returns all bytes not yet read.
func (d *Decoder) Rest() []byte { return d.take(len(d.buffer)) }

// Err returns an error when a read went past the end.
func (d *Decoder) Err(step string) error {
	if d.failed {
		return steperror.New(step, "", "message is truncated or a length is out of range")
	}
	return nil
}
