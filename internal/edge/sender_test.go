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

// plainFormat has a head of the caller's port, the position of the data and a kind.
type plainFormat struct{}

var _ Format = plainFormat{}

const (
	plainHead    = 7
	plainOpening = 1
	plainToken   = 77
	windowData   = 1200
	windowCount  = 16
	// hangTime is the time after which a test counts as hung: on a machine with three
	// times the load that it has processors a process that only sleeps stalled 1.3 s.
	hangTime = 20 * time.Second
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

// sink is a target that notes when datagrams come.
type sink struct {
	socket *net.UDPConn

	mutex     sync.Mutex
	times     []time.Time
	sequences []uint32
}

func newSink(t *testing.T) *sink {
	t.Helper()
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	require.NoError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	s := &sink{socket: socket}
	go s.read()
	return s
}

func (s *sink) address() netip.AddrPort { return s.socket.LocalAddr().(*net.UDPAddr).AddrPort() }

func (s *sink) read() {
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

func (s *sink) came() ([]time.Time, []uint32) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Clone(s.times), slices.Clone(s.sequences)
}

// lines is a log in memory.
type lines struct {
	mutex sync.Mutex
	text  strings.Builder
}

func (l *lines) Write(line []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.text.Write(line)
}

func (l *lines) String() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.text.String()
}

// startSender starts the packet side of a node with one route and one target.
func startSender(t *testing.T, link egress.Link, target netip.AddrPort) (*Process, *lines) {
	t.Helper()
	log := &lines{}
	process := NewProcess(Settings{
		Name: "edge-1", Zone: "north", PacketAddress: "127.0.0.1:0", Link: link, Format: plainFormat{}, Core: steer.DefaultSettings(),
	}, eventlog.New(log, "edge-1"))
	require.NoError(t, process.listen())
	process.spawn(process.runCore)
	process.spawn(process.runTicker)
	go process.readPackets()
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("at the failure: %+v", look(t, process))
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
	require.True(t, (<-answer).fits)
	return process, log
}

// call sends datagrams to a node all at once.
func call(t *testing.T, process *Process, datagrams ...[]byte) {
	t.Helper()
	socket, err := net.DialUDP("udp4", nil, process.socket.LocalAddr().(*net.UDPAddr))
	require.NoError(t, err)
	defer func() { _ = socket.Close() }()
	for _, datagram := range datagrams {
		_, err := socket.Write(datagram)
		require.NoError(t, err)
	}
}

func window(port uint16, count int) [][]byte {
	var datagrams [][]byte
	for number := range count {
		datagrams = append(datagrams, plainDatagram(port, uint32(number*windowData), 0, windowData))
	}
	return datagrams
}

// A window of 16 packets needs 83 ms of a link of 2 Mbit/s, of which the burst saves
// 12 ms.
func TestAWindowLeavesWholeAndPacedByTheLink(t *testing.T) {
	target := newSink(t)
	process, _ := startSender(t, egress.Link{Mbps: 2}, target.address())
	began := time.Now()
	call(t, process, window(5, windowCount)...)
	require.Eventually(t, func() bool { times, _ := target.came(); return len(times) >= windowCount }, hangTime, time.Millisecond)
	times, sequences := target.came()
	assert.Greater(t, times[windowCount-1].Sub(began), 65*time.Millisecond)
	assert.True(t, slices.IsSorted(sequences), "in order: %v", sequences)
	time.Sleep(20 * time.Millisecond)
	times, _ = target.came()
	assert.Len(t, times, windowCount)
}

// The node stands still between the packets and their repeats, and between two rounds of
// sending, for as long as a busy machine has let it (1.3 s) and longer. All is on the
// node's own clock: a wait on the machine's clock failed when the machine stood still
// beyond it (5.5 s of SIGSTOP: 11 of 16 packets were still waiting).
func TestDataThatWaitsForTheLinkIsNotSentTwice(t *testing.T) {
	const step = 10 * time.Millisecond
	for _, stall := range []time.Duration{0, step, 100 * time.Millisecond, 1300 * time.Millisecond, 6 * time.Second} {
		t.Run(stall.String(), func(t *testing.T) {
			n := newLoadedNode(egress.Link{Mbps: 0.5}, 0)
			var sequences []uint32
			n.process.sender.transmit = func(datagram []byte, _ netip.AddrPort) error {
				sequences = append(sequences, binary.BigEndian.Uint32(datagram[2:]))
				return nil
			}
			for _, datagram := range window(5, windowCount) {
				n.process.handleDatagram(n.now, datagram)
			}
			require.Greater(t, n.process.sender.scheduler.Len(), windowCount/2, "the second half waits")
			n.now = n.now.Add(stall)
			for _, datagram := range window(5, windowCount)[windowCount/2:] {
				n.process.handleDatagram(n.now, datagram)
			}
			// 16 packets of 1,240 bytes need 0.33 s of half a Mbit/s.
			for until := n.now.Add(400 * time.Millisecond); n.now.Before(until); n.now = n.now.Add(step) {
				n.process.sender.flush(n.now)
			}
			n.now = n.now.Add(stall)
			n.process.sender.flush(n.now)
			assert.Zero(t, n.process.sender.scheduler.Len(), "nothing waits any more")
			assert.Len(t, sequences, windowCount)
			assert.True(t, slices.IsSorted(sequences), "in order: %v", sequences)
		})
	}
}

func TestAWideLinkSendsAtOnce(t *testing.T) {
	for _, mbps := range []float64{0, 1000} {
		target := newSink(t)
		process, _ := startSender(t, egress.Link{Mbps: mbps}, target.address())
		call(t, process, window(5, windowCount)...)
		require.Eventually(t, func() bool { times, _ := target.came(); return len(times) == windowCount }, hangTime, time.Millisecond)
		assert.Equal(t, senderLook{}, look(t, process), "nothing was ever queued")
	}
}

func TestAnOpeningDoesNotWaitBehindBulk(t *testing.T) {
	target := newSink(t)
	process, _ := startSender(t, egress.Link{Mbps: 0.5}, target.address())
	call(t, process, window(5, windowCount)...)
	call(t, process, plainDatagram(6, 4_000_000, plainOpening, 0))
	require.Eventually(t, func() bool {
		_, sequences := target.came()
		return slices.Contains(sequences, uint32(4_000_000))
	}, hangTime, time.Millisecond)
	_, sequences := target.came()
	assert.Less(t, len(sequences), windowCount)
}

func TestALongWaitIsTold(t *testing.T) {
	target := newSink(t)
	process, log := startSender(t, egress.Link{Mbps: 0.5}, target.address())
	call(t, process, window(5, windowCount)...)
	require.Eventually(t, func() bool { times, _ := target.came(); return len(times) == windowCount }, hangTime, time.Millisecond)
	require.Eventually(t, func() bool { return strings.Contains(log.String(), "name=link_relieved") }, hangTime, 10*time.Millisecond)
	assert.Equal(t, 1, strings.Count(log.String(), "name=link_congested"))
	assert.Equal(t, 1, strings.Count(log.String(), "name=flow_waited_for_link"), "one line a flow")
	assert.Contains(t, log.String(), "caller=127.0.0.1:5 ")
}

// A wait that begins and ends between two ticks is told as well.
func TestAWaitBetweenTwoTicksIsNoted(t *testing.T) {
	n := newLoadedNode(egress.Link{Mbps: 2}, 0)
	for n.process.sender.scheduler.Bytes() < 40_000 {
		n.offer()
	}
	for n.process.sender.scheduler.Len() > 0 {
		n.now = n.now.Add(10 * time.Millisecond)
		n.process.sender.flush(n.now)
	}
	n.process.sender.tick(n.now)
	assert.True(t, n.process.sender.watch.IsCongested())
	n.process.sender.tick(n.now.Add(2 * time.Second))
	assert.False(t, n.process.sender.watch.IsCongested())
}

func TestDataForALostTargetLeavesUnsent(t *testing.T) {
	target := newSink(t)
	process, _ := startSender(t, egress.Link{Mbps: 0.1}, target.address())
	call(t, process, window(5, windowCount)...)
	require.Eventually(t, func() bool { times, _ := target.came(); return len(times) >= 1 }, hangTime, time.Millisecond)
	require.True(t, process.inputs.Push(verdictsInput{directory.Verdicts{Lost: []directory.Token{plainToken}}}))
	assert.LessOrEqual(t, look(t, process).waiting, 1, "only the reset may wait")
}

// A socket that cannot be read for a while costs some looks a second, is told, and is
// read on.
func TestASocketThatCannotBeReadIsToldAndTriedAgain(t *testing.T) {
	target := newSink(t)
	process, log := startSender(t, egress.Link{Mbps: 1000}, target.address())
	require.NoError(t, process.socket.SetReadDeadline(time.Now().Add(-time.Second)))
	require.Eventually(t, func() bool { return strings.Contains(log.String(), "name=socket_failed") }, hangTime, time.Millisecond)
	time.Sleep(10 * readPause)
	answer := httptest.NewRecorder()
	process.Metrics().ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/", nil))
	assert.Regexp(t, `(?m)^\w+read_errors_total [0-9]{1,2}$`, answer.Body.String(), "no more than one a pause")
	require.NoError(t, process.socket.SetReadDeadline(time.Time{}))
	call(t, process, plainDatagram(5, 1, 0, windowData))
	require.Eventually(t, func() bool { times, _ := target.came(); return len(times) == 1 }, hangTime, time.Millisecond)
}

// A wake-up that finds no room in the ring stalls nothing: the ring is full of inputs,
// and the sender looks at its timer after each batch of them.
func TestAWakeUpThatFindsNoRoomIsMadeGood(t *testing.T) {
	node := newStillNode(t, io.Discard)
	for node.inputs.TryPush(wakeInput{}) {
		continue
	}
	dropped := node.inputs.Dropped()
	sequence := uint32(0)
	now := node.now()
	for node.sender.scheduler.Len() < windowCount {
		sequence += windowData
		node.decide(now, steer.Packet{
			Flow: steer.FlowKey{Caller: plainCaller(1), Virtual: plainRoute}, Token: plainToken, Sequence: sequence, Size: windowData,
		}, plainDatagram(1, sequence, 0, windowData))
	}
	node.sender.flush(now)
	require.Eventually(t, func() bool { return node.inputs.Dropped() > dropped }, hangTime, time.Millisecond)
	node.inputs.Discard()
	node.sender.flush(node.now())
	require.NotZero(t, node.sender.scheduler.Len(), "more than the burst waits")
	require.Eventually(t, func() bool { return node.inputs.Len() > 0 }, hangTime, time.Millisecond)
	node.sender.stop()
}

// senderLook is the number of datagrams that wait for the link, and that of the buffers
// of those that have waited.
type senderLook struct{ waiting, buffers int }

// lookInput asks the goroutine that owns the sender for a look at it.
type lookInput struct{ answer chan senderLook }

func (i lookInput) handle(p *Process, _ kernel.Instant) {
	i.answer <- senderLook{waiting: p.sender.scheduler.Len(), buffers: len(p.sender.spare)}
}

func look(t *testing.T, process *Process) senderLook {
	t.Helper()
	answer := make(chan senderLook, 1)
	require.True(t, process.inputs.Push(lookInput{answer}))
	return <-answer
}
