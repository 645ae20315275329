package egress

const (
	// usageSlots is the number of slots over which utilization is measured: about one
	// second, long enough to average over many flows.
	usageSlots = 10
	// ticksPerSecond is the rate at which Tick is called.
	ticksPerSecond = 10
)

// traffic counts the bytes in both directions of a link.
type traffic struct{ in, out int }

// LinkUsage measures the utilization of a link in both directions, which have the same
// rate. It uses a sliding window of slots.
type LinkUsage struct {
	slots   [usageSlots]traffic
	current int
	// filled is the number of finished slots, at most usageSlots.
	filled int
	// sum is the traffic of the finished slots in the window.
	sum traffic
}

// RecordReceived records the size of a received datagram, including all headers.
func (u *LinkUsage) RecordReceived(bytes int) { u.slots[u.current].in += bytes }

// RecordSent records the size of a sent datagram, including all headers.
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

// Utilization returns the utilization of both directions at a rate in bytes per second;
// 0 if the rate is not configured.
func (u *LinkUsage) Utilization(rate float64) (in, out float64) {
	if rate <= 0 || u.filled == 0 {
		return 0, 0
	}
	span := float64(max(min(u.filled, usageSlots-1), 1)) / ticksPerSecond
	return float64(u.sum.in) / span / rate, float64(u.sum.out) / span / rate
}
