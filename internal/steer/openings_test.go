package steer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

// newTwoZoneFixture returns a fixture with a target in the node's zone and one in another.
func newTwoZoneFixture(t *testing.T) (b *coreFixture, local, remote directory.Target) {
	b = newBookingFixture(t)
	local = b.target(start, "i-1", "booking", "north", "10.0.0.1:1", directory.TargetReady)
	remote = b.target(start, "i-2", "booking", "south", "10.0.0.2:1", directory.TargetReady)
	b.core.Report(start, reportPeriod)
	return b, local, remote
}

const reportPeriod = 100 * time.Millisecond

// reportUntil reports periodically until a moment and returns the last report.
func (b *coreFixture) reportUntil(from, to kernel.Instant) Evidence {
	var evidence Evidence
	for now := from.Add(reportPeriod); now <= to; now = now.Add(reportPeriod) {
		evidence = b.core.Report(now, reportPeriod)
	}
	return evidence
}

// Callers retry at once after a refusal and must not meet refusing targets repeatedly.
func TestRefusingTargetIsAvoidedTemporarily(t *testing.T) {
	b, local, remote := newTwoZoneFixture(t)
	assert.Equal(t, local.ID, b.core.Decide(start, opening(1, 0)).Target.ID)
	evidence := b.reportUntil(start, start.Add(reportPeriod))
	assert.Equal(t, []SilentTarget{{Token: local.Token, Weight: 1}}, evidence.Refused)
	assert.Equal(t, []directory.ZoneOpenings{{Zone: "north", Refused: 1}}, evidence.Openings)
	assert.Equal(t, remote.ID, b.core.Decide(start.Add(reportPeriod), opening(2, 0)).Target.ID)
	later := start.Add(reportPeriod + refusalLifetime)
	b.core.Decide(start.Add(2*reportPeriod), flowPacket(2, remote.Token, 1))
	b.reportUntil(start.Add(reportPeriod), later)
	assert.Equal(t, local.ID, b.core.Decide(later, opening(3, 0)).Target.ID, "the target is tried again")
}

func TestAcceptedOpeningIsCountedOnce(t *testing.T) {
	b, local, _ := newTwoZoneFixture(t)
	b.core.Decide(start, opening(1, 0))
	b.core.Decide(start.Add(5*time.Millisecond), flowPacket(1, local.Token, 1))
	evidence := b.reportUntil(start, start.Add(reportPeriod))
	assert.Empty(t, evidence.Refused)
	assert.Equal(t, []directory.ZoneOpenings{{Zone: "north", Opened: 1}}, evidence.Openings)
	evidence = b.reportUntil(start.Add(reportPeriod), start.Add(2*reportPeriod))
	assert.Empty(t, evidence.Openings, "openings are counted once")
}

func TestAnsweringTargetIsNotRefusing(t *testing.T) {
	b, local, _ := newTwoZoneFixture(t)
	b.core.Decide(start, opening(1, 0))
	b.reportUntil(start, start.Add(reportPeriod))
	b.core.Decide(start.Add(2*reportPeriod), flowPacket(9, local.Token, 1))
	b.core.Decide(start.Add(2*reportPeriod), flowPacket(9, local.Token, 2))
	b.reportUntil(start.Add(reportPeriod), start.Add(4*reportPeriod))
	assert.Equal(t, local.ID, b.core.Decide(start.Add(4*reportPeriod), opening(2, 0)).Target.ID)
}

// During a stall the packets that show an acceptance wait in the socket.
func TestOpeningsDuringStallAreNotCounted(t *testing.T) {
	b, _, _ := newTwoZoneFixture(t)
	b.core.Decide(start.Add(time.Millisecond), opening(1, 0))
	evidence := b.core.Report(start.Add(time.Second), reportPeriod)
	assert.Empty(t, evidence.Openings)
	evidence = b.core.Report(start.Add(time.Second+reportPeriod), reportPeriod)
	assert.Empty(t, evidence.Openings)
	assert.Empty(t, evidence.Refused)
}

func TestAvoidedZoneKeepsOpenFlowsOnly(t *testing.T) {
	b, local, remote := newTwoZoneFixture(t)
	b.core.ApplyVerdicts(directory.Verdicts{AvoidedZones: []string{"north"}})
	assert.Equal(t, remote.ID, b.core.Decide(start, opening(2, 0)).Target.ID)
	assert.Equal(t, local.ID, b.core.Decide(start, flowPacket(1, local.Token, 1)).Target.ID)
	b.core.ApplyVerdicts(directory.Verdicts{AvoidedZones: []string{"north", "south"}})
	assert.Equal(t, local.ID, b.core.Decide(start, opening(3, 0)).Target.ID, "no other zone remains")
}

// Callers and zones may be far away.
func TestOpeningTimeoutAdaptsToRoundTrip(t *testing.T) {
	b, local, _ := newTwoZoneFixture(t)
	assert.Equal(t, minOpeningTimeout, b.core.openings.timeout())
	const way = 90 * time.Millisecond
	now := start
	for port := range uint16(40) {
		b.core.Decide(now, opening(port+1, 0))
		b.core.Decide(now.Add(way), flowPacket(port+1, local.Token, 1))
		now = now.Add(reportPeriod)
		b.core.Report(now, reportPeriod)
	}
	assert.Greater(t, b.core.openings.timeout(), way)
	assert.LessOrEqual(t, b.core.openings.timeout(), maxOpeningTimeout)
	b.core.Decide(now, opening(100, 0))
	assert.Empty(t, b.core.Report(now.Add(way), reportPeriod).Refused, "the opening has not timed out")
}
