package wire

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/beamdoor/beamdoor/internal/steperror"
)

// packLimit is the size in bytes from which a payload is compressed. A shorter
// one gains less than a packet's head.
const packLimit = 512

// packLevel is the cheapest one: the default level takes twice the time for 4%
// fewer bytes (a list of 600 targets).
const packLevel = flate.BestSpeed

// The first byte of a packed payload tells what follows.
const (
	packedPlain   = 0
	packedDeflate = 1
)

// deflaters are kept: each holds some hundred kilobytes of tables.
var deflaters = sync.Pool{New: func() any {
	// The level is a valid one, which is all that the error is about.
	deflater, _ := flate.NewWriter(io.Discard, packLevel)
	return deflater
}}

// Compress returns a payload in the form in which it travels: compressed when that
// makes it shorter. A whole state of 600 targets shrinks to about a third, and
// nodes have links of 2 Mbit/s.
func Compress(payload []byte) []byte {
	if len(payload) < packLimit {
		return append([]byte{packedPlain}, payload...)
	}
	buffer := bytes.NewBuffer(make([]byte, 0, len(payload)/2))
	buffer.WriteByte(packedDeflate)
	deflater := deflaters.Get().(*flate.Writer)
	defer deflaters.Put(deflater)
	deflater.Reset(buffer)
	_, err := deflater.Write(payload)
	if err == nil {
		err = deflater.Close()
	}
	if err != nil || buffer.Len() > len(payload) {
		// A buffer in memory takes all writes: only the length counts here.
		return append([]byte{packedPlain}, payload...)
	}
	return buffer.Bytes()
}

// Decompress returns the payload that Pack was given.
func Decompress(packed []byte) ([]byte, error) {
	const step = "wire.unpack"
	if len(packed) == 0 {
		return nil, steperror.New(step, "", "the payload is empty")
	}
	switch packed[0] {
	case packedPlain:
		return packed[1:], nil
	case packedDeflate:
		return inflate(packed[1:])
	}
	return nil, steperror.New(step, "", "the payload is packed in an unknown way")
}

// inflate expands a compressed payload of at most MaxBytes.
func inflate(packed []byte) ([]byte, error) {
	const step = "wire.unpack"
	reader := flate.NewReader(bytes.NewReader(packed))
	payload, err := io.ReadAll(io.LimitReader(reader, MaxBytes+1))
	if err != nil {
		return nil, steperror.Wrap(step, "", err)
	}
	if len(payload) > MaxBytes {
		return nil, steperror.New(step, "", "the payload is too large")
	}
	return payload, nil
}
