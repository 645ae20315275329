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
	// maxDatagram is the maximum size of a datagram in bytes.
	maxDatagram = 2048
	// socketReadBuffer is the size of the socket's receive buffer in bytes. It holds what
	// arrives while the process is not scheduled: a second of a link of 8 Mbit/s.
	socketReadBuffer = 1 << 20
	// readRetryDelay is the delay after a failed read.
	readRetryDelay = 10 * time.Millisecond
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
			p.handleReadError(err)
			continue
		}
		if !p.inputs.TryPush(datagramInput{buffer: buffer, size: size}) {
			p.metrics.inputOverflow.Inc()
			p.buffers.Put(buffer)
		}
	}
}

// handleReadError records a failed read and waits before the next.
func (p *Process) handleReadError(err error) {
	p.metrics.readErrors.Inc()
	p.logger.Sampled(eventlog.SocketFailed, "step", "edge.read", "err", err)
	select {
	case <-time.After(readRetryDelay):
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
	p.sender.recordReceived(now, len(datagram)+egress.HeaderBytes)
	packet, ok := p.settings.Format.Decode(datagram)
	if !ok {
		p.metrics.malformed.Inc()
		return
	}
	if !p.core.CanDecide(packet) && p.addToWaitlist(now, packet, datagram) {
		p.metrics.waitlisted.Inc()
		return
	}
	p.waitlist.remove(packet.Flow)
	p.handlePacket(now, packet, datagram)
}

// addToWaitlist adds a packet that cannot be decided yet. It returns false if the
// waitlist is full.
func (p *Process) addToWaitlist(now kernel.Instant, packet steer.Packet, datagram []byte) bool {
	p.metrics.expiredWaiting.Add(float64(p.waitlist.evictExpired(now, p.waitLimit)))
	if p.waitlist.add(now, packet, datagram) {
		return true
	}
	p.metrics.waitlistFull.Inc()
	p.logger.Sampled(eventlog.WaitlistFull, "caller", packet.Flow.Caller, "virtual", packet.Flow.Virtual, "capacity", p.waitlist.capacity)
	return false
}

// handlePacket drops copies of opening packets that are held or queued, applies admission
// control to new flows and dispatches the packet unless it is refused or held.
func (p *Process) handlePacket(now kernel.Instant, packet steer.Packet, datagram []byte) {
	if packet.Opening && (p.sender.heldOpenings.Contains(packet.Flow) || packet.Copy > 0 && p.sender.scheduler.HasQueuedOpening(packet.Flow)) {
		p.metrics.duplicates.Inc()
		return
	}
	if packet.Opening && packet.Copy == 0 {
		decision := p.sender.admit(now, packet, datagram)
		p.metrics.admissions[decision.Reason].Inc()
		switch decision.Action {
		case egress.ActionRefuse:
			p.refuseFlow(now, packet, decision.Reason)
			return
		case egress.ActionHold:
			return
		}
	}
	p.dispatch(now, packet, datagram)
}

// dispatch forwards or resets an admitted packet as the core decides.
func (p *Process) dispatch(now kernel.Instant, packet steer.Packet, datagram []byte) {
	decision := p.core.Decide(now, packet)
	p.metrics.count(decision)
	p.logDecision(packet, decision)
	switch decision.Action {
	case steer.ActionForward:
		p.sender.output = p.settings.Format.Forward(p.sender.output[:0], datagram, decision.Target)
		p.sender.forward(now, packet, decision.Target.Address)
	case steer.ActionReset:
		p.sendReset(now, packet)
	}
}

// refuseFlow resets a new flow that admission control has refused for lack of room on the
// link.
func (p *Process) refuseFlow(now kernel.Instant, packet steer.Packet, reason egress.DecisionReason) {
	p.metrics.linkRefused.Inc()
	p.sendReset(now, packet)
	load := p.sender.load(now)
	p.logger.Sampled(eventlog.FlowReset, "caller", packet.Flow.Caller, "virtual", packet.Flow.Virtual,
		"reason", reason, "rate", load.Rate, "use", load.Utilization, "wait", load.ExpectedWait(), "offered", load.RetryWait,
		"version", p.core.Version(), "revision", p.core.Revision())
}

// sendReset tells a caller that its flow does not exist.
func (p *Process) sendReset(now kernel.Instant, packet steer.Packet) {
	var address netip.AddrPort
	p.sender.output, address = p.settings.Format.Reset(p.sender.output[:0], packet, p.port)
	p.sender.sendReset(now, packet, address)
}

// recordPlacement records the placement of a new flow and the age of the state used.
func (p *Process) recordPlacement(age time.Duration) {
	p.metrics.stateAge.Observe(age.Seconds())
	if p.core.UsesRemembered() {
		p.metrics.placedFromRemembered.Inc()
	}
	if !p.hasPlaced {
		p.hasPlaced = true
		p.metrics.firstPlacement.Observe(time.Since(p.started).Seconds())
	}
}

// logDecision logs each decision other than forwarding by token.
func (p *Process) logDecision(packet steer.Packet, decision steer.Decision) {
	if decision.Reason == steer.ReasonToken {
		return
	}
	age := p.subscriber.stateAge()
	if decision.Reason == steer.ReasonPlaced || decision.Reason == steer.ReasonPlacedAgain {
		p.recordPlacement(age)
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
		"candidates", decision.Candidates, "waiting", decision.Waiting, "time", decision.RelativeTime, "doubtful", decision.Unresponsive, "ejected", decision.Ejected,
		"version", p.core.Version(), "revision", p.core.Revision(), "state_age", age)
}
