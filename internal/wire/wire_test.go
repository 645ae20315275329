package wire

import (
	"bytes"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func drawReport(t *rapid.T) NodeReport {
	report := NodeReport{
		Nonce:    rapid.Uint64().Draw(t, "nonce"),
		Sequence: rapid.Uint64().Draw(t, "sequence"),
		Applied:  rapid.Uint64().Draw(t, "applied"),
		View:     rapid.Uint64().Draw(t, "view"),
		Cell:     rapid.Uint32().Draw(t, "cell"),
		Settled:  rapid.Bool().Draw(t, "settled"),
		Leaving:  rapid.Bool().Draw(t, "leaving"),
	}
	if rapid.Bool().Draw(t, "introduced") {
		report.Introduction = &NodeIntroduction{Name: rapid.String().Draw(t, "name"), Zone: "z", Peer: "p", Admin: "a"}
	}
	return report
}

func TestReportsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reports := rapid.SliceOfN(rapid.Custom(drawReport), 1, 5).Draw(t, "reports")
		decoded, err := DecodeReports(ReportsFrame(reports).Payload)
		require.NoError(t, err)
		assert.Equal(t, reports, decoded)
	})
}

func TestGrantsAndSignalsRoundTrip(t *testing.T) {
	grants := []Grant{{Nonce: 1, Sequence: 2, ID: 3, LeaseMilliseconds: 4, Revision: 5, CellRevision: 6}}
	decoded, err := DecodeGrants(GrantsFrame(grants).Payload)
	require.NoError(t, err)
	assert.Equal(t, grants, decoded)
	signals := Signals{Term: 1, Sequence: 2, Cell: 3, Targets: []TargetSignal{{TargetID: 4, Weight: 5, Alive: true}}}
	decoder := NewDecoder(SignalsFrame(signals).Payload)
	assert.Equal(t, signals, DecodeSignals(decoder))
	assert.NoError(t, decoder.Err("test"))
}

func TestPeerPacketRoundTrip(t *testing.T) {
	packet := PeerPacket{
		Kind: PeerToBackup, Flags: FlagUnsafe | FlagCovered, Hops: 2, Attempt: 1, From: 7, View: 8,
		ServiceID: 9, TargetID: 10, RequestKey: 11, Visited: 12,
		Caller:  netip.MustParseAddrPort("10.0.0.1:5683"),
		Payload: []byte("payload"),
	}
	encoded := AppendPeerPacket(nil, &packet)
	assert.Len(t, encoded, PeerHeaderSize+len(packet.Payload))
	var decoded PeerPacket
	require.NoError(t, DecodePeerPacket(encoded, &decoded))
	assert.Equal(t, packet, decoded)
	assert.True(t, decoded.Flags.Has(FlagUnsafe))
	assert.False(t, decoded.Flags.Has(FlagUnsafe|FlagRefuse))
}

func TestDecodeTruncatedMessages(t *testing.T) {
	whole := AppendPeerPacket(nil, &PeerPacket{Kind: PeerAnswer, Caller: netip.MustParseAddrPort("10.0.0.1:1")})
	var packet PeerPacket
	for size := range whole {
		assert.Error(t, DecodePeerPacket(whole[:size], &packet))
	}
	reports := ReportsFrame([]NodeReport{{Nonce: 1}}).Payload
	for size := range reports {
		_, err := DecodeReports(reports[:size])
		assert.Error(t, err, "size %d", size)
	}
	_, err := DecodeForwardTag(make([]byte, ForwardTagSize-1))
	assert.Error(t, err)
}

func TestReadFrame(t *testing.T) {
	stream := AppendFrame(nil, Frame{Kind: FrameRaft, Payload: []byte("one")})
	stream = AppendFrame(stream, HelloFrame(Hello{Identity: 5, Empty: true}))
	reader := bytes.NewReader(stream)
	first, err := ReadFrame(reader)
	require.NoError(t, err)
	assert.Equal(t, Frame{Kind: FrameRaft, Payload: []byte("one")}, first)
	second, err := ReadFrame(reader)
	require.NoError(t, err)
	hello, err := DecodeHello(second.Payload)
	require.NoError(t, err)
	assert.Equal(t, Hello{Identity: 5, Empty: true}, hello)
	_, err = ReadFrame(reader)
	assert.Error(t, err)
	_, err = ReadFrame(bytes.NewReader([]byte{0xff, 0xff, 0xff, 0xff, 1}))
	assert.ErrorContains(t, err, "out of range")
}

func FuzzDecodePeerPacket(f *testing.F) {
	f.Add(AppendPeerPacket(nil, &PeerPacket{Kind: PeerToPrimary, Caller: netip.MustParseAddrPort("10.0.0.1:1"), Payload: []byte("x")}))
	f.Fuzz(func(t *testing.T, data []byte) {
		var packet PeerPacket
		if DecodePeerPacket(data, &packet) == nil {
			again := AppendPeerPacket(nil, &packet)
			var second PeerPacket
			require.NoError(t, DecodePeerPacket(again, &second))
			assert.Equal(t, packet, second)
		}
	})
}

func FuzzDecodeReports(f *testing.F) {
	f.Add(ReportsFrame([]NodeReport{{Nonce: 1, Introduction: &NodeIntroduction{Name: "b"}}}).Payload)
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		reports, err := DecodeReports(data)
		if err != nil {
			return
		}
		again, err := DecodeReports(ReportsFrame(reports).Payload)
		require.NoError(t, err)
		assert.Equal(t, reports, again)
	})
}

func FuzzReadFrame(f *testing.F) {
	f.Add(AppendFrame(nil, Frame{Kind: FrameGrant, Payload: []byte("x")}))
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, err := ReadFrame(bytes.NewReader(data))
		if err == nil {
			assert.Equal(t, data[:FrameSize(frame)], AppendFrame(nil, frame))
		}
	})
}
