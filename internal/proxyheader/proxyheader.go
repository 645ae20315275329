// Package proxyheader encodes and decodes the PROXY protocol version 2 header that
// precedes a datagram. The header holds the caller's and the service's address, and
// optionally a forward tag as a custom TLV. It uses the codec of go-proxyproto.
package proxyheader

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/netip"

	"github.com/pires/go-proxyproto"

	"github.com/beamdoor/beamdoor/internal/steperror"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// tagType is the TLV type of the forward tag, in the application-specific range (PROXY
// protocol, section 2.2.8).
const tagType proxyproto.PP2Type = 0xE0

// readBufferSize is the read buffer size in bytes; the largest header with a tag fits in it.
const readBufferSize = 512

// Header is the decoded form of the header.
type Header struct {
	Source      netip.AddrPort
	Destination netip.AddrPort
	// Tag is the forward tag, or nil on packets between callers and balancers.
	Tag *wire.ForwardTag
}

// Append appends the encoded header to buffer and returns the extended buffer.
func Append(buffer []byte, header Header) ([]byte, error) {
	const step = "proxyheader.encode"
	encoded := proxyproto.Header{
		Version:           2,
		Command:           proxyproto.PROXY,
		TransportProtocol: proxyproto.UDPv4,
		SourceAddr:        net.UDPAddrFromAddrPort(header.Source),
		DestinationAddr:   net.UDPAddrFromAddrPort(header.Destination),
	}
	if header.Source.Addr().Is6() {
		encoded.TransportProtocol = proxyproto.UDPv6
	}
	if header.Tag != nil {
		value := wire.AppendForwardTag(make([]byte, 0, wire.ForwardTagSize), *header.Tag)
		tags := []proxyproto.TLV{{Type: tagType, Value: value}}
		if err := encoded.SetTLVs(tags); err != nil {
			return buffer, steperror.Wrap(step, "", err)
		}
	}
	data, err := encoded.Format()
	if err != nil {
		return buffer, steperror.Wrap(step, "", err)
	}
	return append(buffer, data...), nil
}

// Reader decodes headers and reuses its buffer. It is not safe for concurrent use.
type Reader struct {
	packet   bytes.Reader
	buffered *bufio.Reader
}

// NewReader returns a reader.
func NewReader() *Reader {
	return &Reader{buffered: bufio.NewReaderSize(nil, readBufferSize)}
}

// Read decodes the header of a packet and returns the datagram after it, which aliases
// the packet.
func (r *Reader) Read(packet []byte) (Header, []byte, error) {
	const step = "proxyheader.decode"
	r.packet.Reset(packet)
	r.buffered.Reset(io.Reader(&r.packet))
	decoded, err := proxyproto.Read(r.buffered)
	if err != nil {
		return Header{}, nil, steperror.Wrap(step, "", err)
	}
	source, destination, ok := decoded.UDPAddrs()
	if !ok {
		return Header{}, nil, steperror.New(step, "", "header has no UDP addresses")
	}
	header := Header{Source: addrPort(source), Destination: addrPort(destination)}
	if err := readTag(decoded, &header); err != nil {
		return Header{}, nil, err
	}
	left := r.buffered.Buffered() + r.packet.Len()
	return header, packet[len(packet)-left:], nil
}

func readTag(decoded *proxyproto.Header, header *Header) error {
	values, err := decoded.TLVs()
	if err != nil {
		return steperror.Wrap("proxyheader.decode", "", err)
	}
	for _, value := range values {
		if value.Type != tagType {
			continue
		}
		tag, err := wire.DecodeForwardTag(value.Value)
		if err != nil {
			return err
		}
		header.Tag = &tag
	}
	return nil
}

func addrPort(address *net.UDPAddr) netip.AddrPort {
	converted := address.AddrPort()
	return netip.AddrPortFrom(converted.Addr().Unmap(), converted.Port())
}
