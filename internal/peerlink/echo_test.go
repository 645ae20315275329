package peerlink

import (
	"bufio"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/wire"
)

// peer accepts links and replies to echo requests while answers is set.
type peer struct {
	listener net.Listener
	opened   atomic.Int32
	answers  atomic.Bool
}

func newPeer(t *testing.T, answers bool) *peer {
	t.Helper()
	listener, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	p := &peer{listener: listener}
	p.answers.Store(answers)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			p.opened.Add(1)
			go p.serve(connection)
		}
	}()
	return p
}

func (p *peer) serve(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for {
		frame, err := wire.ReadFrame(reader)
		if err != nil {
			return
		}
		if frame.Kind == wire.FrameEcho && p.answers.Load() {
			_ = Echo(connection)
		}
	}
}

// sendFor sends a frame every 20 ms until the condition holds or the limit has passed.
func sendFor(links *Links, p *peer, limit time.Duration, done func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		links.Send(p.listener.Addr().String(), wire.Frame{Kind: wire.FrameRaft})
		if done() {
			return true
		}
	}
	return done()
}

// hangTime is the time after which a test counts as hung.
const hangTime = 20 * time.Second

// A proxy that acknowledges data but no longer forwards it defeats the TCP user timeout.
func TestLinkReopensAfterEchoTimeout(t *testing.T) {
	p := newPeer(t, true)
	failures := make(chan error, 8)
	links := New(func(_ string, err error) {
		if err != nil {
			failures <- err
		}
	}, WithEchoes())
	defer links.Close()
	require.False(t, sendFor(links, p, 3*echoTimeout/2, func() bool { return p.opened.Load() > 1 }), "while the peer replies")
	p.answers.Store(false)
	require.True(t, sendFor(links, p, hangTime, func() bool { return p.opened.Load() > 1 }))
	require.ErrorIs(t, <-failures, errEchoTimeout)
}

// Peers of earlier releases do not reply to echo requests.
func TestPeerWithoutEchoesDoesNotTimeOut(t *testing.T) {
	p := newPeer(t, false)
	links := New(func(string, error) {}, WithEchoes())
	defer links.Close()
	assert.False(t, sendFor(links, p, 2*echoTimeout, func() bool { return p.opened.Load() > 1 }))
}

// A link that has been idle must not time out on its next frame.
func TestIdleSenderDoesNotTimeOut(t *testing.T) {
	var monitor echoMonitor
	now := time.Unix(1000, 0)
	require.True(t, monitor.beginRequest(now))
	require.False(t, monitor.beginRequest(now.Add(echoInterval)), "one request at a time")
	monitor.recordReply()
	later := now.Add(time.Hour)
	assert.False(t, monitor.timedOut(later))
	assert.True(t, monitor.beginRequest(later))
	assert.False(t, monitor.timedOut(later.Add(echoTimeout-time.Millisecond)))
	assert.True(t, monitor.timedOut(later.Add(echoTimeout)))
}
