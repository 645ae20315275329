package edge

import (
	"errors"
	"net/netip"
	"syscall"
	"time"

	"github.com/beamdoor/beamdoor/internal/egress"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/steer"
)

// narrowShare is the part of the stated rate below which a link counts as narrower: less
// is lost now and then by chance.
const narrowShare = 0.8

// noteSent notes a datagram that the system has taken.
func (s *sender) noteSent(now kernel.Instant, sent egress.SentDatagram) {
	s.process.metrics.linkSent.Add(float64(sent.Size))
	s.room.usage.RecordSent(sent.Size)
	s.learner.RecordSent(now, sent)
}

// noteReceived notes a datagram that has come, with all headers.
func (s *sender) noteReceived(now kernel.Instant, size int) {
	s.room.usage.RecordReceived(size)
	s.learner.RecordReceived(now, size)
}

// noteArrived notes a packet of an open flow that has come.
func (s *sender) noteArrived(now kernel.Instant, packet steer.Packet) {
	if packet.Opening {
		return
	}
	s.admission.RecordData(now, packet.Flow, packet.Sequence, packet.Size)
	if packet.Closing || packet.Reset {
		s.admission.RecordEnd(packet.Flow, packet.Closing)
	}
	if packet.Reset {
		return
	}
	s.learner.RecordPacket(now, egress.ReceivedPacket{
		Flow:         packet.Flow,
		Sequence:     packet.Sequence,
		Acknowledged: packet.Acknowledged,
		Data:         packet.Size,
	})
}

// noteWriteError notes that the system did not take a datagram, which is lost then.
func (s *sender) noteWriteError(flow steer.FlowKey, address netip.AddrPort, err error) {
	now := s.process.now()
	s.process.metrics.writeErrors.Inc()
	s.process.logger.Sampled(eventlog.SocketFailed, "step", "edge.write", "peer", address, "err", err)
	s.process.core.RecordDrop(now, flow)
	if errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.EAGAIN) {
		s.learner.RecordWriteError(now)
	}
}

// noteDuplicate notes that what a caller has sent again waits here still.
func (s *sender) noteDuplicate(now kernel.Instant, item *egress.Item) {
	s.process.metrics.duplicates.Inc()
	if item.Kind == egress.KindData {
		s.process.core.RecordHeld(now, item.Flow)
	}
}

// noteWait notes how long a datagram that leaves has waited.
func (s *sender) noteWait(now kernel.Instant, item *egress.Item) {
	waited := now.Sub(item.OfferedAt)
	s.longest = max(s.longest, waited)
	s.process.metrics.observeLinkWait(item.Urgency, waited)
	if item.WaitedLong {
		s.process.logger.Sampled(eventlog.FlowWaitedForLink, "caller", item.Flow.Caller, "virtual", item.Flow.Virtual,
			"wait", waited, "urgency", item.Urgency, "bytes", item.Size)
	}
}

// dropped takes back what waited and is not sent.
func (s *sender) dropped(item *egress.Item, reason egress.DropReason) {
	s.noteDropped(s.process.now(), item, reason)
	s.giveSpare(item.Payload)
}

// noteDropped notes that the node itself has dropped a datagram.
func (s *sender) noteDropped(now kernel.Instant, item *egress.Item, reason egress.DropReason) {
	s.process.metrics.linkDropped[reason].Inc()
	s.process.metrics.linkDroppedBytes[reason].Add(float64(item.Size))
	s.process.core.RecordDrop(now, item.Flow)
}

// noteCongestion writes an event when the link becomes congested or is relieved.
func (s *sender) noteCongestion(now kernel.Instant, delay time.Duration) {
	began, ended := s.watch.Update(now, delay)
	switch {
	case began:
		s.process.logger.Event(eventlog.LinkCongested, "delay", delay, "packets", s.scheduler.Len(),
			"bytes", s.scheduler.Bytes(), "rate", s.scheduler.Rate(now))
	case ended:
		s.process.logger.Event(eventlog.LinkRelieved, "lasted", s.watch.Duration(), "packets", s.scheduler.Len())
	}
}

// noteRate writes an event when the link is found to be narrower than stated, or to
// carry what is stated again. Rises take as long as a second, so events are few.
func (s *sender) noteRate(now kernel.Instant) {
	rate, stated := s.learner.Rate(now), s.learner.ConfiguredRate()
	s.process.metrics.linkRate.Set(rate)
	s.process.metrics.linkReductions.Add(float64(s.learner.Reductions() - s.reductions))
	s.reductions = s.learner.Reductions()
	switch {
	case !s.narrow && rate < narrowShare*stated:
		s.narrow = true
		s.process.logger.Event(eventlog.LinkNarrower, "rate", rate, "stated", stated, "reductions", s.reductions)
	case s.narrow && rate >= stated:
		s.narrow = false
		s.process.logger.Event(eventlog.LinkAsStated, "rate", rate, "reductions", s.reductions)
	}
}
