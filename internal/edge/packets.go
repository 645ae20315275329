package edge

import (
	"net/netip"
	"time"

	"github.com/beamdoor/beamdoor/internal/egress"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/steer"
)

const (
	// maxDatagram is the largest datagram in bytes that is read.
	maxDatagram = 2048
	// readBuffer is what the system keeps of what has come in bytes: a second of a link
	// of 8 Mbit/s, or all that comes while a small machine does not run the process.
	readBuffer = 1 << 20
	// readPause is the time between two reads of a socket that cannot be read: a
	// hundred tries a second cost next to nothing.
	readPause = 10 * time.Millisecond
)

// readPackets reads datagrams until the socket is closed.
func (p *Process) readPackets() {
	for {
		buffer := p.buffers.Get().(*[maxDatagram]byte)
		size, _, err := p.socket.ReadFromUDPAddrPort(buffer[:])
		if err != nil {
			p.buffers.Put(buffer)
			if p.isStopped() {
				return
			}
			p.noteReadError(err)
			continue
		}
		if !p.inputs.TryPush(datagramInput{buffer: buffer, size: size}) {
			p.metrics.overflow.Inc()
			p.buffers.Put(buffer)
		}
	}
}

// noteReadError notes that the socket could not be read, and pauses.
func (p *Process) noteReadError(err error) {
	p.metrics.readErrors.Inc()
	p.logger.Sampled(eventlog.SocketFailed, "step", "edge.read", "err", err)
	select {
	case <-time.After(readPause):
	case <-p.stopped:
	}
}

type datagramInput struct {
	buffer *[maxDatagram]byte
	size   int
}

func (i datagramInput) handle(p *Process, now kernel.Instant) {
	p.handleDatagram(now, i.buffer[:i.size])
	p.buffers.Put(i.buffer)
}

func (p *Process) handleDatagram(now kernel.Instant, datagram []byte) {
	p.sender.noteReceived(now, len(datagram)+egress.HeaderBytes)
	packet, ok := p.settings.Format.Decode(datagram)
	if !ok {
		p.metrics.malformed.Inc()
		return
	}
	if !p.core.CanDecide(packet) && p.keep(now, packet, datagram) {
		p.metrics.waited.Inc()
		return
	}
	p.waiting.drop(packet.Flow)
	p.decide(now, packet, datagram)
}

// keep lets a packet wait until the node knows enough for it.
func (p *Process) keep(now kernel.Instant, packet steer.Packet, datagram []byte) bool {
	p.metrics.left.Add(float64(p.waiting.makeRoom(now, p.patience)))
	if p.waiting.add(now, packet, datagram) {
		return true
	}
	p.metrics.unheld.Inc()
	p.logger.Sampled(eventlog.WaitlistFull, "caller", packet.Flow.Caller, "virtual", packet.Flow.Virtual, "capacity", p.waiting.capacity)
	return false
}

// decide carries out the core's decision on a packet.
func (p *Process) decide(now kernel.Instant, packet steer.Packet, datagram []byte) {
	if packet.Opening && (p.sender.held.Contains(packet.Flow) || packet.Copy > 0 && p.sender.scheduler.HasQueuedOpening(packet.Flow)) {
		p.metrics.duplicates.Inc()
		return
	}
	if packet.Opening && packet.Copy == 0 {
		decision := p.sender.admit(now, packet, datagram)
		p.metrics.admissions[decision.Reason].Inc()
		switch decision.Action {
		case egress.ActionRefuse:
			p.refuse(now, packet, decision.Reason)
			return
		case egress.ActionHold:
			return
		}
	}
	p.begin(now, packet, datagram)
}

// begin carries out the core's decision on a packet that is not refused.
func (p *Process) begin(now kernel.Instant, packet steer.Packet, datagram []byte) {
	decision := p.core.Decide(now, packet)
	p.metrics.count(decision)
	p.logDecision(packet, decision)
	switch decision.Action {
	case steer.ActionForward:
		p.sender.output = p.settings.Format.Forward(p.sender.output[:0], datagram, decision.Target)
		p.sender.forward(now, packet, decision.Target.Address)
	case steer.ActionReset:
		p.reset(now, packet)
	}
}

// refuse resets a flow that is better off at another node: its caller comes back there.
func (p *Process) refuse(now kernel.Instant, packet steer.Packet, reason egress.DecisionReason) {
	p.metrics.linkRefused.Inc()
	p.reset(now, packet)
	load := p.sender.load(now)
	p.logger.Sampled(eventlog.FlowReset, "caller", packet.Flow.Caller, "virtual", packet.Flow.Virtual,
		"reason", reason, "rate", load.Rate, "use", load.Utilization, "wait", load.ExpectedWait(), "offered", load.RetryWait,
		"version", p.core.Version(), "revision", p.core.Revision())
}

// reset tells a caller that its flow does not exist.
func (p *Process) reset(now kernel.Instant, packet steer.Packet) {
	var address netip.AddrPort
	p.sender.output, address = p.settings.Format.Reset(p.sender.output[:0], packet, p.port)
	p.sender.reset(now, packet, address)
}

// notePlaced notes that a new flow was placed by state of an age.
func (p *Process) notePlaced(age time.Duration) {
	p.metrics.stateAge.Observe(age.Seconds())
	if p.core.UsesRemembered() {
		p.metrics.placedByMemory.Inc()
	}
	if !p.placed {
		p.placed = true
		p.metrics.firstPlaced.Observe(time.Since(p.started).Seconds())
	}
}

// logDecision writes a line for each decision that is not plain forwarding.
func (p *Process) logDecision(packet steer.Packet, decision steer.Decision) {
	if decision.Reason == steer.ReasonToken {
		return
	}
	age := p.subscriber.stateAge()
	if decision.Reason == steer.ReasonPlaced || decision.Reason == steer.ReasonPlacedAgain {
		p.notePlaced(age)
	}
	event := eventlog.PacketDropped
	switch {
	case decision.Reason == steer.ReasonPlaced:
		event = eventlog.FlowPlaced
	case decision.Reason == steer.ReasonPlacedAgain:
		event = eventlog.FlowPlacedAgain
	case decision.Action == steer.ActionReset:
		event = eventlog.FlowReset
	}
	p.logger.Sampled(event, "caller", packet.Flow.Caller, "virtual", packet.Flow.Virtual,
		"reason", decision.Reason, "route", decision.Route, "copy", packet.Copy, "token", packet.Token,
		"target", decision.Target.ID, "target_token", decision.Target.Token,
		"candidates", decision.Candidates, "waiting", decision.Waiting, "time", decision.RelativeTime, "doubtful", decision.Doubtful, "ejected", decision.Ejected,
		"version", p.core.Version(), "revision", p.core.Revision(), "state_age", age)
}
