package heartbeat

import (
	"sync"
	"time"

	"github.com/beamdoor/beamdoor/internal/rendezvous"
	"github.com/beamdoor/beamdoor/internal/strength"
)

// DefaultLocalRate is the number of heartbeats a second above which a member
// passes targets on to nodes.
const DefaultLocalRate = 50

// window is the time over which heartbeats are counted.
const window = time.Second

// returnTime is how long a target that comes back from a member of its zone is
// kept: long against an interval of heartbeats (about 1 s), so that a member that
// cannot be reached costs its targets few calls, and short against the time that
// bytes between zones add up in.
const returnTime = 15 * time.Second

// maxTold is the number of nodes that a target is told one after the other. The cost
// of the next one grows with it.
const maxTold = 8

// maxRecent bounds the targets that are noted between two times of forgetting: their ids
// are the callers' choice. It is above the targets of a whole fleet.
const maxRecent = 50_000

// Distributor chooses who takes the heartbeats of a member's targets. A target of
// another zone goes to a member of its own: its calls would be nearly all that
// crosses between zones. A busy member names nodes; one that has little to do
// keeps the targets of its zone, since a heartbeat at a member is seen first.
// Many goroutines may use it at once.
type Distributor struct {
	ownRate int
	now     func() time.Time
	// zone is that of the member itself.
	zone string

	mutex sync.Mutex
	nodes map[uint64]node
	// zones holds the nodes of each zone; all those of all zones stand under "". It is
	// nil after a change until it is needed.
	zones map[string]places
	// homes holds the members of each zone.
	homes map[string]places
	// sent are the targets that were sent to a member of their zone lately, and passed
	// those that were passed on to a node.
	sent, passed recent
	since        time.Time
	// current and last count the heartbeats of this window and of the one before.
	current, last int
}

type node struct {
	zone, address string
	stated        strength.Resources
}

// places are addresses among which targets are shared out, each with its draw.
type places struct {
	addresses []string
	draws     []rendezvous.Node
}

func (p places) with(address string, weight float64) places {
	p.addresses = append(p.addresses, address)
	p.draws = append(p.draws, rendezvous.Node{Seed: rendezvous.Hash(address), Weight: weight})
	return p
}

// pick returns the same address for the same target, or "" when there is none.
func (p places) pick(id string) string {
	best := rendezvous.Best(p.draws, rendezvous.Hash(id))
	if best < 0 {
		return ""
	}
	return p.addresses[best]
}

// pickAfter returns the next address for a target that has left so many. After
// maxTold of them it begins anew.
func (p places) pickAfter(left int, id string) string {
	left %= max(1, min(maxTold, len(p.addresses)))
	if left == 0 {
		return p.pick(id)
	}
	return p.addresses[rendezvous.BestN(p.draws, rendezvous.Hash(id), left+1)[left]]
}

// DistributorOption changes a new spread.
type DistributorOption func(*Distributor)

// WithLocalRate sets the number of heartbeats a second that a member keeps.
func WithLocalRate(rate int) DistributorOption {
	return func(s *Distributor) { s.ownRate = rate }
}

// WithClock sets what tells the time; the default is time.Now.
func WithClock(now func() time.Time) DistributorOption {
	return func(s *Distributor) { s.now = now }
}

// WithZone sets the zone of the member itself.
func WithZone(zone string) DistributorOption {
	return func(s *Distributor) { s.zone = zone }
}

// NewDistributor returns a spread that knows no node.
func NewDistributor(opts ...DistributorOption) *Distributor {
	s := &Distributor{ownRate: DefaultLocalRate, now: time.Now, nodes: map[uint64]node{}}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// AddNode notes that a node takes heartbeats at an address. Its key is any number
// that no other node has. It states no strength until Weigh.
func (s *Distributor) AddNode(key uint64, zone, address string) {
	if address == "" {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.nodes[key] = node{zone: zone, address: address}
	s.zones = nil
}

// SetStrength notes what a node states of its machine. It changes nothing for a node that
// takes no heartbeats.
func (s *Distributor) SetStrength(key uint64, stated strength.Resources) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known, takes := s.nodes[key]
	if !takes || known.stated == stated {
		return
	}
	known.stated = stated
	s.nodes[key] = known
	s.zones = nil
}

// RemoveNode notes that a node has gone.
func (s *Distributor) RemoveNode(key uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, known := s.nodes[key]; known {
		delete(s.nodes, key)
		s.zones = nil
	}
}

// arrange makes the lists of nodes anew after a change.
func (s *Distributor) arrange() {
	if s.zones != nil {
		return
	}
	s.zones = map[string]places{}
	var nodes []node
	var stated []strength.Resources
	for _, node := range s.nodes {
		nodes = append(nodes, node)
		stated = append(stated, node.stated)
	}
	weights := strength.Weights(stated)
	for position, node := range nodes {
		s.zones[node.zone] = s.zones[node.zone].with(node.address, weights[position])
		if node.zone != "" {
			s.zones[""] = s.zones[""].with(node.address, weights[position])
		}
	}
}

// SetMembers replaces the addresses of the members of each zone.
func (s *Distributor) SetMembers(homes map[string][]string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.homes = map[string]places{}
	for zone, addresses := range homes {
		for _, address := range addresses {
			s.homes[zone] = s.homes[zone].with(address, 1)
		}
	}
}

// Assign counts a heartbeat of a target and returns the address for its later
// ones: a member of its zone, or a node of it if there is one. It returns "" when
// the target is to stay with the member. A target that was passed on lately and is back
// was refused there: it is told the next node.
func (s *Distributor) Assign(zone, id string) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.now()
	s.count(now)
	if home := s.home(now, zone, id); home != "" {
		return home
	}
	if max(s.current, s.last) <= s.ownRate {
		return ""
	}
	s.arrange()
	near, known := s.zones[zone]
	if !known {
		near = s.zones[""]
	}
	if len(near.addresses) == 0 {
		return ""
	}
	s.passed.forget(now)
	left := s.passed.times(id)
	s.passed.add(id)
	return near.pickAfter(left, id)
}

// home returns the address of a member of a target's zone. It returns "" for
// targets of the own zone, and for one that was sent there lately and has come
// back: its calls failed there.
func (s *Distributor) home(now time.Time, zone, id string) string {
	homes := s.homes[zone]
	if zone == s.zone || len(homes.addresses) == 0 {
		return ""
	}
	s.sent.forget(now)
	if s.sent.times(id) > 0 {
		return ""
	}
	s.sent.add(id)
	return homes.pick(id)
}

// recent counts by target what was done lately, for as many targets as there is room
// for. The zero value has counted nothing.
type recent struct {
	// lately began at since; before holds the time before.
	lately, before map[string]int
	since          time.Time
}

func (r *recent) times(id string) int { return r.lately[id] + r.before[id] }

func (r *recent) add(id string) {
	if _, known := r.lately[id]; known || len(r.lately) < maxRecent {
		r.lately[id]++
	}
}

// forget forgets what was counted longer ago than returnTime, at the latest after twice
// that time.
func (r *recent) forget(now time.Time) {
	passed := now.Sub(r.since)
	if r.lately != nil && passed < returnTime {
		return
	}
	r.before = r.lately
	if passed >= 2*returnTime {
		r.before = nil
	}
	r.lately = map[string]int{}
	r.since = now
}

// count enters a heartbeat into the window.
func (s *Distributor) count(now time.Time) {
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
