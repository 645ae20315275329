package edge

import (
	"bufio"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/hosting"
	"github.com/beamdoor/beamdoor/internal/registry"
	"github.com/beamdoor/beamdoor/internal/steer"
	"github.com/beamdoor/beamdoor/internal/strength"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// listenForSubscribes accepts connections of nodes and returns their subscriptions.
func listenForSubscribes(t *testing.T) (address string, connections chan net.Conn, received chan registry.Subscribe) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	connections, received = make(chan net.Conn, 10), make(chan registry.Subscribe, 10)
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			connections <- connection
			go readSubscribes(connection, received)
		}
	}()
	return listener.Addr().String(), connections, received
}

func readSubscribes(connection net.Conn, received chan registry.Subscribe) {
	reader := bufio.NewReader(connection)
	for {
		frame, err := wire.ReadFrame(reader)
		if err != nil {
			return
		}
		if subscribe, err := registry.DecodeSubscribe(frame.Payload); err == nil && frame.Kind == wire.FrameSubscribe {
			received <- subscribe
		}
	}
}

func nextSubscribe(t *testing.T, received chan registry.Subscribe) registry.Subscribe {
	t.Helper()
	select {
	case subscribe := <-received:
		return subscribe
	case <-time.After(testTimeout):
		t.Fatal("no subscription received")
	}
	return registry.Subscribe{}
}

func TestChangedStrengthIsSentOverOpenConnection(t *testing.T) {
	address, connections, received := listenForSubscribes(t)
	first, second := strength.Resources{CPUShare: 0.045}, strength.Resources{CPUShare: 0.25, Descriptors: 4000}
	process := NewProcess(Settings{Name: "edge-1", Zone: "north", Seeds: []string{address}, Strength: first}, eventlog.Discard())
	go process.subscriber.run()
	t.Cleanup(func() { close(process.stopped) })
	assert.Equal(t, first, nextSubscribe(t, received).Strength)
	process.ApplySettings(hosting.ReloadableSettings{Seeds: []string{address}, Strength: second})
	require.Eventually(t, func() bool {
		process.subscriber.report(steer.Evidence{}, nil)
		return len(received) > 0
	}, testTimeout, time.Millisecond)
	sent := nextSubscribe(t, received)
	assert.Equal(t, second, sent.Strength)
	assert.Equal(t, "edge-1", sent.Node)
	process.ApplySettings(hosting.ReloadableSettings{Seeds: []string{address}, Strength: second})
	process.subscriber.report(steer.Evidence{}, nil)
	assert.Empty(t, received, "an unchanged strength is not sent again")
	require.Len(t, connections, 1)
	// A reconnected member gets the latest strength with the subscription, and not again.
	third := strength.Resources{CPUShare: 0.5}
	process.ApplySettings(hosting.ReloadableSettings{Seeds: []string{address}, Strength: third})
	require.NoError(t, (<-connections).Close())
	assert.Equal(t, third, nextSubscribe(t, received).Strength)
	process.subscriber.mutex.Lock()
	defer process.subscriber.mutex.Unlock()
	assert.False(t, process.subscriber.strengthPending)
}

// strengthForFlows returns the strength of a machine with memory for the given flows.
func strengthForFlows(count int64) strength.Resources {
	return strength.Resources{Memory: 4 * count * steer.FlowBytes}
}

func TestFlowsBeyondLimitAreForwarded(t *testing.T) {
	var lines strings.Builder
	node := newManualNode(t, &lines)
	strengthInput{strength: strengthForFlows(10)}.handle(node.Process, linkStart)
	for port := range uint16(15) {
		node.sendOpening(linkStart, 1000+port)
	}
	node.sender.flush(linkStart.Add(time.Second))
	assert.Len(t, node.sent, 15, "all are forwarded")
	assert.Equal(t, 10, node.core.Flows())
	node.reportUntrackedFlows()
	assert.Contains(t, lines.String(), "event=2151")
	assert.Contains(t, lines.String(), "unkept=5")
	strengthInput{strength: strengthForFlows(20)}.handle(node.Process, linkStart)
	node.sendOpening(linkStart, 2000)
	node.sender.flush(linkStart.Add(2 * time.Second))
	assert.Equal(t, 11, node.core.Flows(), "the raised limit applies")
}

func TestWaitlistLimitFollowsMemory(t *testing.T) {
	var lines strings.Builder
	small := strength.Resources{Memory: 32 * 3 * maxDatagram}
	process := NewProcess(Settings{Name: "edge-1", Zone: "north", Format: plainFormat{}, Core: steer.DefaultSettings(), Strength: small}, eventlog.New(&lines, "edge-1"))
	for port := range uint16(5) {
		process.handleDatagram(linkStart, plainDatagram(1000+port, 0, plainOpening, 0))
	}
	assert.Len(t, process.waitlist.packets, 3)
	assert.Equal(t, 2, strings.Count(lines.String(), "event=2152"))
	assert.Equal(t, 2, strings.Count(lines.String(), "reason=not_ready"))
}
