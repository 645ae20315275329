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
	// echoInterval is the time between two requests for an echo on a link that is in use:
	// 2 x 5 bytes, and two of them pass before a link is held for silent.
	echoInterval = 400 * time.Millisecond
	// echoTimeout is how long an echo may take: as long as sent bytes may stay without an
	// acknowledgement.
	echoTimeout = unackedTimeout
)

// echoWatch finds links that go silent while something on their way, such as a proxy, still
// acknowledges what is sent: the system's own limit sees nothing then. The peer answers
// each request for an echo at once. One that never answered does not know echoes, and is
// not held for silent.
type echoWatch struct {
	mutex    sync.Mutex
	answered bool
	// waits is set while a request has no answer, since askedAt.
	waits   bool
	askedAt time.Time
}

// ask reports whether a request is due, and notes that it is sent.
func (w *echoWatch) ask(now time.Time) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.waits || now.Sub(w.askedAt) < echoInterval {
		return false
	}
	w.waits = true
	w.askedAt = now
	return true
}

// isSilent reports whether a peer that answered before has left a request unanswered.
func (w *echoWatch) isSilent(now time.Time) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.answered && w.waits && now.Sub(w.askedAt) >= echoTimeout
}

func (w *echoWatch) noteAnswer() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.answered = true
	w.waits = false
}

// read takes the peer's echoes until the connection ends; the writer learns of its end.
func (w *echoWatch) read(connection net.Conn) {
	reader := bufio.NewReader(connection)
	for {
		frame, err := wire.ReadFrame(reader)
		if err != nil {
			return
		}
		if frame.Kind == wire.FrameEcho {
			w.noteAnswer()
		}
	}
}

// errSilent ends a connection whose peer no longer answers.
var errSilent = steperror.New("peerlink.echo", "", "the peer takes what is sent and answers nothing")

// Echo answers a request for an echo.
func Echo(connection net.Conn) error {
	return Write(connection, wire.AppendFrame(nil, wire.Frame{Kind: wire.FrameEcho}))
}
