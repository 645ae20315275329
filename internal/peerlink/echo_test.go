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

// peer takes the frames of links and answers requests for an echo until it is silenced.
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

// sendFor sends a frame each 20 ms until a condition holds or the time is over.
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

// Soak seed 7003: a proxy between two members went silent and still acknowledged what was
// sent, so that the system's own limit never ended the connection.
func TestALinkThatGoesSilentThoughItIsAcknowledgedIsOpenedAnew(t *testing.T) {
	p := newPeer(t, true)
	broken := make(chan error, 8)
	links := New(func(_ string, err error) {
		if err != nil {
			broken <- err
		}
	}, WithEchoes())
	defer links.Close()
	require.False(t, sendFor(links, p, 3*echoTimeout/2, func() bool { return p.opened.Load() > 1 }), "while it answers")
	p.answers.Store(false)
	require.True(t, sendFor(links, p, hangTime, func() bool { return p.opened.Load() > 1 }))
	require.ErrorIs(t, <-broken, errSilent)
}

// A member of before echoes never answers: its links stay.
func TestAPeerThatNeverAnsweredIsNotHeldForSilent(t *testing.T) {
	p := newPeer(t, false)
	links := New(func(string, error) {}, WithEchoes())
	defer links.Close()
	assert.False(t, sendFor(links, p, 2*echoTimeout, func() bool { return p.opened.Load() > 1 }))
}

// After a rest of any length the first frame finds the link as it was.
func TestAPauseOfTheSenderIsNoSilence(t *testing.T) {
	var watch echoWatch
	now := time.Unix(1000, 0)
	require.True(t, watch.ask(now))
	require.False(t, watch.ask(now.Add(echoInterval)), "one request at a time")
	watch.noteAnswer()
	later := now.Add(time.Hour)
	assert.False(t, watch.isSilent(later))
	assert.True(t, watch.ask(later))
	assert.False(t, watch.isSilent(later.Add(echoTimeout-time.Millisecond)))
	assert.True(t, watch.isSilent(later.Add(echoTimeout)))
}
