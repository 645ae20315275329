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

// Parameters of the model: the callers' protocol timing and the link of a small
// machine.
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
	modelRate      = 250_000.0
	modelStart     = kernel.Instant(time.Minute)
)

// modelUpload is an upload of a caller, which learns how many packets the target has
// received without a gap. Without progress the caller retransmits the first missing
// packet with exponential backoff; on progress after that, the rest of its window.
type modelUpload struct {
	flow    steer.FlowKey
	dead    bool
	packets []modelPacketState
	// answers is the offset up to which the caller has acknowledged answers.
	answers uint32
	// acked is the number of acknowledged packets, and next the number of the first
	// packet that was not sent yet.
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

// linkModel simulates a node that paces uploads by a RateEstimator.
type linkModel struct {
	random    *rand.Rand
	estimator *RateEstimator
	now       kernel.Instant
	// link is the rate of the link in bytes per second, and lossShare the fraction of
	// datagrams lost at random.
	link      float64
	lossShare float64
	// deadShare is the fraction of uploads whose targets are dead.
	deadShare float64
	// uploads is the number of concurrent uploads, and pause the mean time from the end
	// of one to the start of the next.
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

func newLinkModel(seed uint64, estimator *RateEstimator) *linkModel {
	m := &linkModel{random: rand.New(rand.NewPCG(seed, 1)), estimator: estimator, now: modelStart, link: modelRate, uploads: 4}
	return m
}

// run advances the simulation.
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

// lossesDuring advances the simulation and returns the fraction of lost datagrams.
func (m *linkModel) lossesDuring(span time.Duration) float64 {
	sent, lost := m.sent, m.lost
	m.run(span)
	if m.sent == sent {
		return 0
	}
	return float64(m.lost-lost) / float64(m.sent-sent)
}

// meanRate advances the simulation and returns the mean rate.
func (m *linkModel) meanRate(span time.Duration) float64 {
	total, steps := 0.0, 0
	for end := m.now.Add(span); m.now.Before(end); steps++ {
		m.run(modelStep)
		total += m.estimator.Rate(m.now)
	}
	return total / float64(steps)
}

// runUntilReduced advances the simulation until the rate is reduced.
func (m *linkModel) runUntilReduced(t *testing.T) {
	t.Helper()
	before := m.estimator.Reductions()
	for end := m.now.Add(4 * time.Second); m.estimator.Reductions() == before; {
		require.True(t, m.now.Before(end), "the rate was not reduced within 4 s")
		m.run(modelStep)
	}
}

// timeUntil advances the simulation until the rate reaches a fraction of the configured
// one, or for limit, and returns the simulated time that this took.
func (m *linkModel) timeUntil(share float64, limit time.Duration) time.Duration {
	start := m.now
	for m.now.Sub(start) < limit && m.estimator.Rate(m.now) < share*modelRate {
		m.run(modelStep)
	}
	return m.now.Sub(start)
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

// flowOf returns the flow of a caller's port.
func (*linkModel) flowOf(port uint16) steer.FlowKey {
	caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, 0, byte(port % 7)}), port)
	return steer.FlowKey{Caller: caller, Virtual: netip.MustParseAddrPort("198.18.0.1:80")}
}

// sendDue sends the packets that are due for an upload.
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
		m.estimator.RecordPacket(m.now, ReceivedPacket{Flow: u.flow, Acknowledged: u.answers})
	}
}

// sendNew sends the packets that the window allows after progress, and retransmits the
// missing ones of a window in recovery, all in random order.
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

// arrive delivers a packet to the node, which queues it unless it is queued already.
func (m *linkModel) arrive(u *modelUpload, number int) {
	duplicate := false
	for _, waiting := range m.queue {
		duplicate = duplicate || waiting.upload == u && waiting.number == number
	}
	m.estimator.RecordPacket(m.now, ReceivedPacket{
		Flow:         u.flow,
		Sequence:     uint32(number * modelPacket),
		Acknowledged: u.answers,
		Data:         modelPacket,
	})
	if !duplicate {
		m.queue = append(m.queue, modelWaiting{upload: u, number: number})
	}
}

// send sends queued packets at the estimated rate.
func (m *linkModel) send() {
	m.tokens = min(m.tokens+m.estimator.Rate(m.now)*modelStep.Seconds(), modelBurst)
	for len(m.queue) > 0 && m.tokens >= modelSize {
		next := m.queue[0]
		m.queue = m.queue[1:]
		m.tokens -= modelSize
		m.estimator.RecordSent(m.now, SentDatagram{Flow: next.upload.flow, Sequence: uint32(next.number * modelPacket), Data: modelPacket, Size: modelSize})
		m.transmit(next)
	}
}

// transmit puts a datagram on the link, which drops it if its queue is full.
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
