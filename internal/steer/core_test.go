package steer

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

const start = kernel.Instant(time.Minute)

var (
	bookingAddress = netip.MustParseAddrPort("198.18.0.1:8443")
	otherAddress   = netip.MustParseAddrPort("198.18.0.9:443")
)

// coreFixture is a core with the directory state from which it is updated.
type coreFixture struct {
	*testing.T
	core     *Core
	state    *directory.State
	position uint64
}

func newFixture(t *testing.T) *coreFixture {
	settings := DefaultSettings()
	settings.Zone = "north"
	settings.Chooser = &nearbyChoice{}
	settings.Random = rand.New(rand.NewPCG(1, 2))
	return &coreFixture{T: t, core: New(settings), state: directory.New()}
}

func (b *coreFixture) apply(now kernel.Instant, command directory.Command) {
	b.position++
	b.state.Apply(b.position, command)
	require.True(b, b.core.Update(now, b.state.UpdateSince(b.core.Revision())))
}

func (b *coreFixture) publish(now kernel.Instant, version uint64, routes ...directory.Route) {
	next := directory.Configuration{Version: version, Routes: routes}
	edit := directory.Difference(b.state.Configuration(), next)
	b.apply(now, directory.Command{Kind: directory.CommandPublish, Edit: edit})
}

func route(name string, address netip.AddrPort, backends ...directory.Backend) directory.Route {
	return directory.Route{Name: name, Address: address, Timeout: time.Second, Backends: backends}
}

func (b *coreFixture) target(now kernel.Instant, id, service, zone, address string, state directory.TargetState) directory.Target {
	b.apply(now, directory.Command{Kind: directory.CommandPutTarget, Target: directory.Target{
		ID: id, Service: service, Zone: zone, Slots: 2, State: state, Address: netip.MustParseAddrPort(address),
	}})
	target, _ := b.state.Target(id)
	return target
}

func caller(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), port)
}

func opening(port uint16, copies uint32) Packet {
	return Packet{Flow: FlowKey{Caller: caller(port), Virtual: bookingAddress}, Opening: true, Copy: copies}
}

func flowPacket(port uint16, token directory.Token, acknowledged uint32) Packet {
	return Packet{Flow: FlowKey{Caller: caller(port), Virtual: bookingAddress}, Token: token, Acknowledged: acknowledged}
}

func newBookingFixture(t *testing.T) *coreFixture {
	b := newFixture(t)
	b.publish(start, 1, route("r", bookingAddress, directory.Backend{Service: "booking", Weight: 1}))
	return b
}

func TestNewFlowsNeedAConfiguration(t *testing.T) {
	b := newFixture(t)
	assert.Equal(t, ReasonNotReady, b.core.Decide(start, opening(1, 0)).Reason)
	assert.False(t, b.core.IsReady())
	b.publish(start, 1, route("r", bookingAddress, directory.Backend{Service: "booking", Weight: 1}))
	assert.False(t, b.core.IsReady(), "no target")
	decision := b.core.Decide(start, opening(1, 0))
	assert.Equal(t, ActionReset, decision.Action)
	assert.Equal(t, ReasonNoTarget, decision.Reason)
	b.target(start, "i-1", "booking", "north", "10.0.0.1:1", directory.TargetReady)
	assert.True(t, b.core.IsReady())
}

func TestKnownTokenIsForwardedAtAnyNode(t *testing.T) {
	b := newBookingFixture(t)
	target := b.target(start, "i-1", "booking", "north", "10.0.0.1:1", directory.TargetReady)
	decision := b.core.Decide(start, flowPacket(9, target.Token, 5))
	assert.Equal(t, ActionForward, decision.Action)
	assert.Equal(t, target.ID, decision.Target.ID)
}

func TestPacketsWithoutKnownTargetAreNotForwarded(t *testing.T) {
	b := newBookingFixture(t)
	target := b.target(start, "i-1", "booking", "north", "10.0.0.1:1", directory.TargetReady)
	cases := []struct {
		name   string
		packet Packet
		reason Reason
		action Action
	}{
		{"unknown token", flowPacket(1, target.Token+1, 0), ReasonUnknownToken, ActionDrop},
		{"no token", flowPacket(1, 0, 0), ReasonNoToken, ActionDrop},
		{"forged", Packet{Forged: true, Opening: true}, ReasonForged, ActionDrop},
		{"no route", Packet{Flow: FlowKey{Caller: caller(1), Virtual: otherAddress}, Opening: true}, ReasonNoRoute, ActionReset},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			decision := b.core.Decide(start, test.packet)
			assert.Equal(t, test.reason, decision.Reason)
			assert.Equal(t, test.action, decision.Action)
		})
	}
}

func TestDrainingTargetKeepsOpenFlowsOnly(t *testing.T) {
	b := newBookingFixture(t)
	old := b.target(start, "i-1", "booking", "north", "10.0.0.1:1", directory.TargetReady)
	b.target(start, "i-2", "booking", "south", "10.0.0.2:1", directory.TargetReady)
	b.target(start, "i-1", "booking", "north", "10.0.0.1:1", directory.TargetDraining)
	for port := range uint16(50) {
		assert.Equal(t, "i-2", b.core.Decide(start, opening(port, 0)).Target.ID)
	}
	assert.Equal(t, ActionForward, b.core.Decide(start, flowPacket(9, old.Token, 5)).Action)
}

func TestFlowsOfEndedTargetAreReset(t *testing.T) {
	b := newBookingFixture(t)
	old := b.target(start, "i-1", "booking", "north", "10.0.0.1:1", directory.TargetReady)
	b.target(start, "i-2", "booking", "north", "10.0.0.1:1", directory.TargetReady)
	decision := b.core.Decide(start, flowPacket(9, old.Token, 5))
	assert.Equal(t, ActionReset, decision.Action)
	assert.Equal(t, ReasonEnded, decision.Reason)
	reset := flowPacket(9, old.Token, 5)
	reset.Reset = true
	assert.Equal(t, ActionDrop, b.core.Decide(start, reset).Action, "a reset gets no reply")
}

func TestLeavingTargetKeepsOpenFlowsOnly(t *testing.T) {
	b := newBookingFixture(t)
	target := b.target(start, "i-1", "booking", "north", "10.0.0.1:1", directory.TargetReady)
	b.apply(start, directory.Command{Kind: directory.CommandEndTarget, Target: directory.Target{ID: "i-1"}})
	assert.Equal(t, ActionForward, b.core.Decide(start, flowPacket(9, target.Token, 5)).Action)
	assert.Equal(t, ReasonNoTarget, b.core.Decide(start, opening(3, 0)).Reason)
}

func TestRetransmittedOpeningGoesToAnotherTarget(t *testing.T) {
	b := newBookingFixture(t)
	for _, address := range []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"} {
		b.target(start, "i-"+address, "booking", "north", address, directory.TargetReady)
	}
	tried := map[string]bool{}
	for copies := range uint32(3) {
		decision := b.core.Decide(start.Add(time.Duration(copies)*200*time.Millisecond), opening(1, copies))
		assert.False(t, tried[decision.Target.ID], "copy %d", copies)
		tried[decision.Target.ID] = true
	}
}

// A packet that a caller retransmits to a dead target must not count as its answer.
func TestRetransmissionIsNoAnswer(t *testing.T) {
	b := newBookingFixture(t)
	dead := b.target(start, "i-1", "booking", "north", "10.0.0.1:1", directory.TargetReady)
	b.core.Decide(start, opening(1, 0))
	b.core.Decide(start, flowPacket(1, dead.Token, 7))
	now := start.Add(time.Second)
	b.core.Decide(now, opening(2, 0))
	b.core.Decide(now.Add(200*time.Millisecond), opening(2, 1))
	b.target(now, "i-2", "booking", "south", "10.0.0.2:1", directory.TargetReady)
	b.core.Decide(now.Add(300*time.Millisecond), flowPacket(1, dead.Token, 7))
	decision := b.core.Decide(now.Add(400*time.Millisecond), opening(3, 0))
	assert.Equal(t, "i-2", decision.Target.ID)
	assert.Equal(t, 1, decision.Unresponsive)
	b.core.Decide(now.Add(500*time.Millisecond), flowPacket(1, dead.Token, 8))
	decision = b.core.Decide(now.Add(600*time.Millisecond), opening(4, 0))
	assert.Equal(t, "i-1", decision.Target.ID, "a new acknowledgement is an answer")
}

func TestSuspectedTargetsAreAvoidedWhileOthersRemain(t *testing.T) {
	b := newBookingFixture(t)
	first := b.target(start, "i-1", "booking", "north", "10.0.0.1:1", directory.TargetReady)
	second := b.target(start, "i-2", "booking", "south", "10.0.0.2:1", directory.TargetReady)
	b.core.ApplyVerdicts(directory.Verdicts{Suspects: []directory.Token{first.Token}})
	assert.Equal(t, "i-2", b.core.Decide(start, opening(1, 0)).Target.ID)
	b.core.ApplyVerdicts(directory.Verdicts{Suspects: []directory.Token{first.Token, second.Token}})
	assert.Equal(t, ActionForward, b.core.Decide(start, opening(2, 0)).Action)
}

func TestNewFlowsFollowTheWeights(t *testing.T) {
	b := newFixture(t)
	b.publish(start, 1, route("r", bookingAddress,
		directory.Backend{Service: "new", Weight: 10}, directory.Backend{Service: "old", Weight: 90}))
	b.target(start, "i-1", "new", "north", "10.0.0.1:1", directory.TargetReady)
	b.target(start, "i-2", "old", "north", "10.0.0.2:1", directory.TargetReady)
	share := 0
	const flows = 5000
	for port := range uint16(flows) {
		if b.core.Decide(start, opening(port, 0)).Target.Service == "new" {
			share++
		}
	}
	assert.InDelta(t, 0.1, float64(share)/flows, 0.02)
}

func TestServiceWithoutTargetsFallsBackToAnother(t *testing.T) {
	b := newFixture(t)
	b.publish(start, 1, route("r", bookingAddress,
		directory.Backend{Service: "empty", Weight: 90}, directory.Backend{Service: "off", Weight: 0}, directory.Backend{Service: "old", Weight: 10}))
	b.target(start, "i-1", "off", "north", "10.0.0.1:1", directory.TargetReady)
	b.target(start, "i-2", "old", "north", "10.0.0.2:1", directory.TargetReady)
	for port := range uint16(100) {
		assert.Equal(t, "old", b.core.Decide(start, opening(port, 0)).Target.Service, "a backend of weight 0 gets no flows")
	}
}

func TestOpenFlowsSurviveRouteChange(t *testing.T) {
	b := newBookingFixture(t)
	target := b.target(start, "i-1", "booking", "north", "10.0.0.1:1", directory.TargetReady)
	b.publish(start, 2, route("r", bookingAddress, directory.Backend{Service: "other", Weight: 1}))
	assert.Equal(t, ActionForward, b.core.Decide(start, flowPacket(1, target.Token, 1)).Action)
	assert.Equal(t, ReasonNoTarget, b.core.Decide(start, opening(2, 0)).Reason)
}

func TestStaleAndMismatchedUpdatesAreIgnored(t *testing.T) {
	b := newBookingFixture(t)
	first := b.state.UpdateSince(0)
	b.publish(start, 2, route("r", otherAddress, directory.Backend{Service: "booking", Weight: 1}))
	b.publish(start, 3, route("r", bookingAddress, directory.Backend{Service: "booking", Weight: 1}))
	assert.True(t, b.core.Update(start, first))
	assert.Equal(t, uint64(3), b.core.Version())
	fresh := New(b.core.settings)
	assert.False(t, fresh.Update(start, b.state.UpdateSince(2)), "an edit without its base version")
	assert.Equal(t, uint64(0), fresh.Revision())
}

func TestFlowsAreCountedUntilClosedOrIdle(t *testing.T) {
	b := newBookingFixture(t)
	target := b.target(start, "i-1", "booking", "north", "10.0.0.1:1", directory.TargetReady)
	for port := range uint16(4) {
		b.core.Decide(start, opening(port, 0))
	}
	b.core.Decide(start, flowPacket(0, target.Token, 1))
	closing := flowPacket(1, target.Token, 1)
	closing.Closing = true
	b.core.Decide(start, closing)
	assert.Equal(t, 3, b.core.Flows())
	b.core.Tick(start.Add(4 * time.Second))
	assert.Equal(t, 1, b.core.Flows(), "unopened flows expire early")
	b.core.Tick(start.Add(time.Minute))
	assert.Equal(t, 0, b.core.Flows())
	assert.Equal(t, 0, b.core.targets[target.Token].waitingFlows)
	assert.Empty(t, b.core.waiting)
}

func flowData(port uint16, token directory.Token, sequence uint32) Packet {
	packet := flowPacket(port, token, 1)
	packet.Sequence = sequence
	packet.Size = 100
	return packet
}

// reportedWeight returns the weight against a target in the next report.
func (b *coreFixture) reportedWeight(now kernel.Instant, token directory.Token) uint32 {
	const interval = 100 * time.Millisecond
	b.core.Report(now.Add(-interval), interval)
	for _, silent := range b.core.Report(now, interval).Silent {
		if silent.Token == token {
			return silent.Weight
		}
	}
	return 0
}

func TestRetransmittedDataIsEvidenceOfSilence(t *testing.T) {
	b := newBookingFixture(t)
	target := b.target(start, "i-1", "booking", "north", "10.0.0.1:1", directory.TargetReady)
	b.core.Decide(start, opening(1, 0))
	b.core.Decide(start, flowData(1, target.Token, 10))
	first := start.Add(200 * time.Millisecond)
	b.core.Decide(first, flowData(1, target.Token, 10))
	assert.Zero(t, b.reportedWeight(first, target.Token), "too early")
	assert.Equal(t, uint32(1), b.reportedWeight(start.Add(300*time.Millisecond), target.Token))
	second := start.Add(600 * time.Millisecond)
	b.core.Decide(second, flowData(1, target.Token, 10))
	assert.Equal(t, uint32(2), b.reportedWeight(second, target.Token))
}

// A caller need not acknowledge a one-packet response; a flow that idles after one
// retransmission must not make a live target look lost.
func TestIdleCallerIsNoEvidenceOfSilence(t *testing.T) {
	b := newBookingFixture(t)
	target := b.target(start, "i-1", "booking", "north", "10.0.0.1:1", directory.TargetReady)
	b.core.Decide(start, opening(1, 0))
	b.core.Decide(start, flowData(1, target.Token, 10))
	b.core.Decide(start.Add(200*time.Millisecond), flowData(1, target.Token, 10))
	assert.Zero(t, b.reportedWeight(start.Add(2*time.Second), target.Token))
}

func TestAnswerOnAnyFlowClearsEvidence(t *testing.T) {
	b := newBookingFixture(t)
	target := b.target(start, "i-1", "booking", "north", "10.0.0.1:1", directory.TargetReady)
	for port := range uint16(3) {
		b.core.Decide(start, opening(port, 0))
		b.core.Decide(start, flowData(port, target.Token, 10))
	}
	for port := range uint16(2) {
		b.core.Decide(start.Add(200*time.Millisecond), flowData(port, target.Token, 10))
	}
	now := start.Add(300 * time.Millisecond)
	assert.Equal(t, uint32(2), b.reportedWeight(now, target.Token))
	b.core.Decide(now, flowPacket(2, target.Token, 99))
	assert.Zero(t, b.reportedWeight(now, target.Token))
}

func TestStalledNodeReportsNoSilence(t *testing.T) {
	b := newBookingFixture(t)
	target := b.target(start, "i-1", "booking", "north", "10.0.0.1:1", directory.TargetReady)
	b.core.Decide(start, opening(1, 0))
	b.core.Decide(start, flowData(1, target.Token, 10))
	b.core.Report(start, 100*time.Millisecond)
	now := start.Add(4 * time.Second)
	b.core.Decide(now, flowData(1, target.Token, 10))
	assert.Empty(t, b.core.Report(now, 100*time.Millisecond).Silent)
}

// After a stall, data and its retransmissions are read together while answers went through
// other nodes. Flows of live targets must not be reset for it.
func TestBacklogAfterStallIsNoEvidence(t *testing.T) {
	const interval = 100 * time.Millisecond
	b := newBookingFixture(t)
	target := b.target(start, "i-1", "booking", "north", "10.0.0.1:1", directory.TargetReady)
	b.core.Decide(start, opening(1, 0))
	b.core.Report(start, interval)
	resumed := start.Add(3500 * time.Millisecond)
	for range 3 {
		b.core.Decide(resumed, flowData(1, target.Token, 10))
	}
	for now := resumed; now.Sub(resumed) <= time.Second; now = now.Add(interval) {
		assert.Empty(t, b.core.Report(now, interval).Silent, "%v after the stall", now.Sub(resumed))
	}
	later := resumed.Add(1100 * time.Millisecond)
	b.core.Report(later, interval)
	b.core.Decide(later, flowData(1, target.Token, 10))
	assert.NotEmpty(t, b.core.Report(later.Add(interval), interval).Silent, "new retransmissions count again")
}

func TestFlowsOfLostTargetAreResetOnce(t *testing.T) {
	b := newBookingFixture(t)
	target := b.target(start, "i-1", "booking", "north", "10.0.0.1:1", directory.TargetReady)
	b.core.Decide(start, opening(1, 0))
	b.core.Decide(start, flowPacket(1, target.Token, 77))
	b.core.Decide(start, opening(2, 0))
	lost := []directory.Token{target.Token}
	packets := b.core.ApplyVerdicts(directory.Verdicts{Lost: lost})
	require.Len(t, packets, 1, "unopened flows are not reset")
	assert.Equal(t, uint32(77), packets[0].Acknowledged)
	assert.Empty(t, b.core.ApplyVerdicts(directory.Verdicts{Lost: lost}))
	decision := b.core.Decide(start, flowPacket(5, target.Token, 3))
	assert.Equal(t, ActionReset, decision.Action)
	assert.Equal(t, ReasonLost, decision.Reason)
	b.core.ApplyVerdicts(directory.Verdicts{})
	assert.Equal(t, ActionForward, b.core.Decide(start, flowPacket(5, target.Token, 3)).Action)
}

func TestEarlyRetransmissionKeepsItsTarget(t *testing.T) {
	b := newBookingFixture(t)
	b.target(start, "i-1", "booking", "north", "10.0.0.1:1", directory.TargetReady)
	b.target(start, "i-2", "booking", "north", "10.0.0.2:1", directory.TargetReady)
	first := b.core.Decide(start, opening(1, 1))
	early := b.core.Decide(start.Add(50*time.Millisecond), opening(1, 2))
	assert.Equal(t, first.Target.ID, early.Target.ID)
	late := b.core.Decide(start.Add(200*time.Millisecond), opening(1, 2))
	assert.NotEqual(t, first.Target.ID, late.Target.ID)
}

// A target restarts under its ID, at the same or another address. Packets of old flows are
// reset and never reach the new process, which gets new flows.
func TestFlowsOfRestartedTargetAreReset(t *testing.T) {
	for _, address := range []string{"10.0.0.1:1", "10.0.0.2:1"} {
		b := newBookingFixture(t)
		register := func(startedAt uint64, address string, state directory.TargetState) directory.Target {
			b.apply(start, directory.Command{Kind: directory.CommandPutTarget, Target: directory.Target{
				ID: "i-1", StartTime: startedAt, Service: "booking", Zone: "north", Slots: 2, State: state, Address: netip.MustParseAddrPort(address),
			}})
			target, _ := b.state.Target("i-1")
			return target
		}
		first := register(100, "10.0.0.1:1", directory.TargetReady)
		require.Equal(t, ActionForward, b.core.Decide(start, flowPacket(9, first.Token, 5)).Action)
		register(100, "10.0.0.1:1", directory.TargetDraining)
		second := register(200, address, directory.TargetReady)
		assert.Empty(t, b.core.ResetUnanswered(), "a caller that does not wait is reset at its next packet")
		decision := b.core.Decide(start, flowPacket(9, first.Token, 6))
		assert.Equal(t, []any{ActionReset, ReasonEnded}, []any{decision.Action, decision.Reason})
		placed := b.core.Decide(start, opening(3, 0))
		assert.Equal(t, ActionForward, placed.Action)
		assert.Equal(t, second.Token, placed.Target.Token)
		assert.Equal(t, address, placed.Target.Address.String())
	}
}

// The flow of a caller that waits while its target restarts is reset at once, and only once.
func TestWaitingFlowsOfEndedTargetAreResetOnce(t *testing.T) {
	b := newBookingFixture(t)
	first := b.target(start, "i-1", "booking", "north", "10.0.0.1:1", directory.TargetReady)
	b.target(start, "i-3", "booking", "north", "10.0.0.3:1", directory.TargetReady)
	request := flowPacket(9, first.Token, 5)
	request.Size = 100
	for _, after := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		require.Equal(t, ActionForward, b.core.Decide(start.Add(after), request).Action)
	}
	assert.Empty(t, b.core.ResetUnanswered(), "the target has not ended")
	b.target(start.Add(time.Second), "i-2", "booking", "north", "10.0.0.1:1", directory.TargetReady)
	packets := b.core.ResetUnanswered()
	require.Len(t, packets, 1)
	assert.Equal(t, Packet{Flow: request.Flow, Token: first.Token, Acknowledged: request.Acknowledged}, packets[0])
	assert.Empty(t, b.core.ResetUnanswered())
}
