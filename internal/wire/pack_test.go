package wire

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestPackedPayloadsComeBackWhole(t *testing.T) {
	noise := make([]byte, 4*packLimit)
	for position := range noise {
		noise[position] = byte(rand.Uint32())
	}
	cases := map[string][]byte{
		"empty":        {},
		"short":        []byte("one target"),
		"long":         bytes.Repeat([]byte("one target of many "), 1000),
		"not smaller":  noise,
		"at the limit": make([]byte, packLimit),
	}
	for name, payload := range cases {
		t.Run(name, func(t *testing.T) {
			packed := Compress(payload)
			assert.LessOrEqual(t, len(packed), len(payload)+1)
			unpacked, err := Decompress(packed)
			require.NoError(t, err)
			assert.Equal(t, payload, append([]byte{}, unpacked...))
		})
	}
}

func TestBadPackedPayloadsAreRefused(t *testing.T) {
	long := Compress(bytes.Repeat([]byte("x"), 4*packLimit))
	cases := map[string]struct {
		packed  []byte
		problem string
	}{
		"nothing":     {nil, "empty"},
		"unknown":     {[]byte{9, 1}, "unknown way"},
		"cut short":   {long[:len(long)-3], "EOF"},
		"no deflate":  {[]byte{packedDeflate, 0xff, 0xff}, "corrupt"},
		"far too big": {Compress(make([]byte, MaxBytes+10)), "too large"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Decompress(test.packed)
			assert.ErrorContains(t, err, test.problem)
		})
	}
}
