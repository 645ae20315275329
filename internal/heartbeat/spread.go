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

// Spread chooses the nodes that take the heartbeats of a member's targets. It
// names none while the member has little to do: a heartbeat at the member is
// seen there first. Many goroutines may use it at once.
type Spread struct {
	ownRate int
	now     func() time.Time

	mutex sync.Mutex
	nodes map[uint64]nodeAddress
	// zones holds the addresses of each zone in order; all those of all zones
	// stand under "".
	zones map[string][]string
	since time.Time
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

// NewSpread returns a spread that knows no node.
func NewSpread(opts ...SpreadOption) *Spread {
	s := &Spread{ownRate: DefaultOwnRate, now: time.Now, nodes: map[uint64]nodeAddress{}, zones: map[string][]string{}}
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

// Choose counts a heartbeat of a target and returns the address for its later
// ones: a node of its zone if there is one. It returns "" when the target is to
// stay with the member.
func (s *Spread) Choose(zone, id string) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.count()
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
	return addresses[xxhash.Sum64String(id)%uint64(len(addresses))]
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
