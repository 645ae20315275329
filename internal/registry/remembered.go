package registry

import (
	"cmp"
	"slices"
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/raft"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// RememberedTTL limits the use of a configuration read from a member's disk: a member sends
// it only this long after its own start, and a node uses it only this long after its own.
const RememberedTTL = 3 * time.Second

// persistedState is the contents of a member's disk at start.
type persistedState struct {
	// state includes all persisted entries, committed or not.
	state *directory.State
	// configuration is the newest configuration known to be committed.
	configuration directory.Configuration
	// closedZones are the zones whose targets may be barred from new flows, according to
	// the committed or to the uncommitted entries.
	closedZones map[string]bool
}

// readPersistedState applies all persisted entries.
func readPersistedState(restored raft.PersistentState) persistedState {
	s := persistedState{state: directory.New(), closedZones: map[string]bool{}}
	if restored.Snapshot.Index > 0 {
		decoded, err := directory.Decode(restored.Snapshot.Data)
		if err != nil {
			return s
		}
		s.state = decoded
	}
	committed := len(restored.Entries)
	for committed > 0 && restored.Entries[committed-1].Index > restored.HardState.Commit {
		committed--
	}
	s.apply(restored.Entries[:committed])
	s.configuration = s.state.Configuration()
	s.closeZones()
	s.apply(restored.Entries[committed:])
	s.closeZones()
	return s
}

func (s *persistedState) apply(entries []raft.Entry) {
	for _, entry := range entries {
		if entry.Kind != raft.EntryCommand {
			continue
		}
		if command, err := directory.DecodeCommand(entry.Data); err == nil {
			s.state.Apply(entry.Index, command)
		}
	}
}

// closeZones adds the zones under evacuation and those that returned with a warm-up budget,
// whose use is not persisted.
func (s *persistedState) closeZones() {
	for _, evacuation := range s.state.Evacuations() {
		hasBudget := slices.ContainsFunc(evacuation.Warmups, func(known directory.ServiceWarmup) bool { return known.Warmup.Budget > 0 })
		if evacuation.Active || hasBudget {
			s.closedZones[evacuation.Zone] = true
		}
	}
}

// targets returns the targets that have not ended according to all persisted entries.
// Routing of open flows does not depend on whether an entry is committed, since a target's
// ID, address and own token never change. Targets without new flows are returned as
// leaving.
func (s *persistedState) targets() []directory.Target {
	var targets []directory.Target
	s.state.EachTarget(func(target *directory.Target) {
		if target.State == directory.TargetEnded || !target.HasDerivedToken() {
			return
		}
		reported := *target
		if !s.acceptsNewFlows(target) {
			reported.State = max(reported.State, directory.TargetLeaving)
		}
		reported.Warmup = nil
		targets = append(targets, reported)
	})
	slices.SortFunc(targets, func(a, b directory.Target) int { return cmp.Compare(a.Token, b.Token) })
	return targets
}

// acceptsNewFlows reports whether a target may get new flows according to the disk. The
// used part of a cold target's budget is not persisted.
func (s *persistedState) acceptsNewFlows(target *directory.Target) bool {
	isCold := target.Warmup != nil && target.Warmup.Budget > 0
	isEjected := s.state.TargetOrder(target.ID).Rule == directory.RuleEjected
	return target.State == directory.TargetReady && !isCold && !isEjected && !s.closedZones[target.Zone]
}

// rememberedPayloads are the payloads for nodes without state, sent until this member has
// been current for the first time.
type rememberedPayloads struct {
	// withConfiguration is the payload with targets and configuration; empty once this
	// member has been current.
	withConfiguration []byte
	// targetsOnly replaces withConfiguration from configurationUntil on.
	targetsOnly        []byte
	configurationUntil kernel.Instant
}

func newRememberedPayloads(now kernel.Instant, s persistedState) rememberedPayloads {
	targets := s.targets()
	if len(targets) == 0 {
		return rememberedPayloads{}
	}
	return rememberedPayloads{
		withConfiguration:  directory.EncodeRemembered(directory.Remembered{Targets: targets, Configuration: s.configuration}),
		targetsOnly:        directory.EncodeRemembered(directory.Remembered{Targets: targets}),
		configurationUntil: now.Add(RememberedTTL),
	}
}

// sendRemembered sends a node without state the persisted state, unless this member has
// been current.
func (c *Core) sendRemembered(now kernel.Instant, connection ConnectionID) {
	if c.IsCurrent(now) {
		c.remembered = rememberedPayloads{}
	}
	if c.nodes[connection].revision > 0 || len(c.remembered.withConfiguration) == 0 {
		return
	}
	payload := c.remembered.withConfiguration
	if !now.Before(c.remembered.configurationUntil) {
		payload = c.remembered.targetsOnly
	}
	c.sendToNode(connection, wire.Frame{Kind: wire.FrameRemembered, Payload: payload})
}

// logRemembered logs the persisted state that is sent to nodes.
func (c *Core) logRemembered(s persistedState, restored raft.PersistentState) {
	if len(c.remembered.withConfiguration) == 0 {
		return
	}
	c.logEvent(eventlog.StateRemembered, "commit", max(restored.Snapshot.Index, restored.HardState.Commit),
		"version", s.configuration.Version, "targets", s.state.TargetCount(), "bytes", len(c.remembered.withConfiguration))
}
