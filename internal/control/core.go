// Package control implements a control member. It replicates the configuration, grants
// leases to balancers, changes the views of their cells and distributes the
// configuration. Core is deterministic; Process adds goroutines, storage and sockets.
package control

import (
	"maps"
	"slices"
	"time"

	beamdoorv1 "github.com/beamdoor/beamdoor/api/beamdoor/v1"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/raft"
	"github.com/beamdoor/beamdoor/internal/replica"
	"github.com/beamdoor/beamdoor/internal/steperror"
	"github.com/beamdoor/beamdoor/internal/store"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// ConnectionID identifies the connection of a balancer to this member.
type ConnectionID uint64

// Token identifies a proposal, so that its outcome can be matched to it.
type Token uint64

// Mechanisms disables individual mechanisms in tests.
type Mechanisms struct {
	Raft  raft.Mechanisms
	Store store.Options
	// NoLeaseWait removes a silent balancer from the view before its lease expires.
	NoLeaseWait bool
	// NoStallCheck counts the time in which this process was suspended as silence of
	// the balancers.
	NoStallCheck bool
	// NoLeaderLease grants leases and serves reads without confirmation by a quorum.
	NoLeaderLease bool
}

// Settings configures the core of a member.
type Settings struct {
	Raft raft.Settings
	// Lease is the duration of a balancer's lease, during which it may assign new flows.
	Lease time.Duration
	// LeaseMargin is the delay between the expiry of a lease and the removal of its
	// holder from the view.
	LeaseMargin time.Duration
	// LagLimit is how long a balancer may lag behind the configuration of its cell
	// before the leader stops renewing its lease.
	LagLimit time.Duration
	// InitialViewDelay is the time from the first report of a cell to its first view,
	// so that this view contains all balancers that start together.
	InitialViewDelay time.Duration
	// SettleTimeout is the longest time that the next planned change waits for a view
	// to settle.
	SettleTimeout time.Duration
	// SnapshotEntries is the number of log entries that triggers compaction.
	SnapshotEntries int
	Mechanisms      Mechanisms
	// InitialMembers are the members of a new group. It is empty for a member that joins
	// an existing group.
	InitialMembers []*beamdoorv1.Member
	// SeedMembers are the members to which a member without a group sends hello frames.
	SeedMembers []raft.MemberID
}

// DefaultSettings returns the settings for production.
func DefaultSettings() Settings {
	return Settings{
		Raft: raft.Settings{
			ElectionTimeout: 600 * time.Millisecond,
			Heartbeat:       100 * time.Millisecond,
			MaxAppend:       256,
			ChunkSize:       256 << 10,
		},
		Lease:            3 * time.Second,
		LeaseMargin:      300 * time.Millisecond,
		LagLimit:         5 * time.Second,
		InitialViewDelay: 1500 * time.Millisecond,
		SettleTimeout:    60 * time.Second,
		SnapshotEntries:  4096,
	}
}

// MemberMessage is a frame to be sent to another control member.
type MemberMessage struct {
	To    raft.MemberID
	Frame wire.Frame
}

// BalancerMessage is a frame to be sent to a connected balancer.
type BalancerMessage struct {
	Connection ConnectionID
	Frame      wire.Frame
}

// Outcome is the result of a proposal.
type Outcome struct {
	Token  Token
	Result store.Result
	// Err is set when the proposal was rejected, or when its result is unknown because
	// the leader changed. A write can be retried with the same request ID.
	Err error
}

// LogEvent is an entry for the event log.
type LogEvent struct {
	Event  eventlog.ID
	Fields []any
}

// Output holds the messages, outcomes and events that an input produced.
type Output struct {
	Members   []MemberMessage
	Balancers []BalancerMessage
	Outcomes  []Outcome
	Events    []LogEvent
	// Applied is set when the replicated state changed.
	Applied bool
}

// pendingProposal is a proposal whose log entry is not committed yet.
type pendingProposal struct {
	token Token
	term  uint64
}

var _ replica.Host = (*Core)(nil)

// Core is the deterministic state machine of a control member. It is not safe for
// concurrent use.
type Core struct {
	settings  Settings
	replica   *replica.Driver
	store     *store.Store
	pending   map[uint64]pendingProposal
	leases    *leaseTable
	bootstrap *groupBootstrap
	balancers *balancerTable
	tracer    *tracer
	output    Output

	queuedReports []wire.NodeReport
}

// NewCore returns a core that starts from the state restored from disk.
func NewCore(now kernel.Instant, settings Settings, storage replica.Storage, restored raft.PersistentState) (*Core, error) {
	state := store.New(settings.Mechanisms.Store)
	if restored.Snapshot.Index > 0 && len(restored.Snapshot.Data) > 0 {
		decoded, err := store.Decode(restored.Snapshot.Data, settings.Mechanisms.Store)
		if err != nil {
			return nil, steperror.Wrap("control.restore", "", err)
		}
		state = decoded
	}
	settings.Raft.Mechanisms = settings.Mechanisms.Raft
	core := &Core{
		settings:  settings,
		store:     state,
		pending:   map[uint64]pendingProposal{},
		balancers: newBalancerTable(),
		tracer:    newTracer(),
	}
	core.replica = replica.New(core, storage, settings.SnapshotEntries)
	core.replica.Node = raft.NewNode(now, settings.Raft, restored)
	core.replica.Applied = restored.Snapshot.Index
	core.leases = newLeaseTable(core)
	core.bootstrap = newGroupBootstrap(settings)
	return core, nil
}

// Failed returns the storage error that stopped this member, or nil.
func (c *Core) Failed() error { return c.replica.Err }

// Store returns the replicated state up to the last entry that this member applied.
func (c *Core) Store() *store.Store { return c.store }

// Raft returns the Raft node, for status reports.
func (c *Core) Raft() *raft.Node { return c.replica.Node }

// IsLeader reports whether this member is the Raft leader.
func (c *Core) IsLeader() bool { return c.replica.Node.Role() == raft.Leader }

// CanRead reports whether this member can serve a linearizable read now: it holds the
// leader lease and has applied all committed entries.
func (c *Core) CanRead(now kernel.Instant) bool {
	if c.settings.Mechanisms.NoLeaderLease {
		return c.IsLeader()
	}
	return c.replica.Err == nil && c.replica.Node.HasLease(now) && c.replica.Applied >= c.replica.Node.Commit()
}

// Tick advances the core to now. It must be called at least ten times a second.
func (c *Core) Tick(now kernel.Instant) Output {
	if c.replica.Err != nil {
		return Output{}
	}
	c.tickBootstrap(now)
	c.replica.Node.Tick(now)
	c.replica.Flush(now)
	if c.IsLeader() {
		c.leases.tick(now)
	}
	c.forwardReports(now)
	c.replica.Flush(now)
	return c.takeOutput()
}

// HandleMemberFrame handles a frame from another control member.
func (c *Core) HandleMemberFrame(now kernel.Instant, from raft.MemberID, frame wire.Frame) Output {
	if c.replica.Err != nil {
		return Output{}
	}
	switch frame.Kind {
	case wire.FrameRaft:
		message, err := raft.DecodeMessage(frame.Payload)
		if err != nil || message.From != from {
			c.log(eventlog.BadFrame, "peer", from, "err", err)
			return c.takeOutput()
		}
		c.replica.Node.Step(now, message)
	case wire.FrameHello:
		c.receiveHello(now, from, frame)
	case wire.FrameReports:
		c.receiveReports(now, from, frame)
	case wire.FrameGrants:
		c.receiveGrants(frame)
	case wire.FrameSignals:
		c.receiveSignals(now, frame)
	}
	c.replica.Flush(now)
	return c.takeOutput()
}

func (c *Core) receiveReports(now kernel.Instant, from raft.MemberID, frame wire.Frame) {
	reports, err := wire.DecodeReports(frame.Payload)
	if err != nil {
		c.log(eventlog.BadFrame, "peer", from, "err", err)
		return
	}
	if !c.IsLeader() {
		return
	}
	grants := c.leases.receive(now, reports)
	c.sendToMember(from, wire.GrantsFrame(grants))
}

func (c *Core) receiveGrants(frame wire.Frame) {
	grants, err := wire.DecodeGrants(frame.Payload)
	if err != nil {
		c.log(eventlog.BadFrame, "err", err)
		return
	}
	c.deliverGrants(grants)
}

func (c *Core) receiveSignals(now kernel.Instant, frame wire.Frame) {
	decoder := wire.NewDecoder(frame.Payload)
	signals := wire.DecodeSignals(decoder)
	if err := decoder.Err("control.signals"); err != nil {
		c.log(eventlog.BadFrame, "err", err)
		return
	}
	c.distributeSignals(now, signals)
}

// Propose appends a command to the replicated log. Its outcome carries the token and is
// part of this output or of a later one.
func (c *Core) Propose(now kernel.Instant, token Token, command store.Command) Output {
	c.propose(now, token, command)
	c.replica.Flush(now)
	return c.takeOutput()
}

func (c *Core) propose(now kernel.Instant, token Token, command store.Command) {
	const step = "control.propose"
	if c.replica.Err != nil {
		c.output.Outcomes = append(c.output.Outcomes, Outcome{Token: token, Err: c.replica.Err})
		return
	}
	data, err := store.EncodeCommand(command)
	if err != nil {
		c.output.Outcomes = append(c.output.Outcomes, Outcome{Token: token, Err: err})
		return
	}
	index, term, err := c.replica.Node.Propose(now, data)
	if err != nil {
		c.output.Outcomes = append(c.output.Outcomes, Outcome{Token: token, Err: steperror.Wrap(step, "", err)})
		return
	}
	c.pending[index] = pendingProposal{token: token, term: term}
}

// ProposeMembership proposes a membership that differs by one control member.
func (c *Core) ProposeMembership(now kernel.Instant, token Token, next raft.Membership) Output {
	index, term, err := c.replica.Node.ProposeMembership(now, next)
	if err != nil {
		c.output.Outcomes = append(c.output.Outcomes, Outcome{Token: token, Err: err})
		return c.takeOutput()
	}
	c.pending[index] = pendingProposal{token: token, term: term}
	c.replica.Flush(now)
	return c.takeOutput()
}

func (c *Core) log(event eventlog.ID, fields ...any) {
	c.output.Events = append(c.output.Events, LogEvent{Event: event, Fields: fields})
}

func (c *Core) sendToMember(to raft.MemberID, frame wire.Frame) {
	c.output.Members = append(c.output.Members, MemberMessage{To: to, Frame: frame})
}

func (c *Core) sendToBalancer(to ConnectionID, frame wire.Frame) {
	c.output.Balancers = append(c.output.Balancers, BalancerMessage{Connection: to, Frame: frame})
}

func (c *Core) takeOutput() Output {
	output := c.output
	c.output = Output{}
	return output
}

// Send implements replica.Host.
func (c *Core) Send(message raft.Message) {
	c.sendToMember(message.To, wire.Frame{Kind: wire.FrameRaft, Payload: raft.EncodeMessage(message)})
}

// Stopped implements replica.Host.
func (c *Core) Stopped(err error) {
	c.log(eventlog.DiskFailed, "err", err)
	c.failPending(err)
}

func (c *Core) failPending(err error) {
	for _, index := range slices.Sorted(maps.Keys(c.pending)) {
		proposal := c.pending[index]
		c.output.Outcomes = append(c.output.Outcomes, Outcome{Token: proposal.token, Err: err})
	}
	c.pending = map[uint64]pendingProposal{}
}

// Restore implements replica.Host.
func (c *Core) Restore(_ kernel.Instant, snapshot raft.Snapshot) error {
	state, err := store.Decode(snapshot.Data, c.settings.Mechanisms.Store)
	if err != nil {
		return err
	}
	c.store = state
	c.output.Applied = true
	c.log(eventlog.SnapshotInstalled, "index", snapshot.Index, "revision", state.Revision())
	c.distributeConfig()
	return nil
}

// Apply implements replica.Host.
func (c *Core) Apply(now kernel.Instant, entry raft.Entry) error {
	var result store.Result
	if entry.Kind == raft.EntryCommand {
		command, err := store.DecodeCommand(entry.Data)
		if err != nil {
			return err
		}
		result = c.store.Apply(command)
		c.afterApply(now, command, result)
	}
	c.resolveProposal(entry, result)
	return nil
}

func (c *Core) afterApply(now kernel.Instant, command store.Command, result store.Result) {
	c.output.Applied = true
	if result.Code != store.ErrorNone || result.Repeated {
		return
	}
	if c.IsLeader() {
		c.tracer.recordAccepted(now, result.Revision)
	}
	if change, ok := command.Body.(*beamdoorv1.ViewChange); ok {
		view := c.store.View(change.Cell)
		c.leases.viewApplied(now, view)
		c.log(eventlog.ViewChanged, "cell", change.Cell, "view", view.Number, "members", len(view.Members), "revision", result.Revision)
	}
	c.distributeConfig()
}

func (c *Core) resolveProposal(entry raft.Entry, result store.Result) {
	proposal, known := c.pending[entry.Index]
	if !known {
		return
	}
	delete(c.pending, entry.Index)
	outcome := Outcome{Token: proposal.token, Result: result}
	if entry.Kind == raft.EntryMembership {
		outcome.Result.Revision = c.store.Revision()
	}
	if proposal.term != entry.Term {
		outcome.Err = steperror.New("control.propose", "", "the log entry was replaced by another leader's")
	}
	c.output.Outcomes = append(c.output.Outcomes, outcome)
}

// RoleChanged implements replica.Host.
func (c *Core) RoleChanged(now kernel.Instant, before raft.Role) {
	if before == raft.Leader {
		c.failPending(steperror.New("control.propose", "", "this member lost leadership before the write was committed"))
	}
	c.log(eventlog.RoleChanged, "role", c.replica.Role, "term", c.replica.Term, "leader", c.replica.Node.Leader())
	if c.replica.Role == raft.Leader {
		c.leases.reset(now)
		c.tracer.reset()
	}
}

// Encode implements replica.Host.
func (c *Core) Encode() ([]byte, error) { return c.store.Encode() }

// Compacted implements replica.Host.
func (c *Core) Compacted(snapshot raft.Snapshot) {
	c.log(eventlog.SnapshotSaved, "index", snapshot.Index, "bytes", len(snapshot.Data))
}
