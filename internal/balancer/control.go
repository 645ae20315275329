package balancer

import (
	"bufio"
	"net"
	"time"

	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/linkhealth"
	"github.com/beamdoor/beamdoor/internal/ring"
	"github.com/beamdoor/beamdoor/internal/routing"
	"github.com/beamdoor/beamdoor/internal/steperror"
	"github.com/beamdoor/beamdoor/internal/wire"
)

const (
	controlQueueSize = 64
	controlTimeout   = time.Second
	controlBackoff   = 250 * time.Millisecond
)

// controlLink maintains a connection to one control member at a time. It tries the
// members round-robin, from a starting point derived from the balancer's name.
type controlLink struct {
	process    *Process
	queue      *ring.Ring[wire.Frame]
	nextMember int
	health     linkhealth.Health
}

func newControlLink(process *Process) *controlLink {
	link := &controlLink{process: process, queue: ring.New[wire.Frame](controlQueueSize)}
	for _, char := range process.settings.Name {
		link.nextMember += int(char)
	}
	return link
}

func (l *controlLink) send(frame wire.Frame) { l.queue.TryPush(frame) }

func (l *controlLink) close() { l.queue.Close() }

// run reconnects to the next member after each failure until the process stops.
func (l *controlLink) run() {
	for {
		select {
		case <-l.process.stopped:
			return
		default:
		}
		addresses := l.process.settings.Control
		address := addresses[l.nextMember%len(addresses)]
		l.nextMember++
		connection, err := net.DialTimeout("tcp", address, controlTimeout)
		if err != nil {
			time.Sleep(controlBackoff)
			continue
		}
		l.process.logger.Event(eventlog.ControlConnected, "peer", address)
		l.process.inputs.TryPush(reconnectedInput{})
		err = l.serve(connection)
		l.process.logger.Event(eventlog.ControlLost, "peer", address, "err", steperror.Wrap("balancer.control", address, err))
	}
}

// serve writes queued frames while another goroutine reads the member's frames. It
// returns the read error once the connection is closed.
func (l *controlLink) serve(connection net.Conn) error {
	readErr := make(chan error, 1)
	go func() {
		readErr <- l.read(connection)
		_ = connection.Close()
	}()
	for {
		frame, open := l.queue.Pop()
		if !open {
			_ = connection.Close()
			return <-readErr
		}
		_ = connection.SetWriteDeadline(time.Now().Add(controlTimeout))
		if _, err := connection.Write(wire.AppendFrame(nil, frame)); err != nil {
			_ = connection.Close()
			return <-readErr
		}
		l.process.metrics.controlSent.Add(float64(wire.FrameSize(frame)))
	}
}

func (l *controlLink) read(connection net.Conn) error {
	const step = "balancer.control"
	reader := bufio.NewReader(connection)
	l.health.ConnectionOpened(l.process.now())
	for {
		if l.health.ShouldSwitch(l.process.now()) {
			return steperror.New(step, connection.RemoteAddr().String(), "the control member reports no leader")
		}
		_ = connection.SetReadDeadline(time.Now().Add(linkhealth.SilenceTimeout))
		frame, err := wire.ReadFrame(reader)
		if err != nil {
			return err
		}
		l.process.metrics.controlReceived.Add(float64(wire.FrameSize(frame)))
		l.health.RecordFrame(l.process.now(), frame)
		l.process.inputs.Push(controlInput{frame: frame})
	}
}

// reconnectedInput signals that a connection to a control member was opened.
type reconnectedInput struct{}

func (reconnectedInput) handle(p *Process, now kernel.Instant) []routing.Action {
	return p.router.HandleReconnect(now)
}

// controlInput is a frame received from the control member.
type controlInput struct{ frame wire.Frame }

func (i controlInput) handle(p *Process, now kernel.Instant) []routing.Action {
	actions, err := p.router.HandleControlFrame(now, i.frame)
	if err != nil {
		p.logger.Event(eventlog.BadFrame, "kind", i.frame.Kind, "err", err)
	}
	return actions
}
