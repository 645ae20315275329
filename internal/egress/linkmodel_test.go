package egress

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/steer"
)

// The model: times of callers as on the users' protocol page, a link that holds about
// as much as that of a small machine.
const (
	modelStep      = time.Millisecond
	modelPacket    = 1200
	modelSize      = modelPacket + 68
	modelQueue     = 6000
	modelWindow    = 16
	modelBurst     = 3000
	modelDelay     = 4 * time.Millisecond
	modelResend    = 200 * time.Millisecond
	modelMaxResend = 1600 * time.Millisecond
	modelStated    = 250_000.0
	modelStart     = kernel.Instant(time.Minute)
)

// modelUpload is an upload of a caller. The caller knows up to where the target has
// all. When that rests it sends the first packet that is missing again, after a time
// that doubles, and once it moves on, all that it sent before and is not acknowledged,
// also what the target has.
type modelUpload struct {
	flow    steer.FlowKey
	dead    bool
	packets []modelPacketState
	// answers is the caller's acknowledgement.
	answers uint32
	// acked packets are acknowledged, next is the first that was never sent.
	acked, next int
	resendAt    kernel.Instant
	wait        time.Duration
	recovering  bool
	ended       bool
}

type modelPacketState struct {
	sentAt     kernel.Instant
	receivedAt kernel.Instant
}

type modelWaiting struct {
	upload *modelUpload
	number int
}

// linkModel is a node whose link is paced by a learner, with uploads over it.
type linkModel struct {
	random  *rand.Rand
	learner *RateEstimator
	now     kernel.Instant
	// link is the rate of the link, and lossShare what is lost on it by chance.
	link      float64
	lossShare float64
	// deadShare is the share of uploads whose targets are dead.
	deadShare float64
	// uploads is the number of uploads at once, and pause that between two.
	uploads    int
	pause      time.Duration
	active     []*modelUpload
	starts     []kernel.Instant
	ports      uint16
	queue      []modelWaiting
	tokens     float64
	backlog    float64
	sent, lost int
	delivered  int
}

func newLinkModel(seed uint64, learner *RateEstimator) *linkModel {
	m := &linkModel{random: rand.New(rand.NewPCG(seed, 1)), learner: learner, now: modelStart, link: modelStated, uploads: 4}
	return m
}

// run lets time pass.
func (m *linkModel) run(span time.Duration) {
	for end := m.now.Add(span); m.now.Before(end); {
		m.now = m.now.Add(modelStep)
		m.startUploads()
		for _, upload := range m.active {
			m.sendDue(upload)
		}
		m.send()
		m.backlog = max(m.backlog-m.link*modelStep.Seconds(), 0)
	}
}

// lossesDuring returns the share of datagrams that were lost while time passed.
func (m *linkModel) lossesDuring(span time.Duration) float64 {
	sent, lost := m.sent, m.lost
	m.run(span)
	if m.sent == sent {
		return 0
	}
	return float64(m.lost-lost) / float64(m.sent-sent)
}

// meanRate returns the mean rate while time passes.
func (m *linkModel) meanRate(span time.Duration) float64 {
	total, steps := 0.0, 0
	for end := m.now.Add(span); m.now.Before(end); steps++ {
		m.run(modelStep)
		total += m.learner.Rate(m.now)
	}
	return total / float64(steps)
}

// runUntilReduced lets time pass until the rate has just been lowered, from when on it
// takes longest until it is back.
func (m *linkModel) runUntilReduced(t *testing.T) {
	t.Helper()
	before := m.learner.Reductions()
	for end := m.now.Add(4 * time.Second); m.learner.Reductions() == before; {
		require.True(t, m.now.Before(end), "the rate is lowered within 4 s")
		m.run(modelStep)
	}
}

// timeUntil lets time pass until the learned rate is a share of the stated one.
func (m *linkModel) timeUntil(share float64, limit time.Duration) time.Duration {
	begin := m.now
	for m.now.Sub(begin) < limit && m.learner.Rate(m.now) < share*modelStated {
		m.run(modelStep)
	}
	return m.now.Sub(begin)
}

func (m *linkModel) startUploads() {
	for len(m.starts) < m.uploads {
		m.starts = append(m.starts, m.now.Add(time.Duration(m.random.Int64N(int64(m.pause)+1))))
		m.active = append(m.active, nil)
	}
	for place, upload := range m.active {
		if upload != nil && upload.ended {
			m.active[place] = nil
			m.starts[place] = m.now.Add(time.Duration(m.random.Int64N(int64(2*m.pause) + 1)))
		}
		if m.active[place] == nil && !m.now.Before(m.starts[place]) {
			m.active[place] = m.newUpload()
		}
	}
}

func (m *linkModel) newUpload() *modelUpload {
	m.ports++
	return &modelUpload{
		flow:    m.flowOf(m.ports),
		packets: make([]modelPacketState, 20+m.random.IntN(30)),
		dead:    m.random.Float64() < m.deadShare,
		wait:    modelResend,
		answers: 1,
	}
}

// flowRecord returns the flow of a port.
func (*linkModel) flowOf(port uint16) steer.FlowKey {
	caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, 0, byte(port % 7)}), port)
	return steer.FlowKey{Caller: caller, Virtual: netip.MustParseAddrPort("198.18.0.1:80")}
}

// drive lets a caller send what it may send now.
func (m *linkModel) sendDue(u *modelUpload) {
	if u == nil || u.ended {
		return
	}
	before := u.acked
	for u.acked < len(u.packets) && u.packets[u.acked].receivedAt > 0 && !m.now.Before(u.packets[u.acked].receivedAt) {
		u.acked++
	}
	if u.acked > before || u.next == 0 {
		m.sendNew(u)
	}
	if u.acked < u.next && !m.now.Before(u.resendAt) {
		m.sendPacket(u, u.acked)
		u.recovering = true
		u.wait = min(2*u.wait, modelMaxResend)
		u.resendAt = m.now.Add(u.wait)
	}
	u.ended = u.acked == len(u.packets) || (u.dead && m.now.Sub(u.packets[0].sentAt) > 2*time.Second)
	if u.ended && !u.dead {
		u.answers++
		m.learner.RecordPacket(m.now, ReceivedPacket{Flow: u.flow, Acknowledged: u.answers})
	}
}

// sendNew lets a caller send more after the target has acknowledged some.
func (m *linkModel) sendNew(u *modelUpload) {
	u.wait = modelResend
	u.resendAt = m.now.Add(u.wait)
	var numbers []int
	for number := u.acked; u.recovering && number < u.next; number++ {
		if m.now.Sub(u.packets[number].sentAt) >= modelResend {
			numbers = append(numbers, number)
		}
	}
	u.recovering = false
	for ; u.next < min(u.acked+modelWindow, len(u.packets)); u.next++ {
		numbers = append(numbers, u.next)
	}
	m.random.Shuffle(len(numbers), func(i, j int) { numbers[i], numbers[j] = numbers[j], numbers[i] })
	for _, number := range numbers {
		m.sendPacket(u, number)
	}
}

func (m *linkModel) sendPacket(u *modelUpload, number int) {
	u.packets[number].sentAt = m.now
	m.arrive(u, number)
}

// arrive brings a packet to the node.
func (m *linkModel) arrive(u *modelUpload, number int) {
	duplicate := false
	for _, waiting := range m.queue {
		duplicate = duplicate || waiting.upload == u && waiting.number == number
	}
	m.learner.RecordPacket(m.now, ReceivedPacket{
		Flow:         u.flow,
		Sequence:     uint32(number * modelPacket),
		Acknowledged: u.answers,
		Data:         modelPacket,
	})
	if !duplicate {
		m.queue = append(m.queue, modelWaiting{upload: u, number: number})
	}
}

// send lets the node send what the learned rate allows.
func (m *linkModel) send() {
	m.tokens = min(m.tokens+m.learner.Rate(m.now)*modelStep.Seconds(), modelBurst)
	for len(m.queue) > 0 && m.tokens >= modelSize {
		next := m.queue[0]
		m.queue = m.queue[1:]
		m.tokens -= modelSize
		m.learner.RecordSent(m.now, SentDatagram{Flow: next.upload.flow, Sequence: uint32(next.number * modelPacket), Data: modelPacket, Size: modelSize})
		m.transmit(next)
	}
}

// carry puts a datagram on the link, which drops it when its queue is full.
func (m *linkModel) transmit(packet modelWaiting) {
	m.sent++
	if m.backlog+modelSize > modelQueue || m.random.Float64() < m.lossShare {
		m.lost++
		return
	}
	m.backlog += modelSize
	if packet.upload.dead {
		return
	}
	m.delivered += modelSize
	state := &packet.upload.packets[packet.number]
	if state.receivedAt == 0 {
		state.receivedAt = m.now.Add(modelDelay + time.Duration(m.backlog/m.link*float64(time.Second)))
	}
}
