package routing

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	beamdoorv1 "github.com/beamdoor/beamdoor/api/beamdoor/v1"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// Partitions is the number of partitions of a cell's flows. Each has a primary and
// a backup balancer.
const Partitions = 1024

// defaultWeight is the weight of a target until the control plane sends one.
const defaultWeight = 128

// Flow identifies the packets between a caller's address and a service.
type Flow struct {
	Caller    netip.AddrPort
	ServiceID uint32
}

// Fingerprint returns the 64-bit hash that is used as the flow's key.
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

// PartitionOf returns the partition of the flow with a fingerprint.
func PartitionOf(fingerprint uint64) int { return int(fingerprint % Partitions) }

// service is a service in the current configuration.
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

// limits holds the limits of a service, with defaults for those not configured.
type limits struct {
	queueFactor    uint32
	deadline       time.Duration
	retransmitSpan time.Duration
	idleTimeout    time.Duration
	coldStart      time.Duration
}

// Defaults of limits that are not configured.
const (
	DefaultQueueFactor = 8
	DefaultDeadline    = 8 * time.Second
	// DefaultRetransmitSpan is MAX_TRANSMIT_SPAN of RFC 7252, section 4.8.2.
	DefaultRetransmitSpan = 45 * time.Second
	DefaultIdleTimeout    = 10 * time.Minute
	DefaultColdStart      = 10 * time.Second
	DefaultRetryPercent   = 10
)

// target is one incarnation of a service's backend. IDs are never reused.
type target struct {
	id                uint32
	name              string
	service           *service
	address           netip.AddrPort
	slots             uint32
	connections       uint32
	detectsDuplicates bool
	draining          bool
	weight            uint8
	alive             bool
	// runID identifies the run of the target's process, 0 if unknown.
	runID uint32
	// removed reports whether the target was removed from the configuration. Its
	// open flows continue.
	removed   bool
	removedAt kernel.Instant
	// replaced reports whether a newer target uses the same address.
	replaced bool
	// firstSeen is when this balancer first received the target's configuration.
	firstSeen kernel.Instant
	// placedFlows counts the open flows to this target that this balancer accounts
	// for as primary.
	placedFlows int
	// outstanding counts the unanswered requests that this balancer sent as primary.
	outstanding int
	// serviceTime is the moving average of the time to answer a request.
	serviceTime time.Duration
}

// takesNewFlows reports whether a new flow may be placed on the target.
func (t *target) takesNewFlows() bool {
	return t.usable() && !t.removed && !t.draining && t.weight > 0 && t.placedFlows < int(max(t.connections, 1))
}

// usable reports whether packets of open flows may be sent to the target.
func (t *target) usable() bool { return t.alive && !t.replaced }

// member is a balancer of the cell's view.
type member struct {
	id          uint32
	name        string
	zone        string
	peerAddress netip.AddrPort
	leaving     bool
}

// pair holds the IDs of a partition's primary and backup, 0 for none.
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

// view is a numbered membership of the cell's balancers, with the pairs derived
// from it.
type view struct {
	number   uint64
	founding bool
	members  []member
	pairs    [Partitions]pair
	// pairChangedIn is the number of the view in which a partition's pair last
	// changed.
	pairChangedIn [Partitions]uint64
}

func newView(config *beamdoorv1.View, previous *view) *view {
	next := &view{number: config.Number, founding: config.Founding}
	for _, balancer := range config.Members {
		peer, _ := netip.ParseAddrPort(balancer.Peer)
		next.members = append(next.members, member{
			id:          balancer.Id,
			name:        balancer.Name,
			zone:        balancer.Zone,
			peerAddress: peer,
			leaving:     balancer.State == beamdoorv1.BalancerState_BALANCER_STATE_LEAVING,
		})
	}
	for partition := range next.pairs {
		next.pairs[partition] = choosePair(uint64(partition), next.members)
		next.pairChangedIn[partition] = next.number
		if previous != nil && previous.pairs[partition] == next.pairs[partition] && previous.number+1 == next.number {
			next.pairChangedIn[partition] = previous.pairChangedIn[partition]
		}
	}
	return next
}

// choosePair returns the owners of a partition by rendezvous hashing (Thaler and
// Ravishankar, 1998). The primary is the member with the highest score; the backup
// is the one with the highest score in another zone, or in any zone if there is
// only one. Leaving members are skipped, so that their partitions move before they
// leave. When a single member joins or leaves, at least one owner stays.
func choosePair(partition uint64, members []member) pair {
	primary := highestScoring(partition, members, func(*member) bool { return true })
	if primary == nil {
		return pair{}
	}
	backup := highestScoring(partition, members, func(candidate *member) bool { return candidate.zone != primary.zone })
	if backup == nil {
		backup = highestScoring(partition, members, func(candidate *member) bool { return candidate.id != primary.id })
	}
	if backup == nil {
		return pair{primary: primary.id}
	}
	return pair{primary: primary.id, backup: backup.id}
}

// highestScoring returns the eligible member with the highest score for the
// partition that is not leaving, or nil.
func highestScoring(partition uint64, members []member, eligible func(*member) bool) *member {
	var best *member
	var bestScore uint64
	for i := range members {
		candidate := &members[i]
		if candidate.leaving || !eligible(candidate) {
			continue
		}
		if score := rendezvousScore(partition, candidate.id); best == nil || score > bestScore {
			best, bestScore = candidate, score
		}
	}
	return best
}

// rendezvousScore returns the score of a member or target for a key.
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

// routingTable holds the current configuration and view.
type routingTable struct {
	revision  uint64
	byAddress map[netip.AddrPort]*service
	byName    map[string]*service
	byID      map[uint32]*service
	targets   map[uint32]*target
	// byTargetAddress holds the newest target with each address.
	byTargetAddress map[netip.AddrPort]*target
	view            *view
}

func newTable() *routingTable {
	return &routingTable{
		byAddress:       map[netip.AddrPort]*service{},
		byName:          map[string]*service{},
		byID:            map[uint32]*service{},
		targets:         map[uint32]*target{},
		byTargetAddress: map[netip.AddrPort]*target{},
	}
}

// applyService adds or updates a service. Targets that remain keep their counts.
// Removed targets are kept for late answers.
func (t *routingTable) applyService(now kernel.Instant, config *beamdoorv1.Service) {
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
	current.limits = limitsFromConfig(config.Limits)
	current.retries.percent = retryPercent(config.Limits)
	t.applyTargets(now, current, config.Targets)
	t.byAddress[address] = current
	t.byName[config.Name] = current
	t.byID[config.Id] = current
}

func (t *routingTable) applyTargets(now kernel.Instant, svc *service, configs []*beamdoorv1.Target) {
	removeTargets(now, svc.targets)
	svc.targets = svc.targets[:0]
	for _, config := range configs {
		current := t.targets[config.Id]
		if current == nil {
			current = &target{id: config.Id, weight: defaultWeight, alive: true, firstSeen: now}
			t.targets[config.Id] = current
		}
		current.address, _ = netip.ParseAddrPort(config.Address)
		t.claimAddress(current)
		current.name = config.Name
		current.service = svc
		current.slots = max(config.Slots, 1)
		current.connections = config.Connections
		current.detectsDuplicates = config.DetectsDuplicates
		current.draining = config.Draining
		current.removed = false
		svc.targets = append(svc.targets, current)
	}
}

// claimAddress marks the previous target with the same address as replaced, because
// its packets would reach another service or a later backend.
func (t *routingTable) claimAddress(claimant *target) {
	if holder := t.byTargetAddress[claimant.address]; holder != nil && holder != claimant {
		holder.replaced = true
	}
	t.byTargetAddress[claimant.address] = claimant
	claimant.replaced = false
}

func removeTargets(now kernel.Instant, targets []*target) {
	for _, removed := range targets {
		removed.removed = true
		removed.removedAt = now
	}
}

func (t *routingTable) removeService(now kernel.Instant, name string) {
	removed := t.byName[name]
	if removed == nil {
		return
	}
	removeTargets(now, removed.targets)
	if t.byAddress[removed.address] == removed {
		delete(t.byAddress, removed.address)
	}
	delete(t.byName, name)
	delete(t.byID, removed.id)
}

func limitsFromConfig(config *beamdoorv1.Limits) limits {
	return limits{
		queueFactor:    valueOrDefault(config.GetQueueFactor(), DefaultQueueFactor),
		deadline:       millisecondsOrDefault(config.GetDefaultDeadlineMs(), DefaultDeadline),
		retransmitSpan: millisecondsOrDefault(config.GetRetransmitSpanMs(), DefaultRetransmitSpan),
		idleTimeout:    millisecondsOrDefault(config.GetIdleTimeoutMs(), DefaultIdleTimeout),
		coldStart:      millisecondsOrDefault(config.GetColdStartMs(), DefaultColdStart),
	}
}

func retryPercent(config *beamdoorv1.Limits) uint32 {
	return valueOrDefault(config.GetRetryPercent(), DefaultRetryPercent)
}

func valueOrDefault(value, fallback uint32) uint32 {
	if value == 0 {
		return fallback
	}
	return value
}

func millisecondsOrDefault(value uint32, fallback time.Duration) time.Duration {
	if value == 0 {
		return fallback
	}
	return time.Duration(value) * time.Millisecond
}

// signalEffect is the effect of a signal on the flows of its target.
type signalEffect uint8

const (
	// signalNoChange leaves open flows unchanged.
	signalNoChange signalEffect = iota
	// signalDied ends all flows.
	signalDied
	// signalRestarted ends the observations and requests of the earlier run.
	signalRestarted
)

// applySignal updates a target from a signal. The target is nil if unknown.
func (t *routingTable) applySignal(signal wire.TargetSignal) (*target, signalEffect) {
	current := t.targets[signal.TargetID]
	if current == nil {
		return nil, signalNoChange
	}
	died := current.alive && !signal.Alive
	restarted := signal.Run != 0 && current.runID != 0 && signal.Run != current.runID
	current.weight = signal.Weight
	current.alive = signal.Alive
	if signal.Run != 0 {
		current.runID = signal.Run
	}
	switch {
	case died:
		return current, signalDied
	case restarted:
		return current, signalRestarted
	}
	return current, signalNoChange
}
