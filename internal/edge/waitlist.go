package edge

import (
	"slices"
	"sort"
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/steer"
)

const (
	// waitCapacity is the number of flows whose packets wait for the node to
	// be ready.
	waitCapacity = 1024
	// callerPatience is how long a caller waits for its flow to open before it
	// ends the attempt (users' protocol page, "Flows").
	callerPatience = 1400 * time.Millisecond
	// promptAge is the age up to which an answer can still be a prompt one: the
	// caller has not sent its packet again yet.
	promptAge = 200 * time.Millisecond
	// releaseInterval is the time between two looks at the packets that wait.
	releaseInterval = 10 * time.Millisecond
	// releaseWindow is the number of flows that may wait for an answer while
	// packets that have waited are sent. Many nodes become ready at once; with
	// more, new callers wait behind those that are late already. Scores differ
	// little between 2 and 12 (docs/DECISIONS.md, round 4).
	releaseWindow = 6
)

// copyAges are the ages of an opening packet and its copies when the caller
// sends them.
var copyAges = [...]time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// waitingPacket is the newest packet of a flow.
type waitingPacket struct {
	packet   steer.Packet
	datagram []byte
	// since is when the caller first sent the packet, as far as it shows.
	since kernel.Instant
}

// waitlist keeps the newest packet of each flow that came before the node was
// ready. Without it a caller whose copies all came too early would wait until
// it gives the attempt up.
type waitlist struct {
	packets map[steer.FlowKey]*waitingPacket
	// order holds the packets by since. Those that were dropped are still in it.
	order []*waitingPacket
	// roomAt is when the list last looked for room.
	roomAt kernel.Instant
}

func newWaitlist() *waitlist { return &waitlist{packets: map[steer.FlowKey]*waitingPacket{}} }

// add keeps a packet in place of an older one of its flow. It returns false
// when there is no room.
func (w *waitlist) add(now kernel.Instant, packet steer.Packet, datagram []byte) bool {
	kept, known := w.packets[packet.Flow]
	if !known {
		if len(w.packets) >= waitCapacity {
			return false
		}
		kept = &waitingPacket{since: now.Add(-ageOf(packet))}
		w.packets[packet.Flow] = kept
		w.insert(kept)
	}
	kept.packet = packet
	kept.datagram = append(kept.datagram[:0], datagram...)
	return true
}

// makeRoom forgets the packets whose callers have left when the list is full, and
// returns their number. It looks no more often than packets are released: a full
// list takes a while to go through.
func (w *waitlist) makeRoom(now kernel.Instant, patience func(steer.FlowKey) time.Duration) int {
	if len(w.packets) < waitCapacity || now.Sub(w.roomAt) < releaseInterval {
		return 0
	}
	w.roomAt = now
	return w.clean(now, patience)
}

// insert puts a packet behind those whose callers began to wait earlier.
func (w *waitlist) insert(kept *waitingPacket) {
	position := sort.Search(len(w.order), func(i int) bool { return w.order[i].since > kept.since })
	w.order = slices.Insert(w.order, position, kept)
}

// ageOf returns how long ago the caller first sent a packet, as far as it shows.
func ageOf(packet steer.Packet) time.Duration {
	if !packet.Opening {
		return 0
	}
	return copyAges[min(int(packet.Copy), len(copyAges)-1)]
}

// drop forgets the packet of a flow: a newer one has come. It stays in the
// order until clean.
func (w *waitlist) drop(flow steer.FlowKey) { delete(w.packets, flow) }

// take returns the packet that is worth most of those that can be sent: the
// newest, as long as its answer can be prompt; else the oldest.
func (w *waitlist) take(now kernel.Instant, canSend func(steer.Packet) bool) (*waitingPacket, bool) {
	position := w.best(now, canSend)
	if position < 0 {
		return nil, false
	}
	taken := w.order[position]
	w.order = slices.Delete(w.order, position, position+1)
	delete(w.packets, taken.packet.Flow)
	return taken, true
}

// clean forgets the packets that were dropped and those whose callers have left,
// and returns the number of the latter. Patience tells how long a flow's caller
// waits.
func (w *waitlist) clean(now kernel.Instant, patience func(steer.FlowKey) time.Duration) int {
	left := 0
	w.order = slices.DeleteFunc(w.order, func(kept *waitingPacket) bool {
		flow := kept.packet.Flow
		if !w.isWaiting(kept) {
			return true
		}
		if now.Sub(kept.since) < patience(flow) {
			return false
		}
		left++
		delete(w.packets, flow)
		return true
	})
	return left
}

// best returns the position of the packet that is worth most, or -1.
func (w *waitlist) best(now kernel.Instant, canSend func(steer.Packet) bool) int {
	for position := len(w.order) - 1; position >= 0 && now.Sub(w.order[position].since) < promptAge; position-- {
		if w.isWaiting(w.order[position]) && canSend(w.order[position].packet) {
			return position
		}
	}
	return slices.IndexFunc(w.order, func(kept *waitingPacket) bool {
		return w.isWaiting(kept) && canSend(kept.packet)
	})
}

// isWaiting reports whether a packet of the order was not dropped.
func (w *waitlist) isWaiting(kept *waitingPacket) bool { return w.packets[kept.packet.Flow] == kept }

func (w *waitlist) isEmpty() bool { return len(w.packets) == 0 }
