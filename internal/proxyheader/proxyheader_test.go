package proxyheader

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/wire"
)

func TestHeaderRoundTrip(t *testing.T) {
	tag := wire.ForwardTag{ServiceID: 1, TargetID: 2, View: 3, RequestKey: 4}
	tests := map[string]Header{
		"caller": {Source: netip.MustParseAddrPort("10.0.0.1:4000"), Destination: netip.MustParseAddrPort("10.1.0.1:5683")},
		"target": {Source: netip.MustParseAddrPort("10.0.0.1:4000"), Destination: netip.MustParseAddrPort("10.1.0.1:5683"), Tag: &tag},
		"IPv6":   {Source: netip.MustParseAddrPort("[fd00::1]:4000"), Destination: netip.MustParseAddrPort("[fd00::2]:5683"), Tag: &tag},
	}
	for name, header := range tests {
		t.Run(name, func(t *testing.T) {
			encoded, err := Append(nil, header)
			require.NoError(t, err)
			decoded, payload, err := NewReader().Read(append(encoded, "datagram"...))
			require.NoError(t, err)
			assert.Equal(t, header, decoded)
			assert.Equal(t, "datagram", string(payload))
		})
	}
}

func FuzzRead(f *testing.F) {
	encoded, err := Append(nil, Header{
		Source:      netip.MustParseAddrPort("10.0.0.1:4000"),
		Destination: netip.MustParseAddrPort("10.1.0.1:5683"),
		Tag:         &wire.ForwardTag{ServiceID: 1},
	})
	require.NoError(f, err)
	f.Add(append(encoded, "datagram"...))
	f.Add([]byte("PROXY UDP4 10.0.0.1 10.0.0.2 1 2\r\n"))
	reader := NewReader()
	f.Fuzz(func(t *testing.T, data []byte) {
		header, payload, err := reader.Read(data)
		if err != nil {
			return
		}
		assert.LessOrEqual(t, len(payload), len(data))
		assert.True(t, header.Source.IsValid())
	})
}
