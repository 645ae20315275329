package edge

import (
	"slices"
	"sort"
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/steer"
)

const (
	// maxWaitlist is the maximum number of flows with a waiting packet.
	maxWaitlist = 1024
	// callerTimeout is how long a caller waits for its flow to open before it gives up.
	callerTimeout = 1400 * time.Millisecond
	// defaultSendLimit is the age up to which a packet counts as on time if its route is
	// unknown or has no objective: the caller has not retransmitted yet.
	defaultSendLimit = 200 * time.Millisecond
	// serviceAllowance is the part of an objective reserved for the target: twice the
	// usual service time plus the round trip.
	serviceAllowance = 100 * time.Millisecond
	// releaseInterval is the interval at which waiting packets are released.
	releaseInterval = 10 * time.Millisecond
	// releaseWindow is the maximum number of unanswered flows at which on-time packets
	// are released. Since many nodes become ready at once, more would delay new callers.
	releaseWindow = 6
	// lateWindow is the same for late packets. It keeps targets available to callers that
	// can still be answered on time.
	lateWindow = 2
)

// retransmissionAges are the ages of an opening packet and its retransmissions when sent.
var retransmissionAges = [...]time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// waitingPacket is the newest packet of a flow on the waitlist.
type waitingPacket struct {
	packet   steer.Packet
	datagram []byte
	// since is when the caller first sent the packet, as far as known.
	since kernel.Instant
	// sendBy is the latest time at which the packet can be released for an answer on
	// time.
	sendBy  kernel.Instant
	urgency uint8
	// classified is set once the route is known.
	classified bool
	// removed is set once the packet is no longer waiting. It may stay in the order until
	// expire.
	removed bool
}

// isOnTime reports whether the answer can still be on time.
func (w *waitingPacket) isOnTime(now kernel.Instant) bool { return now.Before(w.sendBy) }

// precedes reports whether the packet is released before another. On-time packets precede
// late ones, and more urgent ones precede others. Among equals, on-time packets are
// ordered by deadline and late ones by age, since the oldest caller gives up first.
func (w *waitingPacket) precedes(now kernel.Instant, other *waitingPacket) bool {
	onTime := w.isOnTime(now)
	switch {
	case onTime != other.isOnTime(now):
		return onTime
	case w.urgency != other.urgency:
		return w.urgency < other.urgency
	case onTime:
		return w.sendBy < other.sendBy
	}
	return w.since < other.since
}

// waitlist holds the newest packet of each flow that arrived before the node was ready.
// Without it, a caller whose retransmissions all came too early would time out.
type waitlist struct {
	packets map[steer.FlowKey]*waitingPacket
	// capacity is the maximum number of flows.
	capacity int
	// order holds the packets sorted by since, including removed ones.
	order []*waitingPacket
	// lastEviction is when the full list was last searched for expired packets.
	lastEviction kernel.Instant
}

func newWaitlist() *waitlist {
	return &waitlist{packets: map[steer.FlowKey]*waitingPacket{}, capacity: maxWaitlist}
}

// add adds a packet, replacing an older one of its flow. It returns false if the list is
// full.
func (w *waitlist) add(now kernel.Instant, packet steer.Packet, datagram []byte) bool {
	entry, known := w.packets[packet.Flow]
	if !known {
		if len(w.packets) >= w.capacity {
			return false
		}
		entry = &waitingPacket{since: now.Add(-packetAge(packet))}
		entry.sendBy = entry.since.Add(defaultSendLimit)
		w.packets[packet.Flow] = entry
		w.insert(entry)
	}
	entry.packet = packet
	entry.datagram = append(entry.datagram[:0], datagram...)
	return true
}

// evictExpired removes the packets of callers that have timed out if the list is full,
// and returns their number. It does so at most once per releaseInterval, since it visits
// all packets.
func (w *waitlist) evictExpired(now kernel.Instant, waitLimit func(steer.FlowKey) time.Duration) int {
	if len(w.packets) < w.capacity || now.Sub(w.lastEviction) < releaseInterval {
		return 0
	}
	w.lastEviction = now
	return w.expire(now, waitLimit)
}

// insert inserts a packet in the order.
func (w *waitlist) insert(entry *waitingPacket) {
	position := sort.Search(len(w.order), func(i int) bool { return w.order[i].since > entry.since })
	w.order = slices.Insert(w.order, position, entry)
}

// packetAge returns the time since the caller first sent a packet, as far as known.
func packetAge(packet steer.Packet) time.Duration {
	if !packet.Opening {
		return 0
	}
	return retransmissionAges[min(int(packet.Copy), len(retransmissionAges)-1)]
}

// remove removes the packet of a flow. It stays in the order until expire.
func (w *waitlist) remove(flow steer.FlowKey) {
	if entry, known := w.packets[flow]; known {
		entry.removed = true
		delete(w.packets, flow)
	}
}

// classify sets the urgency and deadline of packets whose routes have become known.
func (w *waitlist) classify(routeOf func(steer.FlowKey) *directory.Route) {
	for _, entry := range w.order {
		if entry.classified || entry.removed {
			continue
		}
		route := routeOf(entry.packet.Flow)
		if route == nil {
			continue
		}
		entry.classified = true
		entry.urgency = route.Urgency
		if route.Objective > 0 {
			entry.sendBy = entry.since.Add(route.Objective - serviceAllowance)
		}
	}
}

// next removes and returns the first packet that can be sent, unless too many flows wait
// for an answer.
func (w *waitlist) next(now kernel.Instant, canSend func(steer.Packet) bool, waitingFlows int) (*waitingPacket, bool) {
	position := w.best(now, canSend)
	if position < 0 || waitingFlows >= w.order[position].maxWaitingFlows(now) {
		return nil, false
	}
	entry := w.order[position]
	w.order = slices.Delete(w.order, position, position+1)
	w.remove(entry.packet.Flow)
	return entry, true
}

// maxWaitingFlows returns the number of unanswered flows at which the packet is not
// released.
func (w *waitingPacket) maxWaitingFlows(now kernel.Instant) int {
	if w.isOnTime(now) {
		return releaseWindow
	}
	return lateWindow
}

// expire deletes removed packets and those of callers that have timed out, and returns
// the number of the latter. waitLimit returns how long the caller of a flow waits.
func (w *waitlist) expire(now kernel.Instant, waitLimit func(steer.FlowKey) time.Duration) int {
	expired := 0
	w.order = slices.DeleteFunc(w.order, func(entry *waitingPacket) bool {
		flow := entry.packet.Flow
		if entry.removed {
			return true
		}
		if now.Sub(entry.since) < waitLimit(flow) {
			return false
		}
		expired++
		w.remove(flow)
		return true
	})
	return expired
}

// best returns the position of the first packet that can be sent, or -1.
func (w *waitlist) best(now kernel.Instant, canSend func(steer.Packet) bool) int {
	best := -1
	for position, entry := range w.order {
		if entry.removed || !canSend(entry.packet) {
			continue
		}
		if best < 0 || entry.precedes(now, w.order[best]) {
			best = position
		}
	}
	return best
}

func (w *waitlist) isEmpty() bool { return len(w.packets) == 0 }
