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

// listen takes what nodes say of their machines, over however many connections.
func listen(t *testing.T) (address string, connections chan net.Conn, heard chan registry.Subscribe) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	connections, heard = make(chan net.Conn, 10), make(chan registry.Subscribe, 10)
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			connections <- connection
			go hear(connection, heard)
		}
	}()
	return listener.Addr().String(), connections, heard
}

func hear(connection net.Conn, heard chan registry.Subscribe) {
	reader := bufio.NewReader(connection)
	for {
		frame, err := wire.ReadFrame(reader)
		if err != nil {
			return
		}
		if subscribe, err := registry.DecodeSubscribe(frame.Payload); err == nil && frame.Kind == wire.FrameSubscribe {
			heard <- subscribe
		}
	}
}

func next(t *testing.T, heard chan registry.Subscribe) registry.Subscribe {
	t.Helper()
	select {
	case subscribe := <-heard:
		return subscribe
	case <-time.After(hangTime):
		t.Fatal("the member hears nothing")
	}
	return registry.Subscribe{}
}

func TestAChangedStrengthIsToldOverTheOpenConnection(t *testing.T) {
	address, connections, heard := listen(t)
	first, second := strength.Resources{CPUShare: 0.045}, strength.Resources{CPUShare: 0.25, Descriptors: 4000}
	process := NewProcess(Settings{Name: "edge-1", Zone: "north", Seeds: []string{address}, Strength: first}, eventlog.Discard())
	go process.subscriber.run()
	t.Cleanup(func() { close(process.stopped) })
	assert.Equal(t, first, next(t, heard).Strength)
	process.ApplySettings(hosting.Changeable{Seeds: []string{address}, Strength: second})
	require.Eventually(t, func() bool {
		process.subscriber.report(steer.Evidence{}, nil)
		return len(heard) > 0
	}, hangTime, time.Millisecond)
	told := next(t, heard)
	assert.Equal(t, second, told.Strength)
	assert.Equal(t, "edge-1", told.Node)
	process.ApplySettings(hosting.Changeable{Seeds: []string{address}, Strength: second})
	process.subscriber.report(steer.Evidence{}, nil)
	assert.Empty(t, heard, "the same word is not told again")
	require.Len(t, connections, 1)
	// A member that comes back hears the newest word at once, and not again.
	third := strength.Resources{CPUShare: 0.5}
	process.ApplySettings(hosting.Changeable{Seeds: []string{address}, Strength: third})
	require.NoError(t, (<-connections).Close())
	assert.Equal(t, third, next(t, heard).Strength)
	process.subscriber.mutex.Lock()
	defer process.subscriber.mutex.Unlock()
	assert.False(t, process.subscriber.untold)
}

// flowsOf returns a machine with memory for so many flows.
func flowsOf(count int64) strength.Resources {
	return strength.Resources{Memory: 4 * count * steer.FlowBytes}
}

func TestFlowsBeyondTheMemoryAreServedAndTold(t *testing.T) {
	var lines strings.Builder
	node := newStillNode(t, &lines)
	strengthInput{stated: flowsOf(10)}.handle(node.Process, linkStart)
	for port := range uint16(15) {
		node.open(linkStart, 1000+port)
	}
	node.sender.flush(linkStart.Add(time.Second))
	assert.Len(t, node.sent, 15, "each goes to a target")
	assert.Equal(t, 10, node.core.Flows())
	node.noteUnkept()
	assert.Contains(t, lines.String(), "event=2151")
	assert.Contains(t, lines.String(), "unkept=5")
	strengthInput{stated: flowsOf(20)}.handle(node.Process, linkStart)
	node.open(linkStart, 2000)
	node.sender.flush(linkStart.Add(2 * time.Second))
	assert.Equal(t, 11, node.core.Flows(), "there is room for more by now")
}

func TestPacketsBeyondTheMemoryDoNotWait(t *testing.T) {
	var lines strings.Builder
	small := strength.Resources{Memory: 32 * 3 * maxDatagram}
	process := NewProcess(Settings{Name: "edge-1", Zone: "north", Format: plainFormat{}, Core: steer.DefaultSettings(), Strength: small}, eventlog.New(&lines, "edge-1"))
	for port := range uint16(5) {
		process.handleDatagram(linkStart, plainDatagram(1000+port, 0, plainOpening, 0))
	}
	assert.Len(t, process.waiting.packets, 3)
	assert.Equal(t, 2, strings.Count(lines.String(), "event=2152"))
	assert.Equal(t, 2, strings.Count(lines.String(), "reason=not_ready"))
}
