package heartbeat

import (
	"sync"
	"time"

	"github.com/beamdoor/beamdoor/internal/rendezvous"
	"github.com/beamdoor/beamdoor/internal/strength"
)

// DefaultLocalRate is the heartbeat rate per second up to which a member keeps its
// targets.
const DefaultLocalRate = 50

// countWindow is the interval over which heartbeats are counted.
const countWindow = time.Second

// reassignTime is the minimum time for which an assignment is remembered, so that a target
// that returns stays with the member or is assigned another node. It spans many heartbeat
// intervals, so that an unreachable member costs few calls, but is short enough that
// traffic between zones does not add up.
const reassignTime = 15 * time.Second

// maxNodesTried is the maximum number of nodes that a returning target is assigned in
// turn. The cost of an assignment grows with it.
const maxNodesTried = 8

// maxAssignments bounds the target IDs recorded per reassignTime, since clients choose
// the IDs. It exceeds the number of targets of a fleet.
const maxAssignments = 50_000

// Distributor assigns a member's targets to the address that receives their next
// heartbeats. Targets of another zone are assigned to a member of that zone, to save
// traffic between zones. Above the local rate targets are assigned to nodes; below it
// they stay with the member, which then sees their heartbeats first. It is safe for
// concurrent use.
type Distributor struct {
	localRate int
	now       func() time.Time
	// zone is the zone of the member itself.
	zone string

	mutex sync.Mutex
	nodes map[uint64]node
	// nodesByZone holds the nodes of each zone, and those of all zones under "". It is
	// nil when it must be rebuilt.
	nodesByZone map[string]addressSet
	// members holds the members of each zone.
	members map[string]addressSet
	// sentToMember and sentToNode record the recent assignments.
	sentToMember, sentToNode assignments
	windowStart              time.Time
	// current and last are the numbers of heartbeats in the current window and in the one
	// before.
	current, last int
}

type node struct {
	zone, address string
	strength      strength.Resources
}

// addressSet is a set of addresses among which targets are distributed by weighted
// rendezvous hashing.
type addressSet struct {
	addresses []string
	nodes     []rendezvous.Node
}

func (a addressSet) with(address string, weight float64) addressSet {
	a.addresses = append(a.addresses, address)
	a.nodes = append(a.nodes, rendezvous.Node{Seed: rendezvous.Hash(address), Weight: weight})
	return a
}

// pick returns the address for a target, or "" if the set is empty.
func (a addressSet) pick(id string) string {
	best := rendezvous.Best(a.nodes, rendezvous.Hash(id))
	if best < 0 {
		return ""
	}
	return a.addresses[best]
}

// pickAfter returns the address for a target after the given number of previous
// assignments. It starts over after maxNodesTried addresses.
func (a addressSet) pickAfter(previous int, id string) string {
	previous %= max(1, min(maxNodesTried, len(a.addresses)))
	if previous == 0 {
		return a.pick(id)
	}
	return a.addresses[rendezvous.BestN(a.nodes, rendezvous.Hash(id), previous+1)[previous]]
}

// DistributorOption configures a Distributor.
type DistributorOption func(*Distributor)

// WithLocalRate sets the heartbeat rate per second up to which a member keeps its
// targets.
func WithLocalRate(rate int) DistributorOption {
	return func(d *Distributor) { d.localRate = rate }
}

// WithClock replaces the default clock, time.Now.
func WithClock(now func() time.Time) DistributorOption {
	return func(d *Distributor) { d.now = now }
}

// WithZone sets the zone of the member itself.
func WithZone(zone string) DistributorOption {
	return func(d *Distributor) { d.zone = zone }
}

// NewDistributor returns a distributor without nodes or members.
func NewDistributor(opts ...DistributorOption) *Distributor {
	d := &Distributor{localRate: DefaultLocalRate, now: time.Now, nodes: map[uint64]node{}}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// AddNode adds a node that receives heartbeats at an address; it ignores a node without
// one. The key identifies the node. Its strength is unknown until SetStrength.
func (d *Distributor) AddNode(key uint64, zone, address string) {
	if address == "" {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.nodes[key] = node{zone: zone, address: address}
	d.nodesByZone = nil
}

// SetStrength sets the strength of a node's machine. It ignores unknown nodes.
func (d *Distributor) SetStrength(key uint64, value strength.Resources) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	known, exists := d.nodes[key]
	if !exists || known.strength == value {
		return
	}
	known.strength = value
	d.nodes[key] = known
	d.nodesByZone = nil
}

// RemoveNode removes a node.
func (d *Distributor) RemoveNode(key uint64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if _, known := d.nodes[key]; known {
		delete(d.nodes, key)
		d.nodesByZone = nil
	}
}

// rebuildZones rebuilds nodesByZone after a change.
func (d *Distributor) rebuildZones() {
	if d.nodesByZone != nil {
		return
	}
	d.nodesByZone = map[string]addressSet{}
	var nodes []node
	var strengths []strength.Resources
	for _, node := range d.nodes {
		nodes = append(nodes, node)
		strengths = append(strengths, node.strength)
	}
	weights := strength.Weights(strengths)
	for position, node := range nodes {
		d.nodesByZone[node.zone] = d.nodesByZone[node.zone].with(node.address, weights[position])
		if node.zone != "" {
			d.nodesByZone[""] = d.nodesByZone[""].with(node.address, weights[position])
		}
	}
}

// SetMembers replaces the addresses of the members of each zone.
func (d *Distributor) SetMembers(members map[string][]string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.members = map[string]addressSet{}
	for zone, addresses := range members {
		for _, address := range addresses {
			d.members[zone] = d.members[zone].with(address, 1)
		}
	}
}

// Assign counts a heartbeat of a target and returns the address for its next ones: that of
// a member or a node, or "" if the target stays with this member. Nodes of the target's
// zone are preferred. A target that returns from a node is assigned the next one.
func (d *Distributor) Assign(zone, id string) string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.now()
	d.count(now)
	if member := d.memberFor(now, zone, id); member != "" {
		return member
	}
	if max(d.current, d.last) <= d.localRate {
		return ""
	}
	d.rebuildZones()
	candidates, known := d.nodesByZone[zone]
	if !known {
		candidates = d.nodesByZone[""]
	}
	if len(candidates.addresses) == 0 {
		return ""
	}
	d.sentToNode.expire(now)
	previous := d.sentToNode.count(id)
	d.sentToNode.add(id)
	return candidates.pickAfter(previous, id)
}

// memberFor returns the address of a member of the target's zone. It returns "" for
// targets of the own zone, and for those recently assigned: they have returned because
// their calls to that member failed.
func (d *Distributor) memberFor(now time.Time, zone, id string) string {
	members := d.members[zone]
	if zone == d.zone || len(members.addresses) == 0 {
		return ""
	}
	d.sentToMember.expire(now)
	if d.sentToMember.count(id) > 0 {
		return ""
	}
	d.sentToMember.add(id)
	return members.pick(id)
}

// assignments counts the recent assignments by target, up to maxAssignments. The zero
// value is empty.
type assignments struct {
	// current covers the period that began at since, previous the one before.
	current, previous map[string]int
	since             time.Time
}

func (a *assignments) count(id string) int { return a.current[id] + a.previous[id] }

func (a *assignments) add(id string) {
	if _, known := a.current[id]; known || len(a.current) < maxAssignments {
		a.current[id]++
	}
}

// expire rotates the periods, so that an assignment is kept for one to two reassignTime.
func (a *assignments) expire(now time.Time) {
	elapsed := now.Sub(a.since)
	if a.current != nil && elapsed < reassignTime {
		return
	}
	a.previous = a.current
	if elapsed >= 2*reassignTime {
		a.previous = nil
	}
	a.current = map[string]int{}
	a.since = now
}

// count adds a heartbeat to the current window.
func (d *Distributor) count(now time.Time) {
	elapsed := now.Sub(d.windowStart)
	if elapsed >= countWindow {
		d.last = d.current
		d.current = 0
		d.windowStart = now
	}
	if elapsed >= 2*countWindow {
		d.last = 0
	}
	d.current++
}
