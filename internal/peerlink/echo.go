package peerlink

import (
	"bufio"
	"net"
	"sync"
	"time"

	"github.com/beamdoor/beamdoor/internal/steperror"
	"github.com/beamdoor/beamdoor/internal/wire"
)

const (
	// echoInterval is the minimum time between two echo requests on a link in use.
	echoInterval = 400 * time.Millisecond
	// echoTimeout is the maximum time until an echo reply; it equals the time that sent
	// data may stay unacknowledged.
	echoTimeout = userTimeout
)

// echoMonitor detects links on which a middlebox, such as a proxy, acknowledges data that
// no longer reaches the peer, so that the TCP user timeout does not expire. Peers reply
// to each echo request at once. A peer that has never replied does not support echoes and
// does not time out.
type echoMonitor struct {
	mutex   sync.Mutex
	replied bool
	// pending is set while the request sent at requestedAt has no reply.
	pending     bool
	requestedAt time.Time
}

// beginRequest reports whether a request is due and records it as sent.
func (m *echoMonitor) beginRequest(now time.Time) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.pending || now.Sub(m.requestedAt) < echoInterval {
		return false
	}
	m.pending = true
	m.requestedAt = now
	return true
}

// timedOut reports whether a peer that has replied before has left a request without a
// reply for echoTimeout.
func (m *echoMonitor) timedOut(now time.Time) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.replied && m.pending && now.Sub(m.requestedAt) >= echoTimeout
}

func (m *echoMonitor) recordReply() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.replied = true
	m.pending = false
}

// read processes echo replies until the connection ends; the writer detects the end by
// itself.
func (m *echoMonitor) read(connection net.Conn) {
	reader := bufio.NewReader(connection)
	for {
		frame, err := wire.ReadFrame(reader)
		if err != nil {
			return
		}
		if frame.Kind == wire.FrameEcho {
			m.recordReply()
		}
	}
}

// errEchoTimeout is reported when a connection is closed because its peer stopped
// replying.
var errEchoTimeout = steperror.New("peerlink.echo", "", "the peer acknowledges data but does not reply to echo requests")

// Echo replies to an echo request.
func Echo(connection net.Conn) error {
	return Write(connection, wire.AppendFrame(nil, wire.Frame{Kind: wire.FrameEcho}))
}
