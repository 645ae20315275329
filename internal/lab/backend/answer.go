package backend

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/net/blockwise"
	"github.com/plgd-dev/go-coap/v3/udp/coder"

	"github.com/beamdoor/beamdoor/internal/proxyheader"
	"github.com/beamdoor/beamdoor/internal/wire"
)

const (
	datagramSize  = 2048
	optionSize    = 16
	blockSize     = 1024
	blockExponent = 6
	refusalMaxAge = 1
	// DocumentSize is the size of a document in bytes.
	DocumentSize = 24 << 10
	// DocumentPath is the path of all documents; a query names one.
	DocumentPath = "/document"
)

// Document returns the content of a document, which every back end of a
// service has alike.
func Document(name string) []byte {
	content := make([]byte, 0, DocumentSize)
	var counter [8]byte
	for i := uint64(0); len(content) < DocumentSize; i++ {
		binary.BigEndian.PutUint64(counter[:], i)
		content = binary.BigEndian.AppendUint64(content, xxhash.Sum64(append(counter[:], name...)))
	}
	return content
}

func (b *Backend) send(caller netip.AddrPort, tag wire.ForwardTag, encoded []byte) {
	b.events = append(b.events, Event{Kind: Reply, Caller: caller, Tag: tag, Payload: encoded})
}

func (b *Backend) reply(caller netip.AddrPort, tag wire.ForwardTag, answer message.Message) []byte {
	buffer := make([]byte, datagramSize)
	size, err := coder.DefaultCoder.Encode(answer, buffer)
	if err != nil {
		return nil
	}
	encoded := buffer[:size:size]
	b.send(caller, tag, encoded)
	return encoded
}

func (b *Backend) nextMessageID() int32 {
	b.messageID++
	return int32(b.messageID)
}

// answerTo returns the frame of a piggybacked answer.
func answerTo(received message.Message, code codes.Code, payload []byte) message.Message {
	kind := message.Acknowledgement
	if received.Type == message.NonConfirmable {
		kind = message.NonConfirmable
	}
	return message.Message{
		Type:      kind,
		Code:      code,
		MessageID: received.MessageID,
		Token:     bytes.Clone(received.Token),
		Payload:   payload,
	}
}

func (b *Backend) refuse(caller netip.AddrPort, tag wire.ForwardTag, received message.Message) {
	answer := answerTo(received, codes.ServiceUnavailable, nil)
	answer.Options, _, _ = message.Options{}.SetUint32(make([]byte, optionSize), message.MaxAge, refusalMaxAge)
	b.reply(caller, tag, answer)
}

func (b *Backend) serveGet(header proxyheader.Header, received message.Message) {
	path, err := received.Options.Path()
	if err != nil {
		return
	}
	if observe, err := received.Options.Observe(); err == nil {
		b.serveObserve(header, received, observe)
		return
	}
	if path == DocumentPath {
		b.serveBlock(header, received)
		return
	}
	b.reply(header.Source, *header.Tag, answerTo(received, codes.Content, []byte(b.settings.Name)))
}

func (b *Backend) serveObserve(header proxyheader.Header, received message.Message, observe uint32) {
	answer := answerTo(received, codes.Content, []byte(b.settings.Name+" 0"))
	if observe == 0 {
		b.observations[header.Source] = &observation{
			caller: header.Source,
			token:  bytes.Clone(received.Token),
			tag:    *header.Tag,
		}
		answer.Options = observeOption(1)
	} else {
		delete(b.observations, header.Source)
	}
	b.reply(header.Source, *header.Tag, answer)
}

func observeOption(sequence uint32) message.Options {
	options, _, _ := message.Options{}.SetObserve(make([]byte, optionSize), sequence)
	return options
}

// notify sends a notification to every observer.
func (b *Backend) notify() {
	for _, observer := range b.sortedObservations() {
		observer.sequence++
		b.reply(observer.caller, observer.tag, message.Message{
			Type:      message.NonConfirmable,
			Code:      codes.Content,
			MessageID: b.nextMessageID(),
			Token:     observer.token,
			Options:   observeOption(observer.sequence + 1),
			Payload:   fmt.Appendf(nil, "%s %d", b.settings.Name, observer.sequence),
		})
	}
}

func (b *Backend) serveBlock(header proxyheader.Header, received message.Message) {
	name := "document"
	if queries, err := received.Options.Queries(); err == nil && len(queries) > 0 {
		name = queries[0]
	}
	number := askedBlock(received)
	content := Document(name)
	start := min(int(number)*blockSize, len(content))
	end := min(start+blockSize, len(content))
	block, err := blockwise.EncodeBlockOption(blockExponent, number, end < len(content))
	if err != nil {
		return
	}
	answer := answerTo(received, codes.Content, content[start:end])
	tag := binary.BigEndian.AppendUint64(nil, xxhash.Sum64(content))
	options, _, _ := message.Options{}.SetBytes(make([]byte, optionSize), message.ETag, tag)
	options, _, _ = options.SetUint32(make([]byte, optionSize), message.Block2, block)
	answer.Options = options
	b.reply(header.Source, *header.Tag, answer)
}

func askedBlock(received message.Message) int64 {
	value, err := received.Options.GetUint32(message.Block2)
	if err != nil {
		return 0
	}
	_, asked, _, err := blockwise.DecodeBlockOption(value)
	if err != nil {
		return 0
	}
	return asked
}
