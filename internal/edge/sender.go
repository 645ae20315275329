package edge

import (
	"net/netip"
	"time"

	"github.com/beamdoor/beamdoor/internal/egress"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/steer"
)

// heldCheckInterval is the interval of checks for held opening packets that may be
// released. A full datagram takes as long on a link of 1 Mbit/s.
const heldCheckInterval = 10 * time.Millisecond

// sender sends the node's datagrams at the rate of the link. It is owned by the goroutine
// that owns the core.
type sender struct {
	process   *Process
	scheduler *egress.Scheduler
	// transmit sends a datagram to the network.
	transmit func(datagram []byte, address netip.AddrPort) error
	// output is the datagram being built.
	output []byte
	// freeBuffers are reusable buffers of datagrams that have left the queue.
	freeBuffers [][]byte
	// timer wakes the core at wakeAt while armed.
	timer      *time.Timer
	armed      bool
	wakeAt     kernel.Instant
	congestion egress.CongestionDetector
	// estimator estimates the rate that the link currently carries.
	estimator *egress.RateEstimator
	admission *egress.AdmissionController
	// belowConfigured is set while the link is reported as narrower than configured.
	belowConfigured bool
	reductions      uint64
	// longestWait is the longest queueing time since the last tick.
	longestWait  time.Duration
	heldOpenings egress.HeldOpenings
	linkUse      linkUse
}

func newSender(process *Process, settings Settings) *sender {
	s := &sender{
		process:   process,
		scheduler: egress.New(egress.WithLink(settings.Link), egress.WithMemoryLimit(settings.Strength.Memory)),
	}
	s.scheduler.OnDrop = s.handleDropped
	s.estimator = egress.NewRateEstimator(s.scheduler.Rate(process.now()))
	s.scheduler.Rate = s.estimator.Rate
	s.admission = egress.NewAdmissionController()
	s.transmit = s.writeToSocket
	return s
}

// forward sends the output, a caller's packet, to a target.
func (s *sender) forward(now kernel.Instant, packet steer.Packet, address netip.AddrPort) {
	s.recordArrived(now, packet)
	s.send(now, packet, itemKind(packet), address)
}

// sendReset sends the output, a reset, to a caller and cancels the flow's queued
// datagrams.
func (s *sender) sendReset(now kernel.Instant, packet steer.Packet, address netip.AddrPort) {
	s.scheduler.CancelFlow(packet.Flow)
	s.send(now, packet, egress.KindReset, address)
}

func itemKind(packet steer.Packet) egress.ItemKind {
	switch {
	case packet.Opening:
		return egress.KindOpening
	case packet.Reset:
		return egress.KindAbort
	case packet.Size > 0:
		return egress.KindData
	case packet.Closing:
		return egress.KindClosing
	}
	return egress.KindAcknowledgement
}

// send sends the output now or queues it for the link.
func (s *sender) send(now kernel.Instant, packet steer.Packet, kind egress.ItemKind, address netip.AddrPort) {
	size := len(s.output) + egress.HeaderBytes
	if s.scheduler.Allow(now, packet.Flow, size) {
		s.write(now, newSent(packet, size), s.output, address)
		return
	}
	item := s.newItem(now, packet, kind)
	item.Size = size
	item.Address = address
	item.Payload = s.output
	switch s.scheduler.Offer(now, &item) {
	case egress.OutcomeSendNow:
		s.write(now, newSent(packet, size), s.output, address)
	case egress.OutcomeQueued:
		s.output = s.takeBuffer()
	case egress.OutcomeDuplicate:
		s.recordDuplicate(now, &item)
	case egress.OutcomeFull:
		s.recordDropped(now, &item, egress.DropFull)
	}
}

func (s *sender) newItem(now kernel.Instant, packet steer.Packet, kind egress.ItemKind) egress.Item {
	item := egress.Item{Flow: packet.Flow, Kind: kind, Sequence: packet.Sequence, Data: packet.Size}
	route := s.process.core.Route(packet.Flow)
	if route == nil {
		return item
	}
	item.Urgency = route.Urgency
	item.Objective = route.Objective
	if route.Timeout > 0 {
		item.ExpiresAt = now.Add(route.Timeout)
	}
	return item
}

// flush sends what the link permits now and sets the timer for the rest.
func (s *sender) flush(now kernel.Instant) {
	s.releaseHeld(now)
	if s.scheduler.Len() == 0 {
		return
	}
	for {
		item, ready := s.scheduler.Next(now)
		if !ready {
			break
		}
		s.recordWait(now, &item)
		s.write(now, egress.SentDatagram{Flow: item.Flow, Sequence: item.Sequence, Data: item.Data, Size: item.Size}, item.Payload, item.Address)
		s.releaseBuffer(item.Payload)
	}
	if wait, waits := s.scheduler.TimeUntilNext(now); waits {
		s.wake(now, wait)
	}
}

// wake sets the timer unless it already fires earlier.
func (s *sender) wake(now kernel.Instant, wait time.Duration) {
	at := now.Add(wait)
	if s.armed && s.wakeAt <= at && now.Before(s.wakeAt) {
		return
	}
	s.armed = true
	s.wakeAt = at
	if s.timer == nil {
		s.timer = time.AfterFunc(wait, func() { s.process.inputs.TryPush(wakeInput{}) })
		return
	}
	s.timer.Reset(wait)
}

// wakeInput triggers a flush, which follows each batch of inputs.
type wakeInput struct{}

func (wakeInput) handle(p *Process, _ kernel.Instant) { p.sender.armed = false }

// tick updates the core, metrics and log with the state of the link.
func (s *sender) tick(now kernel.Instant) {
	s.scheduler.Tick(now)
	delay := max(s.scheduler.QueueDelay(now), s.longestWait)
	s.longestWait = 0
	s.process.core.RecordLinkDelay(now, delay)
	s.process.metrics.linkQueue.Set(float64(s.scheduler.Len()))
	s.process.metrics.linkQueueBytes.Set(float64(s.scheduler.Bytes()))
	s.updateCongestion(now, delay)
	s.updateRate(now)
}

func (s *sender) stop() {
	if s.timer != nil {
		s.timer.Stop()
	}
}

func newSent(packet steer.Packet, size int) egress.SentDatagram {
	return egress.SentDatagram{Flow: packet.Flow, Sequence: packet.Sequence, Data: packet.Size, Size: size}
}

// write transmits a datagram and records the result.
func (s *sender) write(now kernel.Instant, sent egress.SentDatagram, datagram []byte, address netip.AddrPort) {
	if err := s.transmit(datagram, address); err != nil {
		s.handleWriteError(sent.Flow, address, err)
		return
	}
	s.recordSent(now, sent)
}

func (s *sender) writeToSocket(datagram []byte, address netip.AddrPort) error {
	_, err := s.process.socket.WriteToUDPAddrPort(datagram, address)
	return err
}

// takeBuffer returns an empty buffer.
func (s *sender) takeBuffer() []byte {
	last := len(s.freeBuffers) - 1
	if last < 0 {
		return make([]byte, 0, maxDatagram)
	}
	buffer := s.freeBuffers[last]
	s.freeBuffers = s.freeBuffers[:last]
	return buffer[:0]
}

// releaseBuffer keeps the buffer of a datagram that has left the queue for reuse. There
// are never more of them than datagrams queued at once.
func (s *sender) releaseBuffer(buffer []byte) { s.freeBuffers = append(s.freeBuffers, buffer) }

// load returns the load of the link and of its peers for admission control.
func (s *sender) load(now kernel.Instant) egress.LinkLoad {
	return egress.LinkLoad{
		Rate:            s.estimator.Rate(now),
		ConfiguredRate:  s.estimator.ConfiguredRate(),
		QueuedBytes:     float64(s.scheduler.Bytes()),
		HeldUploads:     s.heldOpenings.Len(),
		Utilization:     max(s.linkUse.inShare, s.linkUse.outShare),
		RefusalFraction: s.linkUse.refusedShare.Value(),
		PeersKnown:      s.linkUse.peersKnown,
		RetryWait:       s.linkUse.peers.RetryWait(),
	}
}

// admit decides on a new flow and holds its opening packet if necessary.
func (s *sender) admit(now kernel.Instant, packet steer.Packet, datagram []byte) egress.Decision {
	route := s.process.core.Route(packet.Flow)
	if route == nil || s.estimator.ConfiguredRate() <= 0 {
		return egress.Decision{}
	}
	decision := s.admission.Decide(now, packet.Flow, *route, s.load(now))
	switch {
	case decision.Action == egress.ActionRefuse:
		s.linkUse.refusedAt = now
	case decision.Action == egress.ActionHold && !s.heldOpenings.IsFull():
		s.heldOpenings.Add(now, packet, datagram, route.Urgency, decision.MaxHold)
		s.wake(now, heldCheckInterval)
	case decision.Action == egress.ActionHold:
		s.admission.RecordAccepted(now, packet.Flow, *route)
		return egress.Decision{}
	}
	return decision
}

// releaseHeld dispatches the held flows that fit the link now or have been held for their
// maximum time.
func (s *sender) releaseHeld(now kernel.Instant) {
	if s.heldOpenings.Len() == 0 {
		return
	}
	for {
		held, due := s.heldOpenings.Pop(now, s.admission.CanStartUpload(now, s.load(now)))
		if !due {
			break
		}
		s.dispatchHeld(now, held)
	}
	if s.heldOpenings.Len() > 0 {
		s.wake(now, heldCheckInterval)
	}
}

// dispatchHeld admits a held flow and dispatches its opening packet.
func (s *sender) dispatchHeld(now kernel.Instant, held *egress.HeldOpening) {
	if route := s.process.core.Route(held.Packet.Flow); route != nil {
		s.admission.RecordAccepted(now, held.Packet.Flow, *route)
	}
	waited := now.Sub(held.HeldAt)
	s.process.metrics.openingDelay.Observe(waited.Seconds())
	s.process.logger.Sampled(eventlog.OpeningHeld, "caller", held.Packet.Flow.Caller, "virtual", held.Packet.Flow.Virtual,
		"wait", waited, "urgency", held.Urgency)
	s.process.dispatch(now, held.Packet, held.Datagram)
	s.heldOpenings.Recycle(held)
}
