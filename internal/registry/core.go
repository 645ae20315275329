// Package registry provides a control member for token-routed nodes. Targets
// register with it by themselves, operators submit whole configurations of
// which the highest version holds, and nodes subscribe to updates. Members
// find each other through a few seed addresses, found the group once, and
// replace lost members without an operator. Core is deterministic; Process
// runs it with goroutines, a disk and sockets.
package registry

import (
	"maps"
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

// Ticket links a request to the core with its outcome.
type Ticket uint64

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

// Outcome is the end of a request.
type Outcome struct {
	Ticket Ticket
	Result directory.Result
	// Err is set when it is not known whether the command took effect; it may
	// be sent again.
	Err error
}

// LogEvent is an event for the structured log.
type LogEvent struct {
	Event  eventlog.ID
	Fields []any
	// Sampled is set on an event that may come thousands of times at once.
	Sampled bool
}

// Output is what the core wants done after an input.
type Output struct {
	Members  []AddressedFrame
	Nodes    []NodeFrame
	Outcomes []Outcome
	Events   []LogEvent
	// Reset asks to empty the data folder and begin anew: the group has
	// removed this member.
	Reset bool
}

// waiter is told the outcome of a request: a call at this member, or a member
// that has forwarded the request.
type waiter struct {
	// origin is the address of the member that forwarded the request, or "".
	origin string
	ticket Ticket
}

// request waits for the group. A request without a command is a read.
type request struct {
	ticket   Ticket
	command  []byte
	deadline kernel.Instant
	// sentTerm is the term in which the request was last handed on.
	sentTerm uint64
	sentAt   kernel.Instant
	// openedAt is when the request came; a read waits until a quorum has
	// confirmed the leader after that.
	openedAt kernel.Instant
	// answered is set once the leader has told the result; it is delivered
	// when this member has applied the log that far.
	answered bool
	result   directory.Result
	// forwarded is set on a request that came from another member; it is not
	// handed on again.
	forwarded bool
	waiters   []waiter
}

// proposal waits for its log entry.
type proposal struct {
	ticket Ticket
	term   uint64
}

// Core is the deterministic part of a member. One goroutine owns it.
type Core struct {
	settings CoreSettings
	// replica has no node until this member has a number in the group.
	replica *replica.Driver
	state   *directory.State
	// joinRequests holds what empty members said while the group is founded.
	joinRequests map[string]receivedJoin
	nextJoin     kernel.Instant

	requests map[Ticket]*request
	// inFlight is the number of requests that the leader has, as of the last tick
	// and those handed on since.
	inFlight int
	// answered are the requests that wait for this member to apply the log.
	answered []Ticket
	// commands finds the open request of a command: targets that get no answer
	// say the same again, at this and other members.
	commands   map[string]*request
	lastTicket Ticket
	proposals  map[uint64]proposal
	nodes      map[ConnectionID]*subscription
	// nextUpdate is when nodes may get the next updates.
	nextUpdate kernel.Instant
	// wasCurrent is whether this member was current when nodes were last told.
	wasCurrent bool
	members    membershipState
	liveness   livenessTable
	groupSize  groupSizeWatch
	warmups    warmupTable
	openings   openingTable
	outcomes   outcomeTable
	strengths  strengthTable
	speeds     speedTable
	room       roomTable

	// remembered is what this member's disk tells nodes until it is current, and encoded
	// what it tells those without state from then on.
	remembered   rememberedPayloads
	initialState initialState
	// rememberedMembers are the members on this member's disk.
	rememberedMembers []directory.Member

	output   Output
	restored raft.Restored
	batching bool
}

// NewCore returns a member that starts from what its disk held.
func NewCore(now kernel.Instant, settings CoreSettings, storage replica.Storage, restored raft.Restored) (*Core, error) {
	core := &Core{
		settings:     settings,
		state:        directory.New(),
		joinRequests: map[string]receivedJoin{},
		requests:     map[Ticket]*request{},
		commands:     map[string]*request{},
		proposals:    map[uint64]proposal{},
		nodes:        map[ConnectionID]*subscription{},
		restored:     restored,
	}
	core.replica = replica.New(core, storage, settings.SnapshotEntries)
	core.liveness.reset(now)
	core.warmups = newWarmupTable(now)
	core.openings = newOpeningTable()
	core.speeds = newSpeedTable()
	core.room = newRoomTable()
	core.outcomes = newOutcomeTable(now, 0, directory.Verdicts{})
	if restored.Snapshot.Index > 0 {
		state, err := directory.Decode(restored.Snapshot.Data)
		if err != nil {
			return nil, steperror.Wrap("registry.restore", "", err)
		}
		core.state = state
		core.replica.Applied = restored.Snapshot.Index
	}
	onDisk := readPersistedState(restored)
	core.remembered = newRememberedPayloads(now, onDisk)
	core.rememberedMembers = onDisk.state.Members()
	core.logRemembered(onDisk, restored)
	if number := ownMemberID(restored, settings.Raft.Identity); number != raft.NoMember {
		core.startReplica(now, number)
	}
	return core, nil
}

// ownMemberID finds this data folder's number in the memberships on its disk.
func ownMemberID(restored raft.Restored, identity uint64) raft.MemberID {
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

// startReplica takes part in the replicated log under a number.
func (c *Core) startReplica(now kernel.Instant, number raft.MemberID) {
	c.settings.Raft.ID = number
	c.replica.Node = raft.NewNode(now, c.settings.Raft, c.restored)
	c.logEvent(eventlog.MemberNumbered, "member", number, "last_index", c.replica.Node.LastIndex())
}

// Failed returns the error of the disk that stopped this member, or nil.
func (c *Core) Failed() error { return c.replica.Failed }

// State returns the replicated state as far as this member has applied it.
func (c *Core) State() *directory.State { return c.state }

// Raft returns the replicated log's core, or nil before this member has a number.
func (c *Core) Raft() *raft.Node { return c.replica.Node }

// IsLeader reports whether this member leads.
func (c *Core) IsLeader() bool { return c.replica.IsLeader() }

// KnowsLeader reports whether this member knows a leader of its term.
func (c *Core) KnowsLeader() bool {
	return c.replica.Node != nil && c.replica.Node.Leader() != raft.NoMember
}

// IsCurrent reports whether this member's state is that of a group with a
// leader, no older than CurrentFor.
func (c *Core) IsCurrent(now kernel.Instant) bool {
	if c.replica.Node == nil || c.replica.Failed != nil {
		return false
	}
	// Within a batch the log may be committed further than it is applied.
	if c.replica.Applied < c.replica.Node.Commit() {
		return false
	}
	if c.IsLeader() {
		return c.replica.Node.HasLease(now)
	}
	at, heard := c.replica.Node.HeardLeaderAt()
	return heard && now.Sub(at) < c.settings.MaxStaleness && c.replica.Node.KnowsCommit()
}

// LeaderlessFor returns how long this member has neither heard from a leader nor
// led with a quorum; 0 while it has no place in the group.
func (c *Core) LeaderlessFor(now kernel.Instant) time.Duration {
	if c.replica.Node == nil {
		return 0
	}
	return now.Sub(c.replica.Node.LeaderlessSince(now))
}

// Tick lets time pass. It is called at least ten times a second.
func (c *Core) Tick(now kernel.Instant) Output {
	if c.replica.Failed != nil {
		return c.takeOutput()
	}
	c.tickJoin(now)
	if c.replica.Node != nil {
		c.replica.Node.Tick(now)
		c.flush(now)
		c.tickMembership(now)
		c.tickLiveness(now)
		c.tickSpeeds(now)
		c.tickRoom(now)
		c.flush(now)
	}
	c.watchGroupSize(now)
	c.tickRequests(now)
	c.tickNodes(now)
	c.tickStrengths(now)
	return c.takeOutput()
}

// BeginBatch puts off all that needs the disk until EndBatch, so that many
// inputs share one sync and one update to each node.
func (c *Core) BeginBatch() { c.batching = true }

// EndBatch does what was put off.
func (c *Core) EndBatch(now kernel.Instant) Output {
	c.batching = false
	c.flush(now)
	if c.becameCurrent(now) {
		c.tickNodes(now)
	}
	return c.takeOutput()
}

// HandleFrame handles a frame from another member.
func (c *Core) HandleFrame(now kernel.Instant, frame wire.Frame) Output {
	if c.replica.Failed != nil {
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
	case wire.FrameForwarded:
		err = c.receiveForwarded(frame.Payload)
	case wire.FrameLiveness:
		err = c.receiveLiveness(now, frame.Payload)
	case wire.FrameSpeeds:
		err = c.receiveSpeeds(now, frame.Payload)
	case wire.FrameRoom:
		err = c.receiveRoom(now, frame.Payload)
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

// address returns where a member of the group is reached, or "".
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

// flush does what the replicated log asks for, then tells the requests that
// wait. Nodes are told at the next tick, so that changes that come together
// travel together.
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
