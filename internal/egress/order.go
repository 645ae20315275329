package egress

import "github.com/beamdoor/beamdoor/internal/kernel"

// nextPacket returns the packet to send next, or nil if the queue is empty. The oldest
// packet is sent first if it is overdue and the overdue credit covers it.
func (s *Scheduler) nextPacket(now kernel.Instant) (next *packet, overdue bool) {
	if oldest := s.byAge.first; oldest != nil && now.Sub(oldest.OfferedAt) > overdueAfter && s.overdueCredit >= min(oldest.Size, maxOverdueCredit) {
		return oldest, true
	}
	if !s.control.isEmpty() {
		return s.control.first, false
	}
	return s.nextFlowPacket(now), false
}

// nextFlowPacket returns the first packet of the flow to serve next, or nil. It moves
// flows that have become late to their new class.
func (s *Scheduler) nextFlowPacket(now kernel.Instant) *packet {
	for {
		f := s.classes.first()
		if f == nil {
			return nil
		}
		class := f.classAt(now)
		if class == f.class {
			return f.packets.first
		}
		s.classes.remove(f)
		s.classes.add(f, class)
	}
}

// updateOverdueCredit subtracts the bytes of an overdue packet from the overdue credit,
// which grows with all other traffic.
func (s *Scheduler) updateOverdueCredit(bytes int, overdue bool) {
	if overdue {
		s.overdueCredit -= bytes
		return
	}
	s.overdueCredit = min(s.overdueCredit+bytes/overdueDivisor, maxOverdueCredit)
}
