package egress

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/steer"
)

// oracle checks each step of a scheduler against a list of the queued items in order of
// arrival.
type oracle struct {
	*rapid.T
	scheduler *Scheduler
	now       kernel.Instant
	queued    []Item
	// Byte counts of all items by outcome.
	offered, sentNow, sent, dropped, full, duplicate int
}

// maxQueued is the queue limit in packets, small enough to be reached.
const maxQueued = 12

func newOracle(t *rapid.T) *oracle {
	o := &oracle{
		T: t, now: start,
		scheduler: New(WithLink(narrow), func(s *settings) { s.maxPackets = maxQueued }),
	}
	o.scheduler.OnDrop = o.recordDrop
	return o
}

// find returns the index of a queued item.
func (o *oracle) find(item *Item) int {
	return slices.IndexFunc(o.queued, func(other Item) bool {
		return other.Flow == item.Flow && other.Kind == item.Kind && other.Sequence == item.Sequence &&
			other.Data == item.Data && other.OfferedAt == item.OfferedAt && other.Size == item.Size
	})
}

func (o *oracle) recordDrop(item *Item, _ DropReason) {
	position := o.find(item)
	if position < 0 {
		o.Fatalf("dropped an item that was not queued: %+v", *item)
	}
	o.queued = slices.Delete(o.queued, position, position+1)
	o.dropped += item.Size
}

// drawItem draws a datagram of one of a few flows.
func (o *oracle) drawItem() *Item {
	caller := rapid.IntRange(1, 4).Draw(o.T, "caller")
	port := rapid.IntRange(1, 3).Draw(o.T, "port")
	kind := ItemKind(rapid.IntRange(int(KindData), int(KindReset)).Draw(o.T, "kind"))
	item := &Item{Flow: flowKey(caller, port), Kind: kind, Urgency: uint8(caller % 3), Size: smallSize}
	item.Objective = time.Duration(caller-1) * 50 * time.Millisecond
	if rapid.Bool().Draw(o.T, "data") || kind == KindData {
		item.Kind = KindData
		item.Data = rapid.IntRange(1, fullData).Draw(o.T, "bytes")
		item.Sequence = uint32(rapid.IntRange(0, 20).Draw(o.T, "position") * 400)
		item.Size = smallSize + item.Data
	}
	if rapid.IntRange(0, 4).Draw(o.T, "expires") == 0 {
		item.ExpiresAt = o.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(o.T, "lifetime")) * time.Millisecond)
	}
	return item
}

func (o *oracle) offer(*rapid.T) {
	item := o.drawItem()
	o.offered += item.Size
	duplicate := slices.ContainsFunc(o.queued, func(other Item) bool {
		same := other.Flow == item.Flow && other.Kind == item.Kind
		return same && (item.Kind == KindOpening || (item.Kind == KindData && other.covers(item)))
	})
	before := len(o.queued)
	dropped := o.dropped
	outcome := o.scheduler.Offer(o.now, item)
	if item.Kind != KindClosing && (outcome == OutcomeDuplicate) != (duplicate && outcome != OutcomeSendNow) {
		o.Fatalf("outcome %d, but duplicate is %v", outcome, duplicate)
	}
	switch outcome {
	case OutcomeSendNow:
		if before > 0 {
			o.Fatalf("%+v overtook queued items", *item)
		}
		o.sentNow += item.Size
	case OutcomeQueued:
		o.queued = append(o.queued, *item)
	case OutcomeDuplicate:
		o.duplicate += item.Size
	case OutcomeFull:
		if before < maxQueued && o.countControl() < maxQueued/controlDivisor {
			o.Fatalf("full with %d items", before)
		}
		o.full += item.Size
	}
	if item.Kind == KindAbort && outcome == OutcomeQueued && slices.ContainsFunc(o.queued, func(other Item) bool {
		return other.Flow == item.Flow && other.Kind == KindData
	}) {
		o.Fatalf("data of an aborted flow is queued")
	}
	if o.dropped > dropped && item.Kind != KindAbort && before < maxQueued {
		o.Fatalf("dropped with %d items queued", before)
	}
}

// flood offers more items than the queue holds.
func (o *oracle) flood(t *rapid.T) {
	for range maxQueued + 3 {
		o.offer(t)
	}
}

// countControl returns the number of queued items that carry no data.
func (o *oracle) countControl() int {
	count := 0
	for _, item := range o.queued {
		if item.Kind != KindData {
			count++
		}
	}
	return count
}

// next sends an item if the link has capacity, and checks the order.
func (o *oracle) next(*rapid.T) {
	item, ready := o.scheduler.Next(o.now)
	if !ready {
		return
	}
	position := o.find(&item)
	if position < 0 {
		o.Fatalf("sent an item that was not queued: %+v", item)
	}
	if item.hasExpired(o.now) {
		o.Fatalf("sent an expired item: %+v", item)
	}
	o.checkOrder(item, position)
	o.queued = slices.Delete(o.queued, position, position+1)
	o.sent += item.Size
}

func (i *Item) hasExpired(now kernel.Instant) bool { return i.ExpiresAt > 0 && now >= i.ExpiresAt }

// checkOrder checks that the item overtook no data of its flow and, unless it is the
// oldest and overdue, no control item and no more urgent data.
func (o *oracle) checkOrder(item Item, position int) {
	for _, other := range o.queued[:position] {
		if other.Flow == item.Flow && other.Kind == KindData && item.Kind == KindData {
			o.Fatalf("%+v sent before %+v of its flow", item, other)
		}
	}
	if position == 0 && o.now.Sub(item.OfferedAt) > overdueAfter {
		return
	}
	for _, other := range o.queued {
		if other.hasExpired(o.now) {
			continue
		}
		switch {
		case item.Kind == KindData && isControl(other.Kind):
			o.Fatalf("data sent before %+v", other)
		case item.Kind == KindData && other.Kind == KindData && other.Urgency < item.Urgency:
			o.Fatalf("%+v sent before the more urgent %+v", item, other)
		}
	}
}

// isControl reports whether a kind always goes to the control queue.
func isControl(kind ItemKind) bool { return kind != KindData && kind != KindClosing }

func (o *oracle) advance(*rapid.T) {
	o.now = o.now.Add(time.Duration(rapid.IntRange(0, 30_000).Draw(o.T, "microseconds")) * time.Microsecond)
}

// sendAll sends items, each after the wait that the scheduler asks for.
func (o *oracle) sendAll(*rapid.T) {
	for range maxQueued {
		wait, waits := o.scheduler.TimeUntilNext(o.now)
		if !waits {
			return
		}
		o.now = o.now.Add(wait)
		before := len(o.queued)
		o.next(o.T)
		if len(o.queued) == before {
			o.Fatalf("nothing was sent after the wait")
		}
	}
}

func (o *oracle) cancel(*rapid.T) {
	flow := flowKey(rapid.IntRange(1, 4).Draw(o.T, "caller"), rapid.IntRange(1, 3).Draw(o.T, "port"))
	o.scheduler.CancelFlow(flow)
	for _, other := range o.queued {
		if other.Flow == flow && other.Kind == KindData {
			o.Fatalf("data of a cancelled flow is queued: %+v", other)
		}
	}
}

func (o *oracle) tick(*rapid.T) { o.scheduler.Tick(o.now) }

// check verifies the invariants after each step.
func (o *oracle) check(*rapid.T) {
	bytes := 0
	for _, item := range o.queued {
		bytes += item.Size
	}
	if o.scheduler.Len() != len(o.queued) || o.scheduler.Bytes() != bytes {
		o.Fatalf("%d packets, %d bytes; want %d, %d", o.scheduler.Len(), o.scheduler.Bytes(), len(o.queued), bytes)
	}
	if o.offered != o.sentNow+o.sent+o.dropped+o.full+o.duplicate+bytes {
		o.Fatalf("byte counts do not add up")
	}
	if len(o.queued) > maxQueued {
		o.Fatalf("%d packets queued", len(o.queued))
	}
	rate := narrow.BytesPerSecond() * linkFraction
	if most := minBurst + rate*o.now.Sub(start).Seconds(); float64(o.sentNow+o.sent) > most+1 {
		o.Fatalf("%d bytes sent, the link carries at most %v", o.sentNow+o.sent, most)
	}
	if len(o.queued) > 0 && o.scheduler.QueueDelay(o.now) != o.now.Sub(o.queued[0].OfferedAt) {
		o.Fatalf("queue delay is %v", o.scheduler.QueueDelay(o.now))
	}
}

func TestSchedulerMatchesOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOracle(t)
		t.Repeat(map[string]func(*rapid.T){
			"offer": o.offer, "offerMore": o.offer, "flood": o.flood,
			"next": o.next, "pass": o.advance, "sendAll": o.sendAll,
			"cancel": o.cancel, "tick": o.tick,
			"": o.check,
		})
	})
}

// No packet of random traffic may wait longer than the bound at overdueDivisor.
func TestRandomTrafficIsNotStarved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOracle(t)
		rate := narrow.BytesPerSecond() * linkFraction
		due := map[steer.FlowKey]kernel.Instant{}
		port := 0
		for range 300 {
			for range rapid.IntRange(0, 4).Draw(t, "packets") {
				port++
				item := bulk(flowKey(rapid.IntRange(1, 5).Draw(t, "caller"), port), 0)
				item.Urgency = uint8(rapid.IntRange(0, 3).Draw(t, "urgency"))
				if o.scheduler.Len() >= maxQueued || o.scheduler.Offer(o.now, item) != OutcomeQueued {
					continue
				}
				ahead := float64(overdueDivisor * (o.scheduler.Bytes() + quantum))
				due[item.Flow] = o.now.Add(overdueAfter + time.Duration(ahead/rate*float64(time.Second)))
			}
			o.now = o.now.Add(5 * time.Millisecond)
			for item, ready := o.scheduler.Next(o.now); ready; item, ready = o.scheduler.Next(o.now) {
				if o.now > due[item.Flow] {
					t.Fatalf("%+v waited %v", item, o.now.Sub(item.OfferedAt))
				}
			}
		}
	})
}
