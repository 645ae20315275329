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
	assert.Len(t, c.toTargets, 1, "the same request through every balancer")
	c.answer(1, c.last(), codes.Changed)
	assert.Equal(t, codes.Changed, c.lastCode())
	answers := len(c.toCallers)
	for id := range c.routers {
		c.send(id, callerAddress, post)
	}
	assert.Len(t, c.toTargets, 1)
	assert.Len(t, c.toCallers, answers+len(c.routers), "a retransmission gets the kept answer")
}

func TestRequestGoesAgainToATargetThatDetectsDuplicates(t *testing.T) {
	c := newCell(t, 1, 1)
	c.service.Targets[0].DetectsDuplicates = true
	c.configure()
	post := request(t, codes.POST, 1, nil)
	c.send(1, callerAddress, post)
	c.send(1, callerAddress, post)
	assert.Len(t, c.toTargets, 2)
}

func TestSuccessorsDoNotForwardAgain(t *testing.T) {
	c := newCell(t, 4, 3)
	post := request(t, codes.POST, 1, nil)
	primary, backup, others := c.owners(callerAddress)
	c.send(primary, callerAddress, post)
	require.Len(t, c.toTargets, 1)
	c.cut[primary] = true
	c.changeView(backup, others[0], others[1])
	for _, id := range []uint32{backup, others[0], others[1]} {
		c.send(id, callerAddress, post)
	}
	assert.Len(t, c.toTargets, 1)
}

func TestLostHistoryEndsAsUnknownUntilItIsTooOld(t *testing.T) {
	c := newCell(t, 4, 3)
	primary, backup, others := c.owners(callerAddress)
	c.send(primary, callerAddress, request(t, codes.POST, 1, nil))
	c.cut[primary], c.cut[backup] = true, true
	c.changeView(others...)
	c.send(others[0], callerAddress, request(t, codes.POST, 1, nil))
	assert.Equal(t, codes.GatewayTimeout, c.lastCode(), "neither run again nor said to be not run")
	assert.Len(t, c.toTargets, 1)
	c.pass(15 * time.Second)
	c.send(others[0], callerAddress, request(t, codes.POST, 2, nil))
	assert.Len(t, c.toTargets, 2, "no earlier request can come any more")
}

func TestDeadlineEndsAsUnknownAtOnce(t *testing.T) {
	c := newCell(t, 2, 1)
	c.send(1, callerAddress, request(t, codes.POST, 1, nil))
	c.pass(4900 * time.Millisecond)
	assert.Empty(t, c.toCallers)
	c.pass(300 * time.Millisecond)
	assert.Equal(t, codes.GatewayTimeout, c.lastCode())
}

func TestTargetThatDiesEndsItsRequestsAtOnce(t *testing.T) {
	c := newCell(t, 2, 1)
	c.send(1, callerAddress, request(t, codes.POST, 1, nil))
	primary, _, _ := c.owners(callerAddress)
	dead := wire.Signals{Term: 1, Sequence: 1, Targets: []wire.TargetSignal{{TargetID: 100}}}
	c.carryOut(c.routers[primary].HandleSignals(c.now, dead))
	assert.Equal(t, codes.GatewayTimeout, c.lastCode())
}

func TestRefusalOfATargetIsRetriedElsewhereOnce(t *testing.T) {
	c := newCell(t, 2, 3)
	for range 40 {
		c.routers[1].table.byID[1].retries.earn()
		c.routers[2].table.byID[1].retries.earn()
	}
	c.send(1, callerAddress, request(t, codes.POST, 1, nil))
	first := c.last()
	c.answer(1, first, codes.ServiceUnavailable)
	require.Len(t, c.toTargets, 2)
	assert.NotEqual(t, first.target, c.last().target)
	assert.Empty(t, c.toCallers, "the caller has not heard of the refusal")
	c.answer(2, c.last(), codes.ServiceUnavailable)
	assert.Len(t, c.toTargets, 2, "two targets at most")
	assert.Equal(t, codes.ServiceUnavailable, c.lastCode())
	c.send(2, callerAddress, request(t, codes.POST, 1, nil))
	assert.Len(t, c.toTargets, 2, "a refused request never runs later")
	assert.Equal(t, codes.ServiceUnavailable, c.lastCode())
}

func TestRetriesStopWithoutBudget(t *testing.T) {
	c := newCell(t, 1, 3)
	c.send(1, callerAddress, request(t, codes.POST, 1, nil))
	c.answer(1, c.last(), codes.ServiceUnavailable)
	assert.Len(t, c.toTargets, 1)
	assert.Equal(t, codes.ServiceUnavailable, c.lastCode())
	assert.Equal(t, uint64(1), c.routers[1].Counters().RetriesDenied)
}

func TestAnsweredFlowIsNotMovedByARefusal(t *testing.T) {
	c := newCell(t, 1, 3)
	for range 40 {
		c.routers[1].table.byID[1].retries.earn()
	}
	c.send(1, callerAddress, request(t, codes.POST, 1, nil))
	c.answer(1, c.last(), codes.Changed)
	c.send(1, callerAddress, request(t, codes.POST, 2, nil))
	c.answer(1, c.last(), codes.ServiceUnavailable)
	assert.Len(t, c.toTargets, 2)
	assert.Equal(t, codes.ServiceUnavailable, c.lastCode())
}

func TestWorkThatCannotFinishIsRefusedBeforeItIsForwarded(t *testing.T) {
	c := newCell(t, 1, 1)
	router := c.routers[1]
	router.table.targets[100].serviceTime = 400 * time.Millisecond
	deadline := func(made *message.Message) {
		made.Options = message.Options{{ID: coapmsg.DeadlineOption, Value: []byte{0x03, 0xe8}}}
	}
	for i := int32(1); i <= 8; i++ {
		c.send(1, callerAddress, request(t, codes.POST, i, deadline))
	}
	assert.Len(t, c.toTargets, 4, "two slots answer four requests of 0.4 s within 1 s")
	assert.Equal(t, codes.ServiceUnavailable, c.lastCode())
	parser := coapmsg.NewParser()
	require.NoError(t, parser.Parse(c.toCallers[len(c.toCallers)-1].payload))
	age, err := parser.Message.Options.GetUint32(message.MaxAge)
	require.NoError(t, err)
	assert.NotZero(t, age, "the caller hears when to come back")
}

func TestLapsedLeaseDecidesNothing(t *testing.T) {
	c := newCell(t, 3, 2)
	primary, _, _ := c.owners(callerAddress)
	c.cut[primary] = true
	c.pass(4 * time.Second)
	c.cut[primary] = false
	c.send(primary, callerAddress, request(t, codes.POST, 1, nil))
	assert.Empty(t, c.toTargets)
	assert.NotZero(t, c.routers[primary].Counters().WithoutLease)
}

func TestOldViewIsRefused(t *testing.T) {
	c := newCell(t, 3, 2)
	primary, backup, _ := c.owners(callerAddress)
	packet := wire.PeerPacket{
		Kind: wire.PeerToBackup, Flags: wire.FlagUnsafe | wire.FlagCovered, From: primary, View: 0, ServiceID: 1, TargetID: 100, Attempt: 1,
		Caller: callerAddress, Payload: request(t, codes.POST, 1, nil),
	}
	c.carryOut(c.routers[backup].HandlePeerPacket(c.now, c.now, &packet))
	assert.Empty(t, c.toTargets)
	assert.Equal(t, uint64(1), c.routers[backup].Counters().OldViewRefused)
	packet.View = 1
	c.carryOut(c.routers[backup].HandlePeerPacket(c.now, c.now, &packet))
	assert.Len(t, c.toTargets, 1)
}

func TestPacketThatWaitedTooLongIsDropped(t *testing.T) {
	c := newCell(t, 1, 1)
	c.now = c.now.Add(time.Second)
	arrived := c.now.Add(-maxPacketAge - 1)
	c.carryOut(c.routers[1].HandleCallerPacket(c.now, arrived, bookingAddress, callerAddress, request(t, codes.POST, 1, nil)))
	assert.Empty(t, c.toTargets)
	assert.Equal(t, uint64(1), c.routers[1].Counters().PacketsTooOld)
}

func TestRequestWaitsForTheViewWhileItsBackupIsSilent(t *testing.T) {
	c := newCell(t, 4, 2)
	primary, backup, others := c.owners(callerAddress)
	c.cut[backup] = true
	c.send(primary, callerAddress, request(t, codes.POST, 1, nil))
	c.pass(700 * time.Millisecond)
	c.send(primary, callerAddress, request(t, codes.POST, 2, nil))
	assert.Equal(t, uint64(1), c.routers[primary].Counters().HeldForView)
	assert.Empty(t, c.toTargets)
	c.changeView(primary, others[0], others[1])
	c.send(primary, callerAddress, request(t, codes.POST, 2, nil))
	assert.Len(t, c.toTargets, 1, "the retransmission is a first attempt")
}

func TestDeciderSpeaksAlsoWhenThePartitionHasMoved(t *testing.T) {
	c := newCell(t, 4, 3)
	primary, backup, others := c.owners(callerAddress)
	c.send(primary, callerAddress, request(t, codes.POST, 1, nil))
	leaving := c.member(primary)
	leaving.State = beamdoorv1.BalancerState_BALANCER_STATE_LEAVING
	c.view = &beamdoorv1.View{Cell: 1, Number: 2, Members: []*beamdoorv1.Balancer{leaving, c.member(backup), c.member(others[0]), c.member(others[1])}}
	c.configure()
	c.pass(6 * time.Second)
	require.Len(t, c.toCallers, 1, "one balancer speaks")
	assert.Equal(t, codes.GatewayTimeout, c.lastCode())
	for id := range c.routers {
		c.send(id, callerAddress, request(t, codes.POST, 1, nil))
	}
	assert.Len(t, c.toTargets, 1)
	assert.Equal(t, codes.GatewayTimeout, c.lastCode(), "the new owners know how it ended")
}

func TestBackupSpeaksForADeciderThatIsGone(t *testing.T) {
	c := newCell(t, 4, 3)
	primary, backup, others := c.owners(callerAddress)
	c.send(primary, callerAddress, request(t, codes.POST, 1, nil))
	c.cut[primary] = true
	c.changeView(backup, others[0], others[1])
	delete(c.routers, primary)
	c.pass(6 * time.Second)
	require.Len(t, c.toCallers, 1)
	assert.Equal(t, codes.GatewayTimeout, c.lastCode())
}

func TestFullLedgerEndsRequestsWithoutForwarding(t *testing.T) {
	c := newCell(t, 1, 1)
	c.routers[1].settings.LedgerLimit = 1
	c.send(1, callerAddress, request(t, codes.POST, 1, nil))
	c.send(1, callerAddress, request(t, codes.POST, 2, nil))
	assert.Len(t, c.toTargets, 1)
	assert.Equal(t, codes.GatewayTimeout, c.lastCode())
	c.pass(20 * time.Second)
	c.send(1, callerAddress, request(t, codes.POST, 3, nil))
	assert.Len(t, c.toTargets, 2, "records are forgotten in time")
}

// Owners that change again while records are lost do not begin to wait anew:
// the test follows a flow whose first owners were both lost, and whose owners
// in the end are both balancers that joined one by one since.
func TestLostHistoryIsNotCountedAnewWithEachView(t *testing.T) {
	const firstJoiner = 20
	c := newCell(t, 6, 3)
	lostPrimary, lostBackup, left := c.owners(callerAddress)
	var lost []netip.AddrPort
	for i := range 2000 {
		primary, backup, _ := c.owners(callerNumber(i))
		if primary == lostPrimary && backup == lostBackup {
			lost = append(lost, callerNumber(i))
		}
	}
	c.cut[lostPrimary], c.cut[lostBackup] = true, true
	c.changeView(left...)
	for step := uint32(0); step < 4; step++ {
		c.pass(3 * time.Second)
		left = append(append([]uint32{}, left...), firstJoiner+step)
		c.changeView(left...)
	}
	c.pass(3 * time.Second)
	tried := 0
	for _, caller := range lost {
		primary, backup, _ := c.owners(caller)
		if primary < firstJoiner || backup < firstJoiner {
			continue
		}
		tried++
		before := len(c.toTargets)
		c.send(primary, caller, request(t, codes.POST, 1, nil))
		require.Equal(t, before+1, len(c.toTargets), "15 s after the loss, whatever the views since")
		c.answer(primary, c.last(), codes.Changed)
	}
	assert.NotZero(t, tried)
}
