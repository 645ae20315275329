package routing

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	beamdoorv1 "github.com/beamdoor/beamdoor/api/beamdoor/v1"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// Partitions is the number of parts into which the flows of a cell are
// divided. Each has a primary and a backup balancer.
const Partitions = 1024

// defaultWeight is a target's weight until the control plane has one.
const defaultWeight = 128

// Flow is one caller's address with one service.
type Flow struct {
	Caller    netip.AddrPort
	ServiceID uint32
}

// Fingerprint returns the hash by which a flow is known. Two flows share one
// with a probability of 2^-64.
func (f Flow) Fingerprint() uint64 {
	var buffer [22]byte
	ip := f.Caller.Addr().As16()
	copy(buffer[:16], ip[:])
	buffer[16] = byte(f.Caller.Port() >> 8)
	buffer[17] = byte(f.Caller.Port())
	buffer[18] = byte(f.ServiceID >> 24)
	buffer[19] = byte(f.ServiceID >> 16)
	buffer[20] = byte(f.ServiceID >> 8)
	buffer[21] = byte(f.ServiceID)
	return xxhash.Sum64(buffer[:])
}

// PartitionOf returns the partition of a flow.
func PartitionOf(fingerprint uint64) int { return int(fingerprint % Partitions) }

// service is a service as the balancer has it in force.
type service struct {
	id      uint32
	name    string
	address netip.AddrPort
	balance bool
	policy  string
	limits  limits
	targets []*target
	retries retryBudget
}

// limits are the limits of a service with defaults filled in.
type limits struct {
	queueFactor    uint32
	deadline       time.Duration
	retransmitSpan time.Duration
	idleTimeout    time.Duration
	coldStart      time.Duration
}

// Defaults for limits that the configuration leaves out.
const (
	DefaultQueueFactor = 8
	DefaultDeadline    = 8 * time.Second
	// DefaultRetransmitSpan is MAX_TRANSMIT_SPAN of RFC 7252, section 4.8.2.
	DefaultRetransmitSpan = 45 * time.Second
	DefaultIdleTimeout    = 10 * time.Minute
	DefaultColdStart      = 10 * time.Second
	DefaultRetryPercent   = 10
)

// target is one incarnation of a back end.
type target struct {
	id          uint32
	name        string
	service     *service
	address     netip.AddrPort
	slots       uint32
	connections uint32
	dedupes     bool
	draining    bool
	weight      uint8
	alive       bool
	// run identifies the run of the target's process, 0 while it is not known.
	run uint32
	// removed says that the configuration no longer names the target; its open
	// flows go on.
	removed   bool
	removedAt kernel.Instant
	// replaced says that its address belongs to another target now.
	replaced bool
	// since is when this balancer first heard of the target.
	since kernel.Instant
	// placed counts the open flows that this balancer has placed there.
	placed int
	// outstanding counts the requests under way through this primary.
	outstanding int
	// serviceTime is a moving average of the time to answer a request.
	serviceTime time.Duration
}

// takesNewFlows reports whether a new flow may be placed on the target.
func (t *target) takesNewFlows() bool {
	return t.usable() && !t.removed && !t.draining && t.weight > 0 && t.placed < int(max(t.connections, 1))
}

// usable reports whether packets of open flows may go to the target.
func (t *target) usable() bool { return t.alive && !t.replaced }

// member is a balancer of the cell's view.
type member struct {
	id      uint32
	name    string
	zone    string
	peer    netip.AddrPort
	leaving bool
}

// pair holds the two balancers that keep the records of a partition.
type pair struct {
	primary uint32
	backup  uint32
}

func (p pair) has(id uint32) bool { return id != 0 && (p.primary == id || p.backup == id) }

func (p pair) other(id uint32) uint32 {
	if p.primary == id {
		return p.backup
	}
	return p.primary
}

// view is the numbered list of the cell's balancers with the pairs that
// follow from it.
type view struct {
	number   uint64
	founding bool
	members  []member
	pairs    [Partitions]pair
	// epochs holds for each partition the view in which its pair last changed.
	epochs [Partitions]uint64
}

func newView(config *beamdoorv1.View, previous *view) *view {
	next := &view{number: config.Number, founding: config.Founding}
	for _, balancer := range config.Members {
		peer, _ := netip.ParseAddrPort(balancer.Peer)
		next.members = append(next.members, member{
			id:      balancer.Id,
			name:    balancer.Name,
			zone:    balancer.Zone,
			peer:    peer,
			leaving: balancer.State == beamdoorv1.BalancerState_BALANCER_STATE_LEAVING,
		})
	}
	for partition := range next.pairs {
		next.pairs[partition] = choosePair(uint64(partition), next.members)
		next.epochs[partition] = next.number
		if previous != nil && previous.pairs[partition] == next.pairs[partition] && previous.number+1 == next.number {
			next.epochs[partition] = previous.epochs[partition]
		}
	}
	return next
}

// choosePair returns the member with the highest hash for the partition as
// primary (rendezvous hashing; Thaler and Ravishankar, 1998), and as backup the
// one with the highest hash that stands in another zone, or anywhere when there
// is no other zone. Leaving members are passed over, so that their partitions
// move before they go. When one member comes or goes, one owner stays.
func choosePair(partition uint64, members []member) pair {
	primary := highest(partition, members, func(*member) bool { return true })
	if primary == nil {
		return pair{}
	}
	backup := highest(partition, members, func(candidate *member) bool { return candidate.zone != primary.zone })
	if backup == nil {
		backup = highest(partition, members, func(candidate *member) bool { return candidate.id != primary.id })
	}
	if backup == nil {
		return pair{primary: primary.id}
	}
	return pair{primary: primary.id, backup: backup.id}
}

// highest returns the member with the highest hash among those that may own
// the partition, or nil.
func highest(partition uint64, members []member, may func(*member) bool) *member {
	var best *member
	var bestScore uint64
	for i := range members {
		candidate := &members[i]
		if candidate.leaving || !may(candidate) {
			continue
		}
		if score := rendezvousScore(partition, candidate.id); best == nil || score > bestScore {
			best, bestScore = candidate, score
		}
	}
	return best
}

func rendezvousScore(key uint64, id uint32) uint64 {
	var buffer [12]byte
	for i := 0; i < 8; i++ {
		buffer[i] = byte(key >> (8 * i))
	}
	for i := 0; i < 4; i++ {
		buffer[8+i] = byte(id >> (8 * i))
	}
	return xxhash.Sum64(buffer[:])
}

func (v *view) member(id uint32) *member {
	if v == nil {
		return nil
	}
	for i := range v.members {
		if v.members[i].id == id {
			return &v.members[i]
		}
	}
	return nil
}

func (v *view) position(id uint32) int {
	for i := range v.members {
		if v.members[i].id == id {
			return i
		}
	}
	return -1
}

// table is the configuration in force.
type table struct {
	revision  uint64
	byAddress map[netip.AddrPort]*service
	byName    map[string]*service
	byID      map[uint32]*service
	targets   map[uint32]*target
	// byTarget holds the newest target at each address.
	byTarget map[netip.AddrPort]*target
	view     *view
}

func newTable() *table {
	return &table{
		byAddress: map[netip.AddrPort]*service{},
		byName:    map[string]*service{},
		byID:      map[uint32]*service{},
		targets:   map[uint32]*target{},
		byTarget:  map[netip.AddrPort]*target{},
	}
}

// putService puts a service in force. Targets that stay keep their counts;
// those that are gone are kept as removed, so that late answers are known.
func (t *table) putService(now kernel.Instant, config *beamdoorv1.Service) {
	if previous := t.byName[config.Name]; previous != nil && previous.id != config.Id {
		t.removeService(now, config.Name)
	}
	current := t.byID[config.Id]
	if current == nil {
		current = &service{id: config.Id}
	}
	address, _ := netip.ParseAddrPort(config.Address)
	delete(t.byAddress, current.address)
	current.name = config.Name
	current.address = address
	current.balance = config.Priority == "balance"
	current.policy = config.SharingPolicy
	current.limits = readLimits(config.Limits)
	current.retries.percent = retryPercent(config.Limits)
	t.putTargets(now, current, config.Targets)
	t.byAddress[address] = current
	t.byName[config.Name] = current
	t.byID[config.Id] = current
}

func (t *table) putTargets(now kernel.Instant, owner *service, configs []*beamdoorv1.Target) {
	removeTargets(now, owner.targets)
	owner.targets = owner.targets[:0]
	for _, config := range configs {
		current := t.targets[config.Id]
		if current == nil {
			current = &target{id: config.Id, weight: defaultWeight, alive: true, since: now}
			t.targets[config.Id] = current
		}
		current.address, _ = netip.ParseAddrPort(config.Address)
		t.claimAddress(current)
		current.name = config.Name
		current.service = owner
		current.slots = max(config.Slots, 1)
		current.connections = config.Connections
		current.dedupes = config.DetectsDuplicates
		current.draining = config.Draining
		current.removed = false
		owner.targets = append(owner.targets, current)
	}
}

// claimAddress ends the use of every other target with the same address: its
// packets would reach a process of another service or incarnation.
func (t *table) claimAddress(owner *target) {
	if holder := t.byTarget[owner.address]; holder != nil && holder != owner {
		holder.replaced = true
	}
	t.byTarget[owner.address] = owner
	owner.replaced = false
}

func removeTargets(now kernel.Instant, targets []*target) {
	for _, old := range targets {
		old.removed = true
		old.removedAt = now
	}
}

func (t *table) removeService(now kernel.Instant, name string) {
	gone := t.byName[name]
	if gone == nil {
		return
	}
	removeTargets(now, gone.targets)
	if t.byAddress[gone.address] == gone {
		delete(t.byAddress, gone.address)
	}
	delete(t.byName, name)
	delete(t.byID, gone.id)
}

func readLimits(config *beamdoorv1.Limits) limits {
	return limits{
		queueFactor:    orDefault(config.GetQueueFactor(), DefaultQueueFactor),
		deadline:       milliseconds(config.GetDefaultDeadlineMs(), DefaultDeadline),
		retransmitSpan: milliseconds(config.GetRetransmitSpanMs(), DefaultRetransmitSpan),
		idleTimeout:    milliseconds(config.GetIdleTimeoutMs(), DefaultIdleTimeout),
		coldStart:      milliseconds(config.GetColdStartMs(), DefaultColdStart),
	}
}

func retryPercent(config *beamdoorv1.Limits) uint32 {
	return orDefault(config.GetRetryPercent(), DefaultRetryPercent)
}

func orDefault(value, fallback uint32) uint32 {
	if value == 0 {
		return fallback
	}
	return value
}

func milliseconds(value uint32, fallback time.Duration) time.Duration {
	if value == 0 {
		return fallback
	}
	return time.Duration(value) * time.Millisecond
}

// signalEffect is what a verdict means for the flows of its target.
type signalEffect uint8

const (
	// signalGoesOn changes nothing for open flows.
	signalGoesOn signalEffect = iota
	// signalDied ends all flows.
	signalDied
	// signalRestarted ends what the target's earlier run knew.
	signalRestarted
)

// applySignal puts a verdict in force.
func (t *table) applySignal(signal wire.TargetSignal) (*target, signalEffect) {
	current := t.targets[signal.TargetID]
	if current == nil {
		return nil, signalGoesOn
	}
	died := current.alive && !signal.Alive
	restarted := signal.Run != 0 && current.run != 0 && signal.Run != current.run
	current.weight = signal.Weight
	current.alive = signal.Alive
	if signal.Run != 0 {
		current.run = signal.Run
	}
	switch {
	case died:
		return current, signalDied
	case restarted:
		return current, signalRestarted
	}
	return current, signalGoesOn
}
