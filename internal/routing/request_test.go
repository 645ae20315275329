package routing

import (
	"net/netip"
	"testing"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	beamdoorv1 "github.com/beamdoor/beamdoor/api/beamdoor/v1"
	"github.com/beamdoor/beamdoor/internal/coapmsg"
	"github.com/beamdoor/beamdoor/internal/wire"
)

func TestRequestIsForwardedOnce(t *testing.T) {
	c := newCell(t, 4, 3)
	post := request(t, codes.POST, 1, nil)
	for id := range c.routers {
		c.send(id, callerAddress, post)
	}
	assert.Len(t, c.toTargets, 1, "the same request through every balancer is forwarded once")
	c.answerPacket(1, c.lastForwarded(), codes.Changed)
	assert.Equal(t, codes.Changed, c.lastCode())
	answers := len(c.toCallers)
	for id := range c.routers {
		c.send(id, callerAddress, post)
	}
	assert.Len(t, c.toTargets, 1)
	assert.Len(t, c.toCallers, answers+len(c.routers), "each retransmission gets the stored answer")
}

func TestRetransmissionIsForwardedToDeduplicatingTarget(t *testing.T) {
	c := newCell(t, 1, 1)
	c.service.Targets[0].DetectsDuplicates = true
	c.configure()
	post := request(t, codes.POST, 1, nil)
	c.send(1, callerAddress, post)
	c.send(1, callerAddress, post)
	assert.Len(t, c.toTargets, 2)
}

func TestNewOwnersDoNotForwardAgain(t *testing.T) {
	c := newCell(t, 4, 3)
	post := request(t, codes.POST, 1, nil)
	primary, backup, others := c.owners(callerAddress)
	c.send(primary, callerAddress, post)
	require.Len(t, c.toTargets, 1)
	c.disconnected[primary] = true
	c.changeView(backup, others[0], others[1])
	for _, id := range []uint32{backup, others[0], others[1]} {
		c.send(id, callerAddress, post)
	}
	assert.Len(t, c.toTargets, 1)
}

func TestLostRecordsYieldUnknownOutcomeUntilExpired(t *testing.T) {
	c := newCell(t, 4, 3)
	primary, backup, others := c.owners(callerAddress)
	c.send(primary, callerAddress, request(t, codes.POST, 1, nil))
	c.disconnected[primary], c.disconnected[backup] = true, true
	c.changeView(others...)
	c.send(others[0], callerAddress, request(t, codes.POST, 1, nil))
	assert.Equal(t, codes.GatewayTimeout, c.lastCode(), "neither forwarded again nor reported as not run")
	assert.Len(t, c.toTargets, 1)
	c.advance(15 * time.Second)
	c.send(others[0], callerAddress, request(t, codes.POST, 2, nil))
	assert.Len(t, c.toTargets, 2, "no earlier request can be retransmitted any more")
}

func TestDeadlineExpiryYieldsUnknownOutcome(t *testing.T) {
	c := newCell(t, 2, 1)
	c.send(1, callerAddress, request(t, codes.POST, 1, nil))
	c.advance(4900 * time.Millisecond)
	assert.Empty(t, c.toCallers)
	c.advance(300 * time.Millisecond)
	assert.Equal(t, codes.GatewayTimeout, c.lastCode())
}

func TestTargetDeathEndsPendingRequests(t *testing.T) {
	c := newCell(t, 2, 1)
	c.send(1, callerAddress, request(t, codes.POST, 1, nil))
	primary, _, _ := c.owners(callerAddress)
	dead := wire.Signals{Term: 1, Sequence: 1, Targets: []wire.TargetSignal{{TargetID: 100}}}
	c.execute(c.routers[primary].HandleSignals(c.now, dead))
	assert.Equal(t, codes.GatewayTimeout, c.lastCode())
}

func TestTargetRefusalIsRetriedOnce(t *testing.T) {
	c := newCell(t, 2, 3)
	for range 40 {
		c.routers[1].table.byID[1].retries.earn()
		c.routers[2].table.byID[1].retries.earn()
	}
	c.send(1, callerAddress, request(t, codes.POST, 1, nil))
	first := c.lastForwarded()
	c.answerPacket(1, first, codes.ServiceUnavailable)
	require.Len(t, c.toTargets, 2)
	assert.NotEqual(t, first.target, c.lastForwarded().target)
	assert.Empty(t, c.toCallers, "the caller does not receive the first refusal")
	c.answerPacket(2, c.lastForwarded(), codes.ServiceUnavailable)
	assert.Len(t, c.toTargets, 2, "at most two targets are tried")
	assert.Equal(t, codes.ServiceUnavailable, c.lastCode())
	c.send(2, callerAddress, request(t, codes.POST, 1, nil))
	assert.Len(t, c.toTargets, 2, "a retransmission of a refused request is not forwarded")
	assert.Equal(t, codes.ServiceUnavailable, c.lastCode())
}

func TestNoRetryWithoutBudget(t *testing.T) {
	c := newCell(t, 1, 3)
	c.send(1, callerAddress, request(t, codes.POST, 1, nil))
	c.answerPacket(1, c.lastForwarded(), codes.ServiceUnavailable)
	assert.Len(t, c.toTargets, 1)
	assert.Equal(t, codes.ServiceUnavailable, c.lastCode())
	assert.Equal(t, uint64(1), c.routers[1].Counters().RetriesDenied)
}

func TestRefusalDoesNotMoveAnsweredFlow(t *testing.T) {
	c := newCell(t, 1, 3)
	for range 40 {
		c.routers[1].table.byID[1].retries.earn()
	}
	c.send(1, callerAddress, request(t, codes.POST, 1, nil))
	c.answerPacket(1, c.lastForwarded(), codes.Changed)
	c.send(1, callerAddress, request(t, codes.POST, 2, nil))
	c.answerPacket(1, c.lastForwarded(), codes.ServiceUnavailable)
	assert.Len(t, c.toTargets, 2)
	assert.Equal(t, codes.ServiceUnavailable, c.lastCode())
}

func TestRequestThatWouldMissDeadlineIsRefused(t *testing.T) {
	c := newCell(t, 1, 1)
	router := c.routers[1]
	router.table.targets[100].serviceTime = 400 * time.Millisecond
	deadline := func(outgoing *message.Message) {
		outgoing.Options = message.Options{{ID: coapmsg.DeadlineOption, Value: []byte{0x03, 0xe8}}}
	}
	for i := int32(1); i <= 8; i++ {
		c.send(1, callerAddress, request(t, codes.POST, i, deadline))
	}
	assert.Len(t, c.toTargets, 4, "two slots answer four requests of 0.4 s each within 1 s")
	assert.Equal(t, codes.ServiceUnavailable, c.lastCode())
	parser := coapmsg.NewParser()
	require.NoError(t, parser.Parse(c.toCallers[len(c.toCallers)-1].payload))
	age, err := parser.Message.Options.GetUint32(message.MaxAge)
	require.NoError(t, err)
	assert.NotZero(t, age, "the refusal has a Max-Age")
}

func TestExpiredLeaseForwardsNothing(t *testing.T) {
	c := newCell(t, 3, 2)
	primary, _, _ := c.owners(callerAddress)
	c.disconnected[primary] = true
	c.advance(4 * time.Second)
	c.disconnected[primary] = false
	c.send(primary, callerAddress, request(t, codes.POST, 1, nil))
	assert.Empty(t, c.toTargets)
	assert.NotZero(t, c.routers[primary].Counters().WithoutLease)
}

func TestRelayWithOldViewIsRefused(t *testing.T) {
	c := newCell(t, 3, 2)
	primary, backup, _ := c.owners(callerAddress)
	packet := wire.PeerPacket{
		Kind: wire.PeerToBackup, Flags: wire.FlagUnsafe | wire.FlagCovered, From: primary, View: 0, ServiceID: 1, TargetID: 100, Attempt: 1,
		Caller: callerAddress, Payload: request(t, codes.POST, 1, nil),
	}
	c.execute(c.routers[backup].HandlePeerPacket(c.now, c.now, &packet))
	assert.Empty(t, c.toTargets)
	assert.Equal(t, uint64(1), c.routers[backup].Counters().OldViewRefused)
	packet.View = 1
	c.execute(c.routers[backup].HandlePeerPacket(c.now, c.now, &packet))
	assert.Len(t, c.toTargets, 1)
}

func TestStalePacketIsDropped(t *testing.T) {
	c := newCell(t, 1, 1)
	c.now = c.now.Add(time.Second)
	arrived := c.now.Add(-maxPacketAge - 1)
	c.execute(c.routers[1].HandleCallerPacket(c.now, arrived, bookingAddress, callerAddress, request(t, codes.POST, 1, nil)))
	assert.Empty(t, c.toTargets)
	assert.Equal(t, uint64(1), c.routers[1].Counters().PacketsTooOld)
}

func TestUnsafeRequestIsDroppedWhileBackupIsSilent(t *testing.T) {
	c := newCell(t, 4, 2)
	primary, backup, others := c.owners(callerAddress)
	c.disconnected[backup] = true
	c.send(primary, callerAddress, request(t, codes.POST, 1, nil))
	c.advance(700 * time.Millisecond)
	c.send(primary, callerAddress, request(t, codes.POST, 2, nil))
	assert.Equal(t, uint64(1), c.routers[primary].Counters().HeldForView)
	assert.Empty(t, c.toTargets)
	c.changeView(primary, others[0], others[1])
	c.send(primary, callerAddress, request(t, codes.POST, 2, nil))
	assert.Len(t, c.toTargets, 1, "the retransmission counts as the first attempt")
}

func TestDeciderReportsTimeoutAfterPartitionMoved(t *testing.T) {
	c := newCell(t, 4, 3)
	primary, backup, others := c.owners(callerAddress)
	c.send(primary, callerAddress, request(t, codes.POST, 1, nil))
	leaving := c.viewMember(primary)
	leaving.State = beamdoorv1.BalancerState_BALANCER_STATE_LEAVING
	c.view = &beamdoorv1.View{Cell: 1, Number: 2, Members: []*beamdoorv1.Balancer{leaving, c.viewMember(backup), c.viewMember(others[0]), c.viewMember(others[1])}}
	c.configure()
	c.advance(6 * time.Second)
	require.Len(t, c.toCallers, 1, "only one balancer answers the caller")
	assert.Equal(t, codes.GatewayTimeout, c.lastCode())
	for id := range c.routers {
		c.send(id, callerAddress, request(t, codes.POST, 1, nil))
	}
	assert.Len(t, c.toTargets, 1)
	assert.Equal(t, codes.GatewayTimeout, c.lastCode(), "the new owners have the outcome on record")
}

func TestBackupReportsTimeoutForDepartedDecider(t *testing.T) {
	c := newCell(t, 4, 3)
	primary, backup, others := c.owners(callerAddress)
	c.send(primary, callerAddress, request(t, codes.POST, 1, nil))
	c.disconnected[primary] = true
	c.changeView(backup, others[0], others[1])
	delete(c.routers, primary)
	c.advance(6 * time.Second)
	require.Len(t, c.toCallers, 1)
	assert.Equal(t, codes.GatewayTimeout, c.lastCode())
}

func TestFullLedgerRejectsRequests(t *testing.T) {
	c := newCell(t, 1, 1)
	c.routers[1].settings.LedgerLimit = 1
	c.send(1, callerAddress, request(t, codes.POST, 1, nil))
	c.send(1, callerAddress, request(t, codes.POST, 2, nil))
	assert.Len(t, c.toTargets, 1)
	assert.Equal(t, codes.GatewayTimeout, c.lastCode())
	c.advance(20 * time.Second)
	c.send(1, callerAddress, request(t, codes.POST, 3, nil))
	assert.Len(t, c.toTargets, 2, "expired records are deleted")
}

// Guards against a wait for lost records that restarts with each view, here for
// flows whose original owners are both lost and whose owners are now new members.
func TestViewChangesDoNotRestartLostRecordsWait(t *testing.T) {
	const firstJoiner = 20
	c := newCell(t, 6, 3)
	lostPrimary, lostBackup, remaining := c.owners(callerAddress)
	var affected []netip.AddrPort
	for i := range 2000 {
		primary, backup, _ := c.owners(numberedCaller(i))
		if primary == lostPrimary && backup == lostBackup {
			affected = append(affected, numberedCaller(i))
		}
	}
	c.disconnected[lostPrimary], c.disconnected[lostBackup] = true, true
	c.changeView(remaining...)
	for step := uint32(0); step < 4; step++ {
		c.advance(3 * time.Second)
		remaining = append(append([]uint32{}, remaining...), firstJoiner+step)
		c.changeView(remaining...)
	}
	c.advance(3 * time.Second)
	checked := 0
	for _, caller := range affected {
		primary, backup, _ := c.owners(caller)
		if primary < firstJoiner || backup < firstJoiner {
			continue
		}
		checked++
		before := len(c.toTargets)
		c.send(primary, caller, request(t, codes.POST, 1, nil))
		require.Equal(t, before+1, len(c.toTargets), "forwarded 15 s after the loss, regardless of later view changes")
		c.answerPacket(primary, c.lastForwarded(), codes.Changed)
	}
	assert.NotZero(t, checked)
}
