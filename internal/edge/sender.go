package edge

import (
	"net/netip"
	"time"

	"github.com/beamdoor/beamdoor/internal/egress"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/steer"
)

// holdPause is the time between two looks at the openings that are held: a full datagram
// takes as long on a link of 1 Mbit/s.
const holdPause = 10 * time.Millisecond

// sender sends the node's datagrams, no faster than the link carries. The goroutine
// that owns the core owns it too.
type sender struct {
	process   *Process
	scheduler *egress.Scheduler
	// transmit hands a datagram to the network.
	transmit func(datagram []byte, address netip.AddrPort) error
	// output is the datagram that is being made.
	output []byte
	// spare are buffers for datagrams, those of what has been sent.
	spare [][]byte
	// timer wakes the core at wakeAt when armed.
	timer  *time.Timer
	armed  bool
	wakeAt kernel.Instant
	watch  egress.CongestionDetector
	// learner learns the rate that the link carries now.
	learner   *egress.RateEstimator
	admission *egress.AdmissionController
	// narrow is set while the link is held to carry clearly less than stated.
	narrow     bool
	reductions uint64
	// longest is the longest wait of a datagram that has left since the last tick.
	longest time.Duration
	held    egress.HeldOpenings
	room    roomKeeper
}

func newSender(process *Process, settings Settings) *sender {
	s := &sender{
		process:   process,
		scheduler: egress.New(egress.WithLink(settings.Link), egress.WithMemoryLimit(settings.Strength.Memory)),
	}
	s.scheduler.OnDrop = s.dropped
	s.learner = egress.NewRateEstimator(s.scheduler.Rate(process.now()))
	s.scheduler.Rate = s.learner.Rate
	s.admission = egress.NewAdmissionController()
	s.transmit = s.writeToSocket
	return s
}

// forward sends the output, which holds a packet of a caller, to a target.
func (s *sender) forward(now kernel.Instant, packet steer.Packet, address netip.AddrPort) {
	s.noteArrived(now, packet)
	s.send(now, packet, kindOf(packet), address)
}

// reset sends the output, which holds a reset, to a caller. What waits of the flow is
// of no use any more.
func (s *sender) reset(now kernel.Instant, packet steer.Packet, address netip.AddrPort) {
	s.scheduler.CancelFlow(packet.Flow)
	s.send(now, packet, egress.KindReset, address)
}

func kindOf(packet steer.Packet) egress.ItemKind {
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

// send sends the output now, or lets it wait for the link.
func (s *sender) send(now kernel.Instant, packet steer.Packet, kind egress.ItemKind, address netip.AddrPort) {
	size := len(s.output) + egress.HeaderBytes
	if s.scheduler.Allow(now, packet.Flow, size) {
		s.write(now, sentOf(packet, size), s.output, address)
		return
	}
	item := s.itemOf(now, packet, kind)
	item.Size = size
	item.Address = address
	item.Payload = s.output
	switch s.scheduler.Offer(now, &item) {
	case egress.OutcomeSendNow:
		s.write(now, sentOf(packet, size), s.output, address)
	case egress.OutcomeQueued:
		s.output = s.takeSpare()
	case egress.OutcomeDuplicate:
		s.noteDuplicate(now, &item)
	case egress.OutcomeFull:
		s.noteDropped(now, &item, egress.DropFull)
	}
}

func (s *sender) itemOf(now kernel.Instant, packet steer.Packet, kind egress.ItemKind) egress.Item {
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

// flush sends what the link takes now, and lets the timer wake the core when it takes
// more.
func (s *sender) flush(now kernel.Instant) {
	s.release(now)
	if s.scheduler.Len() == 0 {
		return
	}
	for {
		item, ready := s.scheduler.Next(now)
		if !ready {
			break
		}
		s.noteWait(now, &item)
		s.write(now, egress.SentDatagram{Flow: item.Flow, Sequence: item.Sequence, Data: item.Data, Size: item.Size}, item.Payload, item.Address)
		s.giveSpare(item.Payload)
	}
	if wait, waits := s.scheduler.TimeUntilNext(now); waits {
		s.wake(now, wait)
	}
}

// wake lets the timer wake the core, unless it does so earlier anyway.
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

// wakeInput lets the sender send what the link takes by now; it does so after each
// batch of inputs.
type wakeInput struct{}

func (wakeInput) handle(p *Process, _ kernel.Instant) { p.sender.armed = false }

// tick tells the core and the log how the link is.
func (s *sender) tick(now kernel.Instant) {
	s.scheduler.Tick(now)
	delay := max(s.scheduler.QueueDelay(now), s.longest)
	s.longest = 0
	s.process.core.RecordLinkDelay(now, delay)
	s.process.metrics.linkQueue.Set(float64(s.scheduler.Len()))
	s.process.metrics.linkQueueBytes.Set(float64(s.scheduler.Bytes()))
	s.noteCongestion(now, delay)
	s.noteRate(now)
}

func (s *sender) stop() {
	if s.timer != nil {
		s.timer.Stop()
	}
}

func sentOf(packet steer.Packet, size int) egress.SentDatagram {
	return egress.SentDatagram{Flow: packet.Flow, Sequence: packet.Sequence, Data: packet.Size, Size: size}
}

// write hands a datagram to the network and notes what became of it.
func (s *sender) write(now kernel.Instant, sent egress.SentDatagram, datagram []byte, address netip.AddrPort) {
	if err := s.transmit(datagram, address); err != nil {
		s.noteWriteError(sent.Flow, address, err)
		return
	}
	s.noteSent(now, sent)
}

func (s *sender) writeToSocket(datagram []byte, address netip.AddrPort) error {
	_, err := s.process.socket.WriteToUDPAddrPort(datagram, address)
	return err
}

// takeSpare returns an empty buffer.
func (s *sender) takeSpare() []byte {
	last := len(s.spare) - 1
	if last < 0 {
		return make([]byte, 0, maxDatagram)
	}
	buffer := s.spare[last]
	s.spare = s.spare[:last]
	return buffer[:0]
}

// giveSpare keeps the buffer of a datagram that has left the queue. There are no more
// of them than the queue has held at once.
func (s *sender) giveSpare(buffer []byte) { s.spare = append(s.spare, buffer) }

// load returns how the link stands and what is known of others.
func (s *sender) load(now kernel.Instant) egress.LinkLoad {
	return egress.LinkLoad{
		Rate:            s.learner.Rate(now),
		ConfiguredRate:  s.learner.ConfiguredRate(),
		QueuedBytes:     float64(s.scheduler.Bytes()),
		HeldUploads:     s.held.Len(),
		Utilization:     max(s.room.in, s.room.out),
		RefusalFraction: s.room.refused.Value(),
		PeersKnown:      s.room.known,
		RetryWait:       s.room.view.RetryWait(),
	}
}

// admit decides on a new flow, and holds its opening packet where that is decided.
func (s *sender) admit(now kernel.Instant, packet steer.Packet, datagram []byte) egress.Decision {
	route := s.process.core.Route(packet.Flow)
	if route == nil || s.learner.ConfiguredRate() <= 0 {
		return egress.Decision{}
	}
	decision := s.admission.Decide(now, packet.Flow, *route, s.load(now))
	switch {
	case decision.Action == egress.ActionRefuse:
		s.room.refusedAt = now
	case decision.Action == egress.ActionHold && !s.held.IsFull():
		s.held.Add(now, packet, datagram, route.Urgency, decision.MaxHold)
		s.wake(now, holdPause)
	case decision.Action == egress.ActionHold:
		s.admission.RecordAccepted(now, packet.Flow, *route)
		return egress.Decision{}
	}
	return decision
}

// release begins the held flows whose data has room now, or that have waited long enough.
func (s *sender) release(now kernel.Instant) {
	if s.held.Len() == 0 {
		return
	}
	for {
		held, due := s.held.Pop(now, s.admission.CanStartUpload(now, s.load(now)))
		if !due {
			break
		}
		s.begin(now, held)
	}
	if s.held.Len() > 0 {
		s.wake(now, holdPause)
	}
}

// begin begins a held flow.
func (s *sender) begin(now kernel.Instant, held *egress.HeldOpening) {
	if route := s.process.core.Route(held.Packet.Flow); route != nil {
		s.admission.RecordAccepted(now, held.Packet.Flow, *route)
	}
	waited := now.Sub(held.HeldAt)
	s.process.metrics.openingsHeld.Observe(waited.Seconds())
	s.process.logger.Sampled(eventlog.OpeningHeld, "caller", held.Packet.Flow.Caller, "virtual", held.Packet.Flow.Virtual,
		"wait", waited, "urgency", held.Urgency)
	s.process.begin(now, held.Packet, held.Datagram)
	s.held.Recycle(held)
}
