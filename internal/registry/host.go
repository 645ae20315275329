package registry

import (
	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/raft"
	"github.com/beamdoor/beamdoor/internal/replica"
	"github.com/beamdoor/beamdoor/internal/wire"
)

var _ replica.Host = (*Core)(nil)

// Send implements replica.Host.
func (c *Core) Send(message raft.Message) {
	c.sendToMember(c.address(message.To), wire.Frame{Kind: wire.FrameRaft, Payload: raft.EncodeMessage(message)})
}

// Stopped implements replica.Host.
func (c *Core) Stopped(err error) {
	c.logEvent(eventlog.DiskFailed, "err", err)
	c.failRequests(err)
}

// Restore implements replica.Host.
func (c *Core) Restore(now kernel.Instant, snapshot raft.Snapshot) error {
	state, err := directory.Decode(snapshot.Data)
	if err != nil {
		return err
	}
	c.state = state
	c.warmups = newWarmupTable(now)
	c.logEvent(eventlog.SnapshotInstalled, "index", snapshot.Index, "revision", state.Revision())
	return nil
}

// Apply implements replica.Host.
func (c *Core) Apply(now kernel.Instant, entry raft.Entry) error {
	pending, proposedHere := c.proposals[entry.Index]
	delete(c.proposals, entry.Index)
	if entry.Kind != raft.EntryCommand {
		return nil
	}
	command, err := directory.DecodeCommand(entry.Data)
	if err != nil {
		return err
	}
	before := c.state.Revision()
	result := c.state.Apply(entry.Index, command)
	c.logApplied(command, result, before, entry.Term != c.replica.Node.Term())
	c.recordWarmup(now, command, result)
	if command.Kind == directory.CommandPutTarget && c.IsLeader() && entry.Term == c.replica.Node.Term() {
		c.RecordHeartbeat(now, command.Target.Start())
	}
	if proposedHere && pending.term == entry.Term {
		c.recordResult(pending.ticket, result)
	}
	return nil
}

// logApplied logs each applied change of the replicated state. Entries of earlier terms are
// mostly replayed and are sampled, so that logging does not delay a restarted member.
// Changes of targets are sampled at followers, since the leader logs all of them: when a large
// fleet starts, each member would log thousands of lines before it takes calls.
func (c *Core) logApplied(command directory.Command, result directory.Result, before uint64, replayed bool) {
	if c.state.Revision() == before {
		return
	}
	firstEvent := len(c.output.Events)
	defer func() {
		for event := firstEvent; event < len(c.output.Events); event++ {
			c.output.Events[event].Sampled = replayed || isTargetChange(command) && !c.IsLeader()
		}
	}()
	switch command.Kind {
	case directory.CommandPublish:
		c.logEvent(eventlog.VersionInForce, "version", command.Edit.Version, "revision", result.Revision,
			"routes", len(c.state.Configuration().Routes))
	case directory.CommandPutTarget, directory.CommandEndTarget:
		target, _ := c.state.Target(command.Target.ID)
		c.logEvent(eventlog.TargetStage, "target", target.ID, "born", target.StartTime, "token", target.Token, "service", target.Service,
			"address", target.Address, "state", target.State, "revision", result.Revision)
	case directory.CommandEvacuate:
		c.logEvent(eventlog.EvacuationInForce, "zone", command.Evacuation.Zone, "active", command.Evacuation.Active, "confirmed", command.Confirmation.Position, "revision", result.Revision)
	case directory.CommandOrderTarget:
		c.logEvent(eventlog.TargetOrderInForce, "target", command.TargetOrder.ID, "rule", command.TargetOrder.Rule, "confirmed", command.Confirmation.Position, "revision", result.Revision)
	case directory.CommandAddMember, directory.CommandRemoveMember:
		c.logEvent(eventlog.MembersChanged, "kind", command.Kind, "member", command.Member.ID,
			"address", command.Member.Address, "revision", result.Revision)
	}
}

// isTargetChange reports whether a command registers a target or changes its state.
func isTargetChange(command directory.Command) bool {
	return command.Kind == directory.CommandPutTarget || command.Kind == directory.CommandEndTarget
}

// RoleChanged implements replica.Host.
func (c *Core) RoleChanged(now kernel.Instant, _ raft.Role) {
	c.proposals = map[uint64]proposal{}
	c.members.firstSeen = nil
	c.liveness.reset(now)
	c.openings = newOpeningTable()
	c.outcomes = newOutcomeTable(now, c.state.Revision(), c.liveness.verdicts.Verdicts)
	c.logEvent(eventlog.RoleChanged, "role", c.replica.Role, "term", c.replica.Term, "leader", c.replica.Node.Leader())
}

// Encode implements replica.Host.
func (c *Core) Encode() ([]byte, error) { return c.state.Encode(), nil }

// Compacted implements replica.Host.
func (c *Core) Compacted(snapshot raft.Snapshot) {
	c.logEvent(eventlog.SnapshotSaved, "index", snapshot.Index, "bytes", len(snapshot.Data))
}
