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

// followTimeout is how long a node may take to switch to another member.
const followTimeout = 500 * time.Millisecond

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

// subscriptions returns the subscriptions received so far.
func (m *fakeMember) subscriptions() []registry.Subscribe {
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

// Referrals spread the nodes over the members, so that seeds are not overloaded when all
// nodes reconnect.
func TestNodeFollowsReferral(t *testing.T) {
	near := newFakeMember(t)
	members := []directory.Member{{ID: 1, Zone: "south"}, {ID: 2, Zone: "north", Address: near.address()}}
	seed := newFakeMember(t, registry.Referral{Members: members}.Frame())
	members[0].Address = seed.address()
	startNode(t, seed.address())
	assert.Eventually(t, func() bool { return len(near.subscriptions()) == 1 }, followTimeout, time.Millisecond)
	assert.True(t, seed.subscriptions()[0].Referable, "the node knows only its seed")
	assert.False(t, near.subscriptions()[0].Referable, "a node is referred only once")
}

// A member that lost its disk is empty until it has caught up.
func TestNodeLeavesEmptyMemberOnce(t *testing.T) {
	empty := registry.Keepalive{Empty: true}.Frame()
	first, second := newFakeMember(t, empty), newFakeMember(t, empty)
	startNode(t, first.address(), second.address())
	connections := func() int { return len(first.subscriptions()) + len(second.subscriptions()) }
	assert.Eventually(t, func() bool { return len(first.subscriptions()) == 1 && len(second.subscriptions()) == 1 }, followTimeout, time.Millisecond)
	time.Sleep(followTimeout)
	assert.Equal(t, 2, connections(), "nodes do not cycle through empty members")
}

// No goroutine follows a member after Run has returned.
func TestRunEndsAllGoroutines(t *testing.T) {
	member := newFakeMember(t)
	process := NewProcess(Settings{
		Name: "edge-1", Zone: "north", PacketAddress: "127.0.0.1:0", Seeds: []string{member.address()}, AnnouncementAddress: "127.0.0.1:0", Format: plainFormat{},
	}, eventlog.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- process.Run(ctx) }()
	require.Eventually(t, func() bool { return process.subscriber.followedAddress() != "" }, testTimeout, time.Millisecond)
	cancel()
	select {
	case err := <-ended:
		require.NoError(t, err)
	case <-time.After(testTimeout):
		t.Fatal("Run did not return")
	}
	assert.Empty(t, process.subscriber.followedAddress())
}
