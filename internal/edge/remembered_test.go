package edge

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/registry"
	"github.com/beamdoor/beamdoor/internal/steer"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// startRememberedNode starts a node whose only member is not current and sends it a
// target remembered from disk.
func startRememberedNode(t *testing.T, target *recordingTarget) (*Process, *logBuffer) {
	t.Helper()
	backends := []directory.Backend{{Service: "booking", Weight: 1}}
	route := directory.Route{Name: "r", Address: plainRoute, Backends: backends, Timeout: time.Minute}
	remembered := directory.Remembered{
		Configuration: directory.Configuration{Version: 4, Routes: []directory.Route{route}},
		Targets: []directory.Target{{
			ID: "i-1", Token: plainToken, Service: "booking", Slots: 2, State: directory.TargetReady,
			Address: target.address(),
		}},
	}
	member := newFakeMember(t,
		wire.Frame{Kind: wire.FrameRemembered, Payload: directory.EncodeRemembered(remembered)}, registry.Keepalive{}.Frame())
	log := &logBuffer{}
	process := NewProcess(Settings{
		Name: "edge-1", Zone: "north", PacketAddress: "127.0.0.1:0", Seeds: []string{member.address()}, Format: plainFormat{}, Core: steer.DefaultSettings(),
	}, eventlog.New(log, "edge-1"))
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- process.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return process, log
}

func TestRememberedTargetsServeAfterStart(t *testing.T) {
	target := newRecordingTarget(t)
	process, log := startRememberedNode(t, target)
	require.Eventually(t, process.IsReady, testTimeout, time.Millisecond)
	caller, err := net.DialUDP("udp4", nil, process.socket.LocalAddr().(*net.UDPAddr))
	require.NoError(t, err)
	defer func() { _ = caller.Close() }()
	_, err = caller.Write(plainDatagram(1, 1, plainOpening, 0))
	require.NoError(t, err)
	assert.Eventually(t, func() bool {
		times, _ := target.received()
		return len(times) == 1
	}, testTimeout, time.Millisecond)
	assert.Eventually(t, func() bool { return !process.IsReady() }, testTimeout, 10*time.Millisecond, "no member became current")
	assert.GreaterOrEqual(t, time.Since(process.started), registry.RememberedTTL)
	assert.Contains(t, log.String(), "name=remembered_in_use")
	assert.Eventually(t, func() bool { return strings.Contains(log.String(), "name=remembered_over") }, testTimeout, 10*time.Millisecond)
}

// A node that knows members has no use for announcements.
func TestNodeWithMembersStopsListeningForAnnouncements(t *testing.T) {
	member := newFakeMember(t, registry.Keepalive{Current: true}.Frame())
	process := startAnnouncedNode(t)
	announcement := registry.Announcement{From: member.address(), Members: []directory.Member{{ID: 1, Address: member.address(), Zone: "north"}}}
	datagram := wire.AppendFrame(nil, announcement.Frame())
	assert.Eventually(t, func() bool {
		sendDatagram(t, process, datagram)
		return process.subscriber.followedAddress() == member.address()
	}, followTimeout, 20*time.Millisecond)
	assert.Eventually(t, func() bool {
		socket, err := listenUDP("test", process.settings.AnnouncementAddress)
		if err != nil {
			return false
		}
		_ = socket.Close()
		return true
	}, followTimeout, 10*time.Millisecond)
}
