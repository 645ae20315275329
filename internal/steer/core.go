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
	// Name is the name of the node, by which it is a steward of cold targets.
	Name    string
	Zone    string
	Chooser Chooser
	Random  *rand.Rand
	// SuspectFor is how long a target that left an opening packet unanswered is
	// passed over.
	SuspectFor time.Duration
	// AnswerTimeout is how long a target has to answer an opening packet before a
	// copy of it shows that it does not.
	AnswerTimeout time.Duration
	// OpeningLifetime is how long an opening packet is remembered for its copies.
	OpeningLifetime time.Duration
	// FlowLifetime is how long an idle flow counts as open.
	FlowLifetime time.Duration
	// FlowLimit is the largest number of flows that are counted.
	FlowLimit int
}

// FlowBytes is what a flow takes of a node's memory, with its places in the core's maps.
const FlowBytes = 512

// DefaultSettings returns the settings of a node in production.
func DefaultSettings() Settings {
	return Settings{
		Chooser:         &rateChoice{},
		SuspectFor:      3 * time.Second,
		AnswerTimeout:   100 * time.Millisecond,
		OpeningLifetime: 3 * time.Second,
		FlowLifetime:    20 * time.Second,
		FlowLimit:       200_000,
	}
}

// routeEntry is a route with the sum of its weights.
type routeEntry struct {
	route       directory.Route
	totalWeight uint64
}

// targetEntry is a target and what this node has seen of it.
type targetEntry struct {
	target directory.Target
	// waitingFlows is the number of its flows whose callers wait for an answer.
	waitingFlows int
	// missedAt is when a copy showed that an opening packet was not answered.
	missedAt kernel.Instant
	// answeredAt is when a caller last showed that the target answered.
	answeredAt kernel.Instant
	suspected  bool
	// lost is set while the control members hold the target for dead.
	lost bool
	// remembered is set while only a member's disk speaks for the target.
	remembered bool
	// reported is set while the target waits in the list of those that answered.
	inAnswering bool
	// missed is the number of opening packets left unanswered since answeredAt.
	missed int
	// refusedAt is when an opening packet was last found to have had no taker.
	refusedAt kernel.Instant
	// ejected is set while the control members hold that the target fails its work,
	// probation while they want to see whether it serves again.
	ejected, probation bool
	// triedAt is when the target last got a new flow from this node.
	lastPlacedAt kernel.Instant
	// cold is set while the target is spared, or nil.
	warmup *warmupState
	// outcomes count how exchanges ended since the last report.
	outcomes directory.Outcomes
	// failedAt is when an exchange was last found unanswered, servedAt when one was last
	// answered as usual.
	failedAt, succeededAt kernel.Instant
	probes                probeState
	speed                 targetSpeed
}

// flowEntry is what this node remembers of a flow that it has placed. It is
// needed for copies of opening packets and for counting, never for routing.
type flowEntry struct {
	target *targetEntry
	// tried are the targets that copies of the opening packet went to.
	tried []directory.Token
	// placedAt is when an opening packet last went to the target.
	placedAt kernel.Instant
	opened   bool
	// dropped is set when this node has dropped the opening packet.
	dropped bool
	// acknowledged is the caller's last acknowledgement: when it moves on, the
	// target has answered. A packet that is only sent again shows nothing.
	acknowledged uint32
	lastPacketAt kernel.Instant
	pending      pendingData
	// waits is set while the caller waits for an answer, since waitsSince.
	waitingForAnswer bool
	waitingSince     kernel.Instant
	exchange         exchange
}

// Core decides on packets. One goroutine owns it.
type Core struct {
	settings      Settings
	revision      uint64
	configuration directory.Configuration
	routes        map[netip.AddrPort]*routeEntry
	targets       map[directory.Token]*targetEntry
	services      map[string][]*targetEntry
	// ended are the targets that have ended, in the order of their ends.
	ended []*targetEntry
	flows map[FlowKey]*flowEntry
	// unkept is the number of flows that found no room since TakeUnkept.
	untracked int
	// unanswered are the flows whose caller has sent data again.
	unanswered map[FlowKey]*flowEntry
	// waiting are the flows whose callers wait for an answer.
	waiting    map[*flowEntry]struct{}
	reportedAt kernel.Instant
	// mistakenUntil is when what this node has seen may speak against targets again:
	// it was stopped for a while.
	stalledUntil kernel.Instant
	// answering are the targets that have answered since the last report, and
	// missing those that have left opening packets unanswered.
	answering          []*targetEntry
	unansweredOpenings map[*targetEntry]bool
	// wanted are the targets for which callers wait, and probing is the number of probes
	// under way.
	probeWanted    map[*targetEntry]struct{}
	probesInFlight int
	openings       openingTracker
	losses         lossTracker
	exchanges      exchangeTracker
	// habits are what is usual for the exchanges of each route.
	baselines map[netip.AddrPort]*routeBaseline
	speeds    speedTracker
	// delayedUntil is when what waited long for this node's link counts no longer.
	linkDelayedUntil kernel.Instant
	members          []directory.Member
	// evacuated are the zones whose targets take no new flows, and evacuations the
	// revisions of the newest orders about zones.
	evacuated           map[string]bool
	evacuationRevisions map[string]uint64
	// key is this node's key among stewards. From budgetFrom on it may use budgets.
	nodeKey    uint32
	budgetFrom kernel.Instant
	// rememberedUntil is until when new flows are placed by what a member's disk
	// remembers, or 0.
	rememberedUntil kernel.Instant

	// opened and usable are the lists of the last choice.
	unblocked []*targetEntry
	usable    []*targetEntry
	choice    Choice
}

// New returns a core that knows nothing yet.
func New(settings Settings) *Core {
	return &Core{
		settings: settings,
		routes:   map[netip.AddrPort]*routeEntry{},
		targets:  map[directory.Token]*targetEntry{},
		services: map[string][]*targetEntry{},
		flows:    map[FlowKey]*flowEntry{},

		unanswered:         map[FlowKey]*flowEntry{},
		waiting:            map[*flowEntry]struct{}{},
		unansweredOpenings: map[*targetEntry]bool{},
		probeWanted:        map[*targetEntry]struct{}{},
		openings:           newOpeningTracker(),
		baselines:          map[netip.AddrPort]*routeBaseline{},

		evacuated:           map[string]bool{},
		evacuationRevisions: map[string]uint64{},
		nodeKey:             directory.NodeKey(settings.Name),
	}
}

// Revision returns the revision in force; 0 means none.
func (c *Core) Revision() uint64 { return c.revision }

// Version returns the version of the configuration in force.
func (c *Core) Version() uint64 { return c.configuration.Version }

// Members returns the control members that the node knows of.
func (c *Core) Members() []directory.Member { return c.members }

// WaitingFlows returns the number of flows whose callers wait for an answer.
func (c *Core) WaitingFlows() int { return len(c.waiting) }

// Timeout returns the time limit of a flow's route, or 0 when it has none.
func (c *Core) Timeout(flow FlowKey) time.Duration {
	if entry, routed := c.routes[flow.Virtual]; routed {
		return entry.route.Timeout
	}
	return 0
}

// Route returns the route of a flow, which must not be changed, or nil when it has
// none.
func (c *Core) Route(flow FlowKey) *directory.Route {
	if entry, routed := c.routes[flow.Virtual]; routed {
		return &entry.route
	}
	return nil
}

// RouteOf returns the route of a flow.
func (c *Core) RouteOf(flow FlowKey) (directory.Route, bool) {
	entry, routed := c.routes[flow.Virtual]
	if !routed {
		return directory.Route{}, false
	}
	return entry.route, true
}

// EvacuatedZones returns the zones whose targets take no new flows, in order.
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

// Flows returns the number of flows that are counted.
func (c *Core) Flows() int { return len(c.flows) }

// SetFlowLimit changes the largest number of flows that are counted. Those that are
// counted stay until they end.
func (c *Core) SetFlowLimit(limit int) { c.settings.FlowLimit = limit }

// TakeUntracked returns how often a flow found no room among those that are counted since
// the last call.
func (c *Core) TakeUntracked() int {
	unkept := c.untracked
	c.untracked = 0
	return unkept
}

// IsReady reports whether the node can place new flows: it has a
// configuration and at least one target that takes flows.
func (c *Core) IsReady() bool {
	return c.configuration.Version > 0 && len(c.services) > 0
}

// Update puts an update in force. It returns false when the update does not
// fit what the node has; then the node must ask for the whole state.
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
		next, fits := edit.Apply(configuration)
		if !fits {
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

// enlist notes the newest word on a target, and lists it while it takes new flows.
func (c *Core) listTarget(entry *targetEntry, target directory.Target) {
	c.unlistTarget(entry)
	entry.target = target
	if target.State == directory.TargetReady {
		c.services[target.Service] = append(c.services[target.Service], entry)
	}
}

// rememberEnded remembers a target that has ended, and forgets the oldest ones as the
// members do: a node that runs for months would else hold each target that ever was. What
// is left of its flows is forgotten as they rest: to look for them among 200,000 with each
// of 100 ends a second would take a fifth of a core.
func (c *Core) recordEnded(entry *targetEntry) {
	c.ended = append(c.ended, entry)
	for len(c.ended) > directory.EndedLimit(len(c.targets)-len(c.ended)) {
		oldest := c.ended[0]
		c.ended[0] = nil
		c.ended = c.ended[1:]
		delete(c.targets, oldest.target.Token)
		delete(c.unansweredOpenings, oldest)
		delete(c.probeWanted, oldest)
	}
}

// unlist takes a target out of the list of those that take new flows.
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

// Decide returns what is done with a packet.
func (c *Core) Decide(now kernel.Instant, packet Packet) Decision {
	if packet.Forged {
		return Decision{Action: ActionDrop, Reason: ReasonForged}
	}
	if packet.Opening {
		return c.place(now, packet)
	}
	return c.forwardByToken(now, packet)
}

// follow forwards a packet of an open flow by its token.
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

// lostDecision resets a flow whose target is held for lost.
func lostDecision(packet Packet, target directory.Target) Decision {
	if packet.Reset {
		return Decision{Action: ActionDrop, Reason: ReasonLost, Target: target}
	}
	return Decision{Action: ActionReset, Reason: ReasonLost, Target: target}
}

// endedDecision resets a flow whose target has ended. A reset is not answered.
func endedDecision(packet Packet, target directory.Target) Decision {
	if packet.Reset {
		return Decision{Action: ActionDrop, Reason: ReasonEnded, Target: target}
	}
	return Decision{Action: ActionReset, Reason: ReasonEnded, Target: target}
}

// noteFlow keeps the count of open flows and the signs that targets answer.
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

// moveFlow notes that a flow is at another target than was thought.
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

// Tick forgets flows that have rested for too long. It is called about once a
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
