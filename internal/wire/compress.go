package wire

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/beamdoor/beamdoor/internal/steperror"
)

// minCompressSize is the minimum size in bytes of a payload to compress. For shorter ones
// the gain is negligible.
const minCompressSize = 512

// compressionLevel favors speed, since the default level saves few more bytes.
const compressionLevel = flate.BestSpeed

// The first byte of an encoded payload is its format.
const (
	formatPlain   = 0
	formatDeflate = 1
)

// deflateWriters holds writers for reuse, since each of them has large tables.
var deflateWriters = sync.Pool{New: func() any {
	// NewWriter fails only if the level is invalid.
	deflater, _ := flate.NewWriter(io.Discard, compressionLevel)
	return deflater
}}

// Compress returns the payload with a format prefix, compressed if that makes it shorter.
func Compress(payload []byte) []byte {
	if len(payload) < minCompressSize {
		return append([]byte{formatPlain}, payload...)
	}
	buffer := bytes.NewBuffer(make([]byte, 0, len(payload)/2))
	buffer.WriteByte(formatDeflate)
	deflater := deflateWriters.Get().(*flate.Writer)
	defer deflateWriters.Put(deflater)
	deflater.Reset(buffer)
	_, err := deflater.Write(payload)
	if err == nil {
		err = deflater.Close()
	}
	if err != nil || buffer.Len() > len(payload) {
		// Writes to a bytes.Buffer do not fail; only the length matters here.
		return append([]byte{formatPlain}, payload...)
	}
	return buffer.Bytes()
}

// Decompress returns the payload that was passed to Compress.
func Decompress(compressed []byte) ([]byte, error) {
	const step = "wire.unpack"
	if len(compressed) == 0 {
		return nil, steperror.New(step, "", "the payload is empty")
	}
	switch compressed[0] {
	case formatPlain:
		return compressed[1:], nil
	case formatDeflate:
		return inflate(compressed[1:])
	}
	return nil, steperror.New(step, "", "the payload has an unknown format")
}

// inflate decompresses a payload of at most MaxBytes.
func inflate(compressed []byte) ([]byte, error) {
	const step = "wire.unpack"
	reader := flate.NewReader(bytes.NewReader(compressed))
	payload, err := io.ReadAll(io.LimitReader(reader, MaxBytes+1))
	if err != nil {
		return nil, steperror.Wrap(step, "", err)
	}
	if len(payload) > MaxBytes {
		return nil, steperror.New(step, "", "the payload is too large")
	}
	return payload, nil
}
