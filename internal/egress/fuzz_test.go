package egress

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/steer"
)

// oracle is a slow scheduler that only knows the rules: it checks each step of the real
// one against a plain list of what waits.
type oracle struct {
	*rapid.T
	scheduler *Scheduler
	now       kernel.Instant
	waiting   []Item
	// offered, through, sent, dropped, refused and repeated count bytes.
	offered, sentNow, sent, dropped, refused, repeated int
}

// fuzzPackets is the bound of the queue, small enough to be reached.
const fuzzPackets = 12

func newOracle(t *rapid.T) *oracle {
	o := &oracle{
		T: t, now: start,
		scheduler: New(WithLink(narrow), func(s *settings) { s.maxPackets = fuzzPackets }),
	}
	o.scheduler.OnDrop = o.dropOne
	return o
}

// find returns the position of an item that waits.
func (o *oracle) find(item *Item) int {
	return slices.IndexFunc(o.waiting, func(other Item) bool {
		return other.Flow == item.Flow && other.Kind == item.Kind && other.Sequence == item.Sequence &&
			other.Data == item.Data && other.OfferedAt == item.OfferedAt && other.Size == item.Size
	})
}

func (o *oracle) dropOne(item *Item, _ DropReason) {
	position := o.find(item)
	if position < 0 {
		o.Fatalf("dropped what did not wait: %+v", *item)
	}
	o.waiting = slices.Delete(o.waiting, position, position+1)
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
	repeated := slices.ContainsFunc(o.waiting, func(other Item) bool {
		same := other.Flow == item.Flow && other.Kind == item.Kind
		return same && (item.Kind == KindOpening || (item.Kind == KindData && other.covers(item)))
	})
	before := len(o.waiting)
	dropped := o.dropped
	outcome := o.scheduler.Offer(o.now, item)
	if item.Kind != KindClosing && (outcome == OutcomeDuplicate) != (repeated && outcome != OutcomeSendNow) {
		o.Fatalf("outcome %d, repeated %v", outcome, repeated)
	}
	switch outcome {
	case OutcomeSendNow:
		if before > 0 {
			o.Fatalf("%+v went past what waits", *item)
		}
		o.sentNow += item.Size
	case OutcomeQueued:
		o.waiting = append(o.waiting, *item)
	case OutcomeDuplicate:
		o.repeated += item.Size
	case OutcomeFull:
		if before < fuzzPackets && o.countControl() < fuzzPackets/controlDivisor {
			o.Fatalf("full with %d", before)
		}
		o.refused += item.Size
	}
	if item.Kind == KindAbort && outcome == OutcomeQueued && slices.ContainsFunc(o.waiting, func(other Item) bool {
		return other.Flow == item.Flow && other.Kind == KindData
	}) {
		o.Fatalf("data of a broken flow waits")
	}
	if o.dropped > dropped && item.Kind != KindAbort && before < fuzzPackets {
		o.Fatalf("dropped with %d waiting", before)
	}
}

// flood offers more than the queue holds.
func (o *oracle) flood(t *rapid.T) {
	for range fuzzPackets + 3 {
		o.offer(t)
	}
}

// countControl returns the number of items that wait and are no data.
func (o *oracle) countControl() int {
	count := 0
	for _, item := range o.waiting {
		if item.Kind != KindData {
			count++
		}
	}
	return count
}

// next sends one item, if the link takes one, and checks that it was the right one.
func (o *oracle) next(*rapid.T) {
	item, ready := o.scheduler.Next(o.now)
	if !ready {
		return
	}
	position := o.find(&item)
	if position < 0 {
		o.Fatalf("sent what did not wait: %+v", item)
	}
	if item.hasExpired(o.now) {
		o.Fatalf("sent what had expired: %+v", item)
	}
	o.checkOrder(item, position)
	o.waiting = slices.Delete(o.waiting, position, position+1)
	o.sent += item.Size
}

func (i *Item) hasExpired(now kernel.Instant) bool { return i.ExpiresAt > 0 && now >= i.ExpiresAt }

// checkOrder checks the order within a flow, and that what is more urgent or goes before
// all flows was not left behind, but for what was overdue and the oldest.
func (o *oracle) checkOrder(item Item, position int) {
	for _, other := range o.waiting[:position] {
		if other.Flow == item.Flow && other.Kind == KindData && item.Kind == KindData {
			o.Fatalf("%+v before %+v of its flow", item, other)
		}
	}
	if position == 0 && o.now.Sub(item.OfferedAt) > overdueAfter {
		return
	}
	for _, other := range o.waiting {
		if other.hasExpired(o.now) {
			continue
		}
		switch {
		case item.Kind == KindData && isControl(other.Kind):
			o.Fatalf("data before %+v", other)
		case item.Kind == KindData && other.Kind == KindData && other.Urgency < item.Urgency:
			o.Fatalf("%+v before the more urgent %+v", item, other)
		}
	}
}

// isControl reports whether a kind goes before all flows in any case.
func isControl(kind ItemKind) bool { return kind != KindData && kind != KindClosing }

func (o *oracle) advance(*rapid.T) {
	o.now = o.now.Add(time.Duration(rapid.IntRange(0, 30_000).Draw(o.T, "microseconds")) * time.Microsecond)
}

// sendAll sends as a process does: it wakes when the scheduler says so.
func (o *oracle) sendAll(*rapid.T) {
	for range fuzzPackets {
		wait, waits := o.scheduler.TimeUntilNext(o.now)
		if !waits {
			return
		}
		o.now = o.now.Add(wait)
		before := len(o.waiting)
		o.next(o.T)
		if len(o.waiting) == before {
			o.Fatalf("nothing left after the wait")
		}
	}
}

func (o *oracle) cancel(*rapid.T) {
	flow := flowKey(rapid.IntRange(1, 4).Draw(o.T, "caller"), rapid.IntRange(1, 3).Draw(o.T, "port"))
	o.scheduler.CancelFlow(flow)
	for _, other := range o.waiting {
		if other.Flow == flow && other.Kind == KindData {
			o.Fatalf("data of a cancelled flow waits: %+v", other)
		}
	}
}

func (o *oracle) tick(*rapid.T) { o.scheduler.Tick(o.now) }

// check holds after each step.
func (o *oracle) check(*rapid.T) {
	bytes := 0
	for _, item := range o.waiting {
		bytes += item.Size
	}
	if o.scheduler.Len() != len(o.waiting) || o.scheduler.Bytes() != bytes {
		o.Fatalf("%d packets, %d bytes; the oracle has %d, %d", o.scheduler.Len(), o.scheduler.Bytes(), len(o.waiting), bytes)
	}
	if o.offered != o.sentNow+o.sent+o.dropped+o.refused+o.repeated+bytes {
		o.Fatalf("bytes are lost or made")
	}
	if len(o.waiting) > fuzzPackets {
		o.Fatalf("%d packets wait", len(o.waiting))
	}
	rate := narrow.BytesPerSecond() * linkFraction
	if most := minBurst + rate*o.now.Sub(start).Seconds(); float64(o.sentNow+o.sent) > most+1 {
		o.Fatalf("%d bytes sent, the link carries %v", o.sentNow+o.sent, most)
	}
	if len(o.waiting) > 0 && o.scheduler.QueueDelay(o.now) != o.now.Sub(o.waiting[0].OfferedAt) {
		o.Fatalf("delay is %v", o.scheduler.QueueDelay(o.now))
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

// Whatever comes, and in whatever order, nothing waits longer than the bound that
// overdueDivisor states.
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
				if o.scheduler.Len() >= fuzzPackets || o.scheduler.Offer(o.now, item) != OutcomeQueued {
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
