package sim

import (
	"math/rand/v2"
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

const (
	sameZoneDelay = 200 * time.Microsecond
	meanJitter    = 100 * time.Microsecond
	// overtakeDelay is how far a reordered packet may fall behind.
	overtakeDelay = 30 * time.Millisecond
	// clientZone is the zone of callers and operators.
	clientZone = "clients"
)

// faults are the faults of the network that hold for all datagrams.
type faults struct {
	loss      float64
	duplicate float64
	reorder   float64
}

// route is one direction between two places.
type route struct{ from, to string }

// network moves packets between places.
type network struct {
	clock       *Clock
	random      *rand.Rand
	zoneDelay   time.Duration
	clientDelay time.Duration
	faults      faults
	cut         map[route]bool
	// source is where the packet comes from that arrives now.
	source string
	// ordered holds when the last frame of each stream arrives.
	ordered map[route]kernel.Instant
}

func newNetwork(clock *Clock, random *rand.Rand, setup Setup) *network {
	return &network{
		clock:       clock,
		random:      random,
		zoneDelay:   setup.ZoneDelay,
		clientDelay: setup.ClientDelay,
		cut:         map[route]bool{},
		ordered:     map[route]kernel.Instant{},
	}
}

func (n *network) delay(from, to place) time.Duration {
	base := n.zoneDelay
	switch {
	case from.zone == clientZone || to.zone == clientZone:
		base = n.clientDelay
	case from.zone == to.zone:
		base = sameZoneDelay
	}
	return base + time.Duration(n.random.ExpFloat64()*float64(meanJitter))
}

// datagram carries a packet that may be lost, doubled or overtaken.
func (n *network) datagram(from, to place, arrive func()) { n.carry(from, to, n.faults, arrive) }

// datagramOnce carries a packet that may be lost or overtaken, but does not
// come twice: no balancer can do anything about a request that the network
// doubles on its way to a target that detects no duplicates.
func (n *network) datagramOnce(from, to place, arrive func()) {
	once := n.faults
	once.duplicate = 0
	n.carry(from, to, once, arrive)
}

func (n *network) carry(from, to place, now faults, arrive func()) {
	if n.cut[route{from.name, to.name}] || n.random.Float64() < now.loss {
		return
	}
	copies := 1
	if n.random.Float64() < now.duplicate {
		copies = 2
	}
	for range copies {
		wait := n.delay(from, to)
		if n.random.Float64() < now.reorder {
			wait += time.Duration(n.random.Int64N(int64(overtakeDelay)))
		}
		n.clock.After(wait, n.from(from, arrive))
	}
}

// stream carries a frame of a connection: in order, and whole or not at all.
func (n *network) stream(from, to place, arrive func()) {
	way := route{from.name, to.name}
	if n.cut[way] {
		return
	}
	at := n.clock.Now().Add(n.delay(from, to))
	at = max(at, n.ordered[way]+1)
	n.ordered[way] = at
	n.clock.After(at.Sub(n.clock.Now()), n.from(from, arrive))
}

// from notes the source of what arrives.
func (n *network) from(source place, arrive func()) func() {
	return func() {
		n.source = source.name
		arrive()
	}
}

// cutWay silences one direction.
func (n *network) cutWay(from, to string) { n.cut[route{from, to}] = true }

// cutBoth silences both directions.
func (n *network) cutBoth(a, b string) {
	n.cutWay(a, b)
	n.cutWay(b, a)
}

// heal ends all cuts.
func (n *network) heal() { n.cut = map[route]bool{} }
