// Package routing provides the deterministic core of a balancer. It chooses the
// target of every packet, keeps that target for the lifetime of the flow across
// all balancers of the cell, and ensures that an unsafe request (any method other
// than GET and FETCH) runs at most once.
//
// Every flow belongs to a partition, and every partition is owned by a pair of
// balancers, a primary and a backup, chosen by rendezvous hashing over the members
// of the view. A packet of an unknown flow is relayed to the primary, which chooses
// the target, and then to the backup, which records the choice and forwards the
// packet. The relayed packet carries the decision, so that a new flow needs no
// separate replication messages. See docs/design/0002-flow-ownership.md.
package routing

import (
	"math/rand/v2"
	"net/netip"
	"time"

	beamdoorv1 "github.com/beamdoor/beamdoor/api/beamdoor/v1"
	"github.com/beamdoor/beamdoor/internal/coapmsg"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// Mechanisms disables single mechanisms in tests and simulations. All are enabled
// in production.
type Mechanisms struct {
	// NoDecisionPoint lets every balancer decide on unsafe requests without their
	// primary.
	NoDecisionPoint bool
	// NoBackupRecord lets the primary forward without a record on the backup.
	NoBackupRecord bool
	// NoHistoryCheck decides on requests without the records of earlier owners of
	// the partition.
	NoHistoryCheck bool
	// NoLeaseCheck lets a balancer decide without a lease.
	NoLeaseCheck bool
	// NoViewCheck lets the backup accept decisions without a check of the lease,
	// the view and the pair.
	NoViewCheck bool
	// NoTagCheck accepts answers with a tag that does not name a target of the
	// service.
	NoTagCheck bool
	// NoConsult places an unknown flow without consulting the other members.
	NoConsult bool
	// NoHandover sends no records to new members of a pair.
	NoHandover bool
	// NoDrain places new flows on any usable target, including those that are
	// draining or at their limits.
	NoDrain bool
	// NoPeerHealth suspects no balancer to be down and sends no probes.
	NoPeerHealth bool
	// UnsafeRetry retries requests with an unknown outcome.
	UnsafeRetry bool
}

// Settings holds the settings of a router, which do not change while it runs.
type Settings struct {
	Name  string
	Zone  string
	Cell  uint32
	Peer  string
	Admin string
	// Nonce identifies this run of the process.
	Nonce uint64
	// ReportInterval is the time between two reports to the control plane.
	ReportInterval time.Duration
	// FlowLimit is the largest number of flows held.
	FlowLimit int
	// LedgerLimit is the number of request records from which a primary rejects new
	// unsafe requests.
	LedgerLimit int
	// HandoverRate is the budget for handovers in bytes per second.
	HandoverRate int
	Scheme       kernel.PluginID
	Random       *rand.Rand
	Mechanisms   Mechanisms
}

// DefaultSettings returns the settings for production.
func DefaultSettings() Settings {
	return Settings{
		ReportInterval: 800 * time.Millisecond,
		FlowLimit:      600_000,
		LedgerLimit:    200_000,
		HandoverRate:   2000,
		Scheme:         DefaultScheme,
	}
}

// DefaultScheme is the ID of the scheme used in production.
const DefaultScheme kernel.PluginID = "routing.scheme.owner"

// leaseDriftDivisor sets the safety margin for clock drift: a lease is shortened by
// its length divided by it.
const leaseDriftDivisor = 20

// Router is the routing core of a balancer. It is not safe for concurrent use.
type Router struct {
	settings  Settings
	scheme    Scheme
	table     *routingTable
	flows     *flowTable
	ledger    *ledger
	coverage  coverage
	handover  handover
	health    peerHealth
	observers map[uint64]observer
	parser    *coapmsg.Parser
	actions   []Action
	// callerPacket is reused for each caller's packet to avoid an allocation.
	callerPacket incomingPacket
	counters     Counters
	now          kernel.Instant

	id               uint32
	leaseUntil       kernel.Instant
	hadLease         bool
	reportSequence   uint64
	reportSentAt     map[uint64]kernel.Instant
	nextReport       kernel.Instant
	leaving          bool
	signalsTerm      uint64
	signalsSequence  uint64
	lastMessageID    uint16
	loggedDrops      uint64
	nextFlowTableLog kernel.Instant
	nextPrune        kernel.Instant

	loggedLedgerFull uint64
	nextLedgerLog    kernel.Instant
}

// NewRouter returns a router that has no configuration yet.
func NewRouter(now kernel.Instant, settings Settings) (*Router, error) {
	plugin, err := kernel.New(settings.Scheme)
	if err != nil {
		return nil, err
	}
	router := &Router{
		settings:     settings,
		scheme:       plugin.(Scheme),
		table:        newTable(),
		flows:        newFlowTable(settings.FlowLimit),
		ledger:       newLedger(now),
		observers:    map[uint64]observer{},
		parser:       coapmsg.NewParser(),
		now:          now,
		reportSentAt: map[uint64]kernel.Instant{},
	}
	router.handover.init()
	router.health = newPeerHealth()
	return router, nil
}

// Counters returns the counts since the router started.
func (r *Router) Counters() Counters { return r.counters }

// Nonce returns the number that identifies this run of the process.
func (r *Router) Nonce() uint64 { return r.settings.Nonce }

// FlowCount returns the number of flows held.
func (r *Router) FlowCount() int { return r.flows.len() }

// Revision returns the revision of the current configuration.
func (r *Router) Revision() uint64 { return r.table.revision }

// ViewNumber returns the number of the current view, or 0 if there is none.
func (r *Router) ViewNumber() uint64 {
	if r.table.view == nil {
		return 0
	}
	return r.table.view.number
}

// HasLease reports whether the balancer holds a lease and so may decide as primary
// or backup.
func (r *Router) HasLease(now kernel.Instant) bool {
	return r.settings.Mechanisms.NoLeaseCheck || now < r.leaseUntil
}

// InView reports whether the balancer is a member of the current view.
func (r *Router) InView() bool { return r.table.view.member(r.id) != nil }

// HasNoPendingRequests reports whether no unsafe request recorded on this balancer
// awaits an answer.
func (r *Router) HasNoPendingRequests() bool {
	for _, record := range r.ledger.records {
		if record.state == requestForwarded {
			return false
		}
	}
	return true
}

// beginStep sets the time and clears the actions of the previous step.
func (r *Router) beginStep(now kernel.Instant) {
	r.now = now
	r.actions = r.actions[:0]
}

// appendAction appends an action and returns it. The pointer is valid until the
// next call.
func (r *Router) appendAction(kind ActionKind) *Action {
	r.actions = append(r.actions, Action{Kind: kind})
	return &r.actions[len(r.actions)-1]
}

func (r *Router) log(event eventlog.ID, fields ...any) {
	action := r.appendAction(ActionLog)
	action.Event = event
	action.Fields = fields
}

// HandleConfig applies a configuration of the cell. It ignores one that is not
// newer than the current one, and a delta whose base revision is newer.
func (r *Router) HandleConfig(now kernel.Instant, config *beamdoorv1.CellConfig) []Action {
	r.beginStep(now)
	if config.Revision <= r.table.revision || config.BaseRevision > r.table.revision {
		r.log(eventlog.ConfigIgnored, "revision", config.Revision, "base", config.BaseRevision, "in_force", r.table.revision)
		return r.actions
	}
	if config.BaseRevision == 0 {
		r.removeUnlisted(config)
	}
	for _, name := range config.RemovedServices {
		r.table.removeService(r.now, name)
	}
	for _, service := range config.Services {
		r.table.applyService(now, service)
	}
	r.table.revision = config.Revision
	if config.View != nil {
		r.applyView(config.View)
	}
	r.log(eventlog.ConfigApplied, "revision", config.Revision, "services", len(r.table.byName))
	r.sendReport()
	return r.actions
}

// removeUnlisted removes the services that are not in a full configuration.
func (r *Router) removeUnlisted(config *beamdoorv1.CellConfig) {
	listed := map[string]bool{}
	for _, service := range config.Services {
		listed[service.Name] = true
	}
	for name := range r.table.byName {
		if !listed[name] {
			r.table.removeService(r.now, name)
		}
	}
}

// applyView applies a view if it is newer than the current one, and plans the
// handovers that it requires.
func (r *Router) applyView(config *beamdoorv1.View) {
	previous := r.table.view
	if previous != nil && config.Number <= previous.number {
		return
	}
	r.table.view = newView(config, previous)
	r.id = 0
	for _, balancer := range config.Members {
		if balancer.Nonce == r.settings.Nonce {
			r.id = balancer.Id
		}
	}
	r.coverage.updateForView(r, previous)
	r.handover.plan(r)
	r.health.removeDeparted(r.table.view)
	r.log(eventlog.ViewAdopted, "view", config.Number, "members", len(config.Members), "id", r.id)
}

// HandleSignals applies the control plane's health and weight of targets. It
// ignores signals that are not newer than the last ones. The flows of a dead
// target end, and their observers are notified.
func (r *Router) HandleSignals(now kernel.Instant, signals wire.Signals) []Action {
	r.beginStep(now)
	stale := signals.Term < r.signalsTerm || signals.Term == r.signalsTerm && signals.Sequence <= r.signalsSequence
	if stale {
		return r.actions
	}
	r.signalsTerm = signals.Term
	r.signalsSequence = signals.Sequence
	for _, signal := range signals.Targets {
		changed, effect := r.table.applySignal(signal)
		switch effect {
		case signalDied:
			r.handleTargetDeath(changed)
		case signalRestarted:
			uptime := time.Duration(signal.UptimeMilliseconds) * time.Millisecond
			r.handleTargetRestart(changed, now.Add(-uptime))
		}
	}
	return r.actions
}

// HandleTargetPacket handles a packet from a target to a caller.
func (r *Router) HandleTargetPacket(now kernel.Instant, serviceAddress, caller netip.AddrPort, tag wire.ForwardTag, payload []byte) []Action {
	r.beginStep(now)
	r.counters.TargetPackets++
	r.handleAnswer(serviceAddress, caller, tag, payload)
	return r.actions
}

// maxPacketAge is the longest time between a packet's arrival and its handling. A
// packet that waited longer, as after a pause of the process, could be handled
// after the record of its request expired.
const maxPacketAge = time.Second

// isTooOld reports whether a packet has waited longer than maxPacketAge, and counts
// it.
func (r *Router) isTooOld(arrived kernel.Instant) bool {
	if r.now.Sub(arrived) <= maxPacketAge {
		return false
	}
	r.counters.PacketsTooOld++
	return true
}

// HandleCallerPacket handles a packet from a caller to a service. arrived is when
// this machine received it.
func (r *Router) HandleCallerPacket(now, arrived kernel.Instant, serviceAddress, caller netip.AddrPort, payload []byte) []Action {
	r.beginStep(now)
	r.counters.CallerPackets++
	if r.isTooOld(arrived) {
		return r.actions
	}
	r.handleCaller(serviceAddress, caller, payload)
	return r.actions
}

// HandlePeerPacket handles a packet from another balancer. arrived is when this
// machine received it.
func (r *Router) HandlePeerPacket(now, arrived kernel.Instant, packet *wire.PeerPacket) []Action {
	r.beginStep(now)
	r.counters.PeerPackets++
	if r.isTooOld(arrived) {
		return r.actions
	}
	r.health.recordHeard(now, packet.From)
	switch packet.Kind {
	case wire.PeerProbe:
		r.receiveProbe(packet)
	case wire.PeerToPrimary:
		r.receiveToPrimary(packet)
	case wire.PeerToBackup:
		r.receiveToBackup(packet)
	case wire.PeerConsult:
		r.receiveConsult(packet)
	case wire.PeerConsultReply:
		r.receiveConsultReply(packet)
	case wire.PeerAnswer:
		r.receiveAnswer(packet)
	case wire.PeerHandover:
		r.receiveHandover(packet)
	case wire.PeerHandoverReply:
		r.receiveHandoverReply(packet)
	case wire.PeerNewerView:
		r.nextReport = r.now
	}
	return r.actions
}

// Tick performs the work that depends on time, such as reports and timeouts. It
// must be called at least ten times per second.
func (r *Router) Tick(now kernel.Instant) []Action {
	r.beginStep(now)
	if now >= r.nextReport {
		r.sendReport()
	}
	r.logLeaseChange()
	r.ledger.expire(now, r.handleRequestTimeout)
	r.flows.expire(now, r.idleTimeout, r.handleFlowExpired)
	r.coverage.tick(r)
	r.handover.tick(r)
	r.pruneTargets()
	r.logTablesFull()
	return r.actions
}

// fullTableLogInterval is the shortest time between two log entries on the same
// full table.
const fullTableLogInterval = 10 * time.Second

// logTablesFull logs rejections by a full ledger or flow table, at most once per
// fullTableLogInterval for each.
func (r *Router) logTablesFull() {
	r.logLedgerFull()
	if r.flows.dropped == r.loggedDrops || r.now < r.nextFlowTableLog {
		return
	}
	r.nextFlowTableLog = r.now.Add(fullTableLogInterval)
	r.log(eventlog.FlowTableFull, "flows", r.flows.len(), "not_kept", r.flows.dropped-r.loggedDrops)
	r.loggedDrops = r.flows.dropped
}

// idleTimeout returns the idle timeout of a flow, or DefaultRetransmitSpan if its
// target is unknown.
func (r *Router) idleTimeout(record flowRecord) time.Duration {
	if dest := r.table.targets[record.targetID]; dest != nil {
		return dest.service.limits.idleTimeout
	}
	return DefaultRetransmitSpan
}

func (r *Router) handleFlowExpired(fingerprint uint64, record flowRecord) {
	r.uncountPlaced(record)
	delete(r.observers, fingerprint)
}

// uncountPlaced removes a flow from its target's placedFlows.
func (r *Router) uncountPlaced(record flowRecord) {
	if record.flags&flowCounted == 0 {
		return
	}
	if dest := r.table.targets[record.targetID]; dest != nil {
		dest.placedFlows--
	}
}

// toTarget sends a packet to a target.
func (r *Router) toTarget(dest *target, caller netip.AddrPort, registeredView, requestKey uint64, payload []byte) {
	action := r.appendAction(ActionToTarget)
	action.Address = dest.address
	action.Caller = caller
	action.Service = dest.service.address
	action.Payload = payload
	action.Tag = wire.ForwardTag{
		ServiceID:  dest.service.id,
		TargetID:   dest.id,
		View:       registeredView,
		RequestKey: requestKey,
	}
}

// toCaller sends a packet to a caller from the service's address.
func (r *Router) toCaller(from *service, caller netip.AddrPort, payload []byte) {
	if payload == nil {
		return
	}
	action := r.appendAction(ActionToCaller)
	action.Caller = caller
	action.Service = from.address
	action.Payload = payload
}

// toPeer sends a packet to another balancer. It drops and counts a packet to one
// that is not in the view.
func (r *Router) toPeer(id uint32, packet wire.PeerPacket) {
	peer := r.table.view.member(id)
	if peer == nil {
		r.counters.Unroutable++
		return
	}
	packet.From = r.id
	packet.View = r.table.view.number
	action := r.appendAction(ActionToPeer)
	action.Address = peer.peerAddress
	action.Packet = packet
}
