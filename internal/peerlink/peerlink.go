// Package peerlink provides one-way links between processes: each link is a
// TCP connection that carries frames to one address, opened when needed and
// opened anew when it breaks. A frame that finds no room or no connection is
// dropped; the protocols above send again.
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
	// staleAttempts is the number of attempts to connect after which what has
	// waited for the link is old and is dropped.
	staleAttempts = 6
	writeTimeout  = time.Second
	// partSize is the number of bytes that must be taken within writeTimeout.
	partSize = 16 << 10
	// unackedTimeout is how long sent bytes may stay unacknowledged before
	// the connection is given up: a cut link says nothing.
	unackedTimeout = time.Second
)

// Notify is told when a link has opened (nil error) or broken.
type Notify func(address string, err error)

// Option changes a new set of links.
type Option func(l *Links)

// WithEchoes has links ask their peers for echoes, and opens them anew when these stay
// away; see Echo.
func WithEchoes() Option { return func(l *Links) { l.echoes = true } }

// Links are the outgoing links of a process.
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

// New returns a set of links without any link yet.
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

// Close ends all links.
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
	var watch *echoWatch
	defer func() { closeIfOpen(connection) }()
	var batch []wire.Frame
	for {
		var open bool
		batch, open = queue.PopBatch(batch[:0], batchLimit)
		if !open {
			return
		}
		if connection != nil && watch.isSilent(time.Now()) {
			l.notify(address, errSilent)
			closeIfOpen(connection)
			connection = nil
		}
		if connection == nil {
			var late bool
			connection, late = l.dial(address)
			watch = l.watch(connection)
			if late {
				queue.Discard()
				continue
			}
		}
		if l.echoes && watch.ask(time.Now()) {
			batch = append(batch, wire.Frame{Kind: wire.FrameEcho})
		}
		if err := writeFrames(connection, batch); err != nil {
			l.notify(address, steperror.Wrap("peerlink.write", address, err))
			closeIfOpen(connection)
			connection = nil
		}
	}
}

// watch begins to watch a new connection, if there is one.
func (l *Links) watch(connection net.Conn) *echoWatch {
	watch := &echoWatch{}
	if l.echoes && connection != nil {
		go watch.read(connection)
	}
	return watch
}

// dial connects to an address and tells whether that took so long that what
// has waited meanwhile is old. It returns nil when the links are closed.
func (l *Links) dial(address string) (connection net.Conn, late bool) {
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

// Write writes bytes to a connection. The time limit holds for each part, so
// that a large state reaches a peer behind a slow link.
func Write(connection net.Conn, data []byte) error {
	for len(data) > 0 {
		part := data[:min(len(data), partSize)]
		if err := connection.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return err
		}
		if _, err := connection.Write(part); err != nil {
			return err
		}
		data = data[len(part):]
	}
	return nil
}

// progressReader reads from a connection and gives up only when nothing at all
// has come for a time.
type progressReader struct {
	connection net.Conn
	silence    func() time.Duration
}

// NewReader returns a reader that fails after a silence of the length that the
// function returns before each read. A frame that comes slowly is no silence.
func NewReader(connection net.Conn, silence func() time.Duration) io.Reader {
	return &progressReader{connection: connection, silence: silence}
}

// Read implements io.Reader.
func (r *progressReader) Read(buffer []byte) (int, error) {
	if err := r.connection.SetReadDeadline(time.Now().Add(r.silence())); err != nil {
		return 0, err
	}
	return r.connection.Read(buffer)
}

// Listen opens a listener whose connections notice a silent peer.
func Listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp4", address)
	return listener, steperror.Wrap("peerlink.listen", address, err)
}

// SetUserTimeout makes an accepted connection notice a silent peer.
func SetUserTimeout(connection net.Conn) {
	raw, ok := connection.(syscall.Conn)
	if !ok {
		return
	}
	if control, err := raw.SyscallConn(); err == nil {
		_ = limitUnacked("", "", control)
	}
}

// limitUnacked bounds the time that sent bytes may stay unacknowledged.
func limitUnacked(_, _ string, control syscall.RawConn) error {
	var failure error
	err := control.Control(func(descriptor uintptr) {
		failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}

func closeIfOpen(connection net.Conn) {
	if connection != nil {
		_ = connection.Close()
	}
}
