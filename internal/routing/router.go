// Package routing provides the deterministic core of a balancer: it decides
// for every packet which target receives it, keeps that choice for the life
// of the flow together with the other balancers of its cell, and sees to it
// that a request that may not be repeated runs at most once.
//
// Every flow belongs to a partition, and every partition has a primary and a
// backup balancer (rendezvous hashing over the members of the view). A packet
// of a flow that the receiving balancer does not know is relayed to the
// primary, which decides, and on to the backup, which records the decision
// before the target sees the packet. The packet itself carries the
// replication, so that a flow costs no control traffic. See
// docs/design/0002-flow-ownership.md.
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

// Mechanisms switches off single mechanisms for tests. All false is the product.
type Mechanisms struct {
	// NoDecisionPoint lets every balancer decide on every request by itself.
	NoDecisionPoint bool
	// NoBackupRecord forwards from the primary without the backup's record.
	NoBackupRecord bool
	// NoHistoryCheck answers "not run" and forwards without regard to records
	// that a predecessor may have held.
	NoHistoryCheck bool
	// NoLeaseCheck decides without a lease.
	NoLeaseCheck bool
	// NoViewCheck accepts relays from balancers with another view.
	NoViewCheck bool
	// NoTagCheck accepts answers of targets that do not belong to the service.
	NoTagCheck bool
	// NoConsult places a flow that this balancer does not know without asking.
	NoConsult bool
	// NoHandover gives a new member of a pair no records.
	NoHandover bool
	// NoDrain places new flows on leaving targets.
	NoDrain bool
	// NoPeerHealth sends to balancers without regard to signs of life.
	NoPeerHealth bool
	// UnsafeRetry retries a request whose fate is not known.
	UnsafeRetry bool
}

// Settings are the fixed settings of a router.
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
	// LedgerLimit is the largest number of request records held.
	LedgerLimit int
	// HandoverRate is the budget for handovers in bytes a second.
	HandoverRate int
	Scheme       kernel.PluginID
	Random       *rand.Rand
	Mechanisms   Mechanisms
}

// DefaultSettings returns the settings of a balancer in production.
func DefaultSettings() Settings {
	return Settings{
		ReportInterval: 800 * time.Millisecond,
		FlowLimit:      600_000,
		LedgerLimit:    200_000,
		HandoverRate:   2000,
		Scheme:         DefaultScheme,
	}
}

// DefaultScheme is the scheme of the product.
const DefaultScheme kernel.PluginID = "routing.scheme.owner"

// leaseDrift is the part of a lease kept back against clocks that run apart.
const leaseDrift = 20

// Router is the core. One goroutine owns it.
type Router struct {
	settings  Settings
	scheme    Scheme
	table     *table
	flows     *flowTable
	ledger    *ledger
	coverage  coverage
	handover  handover
	health    peerHealth
	observers map[uint64]observer
	parser    *coapmsg.Parser
	actions   []Action
	// callerJob is reused for each caller's packet.
	callerJob job
	counters  Counters
	now       kernel.Instant

	id           uint32
	leaseUntil   kernel.Instant
	leased       bool
	sequence     uint64
	reportSent   map[uint64]kernel.Instant
	nextReport   kernel.Instant
	leaving      bool
	signalsTerm  uint64
	signalsSeq   uint64
	ownMessageID uint16
	droppedNoted uint64
	nextFullNote kernel.Instant
	nextPrune    kernel.Instant

	ledgerNoted    uint64
	nextLedgerNote kernel.Instant
}

// NewRouter returns a router without a configuration.
func NewRouter(now kernel.Instant, settings Settings) (*Router, error) {
	plugin, err := kernel.New(settings.Scheme)
	if err != nil {
		return nil, err
	}
	router := &Router{
		settings:   settings,
		scheme:     plugin.(Scheme),
		table:      newTable(),
		flows:      newFlowTable(settings.FlowLimit),
		ledger:     newLedger(now),
		observers:  map[uint64]observer{},
		parser:     coapmsg.NewParser(),
		now:        now,
		reportSent: map[uint64]kernel.Instant{},
	}
	router.handover.init()
	router.health = newPeerHealth()
	return router, nil
}

// Counters returns the statistics.
func (r *Router) Counters() Counters { return r.counters }

// Nonce returns the number that identifies this run of the process.
func (r *Router) Nonce() uint64 { return r.settings.Nonce }

// FlowCount returns the number of flows held.
func (r *Router) FlowCount() int { return r.flows.len() }

// Revision returns the revision in force.
func (r *Router) Revision() uint64 { return r.table.revision }

// ViewNumber returns the number of the view in force, or 0.
func (r *Router) ViewNumber() uint64 {
	if r.table.view == nil {
		return 0
	}
	return r.table.view.number
}

// HasLease reports whether the balancer may decide alone.
func (r *Router) HasLease(now kernel.Instant) bool {
	return r.settings.Mechanisms.NoLeaseCheck || now < r.leaseUntil
}

// InView reports whether the balancer is a member of the view in force.
func (r *Router) InView() bool { return r.table.view.member(r.id) != nil }

// HasNoPendingRequests reports whether no request that went through this balancer is still
// waiting for its answer.
func (r *Router) HasNoPendingRequests() bool {
	for _, record := range r.ledger.records {
		if record.state == requestForwarded {
			return false
		}
	}
	return true
}

func (r *Router) begin(now kernel.Instant) {
	r.now = now
	r.actions = r.actions[:0]
}

// next returns a fresh action at the end of the list.
func (r *Router) next(kind ActionKind) *Action {
	r.actions = append(r.actions, Action{Kind: kind})
	return &r.actions[len(r.actions)-1]
}

func (r *Router) log(event eventlog.ID, fields ...any) {
	action := r.next(ActionLog)
	action.Event = event
	action.Fields = fields
}

// HandleConfig puts a configuration of the cell in force. One that is older
// than what is in force, or a difference to something else, is ignored.
func (r *Router) HandleConfig(now kernel.Instant, config *beamdoorv1.CellConfig) []Action {
	r.begin(now)
	if config.Revision <= r.table.revision || config.BaseRevision > r.table.revision {
		r.log(eventlog.ConfigIgnored, "revision", config.Revision, "base", config.BaseRevision, "in_force", r.table.revision)
		return r.actions
	}
	if config.BaseRevision == 0 {
		r.removeMissing(config)
	}
	for _, name := range config.RemovedServices {
		r.table.removeService(r.now, name)
	}
	for _, service := range config.Services {
		r.table.putService(now, service)
	}
	r.table.revision = config.Revision
	if config.View != nil {
		r.adoptView(config.View)
	}
	r.log(eventlog.ConfigApplied, "revision", config.Revision, "services", len(r.table.byName))
	r.sendReport()
	return r.actions
}

// removeMissing drops the services that a whole configuration does not name.
func (r *Router) removeMissing(config *beamdoorv1.CellConfig) {
	named := map[string]bool{}
	for _, service := range config.Services {
		named[service.Name] = true
	}
	for name := range r.table.byName {
		if !named[name] {
			r.table.removeService(r.now, name)
		}
	}
}

func (r *Router) adoptView(config *beamdoorv1.View) {
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
	r.coverage.adopt(r, previous)
	r.handover.plan(r)
	r.health.forget(r.table.view)
	r.log(eventlog.ViewAdopted, "view", config.Number, "members", len(config.Members), "id", r.id)
}

// HandleSignals puts new verdicts on targets in force. The flows of a target
// that died end, and their callers hear of it at once.
func (r *Router) HandleSignals(now kernel.Instant, signals wire.Signals) []Action {
	r.begin(now)
	older := signals.Term < r.signalsTerm || signals.Term == r.signalsTerm && signals.Sequence <= r.signalsSeq
	if older {
		return r.actions
	}
	r.signalsTerm = signals.Term
	r.signalsSeq = signals.Sequence
	for _, signal := range signals.Targets {
		changed, effect := r.table.applySignal(signal)
		switch effect {
		case signalDied:
			r.endTarget(changed)
		case signalRestarted:
			uptime := time.Duration(signal.UptimeMilliseconds) * time.Millisecond
			r.endEarlierRun(changed, now.Add(-uptime))
		}
	}
	return r.actions
}

// HandleTargetPacket handles a packet from a target for a caller.
func (r *Router) HandleTargetPacket(now kernel.Instant, serviceAddress, caller netip.AddrPort, tag wire.ForwardTag, payload []byte) []Action {
	r.begin(now)
	r.counters.TargetPackets++
	r.handleAnswer(serviceAddress, caller, tag, payload)
	return r.actions
}

// maxPacketAge is the longest time a packet may have waited before this
// balancer looks at it. One that waited longer, as in a process that was
// stopped and goes on, could come after its request was forgotten.
const maxPacketAge = time.Second

// tooOld reports whether a packet has waited for too long.
func (r *Router) tooOld(arrived kernel.Instant) bool {
	if r.now.Sub(arrived) <= maxPacketAge {
		return false
	}
	r.counters.PacketsTooOld++
	return true
}

// HandleCallerPacket handles a packet from a caller to a service that arrived
// at this machine at the given time.
func (r *Router) HandleCallerPacket(now, arrived kernel.Instant, serviceAddress, caller netip.AddrPort, payload []byte) []Action {
	r.begin(now)
	r.counters.CallerPackets++
	if r.tooOld(arrived) {
		return r.actions
	}
	r.handleCaller(serviceAddress, caller, payload)
	return r.actions
}

// HandlePeerPacket handles a packet from another balancer that arrived at
// this machine at the given time.
func (r *Router) HandlePeerPacket(now, arrived kernel.Instant, packet *wire.PeerPacket) []Action {
	r.begin(now)
	r.counters.PeerPackets++
	if r.tooOld(arrived) {
		return r.actions
	}
	r.health.noteHeard(now, packet.From)
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

// Tick lets time pass. It is called at least ten times a second.
func (r *Router) Tick(now kernel.Instant) []Action {
	r.begin(now)
	if now >= r.nextReport {
		r.sendReport()
	}
	r.noteLease()
	r.ledger.expire(now, r.requestExpired)
	r.flows.expire(now, r.idleTimeout, r.flowEnded)
	r.coverage.tick(r)
	r.handover.tick(r)
	r.pruneTargets()
	r.noteFullTable()
	return r.actions
}

// fullTableInterval is the shortest time between two notes of a full table.
const fullTableInterval = 10 * time.Second

// noteFullTable logs that flows found no room since the last note.
func (r *Router) noteFullTable() {
	r.noteFullLedger()
	if r.flows.dropped == r.droppedNoted || r.now < r.nextFullNote {
		return
	}
	r.nextFullNote = r.now.Add(fullTableInterval)
	r.log(eventlog.FlowTableFull, "flows", r.flows.len(), "not_kept", r.flows.dropped-r.droppedNoted)
	r.droppedNoted = r.flows.dropped
}

func (r *Router) idleTimeout(record flowRecord) time.Duration {
	if owner := r.table.targets[record.targetID]; owner != nil {
		return owner.service.limits.idleTimeout
	}
	return DefaultRetransmitSpan
}

func (r *Router) flowEnded(fingerprint uint64, record flowRecord) {
	r.uncount(record)
	delete(r.observers, fingerprint)
}

func (r *Router) uncount(record flowRecord) {
	if record.flags&flowCounted == 0 {
		return
	}
	if owner := r.table.targets[record.targetID]; owner != nil {
		owner.placed--
	}
}

// toTarget sends a packet to a target.
func (r *Router) toTarget(to *target, caller netip.AddrPort, registered, requestKey uint64, payload []byte) {
	action := r.next(ActionToTarget)
	action.Address = to.address
	action.Caller = caller
	action.Service = to.service.address
	action.Payload = payload
	action.Tag = wire.ForwardTag{
		ServiceID:  to.service.id,
		TargetID:   to.id,
		View:       registered,
		RequestKey: requestKey,
	}
}

// toCaller sends a packet to a caller from the service's address.
func (r *Router) toCaller(from *service, caller netip.AddrPort, payload []byte) {
	if payload == nil {
		return
	}
	action := r.next(ActionToCaller)
	action.Caller = caller
	action.Service = from.address
	action.Payload = payload
}

// toPeer sends a packet to another balancer; an unknown one is counted.
func (r *Router) toPeer(id uint32, packet wire.PeerPacket) {
	peer := r.table.view.member(id)
	if peer == nil {
		r.counters.Unroutable++
		return
	}
	packet.From = r.id
	packet.View = r.table.view.number
	action := r.next(ActionToPeer)
	action.Address = peer.peer
	action.Packet = packet
}
