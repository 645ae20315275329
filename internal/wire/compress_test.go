package wire

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestCompressRoundTrip(t *testing.T) {
	noise := make([]byte, 4*minCompressSize)
	for position := range noise {
		noise[position] = byte(rand.Uint32())
	}
	cases := map[string][]byte{
		"empty":        {},
		"short":        []byte("one target"),
		"long":         bytes.Repeat([]byte("one target of many "), 1000),
		"not smaller":  noise,
		"at the limit": make([]byte, minCompressSize),
	}
	for name, payload := range cases {
		t.Run(name, func(t *testing.T) {
			compressed := Compress(payload)
			assert.LessOrEqual(t, len(compressed), len(payload)+1)
			decompressed, err := Decompress(compressed)
			require.NoError(t, err)
			assert.Equal(t, payload, append([]byte{}, decompressed...))
		})
	}
}

func TestDecompressInvalidPayload(t *testing.T) {
	long := Compress(bytes.Repeat([]byte("x"), 4*minCompressSize))
	cases := map[string]struct {
		compressed []byte
		problem    string
	}{
		"empty":           {nil, "empty"},
		"unknown format":  {[]byte{9, 1}, "unknown format"},
		"truncated":       {long[:len(long)-3], "EOF"},
		"invalid deflate": {[]byte{formatDeflate, 0xff, 0xff}, "corrupt"},
		"too large":       {Compress(make([]byte, MaxBytes+10)), "too large"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Decompress(test.compressed)
			assert.ErrorContains(t, err, test.problem)
		})
	}
}
