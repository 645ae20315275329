// Package coapmsg parses the parts of CoAP messages (RFC 7252) that a balancer needs
// for routing, and builds the responses that a balancer sends itself. It uses the codec
// of go-coap.
package coapmsg

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"

	"github.com/beamdoor/beamdoor/internal/steperror"
)

// DeadlineOption carries the caller's remaining time in milliseconds. Its number is in
// the range for experimental use (RFC 7252, section 12.2), elective and safe to forward.
const DeadlineOption message.OptionID = 65004

// optionCapacity is the number of options that can be decoded without an allocation.
const optionCapacity = 64

func init() {
	message.CoapOptionDefs[DeadlineOption] = message.OptionDef{ValueFormat: message.ValueUint, MinLen: 0, MaxLen: 4}
}

// headerSize is the size of the fixed CoAP header in bytes.
const headerSize = 4

// Class determines how a message from a caller is routed.
type Class uint8

// The message classes.
const (
	// ClassSafe is a GET or FETCH request, which may be retried, or a message that is
	// not a request.
	ClassSafe Class = iota
	// ClassObserve is a GET or FETCH request with an Observe option (RFC 7641).
	ClassObserve
	// ClassUnsafe is any other request; it must not be retried on another target.
	ClassUnsafe
	// ClassPing is an empty confirmable message (RFC 7252, section 4.3).
	ClassPing
)

// Parser decodes messages and reuses its option buffer. It is not safe for concurrent
// use.
type Parser struct {
	// Message is the last decoded message; it aliases the packet.
	Message message.Message
}

// NewParser returns a parser.
func NewParser() *Parser {
	return &Parser{Message: message.Message{Options: make(message.Options, 0, optionCapacity)}}
}

// Parse decodes a packet.
func (p *Parser) Parse(packet []byte) error {
	if _, err := coder.DefaultCoder.Decode(packet, &p.Message); err != nil {
		return steperror.Wrap("coap.decode", "", err)
	}
	return nil
}

// Class returns the class of the decoded message.
func (p *Parser) Class() Class {
	switch {
	case p.Message.Code == codes.Empty && p.Message.Type == message.Confirmable:
		return ClassPing
	case p.Message.Code == codes.Empty:
		return ClassSafe
	case p.Message.Code == codes.GET || p.Message.Code == codes.FETCH:
		if p.Message.Options.HasOption(message.Observe) {
			return ClassObserve
		}
		return ClassSafe
	case IsRequest(p.Message.Code):
		return ClassUnsafe
	}
	return ClassSafe
}

// IsRequest reports whether the code is a request method.
func IsRequest(code codes.Code) bool { return code >= codes.GET && code < 32 }

// IsRegistration reports whether the decoded message registers an observation.
func (p *Parser) IsRegistration() bool {
	value, err := p.Message.Options.Observe()
	return err == nil && value == 0
}

// DeadlineMilliseconds returns the value of the deadline option, or 0 without one.
func (p *Parser) DeadlineMilliseconds() uint32 {
	value, err := p.Message.Options.GetUint32(DeadlineOption)
	if err != nil {
		return 0
	}
	return value
}

// RequestKey returns a nonzero hash of the flow, message ID and token, which a
// retransmission shares with the original request.
func (p *Parser) RequestKey(flow uint64) uint64 {
	var buffer [8 + 2 + message.MaxTokenSize]byte
	binary.BigEndian.PutUint64(buffer[:], flow)
	binary.BigEndian.PutUint16(buffer[8:], uint16(p.Message.MessageID))
	copy(buffer[10:], p.Message.Token)
	return xxhash.Sum64(buffer[:10+len(p.Message.Token)]) | 1
}

// Code returns the code of an encoded message, or Empty if it is too short.
func Code(packet []byte) codes.Code {
	if len(packet) < headerSize {
		return codes.Empty
	}
	return codes.Code(packet[1])
}

// Response returns an encoded response to the decoded request: piggybacked on the
// acknowledgement if the request is confirmable, else non-confirmable.
func (p *Parser) Response(code codes.Code, maxAgeSeconds uint32) []byte {
	kind := message.NonConfirmable
	if p.Message.Type == message.Confirmable {
		kind = message.Acknowledgement
	}
	return encodeResponse(kind, code, p.Message.MessageID, p.Message.Token, maxAgeSeconds)
}

// SeparateResponse returns an encoded non-confirmable response or notification (RFC
// 7252, section 5.2.2).
func SeparateResponse(code codes.Code, messageID uint16, token []byte, maxAgeSeconds uint32) []byte {
	return encodeResponse(message.NonConfirmable, code, int32(messageID), token, maxAgeSeconds)
}

func encodeResponse(kind message.Type, code codes.Code, messageID int32, token []byte, maxAgeSeconds uint32) []byte {
	response := message.Message{Type: kind, Code: code, MessageID: messageID, Token: token}
	optionBuffer := make([]byte, 8)
	if maxAgeSeconds > 0 {
		options, _, err := response.Options.SetUint32(optionBuffer, message.MaxAge, maxAgeSeconds)
		if err == nil {
			response.Options = options
		}
	}
	buffer := make([]byte, 64)
	size, err := coder.DefaultCoder.Encode(response, buffer)
	if err != nil {
		return nil
	}
	return buffer[:size]
}

// Reset returns the Reset message that rejects a malformed confirmable message (RFC
// 7252, section 4.2), or nil if the packet is not a confirmable CoAP message.
func Reset(packet []byte) []byte {
	const confirmableMask = 0x30
	if len(packet) < headerSize || packet[0]>>6 != 1 || packet[0]&confirmableMask != 0 {
		return nil
	}
	return []byte{1<<6 | byte(message.Reset)<<4, 0, packet[2], packet[3]}
}
