package egress

const (
	// usageSlots are the ticks over which the use of a link is taken: a second, in which
	// a node gets enough flows that single ones do not show.
	usageSlots = 10
	// ticksPerSecond is the number of ticks in a second.
	ticksPerSecond = 10
)

// traffic counts bytes in both directions of a link.
type traffic struct{ in, out int }

// LinkUsage measures how much of a link is used. The machine's incoming link is as wide
// as its outgoing one, and nothing can be scheduled in front of it: the busier one of
// both counts.
type LinkUsage struct {
	slots   [usageSlots]traffic
	current int
	// filled is the number of slots that have been closed, usageSlots at most.
	filled int
	sum    traffic
}

// RecordReceived notes a datagram that has come, with all headers.
func (u *LinkUsage) RecordReceived(bytes int) { u.slots[u.current].in += bytes }

// RecordSent notes a datagram that has left, with all headers.
func (u *LinkUsage) RecordSent(bytes int) { u.slots[u.current].out += bytes }

// Tick ends a slot. It is called ticksPerSecond times a second.
func (u *LinkUsage) Tick() {
	u.filled = min(u.filled+1, usageSlots)
	u.sum.in += u.slots[u.current].in
	u.sum.out += u.slots[u.current].out
	u.current = (u.current + 1) % usageSlots
	u.sum.in -= u.slots[u.current].in
	u.sum.out -= u.slots[u.current].out
	u.slots[u.current] = traffic{}
}

// Utilization returns the used shares of a rate in bytes a second in both directions, 0 where
// none is stated.
func (u *LinkUsage) Utilization(rate float64) (in, out float64) {
	if rate <= 0 || u.filled == 0 {
		return 0, 0
	}
	span := float64(max(min(u.filled, usageSlots-1), 1)) / ticksPerSecond
	return float64(u.sum.in) / span / rate, float64(u.sum.out) / span / rate
}
