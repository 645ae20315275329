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

func connect(t *testing.T) (near, far net.Conn) {
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

// A large state takes longer than the timeout on a slow link and must still arrive.
func TestReaderAllowsSlowTransfer(t *testing.T) {
	near, far := connect(t)
	const timeout = 100 * time.Millisecond
	go func() {
		for range 10 {
			_, _ = near.Write([]byte("part"))
			time.Sleep(timeout / 3)
		}
		_ = near.Close()
	}()
	data, err := io.ReadAll(NewReader(far, func() time.Duration { return timeout }))
	require.NoError(t, err)
	assert.Equal(t, bytes.Repeat([]byte("part"), 10), data)
}

func TestReaderTimesOut(t *testing.T) {
	_, far := connect(t)
	started := time.Now()
	_, err := NewReader(far, func() time.Duration { return 50 * time.Millisecond }).Read(make([]byte, 1))
	require.Error(t, err)
	assert.Less(t, time.Since(started), 2*time.Second)
}

func TestSendOpensLink(t *testing.T) {
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

func TestSendToUnreachablePeer(t *testing.T) {
	links := New(func(string, error) {})
	links.Send("127.0.0.1:1", wire.Frame{Kind: wire.FrameKeepalive})
	links.Close()
	links.Send("127.0.0.1:1", wire.Frame{Kind: wire.FrameKeepalive})
}
