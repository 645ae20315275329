package egress

import (
	"net/netip"
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

// recordOffered notes that so many bytes of a flow were offered. A flow that has rested begins anew.
func (s *Scheduler) recordOffered(now kernel.Instant, f *flow, bytes int) {
	if now.Sub(f.lastActive) >= flowIdleTimeout && !f.hasWaiting() {
		f.reset(now)
	}
	f.lastActive = now
	f.offeredBytes += bytes
	if !f.bulk && f.offeredBytes > bulkThreshold {
		s.markBulk(f)
	}
	s.byActivity.moveBack(f)
}

// markBulk notes that a flow has sent much. Each other such flow of its caller puts it
// as far back as the link needs for a window: callers with many flows at once do not
// take the place of those with few.
func (s *Scheduler) markBulk(f *flow) {
	f.bulk = true
	f.deadline = f.startedAt.Add(f.objectiveOrDefault())
	if rate := s.bucket.rate; rate > 0 {
		share := float64(f.caller.bulk*windowBytes) / rate
		f.deadline = f.deadline.Add(time.Duration(share * float64(time.Second)))
	}
	f.caller.bulk++
}

// flowRecord returns the record of an item's flow.
func (s *Scheduler) flowRecord(now kernel.Instant, item *Item) *flow {
	if f, known := s.flows[item.Flow]; known {
		return f
	}
	s.evictOldest()
	f := s.flowPool.get()
	f.key = item.Flow
	f.caller = s.callerRecord(item.Flow.Caller.Addr())
	f.urgency = min(item.Urgency, UrgencyCount-1)
	f.packets.linksOf = queueLinksOf
	f.objective = item.Objective
	f.lastActive = now
	f.reset(now)
	s.flows[item.Flow] = f
	s.byActivity.pushBack(f)
	return f
}

// callerRecord returns the record of a caller, which has one more flow now.
func (s *Scheduler) callerRecord(address netip.Addr) *caller {
	from, known := s.callers[address]
	if !known {
		from = &caller{address: address}
		s.callers[address] = from
	}
	from.flows++
	return from
}

// evictOldest makes room for a flow. There are flowsPerPacket times more records than
// packets that wait, so most flows rest.
func (s *Scheduler) evictOldest() {
	if len(s.flows) < s.settings.maxFlows() {
		return
	}
	for s.byActivity.first.hasWaiting() {
		s.byActivity.moveBack(s.byActivity.first)
	}
	s.removeFlow(s.byActivity.first)
}

func (s *Scheduler) removeFlow(f *flow) {
	s.byActivity.remove(f)
	delete(s.flows, f.key)
	f.reset(f.lastActive)
	f.caller.flows--
	if f.caller.flows == 0 {
		delete(s.callers, f.caller.address)
	}
	s.flowPool.put(f)
}
