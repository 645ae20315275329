package registry

import (
	"cmp"
	"slices"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/raft"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// rememberedState returns the state by all that a disk holds, committed or not.
func rememberedState(restored raft.Restored) *directory.State {
	state := directory.New()
	if restored.Snapshot.Index > 0 {
		decoded, err := directory.Decode(restored.Snapshot.Data)
		if err != nil {
			return directory.New()
		}
		state = decoded
	}
	for _, entry := range restored.Entries {
		if entry.Kind != raft.EntryCommand {
			continue
		}
		if command, err := directory.DecodeCommand(entry.Data); err == nil {
			state.Apply(entry.Index, command)
		}
	}
	return state
}

// rememberedTargets returns the targets that have not ended by what a disk
// holds, committed or not. Whether an entry is committed decides if a target
// takes new flows, but not where the packets of its open flows go: its name and
// address never change, nor does its token where that follows from the name.
func rememberedTargets(state *directory.State) []directory.Target {
	var targets []directory.Target
	state.EachTarget(func(target *directory.Target) {
		if target.State != directory.TargetEnded && target.HasOwnToken() {
			targets = append(targets, *target)
		}
	})
	slices.SortFunc(targets, func(a, b directory.Target) int { return cmp.Compare(a.Token, b.Token) })
	return targets
}

// tellRemembered sends a node without state the targets on this member's disk,
// as long as this member is not current.
func (c *Core) tellRemembered(now kernel.Instant, connection ConnectionID) {
	if c.IsCurrent(now) {
		c.remembered = nil
	}
	if c.nodes[connection].revision > 0 || len(c.remembered) == 0 {
		return
	}
	c.sendNode(connection, wire.Frame{Kind: wire.FrameRemembered, Payload: c.remembered})
}
