package edge

import (
	"bufio"
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/registry"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// soon is how long a node may take to go from one member to another.
const soon = 500 * time.Millisecond

// fakeMember answers each subscription with frames and keeps the connection open.
type fakeMember struct {
	listener net.Listener
	replies  []wire.Frame

	mutex      sync.Mutex
	subscribed []registry.Subscribe
}

func newFakeMember(t *testing.T, replies ...wire.Frame) *fakeMember {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	m := &fakeMember{listener: listener, replies: replies}
	go m.accept()
	return m
}

func (m *fakeMember) address() string { return m.listener.Addr().String() }

func (m *fakeMember) accept() {
	for {
		connection, err := m.listener.Accept()
		if err != nil {
			return
		}
		go m.serve(connection)
	}
}

func (m *fakeMember) serve(connection net.Conn) {
	reader := bufio.NewReader(connection)
	frame, err := wire.ReadFrame(reader)
	if err != nil {
		return
	}
	subscribe, err := registry.DecodeSubscribe(frame.Payload)
	if err != nil {
		return
	}
	m.mutex.Lock()
	m.subscribed = append(m.subscribed, subscribe)
	m.mutex.Unlock()
	for _, reply := range m.replies {
		_, _ = connection.Write(wire.AppendFrame(nil, reply))
	}
	_, _ = wire.ReadFrame(reader)
	_ = connection.Close()
}

// visits returns the subscriptions so far.
func (m *fakeMember) visits() []registry.Subscribe {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return append([]registry.Subscribe(nil), m.subscribed...)
}

// startNode starts a node in the zone "north" that follows members.
func startNode(t *testing.T, seeds ...string) *Process {
	t.Helper()
	process := NewProcess(Settings{Name: "edge-1", Zone: "north", Seeds: seeds}, eventlog.Discard())
	go process.subscriber.run()
	t.Cleanup(func() { close(process.stopped) })
	return process
}

// After a loss of all power 291 nodes came to three seeds, one of which so
// lacked the time to vote: the leader stood 0.65 s after its members had
// started, and half of the nodes were ready 0.4 s later (swancoast-geo-large
// trouble-2).
func TestANodeGoesWhereASeedRefersItTo(t *testing.T) {
	near := newFakeMember(t)
	members := []directory.Member{{ID: 1, Zone: "south"}, {ID: 2, Zone: "north", Address: near.address()}}
	seed := newFakeMember(t, registry.Referral{Members: members}.Frame())
	members[0].Address = seed.address()
	startNode(t, seed.address())
	assert.Eventually(t, func() bool { return len(near.visits()) == 1 }, soon, time.Millisecond)
	assert.True(t, seed.visits()[0].Referable, "the node knows only the seed")
	assert.False(t, near.visits()[0].Referable, "it is sent on once")
}

// A member whose disk was lost knows nothing until the group has taken it in.
func TestANodeLeavesAMemberThatKnowsNothing(t *testing.T) {
	empty := registry.Keepalive{Empty: true}.Frame()
	first, second := newFakeMember(t, empty), newFakeMember(t, empty)
	startNode(t, first.address(), second.address())
	met := func() int { return len(first.visits()) + len(second.visits()) }
	assert.Eventually(t, func() bool { return len(first.visits()) == 1 && len(second.visits()) == 1 }, soon, time.Millisecond)
	time.Sleep(soon)
	assert.Equal(t, 2, met(), "while the group is founded nodes do not go round")
}

// A node that stops leaves nothing behind that follows a member.
func TestANodeThatStopsEndsWhatItHasBegun(t *testing.T) {
	member := newFakeMember(t)
	process := NewProcess(Settings{
		Name: "edge-1", Zone: "north", PacketAddress: "127.0.0.1:0", Seeds: []string{member.address()}, AnnouncementAddress: "127.0.0.1:0", Format: plainFormat{},
	}, eventlog.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- process.Run(ctx) }()
	require.Eventually(t, func() bool { return process.subscriber.followed() != "" }, hangTime, time.Millisecond)
	cancel()
	select {
	case err := <-ended:
		require.NoError(t, err)
	case <-time.After(hangTime):
		t.Fatal("the node does not stop")
	}
	assert.Empty(t, process.subscriber.followed())
}
