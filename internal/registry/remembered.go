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

// RememberedTTL bounds what nodes may place by a member's disk: a member tells its
// configuration no longer after its start, and a node uses it no longer after its own.
// Both have so long to find a group with a leader again.
const RememberedTTL = 3 * time.Second

// persistedState is what a member's disk held at its start.
type persistedState struct {
	// state is the state by all that the disk holds, committed or not.
	state *directory.State
	// configuration is the newest one that is known to be committed.
	configuration directory.Configuration
	// closedZones are the zones whose targets may not get new flows, by what is known to be
	// committed or by the rest.
	closedZones map[string]bool
}

// readPersistedState applies all that a disk holds.
func readPersistedState(restored raft.Restored) persistedState {
	m := persistedState{state: directory.New(), closedZones: map[string]bool{}}
	if restored.Snapshot.Index > 0 {
		decoded, err := directory.Decode(restored.Snapshot.Data)
		if err != nil {
			return m
		}
		m.state = decoded
	}
	known := len(restored.Entries)
	for known > 0 && restored.Entries[known-1].Index > restored.HardState.Commit {
		known--
	}
	m.apply(restored.Entries[:known])
	m.configuration = m.state.Configuration()
	m.closeZones()
	m.apply(restored.Entries[known:])
	m.closeZones()
	return m
}

func (m *persistedState) apply(entries []raft.Entry) {
	for _, entry := range entries {
		if entry.Kind != raft.EntryCommand {
			continue
		}
		if command, err := directory.DecodeCommand(entry.Data); err == nil {
			m.state.Apply(entry.Index, command)
		}
	}
}

// closeZones enters the zones that are being evacuated, and those that were taken back with
// a budget: what they were sent since is not on the disk.
func (m *persistedState) closeZones() {
	for _, evacuation := range m.state.Evacuations() {
		bounded := slices.ContainsFunc(evacuation.Warmups, func(known directory.ServiceWarmup) bool { return known.Warmup.Budget > 0 })
		if evacuation.Active || bounded {
			m.closedZones[evacuation.Zone] = true
		}
	}
}

// targets returns the targets that have not ended by what the disk holds, committed or
// not. Whether an entry is committed does not decide where the packets of open flows go:
// a target's name and address never change, nor does its token where that follows from
// the name. Those that may not get new flows are told as leaving.
func (m *persistedState) targets() []directory.Target {
	var targets []directory.Target
	m.state.EachTarget(func(target *directory.Target) {
		if target.State == directory.TargetEnded || !target.HasOwnToken() {
			return
		}
		told := *target
		if !m.acceptsNewFlows(target) {
			told.State = max(told.State, directory.TargetLeaving)
		}
		told.Warmup = nil
		targets = append(targets, told)
	})
	slices.SortFunc(targets, func(a, b directory.Target) int { return cmp.Compare(a.Token, b.Token) })
	return targets
}

// acceptsNewFlows reports whether a target may get new flows by what the disk holds. How
// much of its budget a cold target has used is not on it.
func (m *persistedState) acceptsNewFlows(target *directory.Target) bool {
	cold := target.Warmup != nil && target.Warmup.Budget > 0
	ejected := m.state.TargetOrder(target.ID).Rule == directory.RuleEjected
	return target.State == directory.TargetReady && !cold && !ejected && !m.closedZones[target.Zone]
}

// rememberedPayloads is what nodes without state are told while this member has not been
// current since its start.
type rememberedPayloads struct {
	// withConfiguration is encoded; none once the member has been current.
	withConfiguration []byte
	// targetsOnly is the payload without the configuration, for which it gives way at until.
	targetsOnly        []byte
	configurationUntil kernel.Instant
}

func newRememberedPayloads(now kernel.Instant, m persistedState) rememberedPayloads {
	targets := m.targets()
	if len(targets) == 0 {
		return rememberedPayloads{}
	}
	return rememberedPayloads{
		withConfiguration:  directory.EncodeRemembered(directory.Remembered{Targets: targets, Configuration: m.configuration}),
		targetsOnly:        directory.EncodeRemembered(directory.Remembered{Targets: targets}),
		configurationUntil: now.Add(RememberedTTL),
	}
}

// sendRemembered sends a node without state what is on this member's disk, as long as
// this member has not been current.
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

// logRemembered tells what nodes are told until a member is current.
func (c *Core) logRemembered(m persistedState, restored raft.Restored) {
	if len(c.remembered.withConfiguration) == 0 {
		return
	}
	c.logEvent(eventlog.StateRemembered, "commit", max(restored.Snapshot.Index, restored.HardState.Commit),
		"version", m.configuration.Version, "targets", m.state.TargetCount(), "bytes", len(c.remembered.withConfiguration))
}
