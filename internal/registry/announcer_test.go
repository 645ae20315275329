package registry

import (
	"bytes"
	"fmt"
	"net"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/wal"
	"github.com/beamdoor/beamdoor/internal/wire"
)

func TestRosterEvictsOldestAndRetainsSubset(t *testing.T) {
	nodes := newRoster([]string{"10.0.0.1:1"})
	nodes.add("10.0.0.1:1")
	nodes.add("")
	assert.False(t, nodes.dirty)
	for number := range maxRosterNodes {
		nodes.add(fmt.Sprint("10.1.0.0:", number))
	}
	assert.Len(t, nodes.addresses, maxRosterNodes)
	assert.Len(t, nodes.insertionOrder, maxRosterNodes)
	assert.NotContains(t, nodes.addresses, "10.0.0.1:1", "the oldest entry is evicted")
	nodes.retain(map[string]bool{"10.1.0.0:7": true})
	addresses, err := decodeRoster(encodeRoster(nodes.list()))
	require.NoError(t, err)
	assert.Equal(t, []string{"10.1.0.0:7"}, addresses)
	_, err = decodeRoster([]byte{0, 0, 0, 9})
	assert.Error(t, err)
}

// newTestAnnouncer returns the announcer of a member with the given data folder.
func newTestAnnouncer(folder string) *announcer {
	settings := Settings{Name: "core-1", DataFolder: folder}
	settings.Core.Address = "10.0.0.9:1"
	process := NewProcess(settings, eventlog.Discard())
	process.announcer.load()
	return process.announcer
}

// subscribeNodes adds subscribers and waits until the roster file holds their addresses.
func subscribeNodes(t *testing.T, a *announcer, addresses ...string) {
	done := make(chan struct{})
	go func() {
		a.runRoster()
		close(done)
	}()
	for _, address := range addresses {
		a.addSubscriber(address)
	}
	assert.Eventually(t, func() bool {
		data, err := a.folder.ReadFile(rosterName)
		known, _ := decodeRoster(data)
		return err == nil && len(known) == len(addresses)
	}, 2*rosterWriteInterval+time.Second, 10*time.Millisecond)
	close(a.process.stopped)
	<-done
}

func TestAnnounceSendsToNodesOfPreviousRun(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "member")
	node, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	defer func() { _ = node.Close() }()
	first := newTestAnnouncer(folder)
	assert.Empty(t, first.previousNodes)
	subscribeNodes(t, first, node.LocalAddr().String())

	second := newTestAnnouncer(folder)
	require.Equal(t, []string{node.LocalAddr().String()}, second.previousNodes)
	sent := Announcement{From: "10.0.0.9:1", Members: []directory.Member{{ID: 1, Address: "10.0.0.9:1", Zone: "north"}}}
	go second.announce(sent)
	defer close(second.process.stopped)
	require.NoError(t, node.SetReadDeadline(time.Now().Add(2*time.Second)))
	buffer := make([]byte, 2048)
	for range announcementDelays {
		size, err := node.Read(buffer)
		require.NoError(t, err)
		frame, err := wire.ReadFrame(bytes.NewReader(buffer[:size]))
		require.NoError(t, err)
		heard, err := DecodeAnnouncement(frame.Payload)
		require.NoError(t, err)
		assert.Equal(t, sent, heard)
	}
}

func TestLoadIgnoresTruncatedRoster(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "member")
	first := newTestAnnouncer(folder)
	require.NoError(t, wal.WriteFileAtomic(first.folder, rosterName, []byte{0, 0, 0, 7, 1}))
	assert.Empty(t, newTestAnnouncer(folder).previousNodes)
}

// newNodeSocket returns a socket that receives announcements.
func newNodeSocket(t *testing.T) *net.UDPConn {
	node, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	t.Cleanup(func() { _ = node.Close() })
	require.NoError(t, node.SetReadDeadline(time.Now().Add(5*time.Second)))
	return node
}

// Announcements must not wait until the member is current, since its disk already holds
// what nodes need.
func TestAnnounceBeforeMemberIsCurrent(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "member")
	node := newNodeSocket(t)
	subscribeNodes(t, newTestAnnouncer(folder), node.LocalAddr().String())
	_, m := startWithoutPeers(t)
	second := newTestAnnouncer(folder)
	defer close(second.process.stopped)
	second.announceIfDue(second.process.now(), m.core)
	buffer := make([]byte, 2048)
	size, err := node.Read(buffer)
	require.NoError(t, err)
	frame, err := wire.ReadFrame(bytes.NewReader(buffer[:size]))
	require.NoError(t, err)
	heard, err := DecodeAnnouncement(frame.Payload)
	require.NoError(t, err)
	assert.Equal(t, "10.0.0.9:1", heard.From)
	assert.Len(t, heard.Members, 3, "the members on its disk")
}

// Guards against a restart where the first member up lacks the nodes of the other members.
func TestMembersShareRosters(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "member")
	a := newTestAnnouncer(folder)
	a.receiveRoster(wire.Frame{Kind: wire.FrameRoster, Payload: encodeRoster([]string{"10.0.0.1:1"})})
	a.receiveRoster(wire.Frame{Kind: wire.FrameRoster, Payload: []byte{0, 0, 0, 9}})
	subscriber := "10.0.0.2:1"
	done := make(chan struct{})
	go func() {
		a.runRoster()
		close(done)
	}()
	a.addSubscriber(subscriber)
	assert.Eventually(t, func() bool {
		data, err := a.folder.ReadFile(rosterName)
		known, _ := decodeRoster(data)
		return err == nil && len(known) == 2
	}, 2*rosterWriteInterval+time.Second, 10*time.Millisecond)
	close(a.process.stopped)
	<-done
	assert.Equal(t, []string{subscriber}, a.subscribers.list(), "nodes reported by other members are not shared again")

	c := newTolerantCluster(t, 1, 3, 1)
	leader := c.waitForLeader()
	require.NoError(t, c.submit(leader, putTarget("i-1", "10.1.1.1:1", directory.TargetReady)).Err)
	c.run(time.Second)
	a.process.core = leader.core
	a.process.settings.Core.Address = leader.address
	output := shareRosterInput{frame: wire.Frame{Kind: wire.FrameRoster}}.handle(a.process, c.now)
	assert.Len(t, output.Members, 2)
}

func TestAnnouncementListsSelfAndNextMembers(t *testing.T) {
	var members []directory.Member
	for number := range uint32(5) {
		members = append(members, directory.Member{ID: number, Address: fmt.Sprint("10.0.0.", number, ":1")})
	}
	listed := announcementMembers("10.0.0.4:1", members)
	require.Len(t, listed, maxAnnouncementMembers)
	assert.Equal(t, members[4], listed[0])
	assert.Equal(t, members[:2], listed[1:])
	assert.Equal(t, members[:1], announcementMembers("10.0.0.0:1", members[:1]))
	assert.Empty(t, announcementMembers("10.0.0.0:1", nil))
}

func TestAnnounceSelectsSubsetOfLargeFleet(t *testing.T) {
	a := newTestAnnouncer(filepath.Join(t.TempDir(), "member"))
	for number := range 2 * maxAnnouncedNodes {
		a.previousNodes = append(a.previousNodes, fmt.Sprint("10.1.0.0:", number))
	}
	one, other := a.selectNodes("10.0.0.1:1"), a.selectNodes("10.0.0.2:1")
	assert.Len(t, one, maxAnnouncedNodes)
	assert.NotEqual(t, one, other)
	assert.Equal(t, one, a.selectNodes("10.0.0.1:1"))
}
