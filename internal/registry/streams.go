package registry

import (
	"bufio"
	"net"

	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/peerlink"
	"github.com/beamdoor/beamdoor/internal/ring"
	"github.com/beamdoor/beamdoor/internal/speed"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// accept serves each connection in its own goroutine.
func (p *Process) accept() {
	for {
		connection, err := p.listener.Accept()
		if err != nil {
			return
		}
		peerlink.SetUserTimeout(connection)
		go p.serve(connection)
	}
}

// serve reads frames from another member, or serves a node that subscribes or an operator.
func (p *Process) serve(connection net.Conn) {
	done := make(chan struct{})
	defer close(done)
	go p.closeOnStop(connection, done)
	reader := bufio.NewReader(connection)
	for {
		frame, err := wire.ReadFrame(reader)
		if err != nil {
			return
		}
		if frame.Kind == wire.FrameSubscribe {
			p.serveNode(connection, reader, frame)
			return
		}
		if frame.Kind == wire.FrameOrder {
			p.serveOperatorRequest(connection, frame)
			continue
		}
		if frame.Kind == wire.FrameEcho {
			if err := peerlink.Echo(connection); err != nil {
				return
			}
			continue
		}
		if frame.Kind == wire.FrameRoster {
			p.announcer.receiveRoster(frame)
			continue
		}
		p.inputs.Push(frameInput{frame: frame})
	}
}

func (p *Process) closeOnStop(connection net.Conn, done chan struct{}) {
	select {
	case <-p.stopped:
	case <-done:
	}
	_ = connection.Close()
}

// serveNode streams updates to a node until the connection closes.
func (p *Process) serveNode(connection net.Conn, reader *bufio.Reader, frame wire.Frame) {
	subscribe, err := DecodeSubscribe(frame.Payload)
	if err != nil {
		p.logger.Event(eventlog.BadFrame, "peer", connection.RemoteAddr(), "err", err)
		return
	}
	if table := p.referrals.Load(); table.refers(subscribe) {
		p.refer(connection, subscribe, table)
		return
	}
	p.mutex.Lock()
	p.nextConnection++
	id := p.nextConnection
	p.mutex.Unlock()
	queue := ring.New[wire.Frame](nodeQueueCapacity)
	go p.writeNode(connection, queue)
	p.inputs.Push(subscribeInput{connection: id, subscribe: subscribe, queue: queue})
	for {
		frame, err := wire.ReadFrame(reader)
		if err != nil {
			break
		}
		p.receiveFromNode(id, frame)
	}
	p.inputs.Push(unsubscribeInput{connection: id})
}

// refer sends a node its referral without involving the core.
func (p *Process) refer(connection net.Conn, subscribe Subscribe, table *referralTable) {
	p.metrics.referrals.Inc()
	p.logger.Sampled(eventlog.NodeReferred, "node", subscribe.Node, "zone", subscribe.Zone)
	if err := peerlink.Write(connection, wire.AppendFrame(nil, table.frame)); err != nil {
		p.logger.Sampled(eventlog.BadFrame, "node", subscribe.Node, "peer", connection.RemoteAddr(), "err", err)
	}
}

// receiveFromNode processes a frame from a node. Unknown kinds are ignored.
func (p *Process) receiveFromNode(connection ConnectionID, frame wire.Frame) {
	switch frame.Kind {
	case wire.FrameEvidence:
		p.receiveEvidence(connection, frame)
	case wire.FrameRoom:
		p.receiveLinkReport(connection, frame)
	case wire.FrameSpeeds:
		p.receiveResponseTimes(connection, frame)
	case wire.FrameSubscribe:
		p.receiveStrength(connection, frame)
	}
}

// receiveEvidence processes a node's evidence, which may be dropped under load.
func (p *Process) receiveEvidence(connection ConnectionID, frame wire.Frame) {
	evidence, err := DecodeEvidence(frame.Payload)
	if err != nil {
		p.logger.Event(eventlog.BadFrame, "connection", connection, "err", err)
		return
	}
	p.inputs.TryPush(evidenceInput{connection: connection, evidence: evidence})
}

// receiveResponseTimes processes a node's report of target response times. The report may be
// dropped under load, since the next one replaces it.
func (p *Process) receiveResponseTimes(connection ConnectionID, frame wire.Frame) {
	report, err := speed.Decode(frame.Payload)
	if err != nil {
		p.logger.Sampled(eventlog.BadFrame, "connection", connection, "kind", frame.Kind, "err", err)
		return
	}
	p.inputs.TryPush(responseTimesInput{connection: connection, reports: report.Reports})
}

type responseTimesInput struct {
	connection ConnectionID
	reports    []speed.Report
}

func (i responseTimesInput) handle(p *Process, now kernel.Instant) Output {
	if p.core != nil {
		p.core.RecordResponseTimes(now, i.connection, i.reports)
	}
	return Output{}
}

type evidenceInput struct {
	connection ConnectionID
	evidence   Evidence
}

func (i evidenceInput) handle(p *Process, now kernel.Instant) Output {
	if p.core != nil {
		p.core.RecordEvidence(now, i.connection, i.evidence)
	}
	return Output{}
}

func (p *Process) writeNode(connection net.Conn, queue *ring.Ring[wire.Frame]) {
	defer func() { _ = connection.Close() }()
	var batch []wire.Frame
	var buffer []byte
	for {
		var ok bool
		batch, ok = queue.PopBatch(batch[:0], inputBatch)
		if !ok {
			return
		}
		buffer = buffer[:0]
		for _, frame := range batch {
			buffer = wire.AppendFrame(buffer, frame)
		}
		if err := peerlink.Write(connection, buffer); err != nil {
			return
		}
	}
}
