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

// reducedRateRatio is the ratio of the estimated to the configured rate below which the
// link is reported as narrower. Smaller reductions may be due to random loss.
const reducedRateRatio = 0.8

// recordSent records a datagram accepted by the socket.
func (s *sender) recordSent(now kernel.Instant, sent egress.SentDatagram) {
	s.process.metrics.linkSent.Add(float64(sent.Size))
	s.linkUse.usage.RecordSent(sent.Size)
	s.estimator.RecordSent(now, sent)
}

// recordReceived records the size of a received datagram, including all headers.
func (s *sender) recordReceived(now kernel.Instant, size int) {
	s.linkUse.usage.RecordReceived(size)
	s.estimator.RecordReceived(now, size)
}

// recordArrived records a packet of an open flow.
func (s *sender) recordArrived(now kernel.Instant, packet steer.Packet) {
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
	s.estimator.RecordPacket(now, egress.ReceivedPacket{
		Flow:         packet.Flow,
		Sequence:     packet.Sequence,
		Acknowledged: packet.Acknowledged,
		Data:         packet.Size,
	})
}

// handleWriteError records a datagram that the socket did not accept. A full queue in the
// system counts as congestion of the link.
func (s *sender) handleWriteError(flow steer.FlowKey, address netip.AddrPort, err error) {
	now := s.process.now()
	s.process.metrics.writeErrors.Inc()
	s.process.logger.Sampled(eventlog.SocketFailed, "step", "edge.write", "peer", address, "err", err)
	s.process.core.RecordDrop(now, flow)
	if errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.EAGAIN) {
		s.estimator.RecordWriteError(now)
	}
}

// recordDuplicate records a retransmission of data that is still queued.
func (s *sender) recordDuplicate(now kernel.Instant, item *egress.Item) {
	s.process.metrics.duplicates.Inc()
	if item.Kind == egress.KindData {
		s.process.core.RecordHeld(now, item.Flow)
	}
}

// recordWait records how long a datagram was queued.
func (s *sender) recordWait(now kernel.Instant, item *egress.Item) {
	waited := now.Sub(item.OfferedAt)
	s.longestWait = max(s.longestWait, waited)
	s.process.metrics.observeLinkWait(item.Urgency, waited)
	if item.WaitedLong {
		s.process.logger.Sampled(eventlog.FlowWaitedForLink, "caller", item.Flow.Caller, "virtual", item.Flow.Virtual,
			"wait", waited, "urgency", item.Urgency, "bytes", item.Size)
	}
}

// handleDropped records a queued datagram that was dropped and releases its buffer.
func (s *sender) handleDropped(item *egress.Item, reason egress.DropReason) {
	s.recordDropped(s.process.now(), item, reason)
	s.releaseBuffer(item.Payload)
}

// recordDropped records a datagram that the node dropped.
func (s *sender) recordDropped(now kernel.Instant, item *egress.Item, reason egress.DropReason) {
	s.process.metrics.linkDropped[reason].Inc()
	s.process.metrics.linkDroppedBytes[reason].Add(float64(item.Size))
	s.process.core.RecordDrop(now, item.Flow)
}

// updateCongestion logs the start and the end of congestion.
func (s *sender) updateCongestion(now kernel.Instant, delay time.Duration) {
	began, ended := s.congestion.Update(now, delay)
	switch {
	case began:
		s.process.logger.Event(eventlog.LinkCongested, "delay", delay, "packets", s.scheduler.Len(),
			"bytes", s.scheduler.Bytes(), "rate", s.scheduler.Rate(now))
	case ended:
		s.process.logger.Event(eventlog.LinkRelieved, "lasted", s.congestion.Duration(), "packets", s.scheduler.Len())
	}
}

// updateRate updates the rate metrics and logs when the link becomes narrower than
// configured or recovers.
func (s *sender) updateRate(now kernel.Instant) {
	rate, configured := s.estimator.Rate(now), s.estimator.ConfiguredRate()
	s.process.metrics.linkRate.Set(rate)
	s.process.metrics.linkReductions.Add(float64(s.estimator.Reductions() - s.reductions))
	s.reductions = s.estimator.Reductions()
	switch {
	case !s.belowConfigured && rate < reducedRateRatio*configured:
		s.belowConfigured = true
		s.process.logger.Event(eventlog.LinkNarrower, "rate", rate, "stated", configured, "reductions", s.reductions)
	case s.belowConfigured && rate >= configured:
		s.belowConfigured = false
		s.process.logger.Event(eventlog.LinkAsStated, "rate", rate, "reductions", s.reductions)
	}
}
