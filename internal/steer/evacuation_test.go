package steer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

// setEvacuated orders or ends the evacuation of a zone and updates the core.
func (b *coreFixture) setEvacuated(now kernel.Instant, zone string, active bool) {
	order := directory.Evacuation{Zone: zone, Active: active, Revision: b.state.Evacuation(zone).Revision}
	b.apply(now, directory.Command{Kind: directory.CommandEvacuate, Evacuation: order})
}

func TestEvacuatedZoneKeepsOpenFlowsOnly(t *testing.T) {
	b := newBookingFixture(t)
	local := b.target(start, "i-1", "booking", "north", "10.0.0.1:1", directory.TargetReady)
	remote := b.target(start, "i-2", "booking", "south", "10.0.0.2:1", directory.TargetReady)
	assert.Equal(t, local.ID, b.core.Decide(start, opening(1, 0)).Target.ID)
	b.setEvacuated(start, "north", true)
	assert.Equal(t, []string{"north"}, b.core.EvacuatedZones())
	for port := range uint16(20) {
		assert.Equal(t, remote.ID, b.core.Decide(start, opening(100+port, 0)).Target.ID)
	}
	assert.Equal(t, local.ID, b.core.Decide(start, flowPacket(50, local.Token, 1)).Target.ID, "open flows stay")
	b.setEvacuated(start, "north", false)
	assert.Empty(t, b.core.EvacuatedZones())
}

// An early retransmission goes to the same target, unless that is blocked meanwhile.
func TestRetransmissionAvoidsEvacuatedZone(t *testing.T) {
	b := newBookingFixture(t)
	local := b.target(start, "i-1", "booking", "north", "10.0.0.1:1", directory.TargetReady)
	remote := b.target(start, "i-2", "booking", "south", "10.0.0.2:1", directory.TargetReady)
	assert.Equal(t, local.ID, b.core.Decide(start, opening(1, 0)).Target.ID)
	b.setEvacuated(start, "north", true)
	soon := start.Add(b.core.settings.AnswerTimeout / 2)
	assert.Equal(t, remote.ID, b.core.Decide(soon, opening(1, 1)).Target.ID)
}

// With all zones of a service evacuated, new flows are reset at once, whatever the health of
// the targets.
func TestEvacuationOfAllZonesResetsNewFlows(t *testing.T) {
	b := newBookingFixture(t)
	north := b.target(start, "i-1", "booking", "north", "10.0.0.1:1", directory.TargetReady)
	b.target(start, "i-2", "booking", "south", "10.0.0.2:1", directory.TargetReady)
	b.target(start, "i-3", "other", "west", "10.0.0.3:1", directory.TargetReady)
	b.setEvacuated(start, "north", true)
	b.setEvacuated(start, "south", true)
	assert.True(t, b.core.IsReady())
	decision := b.core.Decide(start, opening(1, 0))
	assert.Equal(t, ActionReset, decision.Action)
	assert.Equal(t, ReasonEvacuated, decision.Reason)
	assert.Equal(t, north.ID, b.core.Decide(start, flowPacket(50, north.Token, 1)).Target.ID)
	b.core.ApplyVerdicts(directory.Verdicts{Suspects: []directory.Token{north.Token}})
	assert.Equal(t, ReasonEvacuated, b.core.Decide(start, opening(2, 0)).Reason, "suspicion does not unblock a zone")
	b.setEvacuated(start, "south", false)
	later := start.Add(time.Minute)
	assert.Equal(t, "i-2", b.core.Decide(later, opening(3, 0)).Target.ID)
}

// A node that starts must know the evacuated zones before it places flows.
func TestFirstUpdateCarriesEvacuatedZones(t *testing.T) {
	b := newBookingFixture(t)
	b.target(start, "i-1", "booking", "north", "10.0.0.1:1", directory.TargetReady)
	b.target(start, "i-2", "booking", "south", "10.0.0.2:1", directory.TargetReady)
	b.setEvacuated(start, "north", true)
	fresh := New(b.core.settings)
	assert.True(t, fresh.Update(start, b.state.UpdateSince(0)))
	assert.Equal(t, "i-2", fresh.Decide(start, opening(1, 0)).Target.ID)
}
