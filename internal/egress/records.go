package egress

import (
	"net/netip"
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

// recordOffered records bytes offered for a flow. They start a new request if the flow
// was idle for flowIdleTimeout.
func (s *Scheduler) recordOffered(now kernel.Instant, f *flow, bytes int) {
	if now.Sub(f.lastActive) >= flowIdleTimeout && !f.hasQueued() {
		f.reset(now)
	}
	f.lastActive = now
	f.offeredBytes += bytes
	if !f.bulk && f.offeredBytes > bulkThreshold {
		s.markBulk(f)
	}
	s.byActivity.moveBack(f)
}

// markBulk marks a flow as bulk and sets its deadline: its objective, plus the
// transmission time of a window for each other bulk flow of the caller, so that callers
// with many flows do not crowd out those with few.
func (s *Scheduler) markBulk(f *flow) {
	f.bulk = true
	f.deadline = f.startedAt.Add(f.objectiveOrDefault())
	if rate := s.bucket.rate; rate > 0 {
		share := float64(f.caller.bulkFlows*windowBytes) / rate
		f.deadline = f.deadline.Add(time.Duration(share * float64(time.Second)))
	}
	f.caller.bulkFlows++
}

// flowRecord returns the record of the item's flow, which it creates if needed.
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

// callerRecord returns the record of a caller, which it creates if needed, and counts
// one more flow in it.
func (s *Scheduler) callerRecord(address netip.Addr) *caller {
	record, known := s.callers[address]
	if !known {
		record = &caller{address: address}
		s.callers[address] = record
	}
	record.flows++
	return record
}

// evictOldest makes room for a flow record by removing the least recently active flow
// without queued packets. There is always one, because maxFlows is flowsPerPacket times
// the largest number of queued packets.
func (s *Scheduler) evictOldest() {
	if len(s.flows) < s.settings.maxFlows() {
		return
	}
	for s.byActivity.first.hasQueued() {
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
