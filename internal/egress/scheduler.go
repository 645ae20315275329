package egress

import (
	"net/netip"
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/steer"
)

// Scheduler holds the datagrams that wait for a node's own link and decides which
// one leaves next. Openings, resets and short control go first; then the more urgent
// routes, within one urgency flows that have sent little, by turns of their callers,
// then those that have sent much and can be in time, the one due first, then the rest.
// One goroutine owns it.
type Scheduler struct {
	// Rate returns the bytes a second that the link carries; 0 bounds nothing.
	Rate func(now kernel.Instant) float64
	// OnDrop is told of each item that waited and is not sent, and takes its payload
	// back.
	OnDrop func(item *Item, reason DropReason)

	settings settings
	bucket   tokenBucket
	classes  classes
	// control holds the packets that go before all flows, and controls is their number.
	control      list[packet]
	controlCount int
	byAge        list[packet]
	flows        map[steer.FlowKey]*flow
	callers      map[netip.Addr]*caller
	// resting holds all flows, the one seen longest ago first.
	byActivity list[flow]
	packetPool pool[packet]
	flowPool   pool[flow]
	length     int
	bytes      int
	// overdueCredit is the number of bytes that what has waited too long may send.
	overdueCredit int
}

// New returns a scheduler in which nothing waits.
func New(opts ...Option) *Scheduler {
	s := &Scheduler{
		settings:   defaultSettings(),
		classes:    newClasses(),
		control:    list[packet]{linksOf: queueLinksOf},
		byAge:      list[packet]{linksOf: ageLinksOf},
		flows:      map[steer.FlowKey]*flow{},
		callers:    map[netip.Addr]*caller{},
		byActivity: list[flow]{linksOf: activityLinksOf},
		OnDrop:     func(*Item, DropReason) {},
	}
	for _, opt := range opts {
		opt(&s.settings)
	}
	rate := s.settings.link.BytesPerSecond() * linkFraction
	s.Rate = func(kernel.Instant) float64 { return rate }
	s.bucket.rate = rate
	s.bucket.tokens = s.bucket.burst()
	return s
}

// Len returns the number of items that wait.
func (s *Scheduler) Len() int { return s.length }

// Bytes returns the bytes that wait.
func (s *Scheduler) Bytes() int { return s.bytes }

// QueueDelay returns how long the oldest item has waited; 0 while none waits.
func (s *Scheduler) QueueDelay(now kernel.Instant) time.Duration {
	if s.byAge.isEmpty() {
		return 0
	}
	return now.Sub(s.byAge.first.OfferedAt)
}

// Allow reports whether an item can leave at once, since nothing waits and the link
// takes it. Its size is then spent.
func (s *Scheduler) Allow(now kernel.Instant, key steer.FlowKey, size int) bool {
	s.bucket.refill(now, s.Rate(now))
	if s.length > 0 || !s.bucket.has(size) {
		return false
	}
	s.bucket.consume(size)
	if len(s.flows) == 0 {
		return true
	}
	if f, known := s.flows[key]; known {
		s.recordOffered(now, f, size)
	}
	return true
}

// Offer takes an item that is to leave. Its payload is the scheduler's own once it
// is queued.
func (s *Scheduler) Offer(now kernel.Instant, item *Item) Outcome {
	if s.Allow(now, item.Flow, item.Size) {
		return OutcomeSendNow
	}
	item.OfferedAt = now
	f := s.flowRecord(now, item)
	if f.findQueued(item) != nil {
		return OutcomeDuplicate
	}
	if item.Kind == KindAbort {
		s.cancelFlow(f, DropAborted)
	}
	s.recordOffered(now, f, item.Size)
	if !s.makeRoom(f, item) {
		return OutcomeFull
	}
	s.enqueue(f, item)
	return OutcomeQueued
}

// Next returns the item that leaves now, and its payload with it.
func (s *Scheduler) Next(now kernel.Instant) (Item, bool) {
	s.bucket.refill(now, s.Rate(now))
	for {
		next, overdue := s.nextPacket(now)
		if next == nil {
			return Item{}, false
		}
		if next.isExpired(now) {
			s.drop(next, DropExpired)
			continue
		}
		if !s.bucket.has(next.Size) {
			return Item{}, false
		}
		s.bucket.consume(next.Size)
		s.updateOverdueCredit(next.Size, overdue)
		f := next.flow
		if !next.priority && f.queue != nil {
			f.queue.consume(f, next.Size)
		}
		item := s.dequeue(next)
		item.WaitedLong = f.isFirstLongWait(now.Sub(item.OfferedAt))
		return item, true
	}
}

// TimeUntilNext returns the time until something can leave; false while nothing waits. Bulk
// waits until several packets can leave at once.
func (s *Scheduler) TimeUntilNext(now kernel.Instant) (time.Duration, bool) {
	next, _ := s.nextPacket(now)
	if next == nil {
		return 0, false
	}
	s.bucket.refill(now, s.Rate(now))
	bytes := next.Size
	if !next.priority && levelOf(next.flow.class) != levelSmall {
		bytes = max(bytes, min(s.bytes, s.bucket.wakeBytes()))
	}
	return s.bucket.timeUntil(bytes), true
}

// HasQueuedOpening reports whether the opening packet of a flow waits.
func (s *Scheduler) HasQueuedOpening(key steer.FlowKey) bool {
	f, known := s.flows[key]
	return known && f.opening != nil
}

// CancelFlow drops what waits of a flow whose target is lost or has ended.
func (s *Scheduler) CancelFlow(key steer.FlowKey) {
	if f, known := s.flows[key]; known {
		s.cancelFlow(f, DropTargetLost)
	}
}

// Tick drops what is of no use any more and forgets flows that have rested. It is
// called a few times a second.
func (s *Scheduler) Tick(now kernel.Instant) {
	for f := s.byActivity.first; f != nil; {
		next := f.activityLinks.next
		for f.packets.first != nil && f.packets.first.isExpired(now) {
			s.drop(f.packets.first, DropExpired)
		}
		if !f.hasWaiting() && now.Sub(f.lastActive) >= flowIdleTimeout {
			s.removeFlow(f)
		}
		f = next
	}
}
