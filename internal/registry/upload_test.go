package registry

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/steer"
)

// upload is a request of many packets, on a flow of its own unless flows are reused.
type upload struct {
	simulation *uploadSimulation
	node       *uploadNode
	caller     int
	key        steer.FlowKey
	token      directory.Token
	// acknowledged is the caller's last acknowledgement.
	acknowledged uint32
	// first is the sequence number of the first packet; it may wrap.
	first uint32
	// received are the packets that the target has, and confirmed those that the caller
	// knows it has.
	received, confirmed []bool
	sent                int
	resendAfter         time.Duration
	timer               int
	// retransmitted is set from a retransmission until the next acknowledgement.
	retransmitted bool
	ended         bool
}

func (u *upload) begin() {
	u.received = make([]bool, u.simulation.packets)
	u.confirmed = make([]bool, u.simulation.packets)
	u.sent = 0
	u.ended = false
	u.resendAfter = resendDelay
	u.fill()
	u.await()
}

// missing returns the first unconfirmed packet.
func (u *upload) missing() int {
	if at := slices.Index(u.confirmed, false); at >= 0 {
		return at
	}
	return len(u.confirmed)
}

// fill sends as many packets as the window allows.
func (u *upload) fill() {
	limit := min(u.missing()+uploadWindow, len(u.confirmed))
	for ; u.sent < limit; u.sent++ {
		u.send(u.sent)
	}
}

func (u *upload) send(number int) {
	b := u.simulation
	delay := time.Duration(0)
	if b.reorderDelay > 0 {
		delay = time.Duration(b.random.Int64N(int64(b.reorderDelay)))
	}
	b.schedule(delay, func() { u.deliver(number) })
}

// deliver passes a packet to the node and over its link to the target.
func (u *upload) deliver(number int) {
	b := u.simulation
	packet := steer.Packet{Flow: u.key, Token: u.token, Acknowledged: u.acknowledged, Size: uploadPacketSize, Sequence: u.first + uint32(number*uploadPacketSize)}
	if u.decide(packet) != steer.ActionForward || !b.linkAccepts(u.node, uploadPacketSize) || b.dead[u.token] {
		return
	}
	u.received[number] = true
	b.schedule(uploadRoundTrip, func() { u.acknowledge() })
}

// decide passes a packet to the node's core; a reset ends the request.
func (u *upload) decide(packet steer.Packet) steer.Action {
	decision := u.node.core.Decide(u.simulation.eventTime, packet)
	if decision.Action == steer.ActionReset && !u.ended {
		u.simulation.resets++
		u.end()
	}
	return decision.Action
}

// acknowledge tells the caller which packets the target has, and sends more.
func (u *upload) acknowledge() {
	if u.ended || slices.Equal(u.received, u.confirmed) {
		return
	}
	copy(u.confirmed, u.received)
	u.resendAfter = resendDelay
	if u.missing() == len(u.confirmed) {
		u.ended = true
		u.simulation.schedule(uploadAnswerDelay, u.answered)
		return
	}
	if u.retransmitted {
		u.retransmitted = false
		u.sendMissing()
	}
	u.fill()
	u.await()
}

func (u *upload) sendMissing() {
	for number := range u.sent {
		if !u.confirmed[number] {
			u.send(number)
		}
	}
}

// await starts the retransmission timer for the first missing packet.
func (u *upload) await() {
	u.timer++
	timer := u.timer
	u.simulation.schedule(u.resendAfter, func() {
		if u.ended || u.timer != timer {
			return
		}
		u.retransmitted = true
		u.send(u.missing())
		u.resendAfter = min(2*u.resendAfter, maxResendDelay)
		u.await()
	})
}

// answered lets the caller acknowledge the target's answer, unless the target has died, and
// then reuse or close the flow.
func (u *upload) answered() {
	b := u.simulation
	if b.dead[u.token] {
		u.ended = false
		return
	}
	b.finished++
	u.acknowledged += uploadAnswerSize
	packet := steer.Packet{Flow: u.key, Token: u.token, Acknowledged: u.acknowledged}
	u.decide(packet)
	reuses := b.reuseFlows || b.reuseSomeFlows && u.key.Caller.Port()%4 == 0 || b.reuseEvenCallers && u.caller%2 == 0
	if reuses {
		u.first += uint32(b.packets * uploadPacketSize)
		b.schedule(b.pause(), u.begin)
		return
	}
	packet.Closing = true
	u.decide(packet)
	u.end()
}

// end ends the request and schedules the caller's next one.
func (u *upload) end() {
	u.ended = true
	delete(u.simulation.uploads, u.key)
	u.simulation.schedule(u.simulation.pause(), func() { u.simulation.openFlow(u.node, u.caller) })
}

// During uploads callers acknowledge nothing and congested links drop packets, which must
// not make healthy targets look silent.
func TestUploadsOverCongestedLinksCauseNoFalseLoss(t *testing.T) {
	for seed := range uint64(5) {
		b := newUploadSimulation(newCluster(t, 100+seed, 3), 6, 4, 4)
		b.packets = 34
		b.reorderDelay = 3 * time.Millisecond
		b.limitLinks = true
		b.advance(20 * time.Second)
		assert.Zero(t, b.cluster.events[eventlog.TargetHeldLost], "seed %d", seed)
		assert.Greater(t, b.finished, 100, "seed %d", seed)
	}
}

// deathCase is a traffic pattern under which a target dies.
type deathCase struct {
	name         string
	packets      int
	reuseFlows   bool
	reorderDelay time.Duration
	callers      int
	limitLinks   bool
	// maxMean is the upper bound on the mean time from a death to the verdict.
	maxMean time.Duration
}

func TestLossDetectionTimeUnderUploads(t *testing.T) {
	const deaths = 20
	cases := []deathCase{
		{"requests over reused flows", 1, true, 0, 24, false, 800 * time.Millisecond},
		{"requests over new flows", 1, false, 0, 24, false, 800 * time.Millisecond},
		{"uploads in order", 34, false, 0, 24, false, 800 * time.Millisecond},
		{"uploads out of order", 34, false, 3 * time.Millisecond, 24, false, 800 * time.Millisecond},
		{"few uploads out of order", 34, false, 3 * time.Millisecond, 6, false, 900 * time.Millisecond},
		{"uploads over congested links", 34, false, 3 * time.Millisecond, 16, true, 1500 * time.Millisecond},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			var sum time.Duration
			for seed := range uint64(deaths) {
				sum += timeUntilVerdict(t, seed, test)
			}
			mean := sum / deaths
			t.Logf("%s: %v on average", test.name, mean)
			assert.Less(t, mean, test.maxMean)
		})
	}
}

// timeUntilVerdict returns the time from a target's death to the verdict.
func timeUntilVerdict(t *testing.T, seed uint64, test deathCase) time.Duration {
	b := newUploadSimulation(newCluster(t, 200+seed, 3), 6, 4, test.callers)
	b.packets = test.packets
	b.reorderDelay = test.reorderDelay
	b.reuseFlows = test.reuseFlows
	b.limitLinks = test.limitLinks
	b.advance(3*time.Second + time.Duration(b.random.Int64N(int64(time.Second))))
	require.Zero(t, b.cluster.events[eventlog.TargetHeldLost])
	token := b.targets[0].Token
	b.dead[token] = true
	died := b.now
	for !slices.Contains(b.leader.core.liveness.verdicts.Lost, token) {
		require.Less(t, b.now.Sub(died), 10*time.Second, "seed %d", seed)
		b.advance(stepTime)
	}
	return b.now.Sub(died)
}
