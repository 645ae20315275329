package egress

import "github.com/beamdoor/beamdoor/internal/kernel"

// pick returns the packet that leaves next, or nil when none waits. What has waited
// too long goes before all others as far as its credit reaches.
func (s *Scheduler) pick(now kernel.Instant) (next *packet, overdue bool) {
	if oldest := s.age.first; oldest != nil && now.Sub(oldest.OfferedAt) > overdueAfter && s.overdueCredit >= min(oldest.Size, maxOverdueCredit) {
		return oldest, true
	}
	if !s.control.isEmpty() {
		return s.control.first, false
	}
	return s.firstOfFlows(now), false
}

// firstOfFlows returns the packet of the flow that goes first, or nil. A flow that can
// no longer be in time goes behind those that can.
func (s *Scheduler) firstOfFlows(now kernel.Instant) *packet {
	for {
		f := s.classes.first()
		if f == nil {
			return nil
		}
		class := f.classAt(now)
		if class == f.class {
			return f.line.first
		}
		s.classes.remove(f)
		s.classes.add(f, class)
	}
}

// earn gives what has waited too long its share of what leaves.
func (s *Scheduler) earn(bytes int, overdue bool) {
	if overdue {
		s.overdueCredit -= bytes
		return
	}
	s.overdueCredit = min(s.overdueCredit+bytes/overdueShare, maxOverdueCredit)
}
