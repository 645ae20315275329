package egress

import "github.com/beamdoor/beamdoor/internal/kernel"

// pick returns the packet that leaves next, or nil when none waits. What has waited
// too long goes before all others as far as its credit reaches.
func (s *Scheduler) nextPacket(now kernel.Instant) (next *packet, overdue bool) {
	if oldest := s.byAge.first; oldest != nil && now.Sub(oldest.OfferedAt) > overdueAfter && s.overdueCredit >= min(oldest.Size, maxOverdueCredit) {
		return oldest, true
	}
	if !s.control.isEmpty() {
		return s.control.first, false
	}
	return s.nextFlowPacket(now), false
}

// nextFlowPacket returns the packet of the flow that goes first, or nil. A flow that can
// no longer be in time goes behind those that can.
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

// earn gives what has waited too long its share of what leaves.
func (s *Scheduler) updateOverdueCredit(bytes int, overdue bool) {
	if overdue {
		s.overdueCredit -= bytes
		return
	}
	s.overdueCredit = min(s.overdueCredit+bytes/overdueDivisor, maxOverdueCredit)
}
