package edge

import (
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/egress"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/steer"
)

// plainFormat has a header with the caller's port, the sequence number and a kind.
type plainFormat struct{}

var _ Format = plainFormat{}

const (
	plainHead    = 7
	plainOpening = 1
	plainToken   = 77
	windowData   = 1200
	windowCount  = 16
	// testTimeout is the time after which a test counts as hung, with a margin for stalls
	// of an overloaded machine.
	testTimeout = 20 * time.Second
)

var plainRoute = netip.MustParseAddrPort("198.18.0.1:443")

func plainCaller(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port)
}

func plainDatagram(port uint16, sequence uint32, kind byte, data int) []byte {
	datagram := binary.BigEndian.AppendUint16(nil, port)
	datagram = binary.BigEndian.AppendUint32(datagram, sequence)
	return append(append(datagram, kind), make([]byte, data)...)
}

func (plainFormat) PluginID() kernel.PluginID { return FormatNamespace + ".plain" }

func (plainFormat) Decode(datagram []byte) (steer.Packet, bool) {
	if len(datagram) < plainHead {
		return steer.Packet{}, false
	}
	return steer.Packet{
		Flow:     steer.FlowKey{Caller: plainCaller(binary.BigEndian.Uint16(datagram)), Virtual: plainRoute},
		Sequence: binary.BigEndian.Uint32(datagram[2:]),
		Opening:  datagram[plainHead-1] == plainOpening,
		Token:    plainToken,
		Size:     len(datagram) - plainHead,
	}, true
}

func (plainFormat) Forward(buffer, datagram []byte, _ directory.Target) []byte {
	return append(buffer, datagram...)
}

func (plainFormat) Reset(buffer []byte, packet steer.Packet, _ uint16) ([]byte, netip.AddrPort) {
	return append(buffer, "reset"...), packet.Flow.Caller
}

// recordingTarget is a target that records received datagrams.
type recordingTarget struct {
	socket *net.UDPConn

	mutex     sync.Mutex
	times     []time.Time
	sequences []uint32
}

func newRecordingTarget(t *testing.T) *recordingTarget {
	t.Helper()
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	require.NoError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	s := &recordingTarget{socket: socket}
	go s.read()
	return s
}

func (s *recordingTarget) address() netip.AddrPort {
	return s.socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

func (s *recordingTarget) read() {
	buffer := make([]byte, maxDatagram)
	for {
		size, err := s.socket.Read(buffer)
		if err != nil {
			return
		}
		s.mutex.Lock()
		s.times = append(s.times, time.Now())
		if size >= plainHead {
			s.sequences = append(s.sequences, binary.BigEndian.Uint32(buffer[2:]))
		}
		s.mutex.Unlock()
	}
}

func (s *recordingTarget) received() ([]time.Time, []uint32) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Clone(s.times), slices.Clone(s.sequences)
}

// logBuffer is an in-memory log that is safe for concurrent use.
type logBuffer struct {
	mutex sync.Mutex
	text  strings.Builder
}

func (l *logBuffer) Write(line []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.text.Write(line)
}

func (l *logBuffer) String() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.text.String()
}

// startSender starts the packet path of a node with one route and one target.
func startSender(t *testing.T, link egress.Link, target netip.AddrPort) (*Process, *logBuffer) {
	t.Helper()
	log := &logBuffer{}
	process := NewProcess(Settings{
		Name: "edge-1", Zone: "north", PacketAddress: "127.0.0.1:0", Link: link, Format: plainFormat{}, Core: steer.DefaultSettings(),
	}, eventlog.New(log, "edge-1"))
	require.NoError(t, process.listen())
	process.spawn(process.runCore)
	process.spawn(process.runTicker)
	go process.readPackets()
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("sender state: %+v", readSenderState(t, process))
		}
		close(process.stopped)
		_ = process.socket.Close()
		process.inputs.Close()
		process.group.Wait()
	})
	backends := []directory.Backend{{Service: "booking", Weight: 1}}
	route := directory.Route{Name: "upload", Address: plainRoute, Backends: backends, Timeout: time.Minute, Urgency: 2}
	answer := make(chan updateOutcome, 1)
	require.True(t, process.inputs.Push(updateInput{answer: answer, update: directory.Update{
		Revision: 1, Whole: true, Configuration: directory.Configuration{Version: 1, Routes: []directory.Route{route}},
		Targets: []directory.Target{{
			ID: "i-1", Token: plainToken, Service: "booking", Address: target, Slots: 2, State: directory.TargetReady, Revision: 1,
		}},
	}}))
	require.True(t, (<-answer).applied)
	return process, log
}

// sendAll sends datagrams to a node in one burst.
func sendAll(t *testing.T, process *Process, datagrams ...[]byte) {
	t.Helper()
	socket, err := net.DialUDP("udp4", nil, process.socket.LocalAddr().(*net.UDPAddr))
	require.NoError(t, err)
	defer func() { _ = socket.Close() }()
	for _, datagram := range datagrams {
		_, err := socket.Write(datagram)
		require.NoError(t, err)
	}
}

func dataWindow(port uint16, count int) [][]byte {
	var datagrams [][]byte
	for number := range count {
		datagrams = append(datagrams, plainDatagram(port, uint32(number*windowData), 0, windowData))
	}
	return datagrams
}

// 16 packets take 83 ms on a link of 2 Mbit/s, of which the initial burst saves 12 ms.
func TestLinkPacesData(t *testing.T) {
	target := newRecordingTarget(t)
	process, _ := startSender(t, egress.Link{Mbps: 2}, target.address())
	began := time.Now()
	sendAll(t, process, dataWindow(5, windowCount)...)
	require.Eventually(t, func() bool { times, _ := target.received(); return len(times) >= windowCount }, testTimeout, time.Millisecond)
	times, sequences := target.received()
	assert.Greater(t, times[windowCount-1].Sub(began), 65*time.Millisecond)
	assert.True(t, slices.IsSorted(sequences), "not in order: %v", sequences)
	time.Sleep(20 * time.Millisecond)
	times, _ = target.received()
	assert.Len(t, times, windowCount)
}

// Retransmissions of queued data are not sent twice, however long the node stalls in
// between. The test uses the node's clock, so stalls of the machine do not matter.
func TestQueuedDataIsNotSentTwice(t *testing.T) {
	const step = 10 * time.Millisecond
	for _, stall := range []time.Duration{0, step, 100 * time.Millisecond, 1300 * time.Millisecond, 6 * time.Second} {
		t.Run(stall.String(), func(t *testing.T) {
			n := newLoadedNode(egress.Link{Mbps: 0.5}, 0)
			var sequences []uint32
			n.process.sender.transmit = func(datagram []byte, _ netip.AddrPort) error {
				sequences = append(sequences, binary.BigEndian.Uint32(datagram[2:]))
				return nil
			}
			for _, datagram := range dataWindow(5, windowCount) {
				n.process.handleDatagram(n.now, datagram)
			}
			require.Greater(t, n.process.sender.scheduler.Len(), windowCount/2, "the second half is queued")
			n.now = n.now.Add(stall)
			for _, datagram := range dataWindow(5, windowCount)[windowCount/2:] {
				n.process.handleDatagram(n.now, datagram)
			}
			// 16 packets of 1,240 bytes take 0.33 s at 0.5 Mbit/s.
			for until := n.now.Add(400 * time.Millisecond); n.now.Before(until); n.now = n.now.Add(step) {
				n.process.sender.flush(n.now)
			}
			n.now = n.now.Add(stall)
			n.process.sender.flush(n.now)
			assert.Zero(t, n.process.sender.scheduler.Len(), "the queue is empty")
			assert.Len(t, sequences, windowCount)
			assert.True(t, slices.IsSorted(sequences), "not in order: %v", sequences)
		})
	}
}

func TestWideLinkDoesNotQueue(t *testing.T) {
	for _, mbps := range []float64{0, 1000} {
		target := newRecordingTarget(t)
		process, _ := startSender(t, egress.Link{Mbps: mbps}, target.address())
		sendAll(t, process, dataWindow(5, windowCount)...)
		require.Eventually(t, func() bool { times, _ := target.received(); return len(times) == windowCount }, testTimeout, time.Millisecond)
		assert.Equal(t, senderState{}, readSenderState(t, process), "nothing was queued")
	}
}

func TestOpeningOvertakesBulkData(t *testing.T) {
	target := newRecordingTarget(t)
	process, _ := startSender(t, egress.Link{Mbps: 0.5}, target.address())
	sendAll(t, process, dataWindow(5, windowCount)...)
	sendAll(t, process, plainDatagram(6, 4_000_000, plainOpening, 0))
	require.Eventually(t, func() bool {
		_, sequences := target.received()
		return slices.Contains(sequences, uint32(4_000_000))
	}, testTimeout, time.Millisecond)
	_, sequences := target.received()
	assert.Less(t, len(sequences), windowCount)
}

func TestLongWaitIsLogged(t *testing.T) {
	target := newRecordingTarget(t)
	process, log := startSender(t, egress.Link{Mbps: 0.5}, target.address())
	sendAll(t, process, dataWindow(5, windowCount)...)
	require.Eventually(t, func() bool { times, _ := target.received(); return len(times) == windowCount }, testTimeout, time.Millisecond)
	require.Eventually(t, func() bool { return strings.Contains(log.String(), "name=link_relieved") }, testTimeout, 10*time.Millisecond)
	assert.Equal(t, 1, strings.Count(log.String(), "name=link_congested"))
	assert.Equal(t, 1, strings.Count(log.String(), "name=flow_waited_for_link"), "one line per flow")
	assert.Contains(t, log.String(), "caller=127.0.0.1:5 ")
}

// A wait that begins and ends between two ticks counts as congestion too.
func TestWaitBetweenTicksCountsAsCongestion(t *testing.T) {
	n := newLoadedNode(egress.Link{Mbps: 2}, 0)
	for n.process.sender.scheduler.Bytes() < 40_000 {
		n.sendNext()
	}
	for n.process.sender.scheduler.Len() > 0 {
		n.now = n.now.Add(10 * time.Millisecond)
		n.process.sender.flush(n.now)
	}
	n.process.sender.tick(n.now)
	assert.True(t, n.process.sender.congestion.IsCongested())
	n.process.sender.tick(n.now.Add(2 * time.Second))
	assert.False(t, n.process.sender.congestion.IsCongested())
}

func TestDataForLostTargetIsDropped(t *testing.T) {
	target := newRecordingTarget(t)
	process, _ := startSender(t, egress.Link{Mbps: 0.1}, target.address())
	sendAll(t, process, dataWindow(5, windowCount)...)
	require.Eventually(t, func() bool { times, _ := target.received(); return len(times) >= 1 }, testTimeout, time.Millisecond)
	require.True(t, process.inputs.Push(verdictsInput{directory.Verdicts{Lost: []directory.Token{plainToken}}}))
	assert.LessOrEqual(t, readSenderState(t, process).waiting, 1, "only the reset may be queued")
}

// A socket with read errors is retried at intervals, the error is logged, and reading
// resumes.
func TestSocketReadErrorsAreLoggedAndRetried(t *testing.T) {
	target := newRecordingTarget(t)
	process, log := startSender(t, egress.Link{Mbps: 1000}, target.address())
	require.NoError(t, process.socket.SetReadDeadline(time.Now().Add(-time.Second)))
	require.Eventually(t, func() bool { return strings.Contains(log.String(), "name=socket_failed") }, testTimeout, time.Millisecond)
	time.Sleep(10 * readRetryDelay)
	answer := httptest.NewRecorder()
	process.Metrics().ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/", nil))
	assert.Regexp(t, `(?m)^\w+read_errors_total [0-9]{1,2}$`, answer.Body.String(), "at most one read per delay")
	require.NoError(t, process.socket.SetReadDeadline(time.Time{}))
	sendAll(t, process, plainDatagram(5, 1, 0, windowData))
	require.Eventually(t, func() bool { times, _ := target.received(); return len(times) == 1 }, testTimeout, time.Millisecond)
}

// A wake-up dropped by a full ring does not stall the queue, since the timer is set again
// after each batch of inputs.
func TestLostWakeupIsRepeated(t *testing.T) {
	node := newManualNode(t, io.Discard)
	for node.inputs.TryPush(wakeInput{}) {
		continue
	}
	dropped := node.inputs.Dropped()
	sequence := uint32(0)
	now := node.now()
	for node.sender.scheduler.Len() < windowCount {
		sequence += windowData
		node.handlePacket(now, steer.Packet{
			Flow: steer.FlowKey{Caller: plainCaller(1), Virtual: plainRoute}, Token: plainToken, Sequence: sequence, Size: windowData,
		}, plainDatagram(1, sequence, 0, windowData))
	}
	node.sender.flush(now)
	require.Eventually(t, func() bool { return node.inputs.Dropped() > dropped }, testTimeout, time.Millisecond)
	node.inputs.Discard()
	node.sender.flush(node.now())
	require.NotZero(t, node.sender.scheduler.Len(), "more than the burst is queued")
	require.Eventually(t, func() bool { return node.inputs.Len() > 0 }, testTimeout, time.Millisecond)
	node.sender.stop()
}

// senderState is the number of queued datagrams and of free buffers.
type senderState struct{ waiting, buffers int }

// senderStateInput requests the state from the goroutine that owns the sender.
type senderStateInput struct{ answer chan senderState }

func (i senderStateInput) handle(p *Process, _ kernel.Instant) {
	i.answer <- senderState{waiting: p.sender.scheduler.Len(), buffers: len(p.sender.freeBuffers)}
}

func readSenderState(t *testing.T, process *Process) senderState {
	t.Helper()
	answer := make(chan senderState, 1)
	require.True(t, process.inputs.Push(senderStateInput{answer}))
	return <-answer
}
