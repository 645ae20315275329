package edge

import (
	"io"
	"net/netip"
	"strings"
	"syscall"
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

const linkStart = kernel.Instant(time.Minute)

// manualNode is a node driven by the test, without goroutines or a running clock.
type manualNode struct {
	*Process
	sent []string
}

func newManualNode(t *testing.T, log io.Writer) *manualNode {
	t.Helper()
	node := &manualNode{Process: NewProcess(Settings{
		Name: "edge-1", Zone: "north", Link: egress.Link{Mbps: 2}, Format: plainFormat{}, Core: steer.DefaultSettings(),
	}, eventlog.New(log, "edge-1"))}
	node.sender.transmit = func(datagram []byte, _ netip.AddrPort) error {
		node.sent = append(node.sent, string(datagram))
		return nil
	}
	route := directory.Route{
		Name: "upload", Address: plainRoute, Backends: []directory.Backend{{Service: "booking", Weight: 1}},
		Timeout: 6 * time.Second, Kind: directory.RouteUpload, Objective: 200 * time.Millisecond,
	}
	require.True(t, node.core.Update(linkStart, directory.Update{
		Revision: 1, Whole: true, Configuration: directory.Configuration{Version: 1, Routes: []directory.Route{route}},
		Targets: []directory.Target{{
			ID: "i-1", Token: plainToken, Service: "booking", Address: plainCaller(9), Slots: 2, State: directory.TargetReady, Revision: 1,
		}},
	}))
	return node
}

// sendData passes a data packet to the node.
func (n *manualNode) sendData(now kernel.Instant, port uint16, sequence, acknowledged uint32) {
	n.handlePacket(now, steer.Packet{
		Flow:  steer.FlowKey{Caller: plainCaller(port), Virtual: plainRoute},
		Token: plainToken, Sequence: sequence, Acknowledged: acknowledged, Size: windowData,
	}, plainDatagram(port, sequence, 0, windowData))
	n.sender.flush(now.Add(time.Second / 100))
}

// sendOpening passes an opening packet to the node.
func (n *manualNode) sendOpening(now kernel.Instant, port uint16) {
	n.handlePacket(now, steer.Packet{Flow: steer.FlowKey{Caller: plainCaller(port), Virtual: plainRoute}, Opening: true},
		plainDatagram(port, 0, plainOpening, 0))
}

// retransmit sends the first data of some flows, retransmits it 200 ms later and then
// acknowledges it with further data.
func (n *manualNode) retransmit(flows uint16) kernel.Instant {
	now := linkStart
	for port := range flows {
		n.sendData(now.Add(time.Duration(port)*10*time.Millisecond), 1000+port, 1, 1)
	}
	now = now.Add(200 * time.Millisecond)
	for port := range flows {
		n.sendData(now.Add(time.Duration(port)*10*time.Millisecond), 1000+port, 1, 1)
	}
	now = now.Add(100 * time.Millisecond)
	for port := range flows {
		n.sendData(now, 1000+port, 1+windowData, 500)
	}
	return now.Add(100 * time.Millisecond)
}

func TestDownstreamLossLowersLinkRate(t *testing.T) {
	log := &strings.Builder{}
	node := newManualNode(t, log)
	node.sender.tick(linkStart)
	assert.NotContains(t, log.String(), "link_narrower")
	now := node.retransmit(4)
	node.sender.tick(now)
	assert.Less(t, node.sender.scheduler.Rate(now), node.sender.estimator.ConfiguredRate())
	assert.Contains(t, log.String(), "link_narrower")
	node.sender.tick(now.Add(time.Minute))
	assert.Contains(t, log.String(), "link_as_stated")
}

func TestUnsentPacketsAreNotLinkLoss(t *testing.T) {
	const flows = 4
	node := newManualNode(t, io.Discard)
	failures := 0
	send := node.sender.transmit
	node.sender.transmit = func(datagram []byte, address netip.AddrPort) error {
		if failures < flows {
			failures++
			return syscall.EPERM
		}
		return send(datagram, address)
	}
	now := node.retransmit(flows)
	require.Equal(t, flows, failures)
	assert.InDelta(t, node.sender.estimator.ConfiguredRate(), node.sender.estimator.Rate(now), 0)
}

func TestOnlyFullSocketQueueLowersLinkRate(t *testing.T) {
	for cause, lowers := range map[error]bool{syscall.ENOBUFS: true, syscall.EAGAIN: true, syscall.EPERM: false} {
		node := newManualNode(t, io.Discard)
		node.sender.transmit = func([]byte, netip.AddrPort) error { return cause }
		for port := range uint16(3) {
			node.sendData(node.now(), port, 1, 1)
		}
		later := node.now().Add(100 * time.Millisecond)
		assert.Equal(t, lowers, node.sender.estimator.Rate(later) < node.sender.estimator.ConfiguredRate(), "%v", cause)
	}
}

// Data that the socket did not accept never reached the target, so its retransmission is
// no evidence against the target.
func TestUnsentDataIsNotTargetSilence(t *testing.T) {
	for _, failing := range []bool{false, true} {
		log := &strings.Builder{}
		node := newManualNode(t, log)
		if failing {
			node.sender.transmit = func([]byte, netip.AddrPort) error { return syscall.EPERM }
		}
		node.sendData(linkStart, 1, 1, 1)
		node.sender.transmit = func([]byte, netip.AddrPort) error { return nil }
		again := linkStart.Add(200 * time.Millisecond)
		node.sendData(again, 1, 1, 1)
		node.core.Report(again, reportInterval)
		silent := node.core.Report(again.Add(reportInterval), reportInterval).Silent
		assert.Equal(t, failing, len(silent) == 0, "%+v", silent)
		assert.Equal(t, failing, strings.Contains(log.String(), "name=socket_failed"))
	}
}

// A retransmission of data that is still queued at the node is no evidence against the
// target, but earlier evidence remains.
func TestQueuedDataIsNotTargetSilence(t *testing.T) {
	node := newManualNode(t, io.Discard)
	fillLink := func() {
		for node.sender.scheduler.Allow(linkStart, steer.FlowKey{}, 500) {
			continue
		}
	}
	fillLink()
	packet := steer.Packet{Flow: steer.FlowKey{Caller: plainCaller(1), Virtual: plainRoute}, Token: plainToken, Sequence: 1, Size: windowData}
	node.handlePacket(linkStart, packet, plainDatagram(1, 1, 0, windowData))
	again := linkStart.Add(200 * time.Millisecond)
	node.handlePacket(again, packet, plainDatagram(1, 1, 0, windowData))
	require.Equal(t, 1, node.sender.scheduler.Len())
	node.core.Report(again, reportInterval)
	assert.Empty(t, node.core.Report(again.Add(reportInterval), reportInterval).Silent)
	node.sender.flush(again.Add(reportInterval))
	require.Zero(t, node.sender.scheduler.Len())
	last := again.Add(400 * time.Millisecond)
	node.handlePacket(last, packet, plainDatagram(1, 1, 0, windowData))
	for at := again.Add(2 * reportInterval); at <= last; at = at.Add(reportInterval) {
		node.core.Report(at, reportInterval)
	}
	assert.Len(t, node.core.Report(last.Add(reportInterval), reportInterval).Silent, 1, "it has been sent by now")
}

// A target that has not been sent the opening packet yet has not left it unanswered.
func TestQueuedOpeningIsNotPlacedAgain(t *testing.T) {
	log := &strings.Builder{}
	node := newManualNode(t, log)
	for node.sender.scheduler.Allow(linkStart, steer.FlowKey{}, 20) {
		continue
	}
	const port = 3000
	node.sendOpening(linkStart, port)
	again := linkStart.Add(200 * time.Millisecond)
	flow := steer.FlowKey{Caller: plainCaller(port), Virtual: plainRoute}
	node.handlePacket(again, steer.Packet{Flow: flow, Opening: true, Copy: 1}, plainDatagram(port, 0, plainOpening, 0))
	require.Equal(t, 1, node.sender.scheduler.Len())
	assert.NotContains(t, log.String(), "flow_placed_again")
	node.core.Report(again, reportInterval)
	assert.Empty(t, node.core.Report(again.Add(reportInterval), reportInterval).Silent)
	node.sender.flush(again)
	node.handlePacket(again.Add(time.Second), steer.Packet{Flow: flow, Opening: true, Copy: 2}, plainDatagram(port, 0, plainOpening, 0))
	assert.Contains(t, log.String(), "flow_placed_again", "it has been sent by now")
}

func TestNarrowLinkRefusesUpload(t *testing.T) {
	log := &strings.Builder{}
	node := newManualNode(t, log)
	const accepted, refused, retried = 3001, 3004, 3006
	node.sendOpening(linkStart, accepted)
	require.NotContains(t, node.sent[len(node.sent)-1], "reset", "the link has its configured rate")
	now := node.retransmit(4)
	node.sendOpening(now, refused)
	assert.Equal(t, "reset", node.sent[len(node.sent)-1])
	assert.Contains(t, log.String(), "reason=narrow_link")
	node.sendOpening(now.Add(time.Millisecond), retried)
	assert.NotContains(t, node.sent[len(node.sent)-1], "reset", "the third attempt is accepted")
}
