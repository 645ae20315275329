// Package peerlink provides one-way links between processes. Each link is a TCP
// connection that sends frames to one address; it is opened on demand and reopened after
// a failure. Frames are dropped when the queue is full or there is no connection; the
// protocols above retransmit.
package peerlink

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/beamdoor/beamdoor/internal/ring"
	"github.com/beamdoor/beamdoor/internal/steperror"
	"github.com/beamdoor/beamdoor/internal/wire"
)

const (
	queueCapacity = 1024
	batchLimit    = 64
	// staleAttempts is the number of connection attempts after which queued frames are
	// dropped as outdated.
	staleAttempts = 6
	writeTimeout  = time.Second
	// writeChunkSize is the number of bytes that must be written within writeTimeout.
	writeChunkSize = 16 << 10
	// userTimeout is the time that sent data may stay unacknowledged before the
	// connection fails. It detects interrupted links, which send no reset.
	userTimeout = time.Second
)

// Notify is called when a link has opened, with a nil error, or has failed.
type Notify func(address string, err error)

// Option configures new Links.
type Option func(l *Links)

// WithEchoes makes links send echo requests, and reopens those whose peers stop replying;
// see Echo.
func WithEchoes() Option { return func(l *Links) { l.echoes = true } }

// Links manages the outgoing links of a process.
type Links struct {
	notify  Notify
	echoes  bool
	context context.Context
	cancel  context.CancelFunc
	mutex   sync.Mutex
	links   map[string]*ring.Ring[wire.Frame]
	closed  bool
	group   sync.WaitGroup
}

// New returns Links without any open link.
func New(notify Notify, opts ...Option) *Links {
	l := &Links{notify: notify, links: map[string]*ring.Ring[wire.Frame]{}}
	for _, opt := range opts {
		opt(l)
	}
	l.context, l.cancel = context.WithCancel(context.Background())
	return l
}

// Send queues a frame for an address and never blocks.
func (l *Links) Send(address string, frame wire.Frame) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.closed {
		return
	}
	queue, known := l.links[address]
	if !known {
		queue = ring.New[wire.Frame](queueCapacity)
		l.links[address] = queue
		l.group.Add(1)
		go func() {
			defer l.group.Done()
			l.run(address, queue)
		}()
	}
	queue.TryPush(frame)
}

// Close closes all links.
func (l *Links) Close() {
	l.mutex.Lock()
	l.closed = true
	for _, queue := range l.links {
		queue.Close()
	}
	l.mutex.Unlock()
	l.cancel()
	l.group.Wait()
}

// run writes the frames of one link.
func (l *Links) run(address string, queue *ring.Ring[wire.Frame]) {
	var connection net.Conn
	var monitor *echoMonitor
	defer func() { closeIfOpen(connection) }()
	var batch []wire.Frame
	for {
		var open bool
		batch, open = queue.PopBatch(batch[:0], batchLimit)
		if !open {
			return
		}
		if connection != nil && monitor.timedOut(time.Now()) {
			l.notify(address, errEchoTimeout)
			closeIfOpen(connection)
			connection = nil
		}
		if connection == nil {
			var stale bool
			connection, stale = l.dial(address)
			monitor = l.startMonitor(connection)
			if stale {
				queue.Discard()
				continue
			}
		}
		if l.echoes && monitor.beginRequest(time.Now()) {
			batch = append(batch, wire.Frame{Kind: wire.FrameEcho})
		}
		if err := writeFrames(connection, batch); err != nil {
			l.notify(address, steperror.Wrap("peerlink.write", address, err))
			closeIfOpen(connection)
			connection = nil
		}
	}
}

// startMonitor starts to read echo replies from a new connection, if there is one and
// echoes are enabled.
func (l *Links) startMonitor(connection net.Conn) *echoMonitor {
	monitor := &echoMonitor{}
	if l.echoes && connection != nil {
		go monitor.read(connection)
	}
	return monitor
}

// dial connects to an address and reports whether that took so long that queued frames
// are stale. The connection is nil if the links are closed.
func (l *Links) dial(address string) (connection net.Conn, stale bool) {
	attempts := 0
	connection, _, err := DialFirst(l.context, func() (string, bool) {
		attempts++
		return address, true
	})
	if err != nil {
		return nil, true
	}
	l.notify(address, nil)
	return connection, attempts > staleAttempts
}

func writeFrames(connection net.Conn, frames []wire.Frame) error {
	var buffer []byte
	for _, frame := range frames {
		buffer = wire.AppendFrame(buffer, frame)
	}
	return Write(connection, buffer)
}

// Write writes data to a connection. The timeout applies to each chunk, so that large
// messages can pass a slow link.
func Write(connection net.Conn, data []byte) error {
	for len(data) > 0 {
		chunk := data[:min(len(data), writeChunkSize)]
		if err := connection.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return err
		}
		if _, err := connection.Write(chunk); err != nil {
			return err
		}
		data = data[len(chunk):]
	}
	return nil
}

// idleTimeoutReader reads from a connection and fails if no data arrives within a
// timeout.
type idleTimeoutReader struct {
	connection net.Conn
	timeout    func() time.Duration
}

// NewReader returns a reader that fails if no data arrives within the timeout that the
// function returns before each read. A slow transfer does not fail.
func NewReader(connection net.Conn, timeout func() time.Duration) io.Reader {
	return &idleTimeoutReader{connection: connection, timeout: timeout}
}

// Read implements io.Reader.
func (r *idleTimeoutReader) Read(buffer []byte) (int, error) {
	if err := r.connection.SetReadDeadline(time.Now().Add(r.timeout())); err != nil {
		return 0, err
	}
	return r.connection.Read(buffer)
}

// Listen opens a TCP listener. Call SetUserTimeout on accepted connections to detect
// unresponsive peers.
func Listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp4", address)
	return listener, steperror.Wrap("peerlink.listen", address, err)
}

// SetUserTimeout limits the time that sent data may stay unacknowledged on an accepted
// connection.
func SetUserTimeout(connection net.Conn) {
	raw, ok := connection.(syscall.Conn)
	if !ok {
		return
	}
	if control, err := raw.SyscallConn(); err == nil {
		_ = setUserTimeout("", "", control)
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT on a socket.
func setUserTimeout(_, _ string, control syscall.RawConn) error {
	var socketErr error
	err := control.Control(func(descriptor uintptr) {
		socketErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return socketErr
}

func closeIfOpen(connection net.Conn) {
	if connection != nil {
		_ = connection.Close()
	}
}
