package steer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/directory"
)

// rememberedBooking is a configuration that a disk knows to be committed.
func rememberedBooking(version uint64) directory.Configuration {
	return directory.Configuration{Version: version, Routes: []directory.Route{
		route("r", bookingAddress, directory.Backend{Service: "booking", Weight: 1}),
	}}
}

func remembering(version uint64, targets ...directory.Target) directory.Remembered {
	return directory.Remembered{Configuration: rememberedBooking(version), Targets: targets}
}

func TestNewFlowsFollowTheConfigurationThatADiskRemembers(t *testing.T) {
	b := newBench(t)
	leaving := rememberedTarget("i-8", 8)
	leaving.State = directory.TargetLeaving
	assert.Equal(t, 2, b.core.ApplyRemembered(start, remembering(4, rememberedTarget("i-7", 7), leaving), memoryEnd))
	assert.True(t, b.core.IsReady())
	assert.True(t, b.core.UsesRemembered())
	assert.Equal(t, uint64(4), b.core.Version())
	require.True(t, b.core.CanDecide(opening(1, 0)))
	for port := range uint16(20) {
		assert.Equal(t, "i-7", b.core.Decide(start, opening(port, 0)).Target.ID)
	}
	other := opening(1, 0)
	other.Flow.Virtual = otherAddress
	assert.False(t, b.core.CanDecide(other), "a route that the disk does not know may be newer")
	assert.False(t, b.core.CanDecide(following(1, 9, 1)))
}

func TestAServiceWithoutATargetOnTheDiskWaits(t *testing.T) {
	b := newBench(t)
	other := rememberedTarget("i-7", 7)
	other.Service = "other"
	b.core.ApplyRemembered(start, remembering(4, other), memoryEnd)
	assert.False(t, b.core.CanDecide(opening(1, 0)))
}

func TestNewFlowsFollowADiskOnlyForAWhile(t *testing.T) {
	b := newBench(t)
	b.core.ApplyRemembered(start, remembering(4, rememberedTarget("i-7", 7)), memoryEnd)
	assert.False(t, b.core.ExpireRemembered(memoryEnd-1))
	assert.Equal(t, ReasonNotReady, b.core.Decide(memoryEnd, opening(1, 0)).Reason, "also before its end was noted")
	assert.True(t, b.core.ExpireRemembered(memoryEnd))
	assert.False(t, b.core.ExpireRemembered(memoryEnd))
	assert.False(t, b.core.IsReady())
	assert.False(t, b.core.CanDecide(opening(1, 0)))
	assert.True(t, b.core.CanDecide(following(1, 7, 1)), "open flows go on")
	b.core.ApplyRemembered(memoryEnd, remembering(5, rememberedTarget("i-9", 9)), memoryEnd)
	assert.False(t, b.core.IsReady(), "a later word comes too late")
}

func TestOfTwoDisksTheLaterWordHolds(t *testing.T) {
	b := newBench(t)
	draining := rememberedTarget("i-7", 7)
	draining.State = directory.TargetDraining
	b.core.ApplyRemembered(start, remembering(4, rememberedTarget("i-7", 7), rememberedTarget("i-8", 8)), memoryEnd)
	assert.Equal(t, 0, b.core.ApplyRemembered(start, remembering(3, draining, rememberedTarget("i-8", 8)), memoryEnd))
	assert.Equal(t, uint64(4), b.core.Version(), "a node never goes back")
	for port := range uint16(20) {
		assert.Equal(t, "i-8", b.core.Decide(start, opening(port, 0)).Target.ID)
	}
	b.core.ApplyRemembered(start, remembering(6), memoryEnd)
	assert.Equal(t, uint64(6), b.core.Version())
}

func TestTheCurrentStateTakesThePlaceOfADisk(t *testing.T) {
	b := newBench(t)
	state := directory.New()
	cold := rememberedTarget("i-1", 0)
	cold.Warmup = &directory.Warmup{Left: time.Minute, Budget: 4}
	state.Apply(1, directory.Command{Kind: directory.CommandPutTarget, Target: cold})
	next := rememberedBooking(5)
	state.Apply(2, directory.Command{Kind: directory.CommandPublish, Edit: directory.Difference(directory.Configuration{}, next)})
	confirmed, _ := state.Target("i-1")
	told := confirmed
	told.Warmup = nil
	b.core.ApplyRemembered(start, remembering(4, told, rememberedTarget("i-7", 7)), memoryEnd)
	require.True(t, b.core.Update(start, state.Since(0)))
	assert.False(t, b.core.UsesRemembered())
	assert.Equal(t, uint64(5), b.core.Version())
	assert.Len(t, b.core.services["booking"], 1)
	assert.Equal(t, ReasonCold, b.core.Decide(start, opening(1, 0)).Reason, "what the node is not a steward of is closed")
	assert.False(t, b.core.ExpireRemembered(memoryEnd))
	assert.Equal(t, 0, b.core.ApplyRemembered(start, remembering(9, rememberedTarget("i-8", 8)), memoryEnd))
	assert.Equal(t, uint64(5), b.core.Version())
}

func TestAnOlderStateDoesNotTakeAConfigurationBack(t *testing.T) {
	b := newBench(t)
	b.core.ApplyRemembered(start, remembering(9, rememberedTarget("i-7", 7)), memoryEnd)
	state := directory.New()
	state.Apply(1, directory.Command{Kind: directory.CommandPublish, Edit: directory.Difference(directory.Configuration{}, rememberedBooking(5))})
	require.True(t, b.core.Update(start, state.Since(0)))
	assert.Equal(t, uint64(9), b.core.Version())
}
