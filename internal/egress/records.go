package egress

import (
	"net/netip"
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

// noteOffered notes that so many bytes of a flow were offered. A flow that has rested begins anew.
func (s *Scheduler) noteOffered(now kernel.Instant, f *flow, bytes int) {
	if now.Sub(f.seen) >= restTime && !f.isBusy() {
		f.begin(now)
	}
	f.seen = now
	f.offered += bytes
	if !f.bulk && f.offered > littleSent {
		s.noteBulk(f)
	}
	s.resting.moveBack(f)
}

// noteBulk notes that a flow has sent much. Each other such flow of its caller puts it
// as far back as the link needs for a window: callers with many flows at once do not
// take the place of those with few.
func (s *Scheduler) noteBulk(f *flow) {
	f.bulk = true
	f.due = f.began.Add(f.objectiveOrUsual())
	if rate := s.bucket.rate; rate > 0 {
		share := float64(f.caller.bulk*windowBytes) / rate
		f.due = f.due.Add(time.Duration(share * float64(time.Second)))
	}
	f.caller.bulk++
}

// flowOf returns the record of an item's flow.
func (s *Scheduler) flowOf(now kernel.Instant, item *Item) *flow {
	if f, known := s.flows[item.Flow]; known {
		return f
	}
	s.forgetOldest()
	f := s.records.take()
	f.key = item.Flow
	f.caller = s.callerOf(item.Flow.Caller.Addr())
	f.urgency = min(item.Urgency, UrgencyCount-1)
	f.line.linksOf = lineOf
	f.objective = item.Objective
	f.seen = now
	f.begin(now)
	s.flows[item.Flow] = f
	s.resting.pushBack(f)
	return f
}

// callerOf returns the record of a caller, which has one more flow now.
func (s *Scheduler) callerOf(address netip.Addr) *caller {
	from, known := s.callers[address]
	if !known {
		from = &caller{address: address}
		s.callers[address] = from
	}
	from.flows++
	return from
}

// forgetOldest makes room for a flow. There are flowsPerPacket times more records than
// packets that wait, so most flows rest.
func (s *Scheduler) forgetOldest() {
	if len(s.flows) < s.settings.maxFlows() {
		return
	}
	for s.resting.first.isBusy() {
		s.resting.moveBack(s.resting.first)
	}
	s.forget(s.resting.first)
}

func (s *Scheduler) forget(f *flow) {
	s.resting.remove(f)
	delete(s.flows, f.key)
	f.begin(f.seen)
	f.caller.flows--
	if f.caller.flows == 0 {
		delete(s.callers, f.caller.address)
	}
	s.records.give(f)
}
