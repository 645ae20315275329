// Package registry implements a control member for token-routed nodes. Targets register
// themselves, operators publish whole configurations of which the highest version is in
// force, and nodes subscribe to updates. Members find each other through a few seed
// addresses, bootstrap the group once, and replace failed members automatically. Core is
// deterministic; Process runs it with goroutines, a disk and sockets.
package registry

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/raft"
	"github.com/beamdoor/beamdoor/internal/replica"
	"github.com/beamdoor/beamdoor/internal/steperror"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// Ticket identifies a request to the core; its Outcome carries the same ticket. Tickets are
// unique over all members and their restarts.
type Ticket uint64

// randomTicket returns a ticket to count from. Its highest bit is clear, so that tickets do
// not wrap around and 0 stays unused.
func randomTicket(random *rand.Rand) Ticket { return Ticket(random.Uint64() >> 1) }

// ConnectionID identifies the connection of a subscribed node.
type ConnectionID uint64

// AddressedFrame is a frame for another member.
type AddressedFrame struct {
	To    string
	Frame wire.Frame
}

// NodeFrame is a frame for a subscribed node.
type NodeFrame struct {
	Connection ConnectionID
	Frame      wire.Frame
}

// Outcome is the result of a request.
type Outcome struct {
	Ticket Ticket
	Result directory.Result
	// Err is set when it is unknown whether the command took effect. The request may be
	// retried.
	Err error
}

// LogEvent is an event for the structured log.
type LogEvent struct {
	Event  eventlog.ID
	Fields []any
	// Sampled is set for events that can occur thousands of times at once.
	Sampled bool
}

// Output holds the actions that the core requests after an input.
type Output struct {
	Members  []AddressedFrame
	Nodes    []NodeFrame
	Outcomes []Outcome
	Events   []LogEvent
	// Reset requests that the data folder be emptied and the member restarted, because the
	// group has removed it.
	Reset bool
}

// waiter receives the outcome of a request: a local call, or a member that forwarded the
// request.
type waiter struct {
	// origin is the address of the member that forwarded the request, or "".
	origin string
	ticket Ticket
}

// request is a command or, without one, a read that awaits its result from the group.
type request struct {
	ticket   Ticket
	command  []byte
	deadline kernel.Instant
	// sentTerm is the term in which the request was last proposed or forwarded.
	sentTerm uint64
	sentAt   kernel.Instant
	// openedAt is when the request arrived; a read waits until a quorum has confirmed the
	// leader after that.
	openedAt kernel.Instant
	// answered is set once the result is known. It is delivered when this member has applied
	// the log up to the revision of the result.
	answered bool
	result   directory.Result
	// forwarded is set for a request from another member, which is not forwarded again.
	forwarded bool
	waiters   []waiter
}

// proposal is the request that proposed a log entry, and the term of the entry.
type proposal struct {
	ticket Ticket
	term   uint64
}

// Core is the deterministic part of a member. It is owned by a single goroutine.
type Core struct {
	settings CoreSettings
	// replica has no Raft node until this member has an ID in the group.
	replica *replica.Driver
	state   *directory.State
	// joinRequests holds the latest join request from each address, used to bootstrap the
	// group.
	joinRequests map[string]receivedJoin
	nextJoin     kernel.Instant

	requests map[Ticket]*request
	// inFlight is the number of requests pending at the leader: those counted at the last
	// tick and those forwarded since.
	inFlight int
	// answered are the requests that wait for this member to apply the log.
	answered []Ticket
	// commands maps each encoded command to its open request, so that retries of the same
	// command at this and other members share one request.
	commands map[string]*request
	// lastTicket starts at a random number. A restarted member has the address that it had
	// before, so replies to requests that it sent before the restart may still arrive.
	lastTicket Ticket
	proposals  map[uint64]proposal
	nodes      map[ConnectionID]*subscription
	// nextUpdate is the earliest time of the next round of updates to nodes.
	nextUpdate kernel.Instant
	// wasCurrent is whether this member was current at the last check.
	wasCurrent    bool
	members       membershipState
	liveness      livenessTable
	groupSize     groupSizeState
	warmups       warmupTable
	openings      openingTable
	outcomes      outcomeTable
	strengths     strengthTable
	responseTimes responseTimeTable
	linkUsage     linkUsageTable

	// remembered holds the persisted state sent to nodes until this member is current, and
	// initialState the replicated state sent to nodes without state from then on.
	remembered   rememberedPayloads
	initialState initialState
	// rememberedMembers are the members found on this member's disk at start.
	rememberedMembers []directory.Member

	output   Output
	restored raft.PersistentState
	batching bool
}

// NewCore returns a member that starts from the contents of its disk.
func NewCore(now kernel.Instant, settings CoreSettings, storage replica.Storage, restored raft.PersistentState) (*Core, error) {
	core := &Core{
		settings:     settings,
		state:        directory.New(),
		joinRequests: map[string]receivedJoin{},
		requests:     map[Ticket]*request{},
		commands:     map[string]*request{},
		proposals:    map[uint64]proposal{},
		nodes:        map[ConnectionID]*subscription{},
		restored:     restored,
		lastTicket:   randomTicket(settings.Raft.Random),
	}
	core.replica = replica.New(core, storage, settings.SnapshotEntries)
	core.liveness.reset(now)
	core.warmups = newWarmupTable(now)
	core.openings = newOpeningTable()
	core.responseTimes = newResponseTimeTable()
	core.linkUsage = newLinkUsageTable()
	core.outcomes = newOutcomeTable(now, 0, directory.Verdicts{})
	if restored.Snapshot.Index > 0 {
		state, err := directory.Decode(restored.Snapshot.Data)
		if err != nil {
			return nil, steperror.Wrap("registry.restore", "", err)
		}
		core.state = state
		core.replica.Applied = restored.Snapshot.Index
	}
	persisted := readPersistedState(restored)
	core.remembered = newRememberedPayloads(now, persisted)
	core.rememberedMembers = persisted.state.Members()
	core.logRemembered(persisted, restored)
	if id := ownMemberID(restored, settings.Raft.Identity); id != raft.NoMember {
		core.startReplica(now, id)
	}
	return core, nil
}

// ownMemberID returns the ID of this data folder's identity in the persisted memberships.
func ownMemberID(restored raft.PersistentState, identity uint64) raft.MemberID {
	memberships := []raft.Membership{restored.Snapshot.Membership}
	for _, entry := range restored.Entries {
		if entry.Kind != raft.EntryMembership {
			continue
		}
		if membership, err := raft.DecodeMembership(entry.Data); err == nil {
			memberships = append(memberships, membership)
		}
	}
	for _, membership := range memberships {
		for id, known := range membership.Identities {
			if known == identity {
				return id
			}
		}
	}
	return raft.NoMember
}

// startReplica joins the replicated log under a member ID.
func (c *Core) startReplica(now kernel.Instant, id raft.MemberID) {
	c.settings.Raft.ID = id
	c.replica.Node = raft.NewNode(now, c.settings.Raft, c.restored)
	c.logEvent(eventlog.MemberNumbered, "member", id, "last_index", c.replica.Node.LastIndex())
}

// Failed returns the disk error that stopped this member, or nil.
func (c *Core) Failed() error { return c.replica.Err }

// State returns the replicated state applied by this member.
func (c *Core) State() *directory.State { return c.state }

// Raft returns the Raft node, or nil before this member has an ID.
func (c *Core) Raft() *raft.Node { return c.replica.Node }

// IsLeader reports whether this member is the leader.
func (c *Core) IsLeader() bool { return c.replica.IsLeader() }

// KnowsLeader reports whether this member knows the leader of its term.
func (c *Core) KnowsLeader() bool {
	return c.replica.Node != nil && c.replica.Node.Leader() != raft.NoMember
}

// IsCurrent reports whether this member's state is up to date: a leader must hold a lease,
// and any other member must have heard from the leader within MaxStaleness.
func (c *Core) IsCurrent(now kernel.Instant) bool {
	if c.replica.Node == nil || c.replica.Err != nil {
		return false
	}
	// Within a batch, committed entries may not have been applied yet.
	if c.replica.Applied < c.replica.Node.Commit() {
		return false
	}
	if c.IsLeader() {
		return c.replica.Node.HasLease(now)
	}
	at, heard := c.replica.Node.LastLeaderContact()
	return heard && now.Sub(at) < c.settings.MaxStaleness && c.replica.Node.KnowsCommit()
}

// LeaderlessFor returns how long this member has neither heard from a leader nor led with a
// quorum; 0 while it is not a member of the group.
func (c *Core) LeaderlessFor(now kernel.Instant) time.Duration {
	if c.replica.Node == nil {
		return 0
	}
	return now.Sub(c.replica.Node.LeaderlessSince(now))
}

// Tick advances time. It must be called at least ten times a second.
func (c *Core) Tick(now kernel.Instant) Output {
	if c.replica.Err != nil {
		return c.takeOutput()
	}
	c.tickJoin(now)
	if c.replica.Node != nil {
		c.replica.Node.Tick(now)
		c.flush(now)
		c.tickMembership(now)
		c.tickLiveness(now)
		c.tickResponseTimes(now)
		c.tickLinkUsage(now)
		c.flush(now)
	}
	c.logGroupSize(now)
	c.tickRequests(now)
	c.tickNodes(now)
	c.tickStrengths(now)
	return c.takeOutput()
}

// BeginBatch defers disk writes until EndBatch, so that several inputs share one sync and
// one update to each node.
func (c *Core) BeginBatch() { c.batching = true }

// EndBatch performs the deferred work.
func (c *Core) EndBatch(now kernel.Instant) Output {
	c.batching = false
	c.flush(now)
	if c.becameCurrent(now) {
		c.tickNodes(now)
	}
	return c.takeOutput()
}

// HandleFrame processes a frame from another member.
func (c *Core) HandleFrame(now kernel.Instant, frame wire.Frame) Output {
	if c.replica.Err != nil {
		return c.takeOutput()
	}
	var err error
	switch frame.Kind {
	case wire.FrameRaft:
		err = c.receiveRaft(now, frame.Payload)
	case wire.FrameJoin:
		err = c.receiveJoin(now, frame.Payload)
	case wire.FrameJoinReply:
		err = c.receiveJoinReply(now, frame.Payload)
	case wire.FrameForward, wire.FrameReadIndex:
		err = c.receiveForward(now, frame.Payload)
	case wire.FrameForwardReply:
		err = c.receiveForwardReply(frame.Payload)
	case wire.FrameLiveness:
		err = c.receiveLiveness(now, frame.Payload)
	case wire.FrameSpeeds:
		err = c.receiveResponseTimes(now, frame.Payload)
	case wire.FrameRoom:
		err = c.receiveLinkUsage(now, frame.Payload)
	}
	if err != nil {
		c.logEvent(eventlog.BadFrame, "kind", frame.Kind, "err", err)
	}
	c.flush(now)
	c.completeAnswered(now)
	if c.becameCurrent(now) {
		c.tickNodes(now)
	}
	return c.takeOutput()
}

func (c *Core) receiveRaft(now kernel.Instant, payload []byte) error {
	message, err := raft.DecodeMessage(payload)
	if err != nil || c.replica.Node == nil || message.To != c.settings.Raft.ID {
		return err
	}
	c.replica.Node.Step(now, message)
	return nil
}

func (c *Core) logEvent(event eventlog.ID, fields ...any) {
	c.output.Events = append(c.output.Events, LogEvent{Event: event, Fields: fields})
}

func (c *Core) sendToMember(address string, frame wire.Frame) {
	if address == "" || address == c.settings.Address {
		return
	}
	c.output.Members = append(c.output.Members, AddressedFrame{To: address, Frame: frame})
}

func (c *Core) takeOutput() Output {
	output := c.output
	c.output = Output{}
	return output
}

// address returns the address of a member of the group, or "" if it is unknown.
func (c *Core) address(id raft.MemberID) string {
	if c.replica.Node != nil {
		if address, known := c.replica.Node.Membership().Addresses[id]; known {
			return address
		}
	}
	if member, known := c.state.Member(uint32(id)); known {
		return member.Address
	}
	return c.members.learnedAddresses[id]
}

// flush persists and applies the pending work of the replicated log, then completes
// requests. Nodes are updated at the next tick, so that concurrent changes share an update.
func (c *Core) flush(now kernel.Instant) {
	if c.batching {
		return
	}
	c.replica.Flush(now)
	c.completeAnswered(now)
}

func (c *Core) sortedRequests() []*request {
	list := make([]*request, 0, len(c.requests))
	for _, ticket := range slices.Sorted(maps.Keys(c.requests)) {
		list = append(list, c.requests[ticket])
	}
	return list
}
