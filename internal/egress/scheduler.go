package egress

import (
	"net/netip"
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/steer"
)

// Scheduler queues the datagrams for the node's own link and decides the order in which
// they are sent. Openings, resets and other control packets go first, then data by
// urgency. Within an urgency, flows that have sent little go first, round robin by
// caller, then larger flows that can meet their deadline, earliest first, then late
// ones. It must be used by one goroutine.
type Scheduler struct {
	// Rate returns the rate of the link in bytes per second; 0 means unlimited.
	Rate func(now kernel.Instant) float64
	// OnDrop is called for each queued item that is dropped, and becomes the owner of
	// its payload.
	OnDrop func(item *Item, reason DropReason)

	settings settings
	bucket   tokenBucket
	classes  classes
	// control is the queue that is served before all flows, and controlCount its
	// length.
	control      list[packet]
	controlCount int
	byAge        list[packet]
	flows        map[steer.FlowKey]*flow
	callers      map[netip.Addr]*caller
	// byActivity holds all flows, the least recently active first.
	byActivity list[flow]
	packetPool pool[packet]
	flowPool   pool[flow]
	length     int
	bytes      int
	// overdueCredit is the number of bytes of overdue packets that may be sent.
	overdueCredit int
}

// New returns an empty scheduler.
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

// Len returns the number of queued items.
func (s *Scheduler) Len() int { return s.length }

// Bytes returns the number of queued bytes.
func (s *Scheduler) Bytes() int { return s.bytes }

// QueueDelay returns how long the oldest queued item has waited; 0 if the queue is
// empty.
func (s *Scheduler) QueueDelay(now kernel.Instant) time.Duration {
	if s.byAge.isEmpty() {
		return 0
	}
	return now.Sub(s.byAge.first.OfferedAt)
}

// Allow reports whether an item can be sent at once, because the queue is empty and the
// link has capacity. If so, it counts the item as sent.
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

// Offer queues an item, unless it can be sent at once, its data is queued already or the
// queue has no room. The scheduler owns the payload of a queued item.
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

// Next removes and returns the next item to send, if the link has capacity.
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
		item.WaitedLong = f.markLongWait(now.Sub(item.OfferedAt))
		return item, true
	}
}

// TimeUntilNext returns the time until Next should be called; false if the queue is
// empty. Bulk data waits until several packets can be sent at once.
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

// HasQueuedOpening reports whether the opening packet of a flow is queued.
func (s *Scheduler) HasQueuedOpening(key steer.FlowKey) bool {
	f, known := s.flows[key]
	return known && f.opening != nil
}

// CancelFlow drops the queued data and the opening packet of a flow whose target was
// lost or which has ended.
func (s *Scheduler) CancelFlow(key steer.FlowKey) {
	if f, known := s.flows[key]; known {
		s.cancelFlow(f, DropTargetLost)
	}
}

// Tick drops expired items at the front of their flows and removes idle flows. It must
// be called several times per second.
func (s *Scheduler) Tick(now kernel.Instant) {
	for f := s.byActivity.first; f != nil; {
		next := f.activityLinks.next
		for f.packets.first != nil && f.packets.first.isExpired(now) {
			s.drop(f.packets.first, DropExpired)
		}
		if !f.hasQueued() && now.Sub(f.lastActive) >= flowIdleTimeout {
			s.removeFlow(f)
		}
		f = next
	}
}
