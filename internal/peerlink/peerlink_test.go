package peerlink

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/wire"
)

func pair(t *testing.T) (near, far net.Conn) {
	listener, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	near, _, err = DialFirst(t.Context(), addresses(listener.Addr().String()))
	require.NoError(t, err)
	far, err = listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = near.Close()
		_ = far.Close()
	})
	return near, far
}

// A state of 300 KB takes longer than any single limit over a link of 2 Mbit/s:
// nodes of a large fleet never got it (300 machines, all killed at once).
func TestASlowTransferIsNoSilence(t *testing.T) {
	near, far := pair(t)
	const silence = 100 * time.Millisecond
	go func() {
		for range 10 {
			_, _ = near.Write([]byte("part"))
			time.Sleep(silence / 3)
		}
		_ = near.Close()
	}()
	data, err := io.ReadAll(NewReader(far, func() time.Duration { return silence }))
	require.NoError(t, err)
	assert.Equal(t, bytes.Repeat([]byte("part"), 10), data)
}

func TestSilenceEndsTheRead(t *testing.T) {
	_, far := pair(t)
	started := time.Now()
	_, err := NewReader(far, func() time.Duration { return 50 * time.Millisecond }).Read(make([]byte, 1))
	require.Error(t, err)
	assert.Less(t, time.Since(started), 2*time.Second)
}

func TestFramesArriveOverALinkThatIsOpenedWhenNeeded(t *testing.T) {
	listener, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	opened := make(chan error, 1)
	links := New(func(_ string, err error) { opened <- err })
	defer links.Close()
	links.Send(listener.Addr().String(), wire.Frame{Kind: wire.FrameKeepalive, Payload: []byte("hello")})
	connection, err := listener.Accept()
	require.NoError(t, err)
	SetUserTimeout(connection)
	frame, err := wire.ReadFrame(connection)
	require.NoError(t, err)
	assert.Equal(t, "hello", string(frame.Payload))
	assert.NoError(t, <-opened)
	_ = connection.Close()
}

func TestALinkToNobodyDropsFrames(t *testing.T) {
	links := New(func(string, error) {})
	links.Send("127.0.0.1:1", wire.Frame{Kind: wire.FrameKeepalive})
	links.Close()
	links.Send("127.0.0.1:1", wire.Frame{Kind: wire.FrameKeepalive})
}
