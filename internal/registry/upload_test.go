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

// upload is a request of many packets over a flow of its own.
type upload struct {
	bench *uploadSimulation
	node  *uploadNode
	key   steer.FlowKey
	token directory.Token
	// acknowledged is the caller's last acknowledgement.
	acknowledged uint32
	// first is the position of the first packet; positions wrap.
	first uint32
	// got tells which packets the target has, and known which the caller knows of.
	got, known []bool
	sent       int
	rest       time.Duration
	rests      int
	// probed is set after a packet that was sent again until the next acknowledgement.
	probed bool
	ended  bool
}

func (u *upload) begin() {
	u.got = make([]bool, u.bench.packets)
	u.known = make([]bool, u.bench.packets)
	u.sent = 0
	u.ended = false
	u.rest = resendDelay
	u.fill()
	u.await()
}

// missing returns the first packet without an acknowledgement.
func (u *upload) missing() int {
	if at := slices.Index(u.known, false); at >= 0 {
		return at
	}
	return len(u.known)
}

// fill sends what the window takes.
func (u *upload) fill() {
	limit := min(u.missing()+uploadWindow, len(u.known))
	for ; u.sent < limit; u.sent++ {
		u.send(u.sent)
	}
}

func (u *upload) send(number int) {
	b := u.bench
	late := time.Duration(0)
	if b.swap > 0 {
		late = time.Duration(b.random.Int64N(int64(b.swap)))
	}
	b.after(late, func() { u.pass(number) })
}

// pass lets a packet come to the node, and over its link to the target.
func (u *upload) pass(number int) {
	b := u.bench
	packet := steer.Packet{Flow: u.key, Token: u.token, Acknowledged: u.acknowledged, Size: uploadPacket, Sequence: u.first + uint32(number*uploadPacket)}
	if u.decide(packet) != steer.ActionForward || !b.admits(u.node, uploadPacket) || b.dead[u.token] {
		return
	}
	u.got[number] = true
	b.after(uploadRoundTrip, func() { u.acknowledge() })
}

// decide gives the node a packet; a reset ends the request.
func (u *upload) decide(packet steer.Packet) steer.Action {
	decision := u.node.core.Decide(u.bench.moment, packet)
	if decision.Action == steer.ActionReset && !u.ended {
		u.bench.resets++
		u.end()
	}
	return decision.Action
}

// acknowledge tells the caller what the target has.
func (u *upload) acknowledge() {
	if u.ended || slices.Equal(u.got, u.known) {
		return
	}
	copy(u.known, u.got)
	u.rest = resendDelay
	if u.missing() == len(u.known) {
		u.ended = true
		u.bench.after(uploadAnswerDelay, u.answered)
		return
	}
	if u.probed {
		u.probed = false
		u.sendMissing()
	}
	u.fill()
	u.await()
}

func (u *upload) sendMissing() {
	for number := range u.sent {
		if !u.known[number] {
			u.send(number)
		}
	}
}

// await waits for the next acknowledgement, and sends the first missing packet again.
func (u *upload) await() {
	u.rests++
	rests := u.rests
	u.bench.after(u.rest, func() {
		if u.ended || u.rests != rests {
			return
		}
		u.probed = true
		u.send(u.missing())
		u.rest = min(2*u.rest, maxResendDelay)
		u.await()
	})
}

// answered lets the caller acknowledge the target's answer.
func (u *upload) answered() {
	b := u.bench
	if b.dead[u.token] {
		u.ended = false
		return
	}
	b.finished++
	u.acknowledged += uploadAnswerSize
	packet := steer.Packet{Flow: u.key, Token: u.token, Acknowledged: u.acknowledged}
	u.decide(packet)
	if b.kept || b.mixed && u.key.Caller.Port()%4 == 0 {
		u.first += uint32(b.packets * uploadPacket)
		b.after(b.pause(), u.begin)
		return
	}
	packet.Closing = true
	u.decide(packet)
	u.end()
}

// end lets the caller begin its next request after a pause.
func (u *upload) end() {
	u.ended = true
	u.bench.after(u.bench.pause(), func() { u.bench.open(u.node) })
}

// Callers that send much data acknowledge nothing meanwhile, and narrow links drop
// part of what they send. Living targets were held for lost hundreds of times a day.
func TestUploadsOverNarrowLinksDoNotMakeLivingTargetsLost(t *testing.T) {
	for seed := range uint64(5) {
		b := newUploadSimulation(newCluster(t, 100+seed, 3), 6, 4, 4)
		b.packets = 34
		b.swap = 3 * time.Millisecond
		b.narrow = true
		b.pass(20 * time.Second)
		assert.Zero(t, b.cluster.events[eventlog.TargetHeldLost], "seed %d", seed)
		assert.Greater(t, b.finished, 100, "seed %d", seed)
	}
}

// deathCase is a way in which callers use a target that dies.
type deathCase struct {
	name    string
	packets int
	kept    bool
	swap    time.Duration
	callers int
	narrow  bool
	// within is the longest mean time from a death to the verdict.
	within time.Duration
}

func TestADeadTargetIsFoundAsFastUnderUploads(t *testing.T) {
	const deaths = 20
	cases := []deathCase{
		{"requests over kept flows", 1, true, 0, 24, false, 800 * time.Millisecond},
		{"requests over new flows", 1, false, 0, 24, false, 800 * time.Millisecond},
		{"uploads in order", 34, false, 0, 24, false, 800 * time.Millisecond},
		{"uploads out of order", 34, false, 3 * time.Millisecond, 24, false, 800 * time.Millisecond},
		{"few uploads out of order", 34, false, 3 * time.Millisecond, 6, false, 900 * time.Millisecond},
		{"uploads over narrow links", 34, false, 3 * time.Millisecond, 16, true, 1500 * time.Millisecond},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			var sum time.Duration
			for seed := range uint64(deaths) {
				sum += timeUntilVerdict(t, seed, test)
			}
			mean := sum / deaths
			t.Logf("%s: %v on average", test.name, mean)
			assert.Less(t, mean, test.within)
		})
	}
}

// timeUntilVerdict returns the time from a target's death to the verdict about it.
func timeUntilVerdict(t *testing.T, seed uint64, test deathCase) time.Duration {
	b := newUploadSimulation(newCluster(t, 200+seed, 3), 6, 4, test.callers)
	b.packets = test.packets
	b.swap = test.swap
	b.kept = test.kept
	b.narrow = test.narrow
	b.pass(3*time.Second + time.Duration(b.random.Int64N(int64(time.Second))))
	require.Zero(t, b.cluster.events[eventlog.TargetHeldLost])
	token := b.targets[0].Token
	b.dead[token] = true
	died := b.now
	for !slices.Contains(b.leader.core.liveness.verdicts.Lost, token) {
		require.Less(t, b.now.Sub(died), 10*time.Second, "seed %d", seed)
		b.pass(stepTime)
	}
	return b.now.Sub(died)
}
