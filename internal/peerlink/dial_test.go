package peerlink

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/beamdoor/beamdoor/internal/wire"
)

// addresses returns a function that returns each address once.
func addresses(list ...string) func() (string, bool) {
	return func() (string, bool) {
		if len(list) == 0 {
			return "", false
		}
		address := list[0]
		list = list[1:]
		return address, true
	}
}

// unresponsiveAddress returns the address of a listener whose queue is full, so that the
// kernel drops SYN packets.
func unresponsiveAddress(t *testing.T) string {
	listener, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	address := listener.Addr().String()
	setZeroBacklog(t, listener)
	for range 4 {
		dialer := net.Dialer{Timeout: 50 * time.Millisecond}
		connection, err := dialer.Dial("tcp4", address)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = connection.Close() })
	}
	t.Fatal("the listener's queue does not fill")
	return ""
}

func listen(t *testing.T) string {
	listener, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// After a power failure, hosts that are still down must not delay connections to others.
func TestDialFirstSkipsUnresponsiveAddress(t *testing.T) {
	unresponsive := unresponsiveAddress(t)
	answering := listen(t)
	started := time.Now()
	connection, address, err := DialFirst(t.Context(), addresses(unresponsive, unresponsive, answering))
	require.NoError(t, err)
	defer func() { _ = connection.Close() }()
	assert.Equal(t, answering, address)
	assert.Less(t, time.Since(started), dialTimeout)
}

func TestDialFirstPrefersFirstAddress(t *testing.T) {
	first, second := listen(t), listen(t)
	for range 20 {
		connection, address, err := DialFirst(t.Context(), addresses(first, second))
		require.NoError(t, err)
		assert.Equal(t, first, address)
		_ = connection.Close()
	}
}

func TestDialFirstReturnsError(t *testing.T) {
	_, _, err := DialFirst(t.Context(), addresses())
	require.ErrorContains(t, err, "no address")
	listener, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	refusing := listener.Addr().String()
	require.NoError(t, listener.Close())
	_, _, err = DialFirst(t.Context(), addresses(refusing))
	require.ErrorContains(t, err, refusing)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, _, err = DialFirst(ctx, func() (string, bool) { return refusing, true })
	require.ErrorIs(t, err, context.DeadlineExceeded)
}

// Frames queued during a long outage are outdated when the peer is back.
func TestStaleFramesAreDropped(t *testing.T) {
	listener, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	links := New(func(string, error) {})
	defer links.Close()
	links.Send(address, wire.Frame{Kind: wire.FrameRaft, Payload: []byte("old")})
	time.Sleep((staleAttempts + 3) * dialStagger)
	listener, err = Listen(address)
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	connection, err := listener.Accept()
	require.NoError(t, err)
	defer func() { _ = connection.Close() }()
	time.Sleep(2 * dialStagger)
	links.Send(address, wire.Frame{Kind: wire.FrameRaft, Payload: []byte("new")})
	require.NoError(t, connection.SetReadDeadline(time.Now().Add(2*time.Second)))
	frame, err := wire.ReadFrame(connection)
	require.NoError(t, err)
	assert.Equal(t, "new", string(frame.Payload))
}

// setZeroBacklog sets the listen backlog to its minimum.
func setZeroBacklog(t *testing.T, listener net.Listener) {
	raw, err := listener.(*net.TCPListener).SyscallConn()
	require.NoError(t, err)
	var listenErr error
	require.NoError(t, raw.Control(func(descriptor uintptr) { listenErr = unix.Listen(int(descriptor), 0) }))
	require.NoError(t, listenErr)
}

func TestHintStartsNextAttempt(t *testing.T) {
	unresponsive, answering := unresponsiveAddress(t), listen(t)
	hints := make(chan struct{}, 1)
	hinted := false
	started := time.Now()
	connection, address, err := DialFirst(t.Context(), func() (string, bool) {
		if hinted {
			return answering, true
		}
		hinted = true
		hints <- struct{}{}
		return unresponsive, true
	}, WithHints(hints))
	require.NoError(t, err)
	defer func() { _ = connection.Close() }()
	assert.Equal(t, answering, address)
	assert.Less(t, time.Since(started), dialStagger)
}
