package heartbeat

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// DefaultOwnRate is the number of heartbeats a second above which a member
// passes targets on to nodes.
const DefaultOwnRate = 50

// window is the time over which heartbeats are counted.
const window = time.Second

// returnTime is how long a target that comes back from a member of its zone is
// kept: long against an interval of heartbeats (about 1 s), so that a member that
// cannot be reached costs its targets few calls, and short against the time that
// bytes between zones add up in.
const returnTime = 15 * time.Second

// Spread chooses who takes the heartbeats of a member's targets. A target of
// another zone goes to a member of its own: its calls would be nearly all that
// crosses between zones. A busy member names nodes; one that has little to do
// keeps the targets of its zone, since a heartbeat at a member is seen first.
// Many goroutines may use it at once.
type Spread struct {
	ownRate int
	now     func() time.Time
	// zone is that of the member itself.
	zone string

	mutex sync.Mutex
	nodes map[uint64]nodeAddress
	// zones holds the addresses of each zone in order; all those of all zones
	// stand under "".
	zones map[string][]string
	// homes holds the addresses of the members of each zone in order.
	homes map[string][]string
	// sent holds the targets that were sent to a member of their zone lately, and
	// sentBefore those of the time before; sentSince is when sent was begun.
	sent, sentBefore map[string]bool
	sentSince        time.Time
	since            time.Time
	// current and last count the heartbeats of this window and of the one before.
	current, last int
}

type nodeAddress struct{ zone, address string }

// SpreadOption changes a new spread.
type SpreadOption func(*Spread)

// WithOwnRate sets the number of heartbeats a second that a member keeps.
func WithOwnRate(rate int) SpreadOption {
	return func(s *Spread) { s.ownRate = rate }
}

// WithClock sets what tells the time; the default is time.Now.
func WithClock(now func() time.Time) SpreadOption {
	return func(s *Spread) { s.now = now }
}

// WithZone sets the zone of the member itself.
func WithZone(zone string) SpreadOption {
	return func(s *Spread) { s.zone = zone }
}

// NewSpread returns a spread that knows no node.
func NewSpread(opts ...SpreadOption) *Spread {
	s := &Spread{ownRate: DefaultOwnRate, now: time.Now, nodes: map[uint64]nodeAddress{}, zones: map[string][]string{}, sent: map[string]bool{}}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Add notes that a node takes heartbeats at an address. Its key is any number
// that no other node has.
func (s *Spread) Add(key uint64, zone, address string) {
	if address == "" {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.nodes[key] = nodeAddress{zone: zone, address: address}
	s.arrange()
}

// Remove notes that a node has gone.
func (s *Spread) Remove(key uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, known := s.nodes[key]; known {
		delete(s.nodes, key)
		s.arrange()
	}
}

// arrange makes the lists of addresses anew.
func (s *Spread) arrange() {
	clear(s.zones)
	for _, node := range s.nodes {
		s.zones[node.zone] = append(s.zones[node.zone], node.address)
		s.zones[""] = append(s.zones[""], node.address)
	}
	for _, addresses := range s.zones {
		slices.Sort(addresses)
	}
}

// SetHomes replaces the addresses of the members of each zone.
func (s *Spread) SetHomes(homes map[string][]string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.homes = homes
}

// Choose counts a heartbeat of a target and returns the address for its later
// ones: a member of its zone, or a node of it if there is one. It returns "" when
// the target is to stay with the member.
func (s *Spread) Choose(zone, id string) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.count()
	if home := s.home(zone, id); home != "" {
		return home
	}
	if max(s.current, s.last) <= s.ownRate {
		return ""
	}
	addresses := s.zones[zone]
	if len(addresses) == 0 {
		addresses = s.zones[""]
	}
	if len(addresses) == 0 {
		return ""
	}
	return pick(addresses, id)
}

// pick returns the same address for the same target.
func pick(addresses []string, id string) string {
	return addresses[xxhash.Sum64String(id)%uint64(len(addresses))]
}

// home returns the address of a member of a target's zone. It returns "" for
// targets of the own zone, and for one that was sent there lately and has come
// back: its calls failed there.
func (s *Spread) home(zone, id string) string {
	homes := s.homes[zone]
	if zone == s.zone || len(homes) == 0 {
		return ""
	}
	s.forgetSent()
	if s.sent[id] || s.sentBefore[id] {
		return ""
	}
	s.sent[id] = true
	return pick(homes, id)
}

// forgetSent forgets the targets that were sent on longer ago than returnTime, at
// the latest after twice that time.
func (s *Spread) forgetSent() {
	now := s.now()
	passed := now.Sub(s.sentSince)
	if passed < returnTime {
		return
	}
	s.sentBefore = s.sent
	if passed >= 2*returnTime {
		s.sentBefore = nil
	}
	s.sent = map[string]bool{}
	s.sentSince = now
}

// count enters a heartbeat into the window.
func (s *Spread) count() {
	now := s.now()
	passed := now.Sub(s.since)
	if passed >= window {
		s.last = s.current
		s.current = 0
		s.since = now
	}
	if passed >= 2*window {
		s.last = 0
	}
	s.current++
}
