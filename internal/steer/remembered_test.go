package steer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

// rememberedUntil is until when remembered state may place new flows.
const rememberedUntil = start + kernel.Instant(3*time.Second)

func rememberedTarget(id string, token directory.Token) directory.Target {
	return directory.Target{
		ID: id, Token: token, Service: "booking", Zone: "north", Slots: 2,
		Address: netip.MustParseAddrPort("10.0.0.9:1"), State: directory.TargetReady,
	}
}

// Packets of open flows must not wait for a leader if a member's disk knows their targets.
func TestOpenFlowsUseRememberedTargets(t *testing.T) {
	b := newFixture(t)
	assert.False(t, b.core.CanDecide(flowPacket(1, 7, 1)))
	assert.Equal(t, 1, b.core.ApplyRemembered(start, directory.Remembered{Targets: []directory.Target{rememberedTarget("i-7", 7)}}, rememberedUntil))
	assert.True(t, b.core.CanDecide(flowPacket(1, 7, 1)))
	decision := b.core.Decide(start, flowPacket(1, 7, 1))
	assert.Equal(t, ActionForward, decision.Action)
	assert.Equal(t, "i-7", decision.Target.ID)
	assert.False(t, b.core.CanDecide(flowPacket(1, 8, 1)))
	assert.False(t, b.core.CanDecide(opening(2, 0)))
	assert.False(t, b.core.IsReady(), "no remembered configuration")
}

func TestFirstUpdateConfirmsOrDropsRemembered(t *testing.T) {
	b := newFixture(t)
	state := directory.New()
	state.Apply(1, directory.Command{Kind: directory.CommandPutTarget, Target: rememberedTarget("i-1", 0)})
	confirmed, _ := state.Target("i-1")
	b.core.ApplyRemembered(start, directory.Remembered{Targets: []directory.Target{confirmed, rememberedTarget("i-7", 7)}}, rememberedUntil)
	b.core.Decide(start, flowPacket(1, 7, 1))
	require.True(t, b.core.Update(start, state.UpdateSince(0)))
	assert.Equal(t, ReasonUnknownToken, b.core.Decide(start, flowPacket(1, 7, 2)).Reason)
	assert.Equal(t, ActionForward, b.core.Decide(start, flowPacket(2, confirmed.Token, 1)).Action)
	assert.Len(t, b.core.services["booking"], 1)
	assert.Equal(t, 0, b.core.ApplyRemembered(start, directory.Remembered{Targets: []directory.Target{rememberedTarget("i-8", 8)}}, rememberedUntil), "the core has current state")
}
