// Package coapmsg reads what a balancer must know of a CoAP message (RFC
// 7252) and makes the few answers that a balancer gives by itself. The codec
// is that of go-coap.
package coapmsg

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"

	"github.com/beamdoor/beamdoor/internal/steperror"
)

// DeadlineOption carries the time that the caller still waits, in
// milliseconds. The number is from the range for experimental use (RFC 7252,
// section 12.2), elective and safe to forward.
const DeadlineOption message.OptionID = 65004

// optionRoom is the number of options decoded without an allocation.
const optionRoom = 64

func init() {
	message.CoapOptionDefs[DeadlineOption] = message.OptionDef{ValueFormat: message.ValueUint, MinLen: 0, MaxLen: 4}
}

// headerSize is the size of the fixed part of a message in bytes.
const headerSize = 4

// Class tells how a message from a caller is routed.
type Class uint8

// The classes of messages from callers.
const (
	// ClassSafe is a request that may be repeated, or an acknowledgement.
	ClassSafe Class = iota
	// ClassObserve is a request that starts or ends an observation (RFC 7641).
	ClassObserve
	// ClassUnsafe is a request that may not be repeated.
	ClassUnsafe
	// ClassPing is an empty confirmable message (RFC 7252, section 4.3).
	ClassPing
)

// Parser decodes messages into a reused buffer. It is not safe for
// concurrent use.
type Parser struct {
	// Message is the last message that Parse decoded; it shares the packet's buffer.
	Message message.Message
}

// NewParser returns a parser.
func NewParser() *Parser {
	return &Parser{Message: message.Message{Options: make(message.Options, 0, optionRoom)}}
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

// IsRequest reports whether the code is that of a request.
func IsRequest(code codes.Code) bool { return code >= codes.GET && code < 32 }

// IsRegistration reports whether the decoded message starts an observation.
func (p *Parser) IsRegistration() bool {
	value, err := p.Message.Options.Observe()
	return err == nil && value == 0
}

// DeadlineMilliseconds returns the caller's deadline, or 0.
func (p *Parser) DeadlineMilliseconds() uint32 {
	value, err := p.Message.Options.GetUint32(DeadlineOption)
	if err != nil {
		return 0
	}
	return value
}

// RequestKey identifies a request of a flow by its message ID and token. It
// is never 0.
func (p *Parser) RequestKey(flow uint64) uint64 {
	var buffer [8 + 2 + message.MaxTokenSize]byte
	binary.BigEndian.PutUint64(buffer[:], flow)
	binary.BigEndian.PutUint16(buffer[8:], uint16(p.Message.MessageID))
	copy(buffer[10:], p.Message.Token)
	return xxhash.Sum64(buffer[:10+len(p.Message.Token)]) | 1
}

// Code returns the code of an encoded message, or Empty.
func Code(packet []byte) codes.Code {
	if len(packet) < headerSize {
		return codes.Empty
	}
	return codes.Code(packet[1])
}

// Response returns an answer that a balancer gives by itself. A confirmable
// request gets it with its acknowledgement.
func (p *Parser) Response(code codes.Code, maxAgeSeconds uint32) []byte {
	kind := message.NonConfirmable
	if p.Message.Type == message.Confirmable {
		kind = message.Acknowledgement
	}
	return encodeAnswer(kind, code, p.Message.MessageID, p.Message.Token, maxAgeSeconds)
}

// SeparateResponse returns an answer that comes after the acknowledgement, or a
// notification.
func SeparateResponse(code codes.Code, messageID uint16, token []byte, maxAgeSeconds uint32) []byte {
	return encodeAnswer(message.NonConfirmable, code, int32(messageID), token, maxAgeSeconds)
}

func encodeAnswer(kind message.Type, code codes.Code, messageID int32, token []byte, maxAgeSeconds uint32) []byte {
	answer := message.Message{Type: kind, Code: code, MessageID: messageID, Token: token}
	optionBuffer := make([]byte, 8)
	if maxAgeSeconds > 0 {
		options, _, err := answer.Options.SetUint32(optionBuffer, message.MaxAge, maxAgeSeconds)
		if err == nil {
			answer.Options = options
		}
	}
	buffer := make([]byte, 64)
	size, err := coder.DefaultCoder.Encode(answer, buffer)
	if err != nil {
		return nil
	}
	return buffer[:size]
}

// Reset returns the answer to a message that cannot be read (RFC 7252,
// section 4.2), or nil when it does not ask for one.
func Reset(packet []byte) []byte {
	const confirmableMask = 0x30
	if len(packet) < headerSize || packet[0]>>6 != 1 || packet[0]&confirmableMask != 0 {
		return nil
	}
	return []byte{1<<6 | byte(message.Reset)<<4, 0, packet[2], packet[3]}
}
