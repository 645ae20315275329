package steer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/directory"
)

// rememberedConfiguration returns a committed configuration, as read from a member's disk.
func rememberedConfiguration(version uint64) directory.Configuration {
	return directory.Configuration{Version: version, Routes: []directory.Route{
		route("r", bookingAddress, directory.Backend{Service: "booking", Weight: 1}),
	}}
}

func newRemembered(version uint64, targets ...directory.Target) directory.Remembered {
	return directory.Remembered{Configuration: rememberedConfiguration(version), Targets: targets}
}

func TestNewFlowsUseRememberedConfiguration(t *testing.T) {
	b := newFixture(t)
	leaving := rememberedTarget("i-8", 8)
	leaving.State = directory.TargetLeaving
	assert.Equal(t, 2, b.core.ApplyRemembered(start, newRemembered(4, rememberedTarget("i-7", 7), leaving), rememberedUntil))
	assert.True(t, b.core.IsReady())
	assert.True(t, b.core.UsesRemembered())
	assert.Equal(t, uint64(4), b.core.Version())
	require.True(t, b.core.CanDecide(opening(1, 0)))
	for port := range uint16(20) {
		assert.Equal(t, "i-7", b.core.Decide(start, opening(port, 0)).Target.ID)
	}
	other := opening(1, 0)
	other.Flow.Virtual = otherAddress
	assert.False(t, b.core.CanDecide(other), "an unknown route may be newer than the remembered state")
	assert.False(t, b.core.CanDecide(flowPacket(1, 9, 1)))
}

func TestNewFlowWaitsWithoutRememberedTarget(t *testing.T) {
	b := newFixture(t)
	other := rememberedTarget("i-7", 7)
	other.Service = "other"
	b.core.ApplyRemembered(start, newRemembered(4, other), rememberedUntil)
	assert.False(t, b.core.CanDecide(opening(1, 0)))
}

func TestRememberedConfigurationExpires(t *testing.T) {
	b := newFixture(t)
	b.core.ApplyRemembered(start, newRemembered(4, rememberedTarget("i-7", 7)), rememberedUntil)
	assert.False(t, b.core.ExpireRemembered(rememberedUntil-1))
	assert.Equal(t, ReasonNotReady, b.core.Decide(rememberedUntil, opening(1, 0)).Reason, "the limit holds before ExpireRemembered")
	assert.True(t, b.core.ExpireRemembered(rememberedUntil))
	assert.False(t, b.core.ExpireRemembered(rememberedUntil))
	assert.False(t, b.core.IsReady())
	assert.False(t, b.core.CanDecide(opening(1, 0)))
	assert.True(t, b.core.CanDecide(flowPacket(1, 7, 1)), "open flows continue")
	b.core.ApplyRemembered(rememberedUntil, newRemembered(5, rememberedTarget("i-9", 9)), rememberedUntil)
	assert.False(t, b.core.IsReady(), "remembered state past the limit is not used")
}

func TestNewestRememberedStateWins(t *testing.T) {
	b := newFixture(t)
	draining := rememberedTarget("i-7", 7)
	draining.State = directory.TargetDraining
	b.core.ApplyRemembered(start, newRemembered(4, rememberedTarget("i-7", 7), rememberedTarget("i-8", 8)), rememberedUntil)
	assert.Equal(t, 0, b.core.ApplyRemembered(start, newRemembered(3, draining, rememberedTarget("i-8", 8)), rememberedUntil))
	assert.Equal(t, uint64(4), b.core.Version(), "the version does not decrease")
	for port := range uint16(20) {
		assert.Equal(t, "i-8", b.core.Decide(start, opening(port, 0)).Target.ID)
	}
	b.core.ApplyRemembered(start, newRemembered(6), rememberedUntil)
	assert.Equal(t, uint64(6), b.core.Version())
}

func TestFirstUpdateReplacesRememberedConfiguration(t *testing.T) {
	b := newFixture(t)
	state := directory.New()
	warming := rememberedTarget("i-1", 0)
	warming.Warmup = &directory.Warmup{Remaining: time.Minute, Budget: 4}
	state.Apply(1, directory.Command{Kind: directory.CommandPutTarget, Target: warming})
	next := rememberedConfiguration(5)
	state.Apply(2, directory.Command{Kind: directory.CommandPublish, Edit: directory.Difference(directory.Configuration{}, next)})
	confirmed, _ := state.Target("i-1")
	remembered := confirmed
	remembered.Warmup = nil
	b.core.ApplyRemembered(start, newRemembered(4, remembered, rememberedTarget("i-7", 7)), rememberedUntil)
	require.True(t, b.core.Update(start, state.UpdateSince(0)))
	assert.False(t, b.core.UsesRemembered())
	assert.Equal(t, uint64(5), b.core.Version())
	assert.Len(t, b.core.services["booking"], 1)
	assert.Equal(t, ReasonCold, b.core.Decide(start, opening(1, 0)).Reason, "a node without a budget share is blocked")
	assert.False(t, b.core.ExpireRemembered(rememberedUntil))
	assert.Equal(t, 0, b.core.ApplyRemembered(start, newRemembered(9, rememberedTarget("i-8", 8)), rememberedUntil))
	assert.Equal(t, uint64(5), b.core.Version())
}

func TestOlderUpdateKeepsRememberedConfiguration(t *testing.T) {
	b := newFixture(t)
	b.core.ApplyRemembered(start, newRemembered(9, rememberedTarget("i-7", 7)), rememberedUntil)
	state := directory.New()
	state.Apply(1, directory.Command{Kind: directory.CommandPublish, Edit: directory.Difference(directory.Configuration{}, rememberedConfiguration(5))})
	require.True(t, b.core.Update(start, state.UpdateSince(0)))
	assert.Equal(t, uint64(9), b.core.Version())
}
