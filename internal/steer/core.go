package steer

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

// Settings are the fixed settings of a node's core.
type Settings struct {
	// Name is the name of the node. It determines which warm-up budgets the node shares in.
	Name    string
	Zone    string
	Chooser Chooser
	Random  *rand.Rand
	// AvoidFor is how long a target is avoided after it left an opening packet unanswered.
	AvoidFor time.Duration
	// AnswerTimeout is how long a target has to answer an opening packet before a
	// retransmission counts against it.
	AnswerTimeout time.Duration
	// OpeningLifetime is how long a flow that was never opened is kept.
	OpeningLifetime time.Duration
	// FlowLifetime is how long an idle flow is kept.
	FlowLifetime time.Duration
	// FlowLimit is the largest number of tracked flows.
	FlowLimit int
}

// FlowBytes is the approximate memory per tracked flow, including its map entries.
const FlowBytes = 512

// DefaultSettings returns the settings of a node in production.
func DefaultSettings() Settings {
	return Settings{
		Chooser:         &rateChoice{},
		AvoidFor:        3 * time.Second,
		AnswerTimeout:   100 * time.Millisecond,
		OpeningLifetime: 3 * time.Second,
		FlowLifetime:    20 * time.Second,
		FlowLimit:       200_000,
	}
}

// routeEntry is a route with the sum of its backends' weights.
type routeEntry struct {
	route       directory.Route
	totalWeight uint64
}

// targetEntry is a target and what this node has observed of it.
type targetEntry struct {
	target directory.Target
	// waitingFlows is the number of its flows whose callers are waiting for an answer.
	waitingFlows int
	// openingUnansweredAt is when a caller last retransmitted an opening packet that the target
	// had not answered in time.
	openingUnansweredAt kernel.Instant
	// answeredAt is when the target was last seen to answer a caller.
	answeredAt kernel.Instant
	// suspected is set while the control members have not heard from the target, or have
	// told nodes to avoid its zone.
	suspected bool
	// lost is set while the control members consider the target dead.
	lost bool
	// remembered is set while the target is known only from the disk of a control member.
	remembered bool
	// inAnswering is set while the target is in Core.answering.
	inAnswering bool
	// openingsUnanswered is the number of such retransmissions since answeredAt.
	openingsUnanswered int
	// refusedAt is when an opening packet last counted as refused (openingTracker).
	refusedAt kernel.Instant
	// ejected is set while the control members consider the target failing, and probation
	// while they test whether it has recovered.
	ejected, probation bool
	// lastPlacedAt is when this node last placed a new flow on the target.
	lastPlacedAt kernel.Instant
	// warmup is set while the target warms up.
	warmup *warmupState
	// outcomes count how exchanges ended since the last report.
	outcomes directory.Outcomes
	// failedAt is when an exchange was last unanswered, succeededAt when one was last
	// answered normally.
	failedAt, succeededAt kernel.Instant
	probes                probeState
	speed                 targetSpeed
}

// flowEntry is the state of a flow at this node. It is used to place retransmitted opening
// packets, to observe the target and for statistics. Packets of open flows are forwarded
// without it.
type flowEntry struct {
	target *targetEntry
	// tried are the targets to which the opening packet has been sent.
	tried []directory.Token
	// placedAt is when the target was chosen for an opening packet.
	placedAt kernel.Instant
	opened   bool
	// dropped is set when this node dropped the opening packet.
	dropped bool
	// acknowledged is the caller's last acknowledgement. Only a change shows that the
	// target has answered; a retransmission repeats the old value.
	acknowledged uint32
	lastPacketAt kernel.Instant
	pending      pendingData
	// waitingForAnswer is set while the caller waits for an answer, since waitingSince.
	waitingForAnswer bool
	waitingSince     kernel.Instant
	exchange         exchange
}

// Core decides what to do with packets. It is not safe for concurrent use.
type Core struct {
	settings      Settings
	revision      uint64
	configuration directory.Configuration
	routes        map[netip.AddrPort]*routeEntry
	targets       map[directory.Token]*targetEntry
	services      map[string][]*targetEntry
	// ended are the targets that have ended, oldest first.
	ended []*targetEntry
	flows map[FlowKey]*flowEntry
	// untracked is the number of flows not tracked because of FlowLimit, since the last call of
	// TakeUntracked.
	untracked int
	// unanswered are the flows whose callers have retransmitted data.
	unanswered map[FlowKey]*flowEntry
	// waiting are the flows whose callers are waiting for an answer.
	waiting    map[*flowEntry]struct{}
	reportedAt kernel.Instant
	// stalledUntil is until when evidence against targets is withheld after this process
	// was stalled.
	stalledUntil kernel.Instant
	// answering are the targets that have answered since the last report, and
	// withUnansweredOpenings those with recent unanswered opening packets.
	answering              []*targetEntry
	withUnansweredOpenings map[*targetEntry]bool
	// probeWanted are the targets for whose answer a caller waits.
	probeWanted    map[*targetEntry]struct{}
	probesInFlight int
	openings       openingTracker
	losses         lossTracker
	exchanges      exchangeTracker
	// baselines hold the normal behavior of the exchanges of each route.
	baselines map[netip.AddrPort]*routeBaseline
	speeds    speedTracker
	// linkDelayedUntil is until when evidence is unreliable after delays on this node's link.
	linkDelayedUntil kernel.Instant
	members          []directory.Member
	// evacuated are the zones whose targets get no new flows, evacuationRevisions the
	// revisions of the latest order for each zone.
	evacuated           map[string]bool
	evacuationRevisions map[string]uint64
	// nodeKey identifies this node among the assigned nodes of a target, which share its
	// warm-up budget. This node uses its share from budgetFrom on.
	nodeKey    uint32
	budgetFrom kernel.Instant
	// rememberedUntil is until when new flows may be placed by remembered state, or 0.
	rememberedUntil kernel.Instant

	// unblocked, usable and choice are reused between decisions to avoid allocations.
	unblocked []*targetEntry
	usable    []*targetEntry
	choice    Choice
}

// New returns a core without any state.
func New(settings Settings) *Core {
	return &Core{
		settings: settings,
		routes:   map[netip.AddrPort]*routeEntry{},
		targets:  map[directory.Token]*targetEntry{},
		services: map[string][]*targetEntry{},
		flows:    map[FlowKey]*flowEntry{},

		unanswered:             map[FlowKey]*flowEntry{},
		waiting:                map[*flowEntry]struct{}{},
		withUnansweredOpenings: map[*targetEntry]bool{},
		probeWanted:            map[*targetEntry]struct{}{},
		openings:               newOpeningTracker(),
		baselines:              map[netip.AddrPort]*routeBaseline{},

		evacuated:           map[string]bool{},
		evacuationRevisions: map[string]uint64{},
		nodeKey:             directory.NodeKey(settings.Name),
	}
}

// Revision returns the directory revision in force, or 0 for none.
func (c *Core) Revision() uint64 { return c.revision }

// Version returns the version of the configuration in force.
func (c *Core) Version() uint64 { return c.configuration.Version }

// Members returns the known control members.
func (c *Core) Members() []directory.Member { return c.members }

// WaitingFlows returns the number of flows whose callers are waiting for an answer.
func (c *Core) WaitingFlows() int { return len(c.waiting) }

// Timeout returns the timeout of a flow's route, or 0 if it has none.
func (c *Core) Timeout(flow FlowKey) time.Duration {
	if entry, routed := c.routes[flow.Virtual]; routed {
		return entry.route.Timeout
	}
	return 0
}

// Route returns the route of a flow, or nil. The result must not be modified.
func (c *Core) Route(flow FlowKey) *directory.Route {
	if entry, routed := c.routes[flow.Virtual]; routed {
		return &entry.route
	}
	return nil
}

// RouteOf returns a copy of the route of a flow.
func (c *Core) RouteOf(flow FlowKey) (directory.Route, bool) {
	entry, routed := c.routes[flow.Virtual]
	if !routed {
		return directory.Route{}, false
	}
	return entry.route, true
}

// EvacuatedZones returns the zones whose targets get no new flows, sorted.
func (c *Core) EvacuatedZones() []string {
	var zones []string
	for zone, active := range c.evacuated {
		if active {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// Flows returns the number of tracked flows.
func (c *Core) Flows() int { return len(c.flows) }

// SetFlowLimit sets the largest number of tracked flows. Flows above a lowered limit stay
// until they end.
func (c *Core) SetFlowLimit(limit int) { c.settings.FlowLimit = limit }

// TakeUntracked returns the number of flows not tracked because of FlowLimit, since the last
// call.
func (c *Core) TakeUntracked() int {
	count := c.untracked
	c.untracked = 0
	return count
}

// IsReady reports whether the node can place new flows: it has a configuration and at
// least one target accepts flows.
func (c *Core) IsReady() bool {
	return c.configuration.Version > 0 && len(c.services) > 0
}

// Update applies an update of the directory. It returns false if the update does not apply
// to the current state; the node must then request the whole state.
func (c *Core) Update(now kernel.Instant, update directory.Update) bool {
	if update.Revision <= c.revision {
		return true
	}
	configuration := c.configuration
	if update.Whole {
		configuration = update.Configuration
	}
	for _, edit := range update.Edits {
		if edit.Version <= configuration.Version {
			continue
		}
		next, applies := edit.Apply(configuration)
		if !applies {
			return false
		}
		configuration = next
	}
	if configuration.Version > c.configuration.Version {
		c.setConfiguration(configuration)
	}
	if c.revision == 0 {
		c.budgetFrom = now.Add(budgetWindow)
		c.disableRemembered()
	}
	for _, target := range update.Targets {
		c.setTarget(now, target)
	}
	if c.revision == 0 {
		c.dropRemembered()
	}
	if update.Members != nil {
		c.members = update.Members
	}
	c.setEvacuations(now, update.Evacuations)
	c.revision = update.Revision
	return true
}

func (c *Core) setConfiguration(configuration directory.Configuration) {
	c.configuration = configuration
	c.routes = make(map[netip.AddrPort]*routeEntry, len(configuration.Routes))
	for _, route := range configuration.Routes {
		entry := &routeEntry{route: route}
		for _, backend := range route.Backends {
			entry.totalWeight += uint64(backend.Weight)
		}
		c.routes[route.Address] = entry
	}
	c.dropBaselines()
}

func (c *Core) setTarget(now kernel.Instant, target directory.Target) {
	entry, known := c.targets[target.Token]
	if !known {
		entry = &targetEntry{}
		c.targets[target.Token] = entry
	}
	if (!known || entry.remembered) && target.Warmup != nil {
		entry.warmup = c.newWarmupState(now, *target.Warmup)
	}
	entry.remembered = false
	ends := target.State == directory.TargetEnded && entry.target.State != directory.TargetEnded
	c.listTarget(entry, target)
	if ends {
		c.recordEnded(entry)
	}
}

// listTarget stores the current state of a target, and lists it if it accepts new flows.
func (c *Core) listTarget(entry *targetEntry, target directory.Target) {
	c.unlistTarget(entry)
	entry.target = target
	if target.State == directory.TargetReady {
		c.services[target.Service] = append(c.services[target.Service], entry)
	}
}

// recordEnded stores an ended target and drops the oldest ones above the limit, as control
// members do. Flows of dropped targets expire when idle: a scan of all flows at each end of a
// target would cost too much on a node with many flows in a fleet where targets end often.
func (c *Core) recordEnded(entry *targetEntry) {
	c.ended = append(c.ended, entry)
	for len(c.ended) > directory.EndedLimit(len(c.targets)-len(c.ended)) {
		oldest := c.ended[0]
		c.ended[0] = nil
		c.ended = c.ended[1:]
		delete(c.targets, oldest.target.Token)
		delete(c.withUnansweredOpenings, oldest)
		delete(c.probeWanted, oldest)
	}
}

// unlistTarget removes a target from the list of those that accept new flows.
func (c *Core) unlistTarget(entry *targetEntry) {
	service := entry.target.Service
	if entry.target.State != directory.TargetReady {
		return
	}
	c.services[service] = slices.DeleteFunc(c.services[service], func(other *targetEntry) bool { return other == entry })
	if len(c.services[service]) == 0 {
		delete(c.services, service)
	}
}

// Decide returns what to do with a packet.
func (c *Core) Decide(now kernel.Instant, packet Packet) Decision {
	if packet.Forged {
		return Decision{Action: ActionDrop, Reason: ReasonForged}
	}
	if packet.Opening {
		return c.place(now, packet)
	}
	return c.forwardByToken(now, packet)
}

// forwardByToken forwards a packet of an open flow to the target of its token.
func (c *Core) forwardByToken(now kernel.Instant, packet Packet) Decision {
	if packet.Token == 0 {
		return Decision{Action: ActionDrop, Reason: ReasonNoToken}
	}
	entry, known := c.targets[packet.Token]
	if !known {
		return Decision{Action: ActionDrop, Reason: ReasonUnknownToken}
	}
	c.trackFlow(now, packet, entry)
	if entry.target.State == directory.TargetEnded {
		return endedDecision(packet, entry.target)
	}
	if entry.lost {
		return lostDecision(packet, entry.target)
	}
	return Decision{Action: ActionForward, Reason: ReasonToken, Target: entry.target}
}

// lostDecision resets a flow whose target is lost. A reset gets no reply.
func lostDecision(packet Packet, target directory.Target) Decision {
	if packet.Reset {
		return Decision{Action: ActionDrop, Reason: ReasonLost, Target: target}
	}
	return Decision{Action: ActionReset, Reason: ReasonLost, Target: target}
}

// endedDecision resets a flow whose target has ended. A reset gets no reply.
func endedDecision(packet Packet, target directory.Target) Decision {
	if packet.Reset {
		return Decision{Action: ActionDrop, Reason: ReasonEnded, Target: target}
	}
	return Decision{Action: ActionReset, Reason: ReasonEnded, Target: target}
}

// trackFlow updates the state of a flow, and records an answer of its target if the packet
// shows one.
func (c *Core) trackFlow(now kernel.Instant, packet Packet, entry *targetEntry) {
	flow, known := c.flows[packet.Flow]
	if known && !flow.opened {
		c.openings.recordOpened(now, packet.Flow, flow)
	}
	if known && (!flow.opened || packet.Acknowledged != flow.acknowledged) {
		c.recordAnswer(now, entry)
		c.endPending(packet.Flow, flow)
	}
	if known {
		c.trackExchange(now, packet, flow, entry)
	}
	if packet.Closing || packet.Reset {
		if known {
			c.removeFlow(packet.Flow, flow)
		}
		return
	}
	if !known {
		c.addFlow(now, packet.Flow, entry)
		if flow, known = c.flows[packet.Flow]; known {
			flow.exchange.joinMidFlow(now, packet)
		}
	}
	if !known {
		return
	}
	c.setFlowTarget(flow, entry)
	c.trackPending(now, packet, flow)
	flow.opened = true
	flow.acknowledged = packet.Acknowledged
	flow.lastPacketAt = now
}

func (c *Core) addFlow(now kernel.Instant, key FlowKey, entry *targetEntry) {
	if len(c.flows) >= c.settings.FlowLimit {
		c.untracked++
		return
	}
	c.flows[key] = &flowEntry{target: entry, lastPacketAt: now}
}

// setFlowTarget changes the target of a flow.
func (c *Core) setFlowTarget(flow *flowEntry, entry *targetEntry) {
	if flow.target == entry {
		return
	}
	c.endWait(flow)
	flow.target = entry
}

func (c *Core) removeFlow(key FlowKey, flow *flowEntry) {
	c.endWait(flow)
	flow.exchange.stage = exchangeNone
	delete(c.flows, key)
	delete(c.unanswered, key)
	delete(c.openings.inFlight, key)
}

// Tick removes idle flows and those that were not opened in time. It is called about once a
// second.
func (c *Core) Tick(now kernel.Instant) {
	for key, flow := range c.flows {
		limit := c.settings.FlowLifetime
		if !flow.opened {
			limit = c.settings.OpeningLifetime
		}
		if now.Sub(flow.lastPacketAt) > limit {
			c.removeFlow(key, flow)
		}
	}
}
