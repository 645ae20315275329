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

// stillNode is a node whose packets and time the test hands over; nothing runs.
type stillNode struct {
	*Process
	sent []string
}

func newStillNode(t *testing.T, log io.Writer) *stillNode {
	t.Helper()
	node := &stillNode{Process: NewProcess(Settings{
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

// ask brings data of a flow.
func (n *stillNode) ask(now kernel.Instant, port uint16, position, acknowledged uint32) {
	n.decide(now, steer.Packet{
		Flow:  steer.FlowKey{Caller: plainCaller(port), Virtual: plainRoute},
		Token: plainToken, Sequence: position, Acknowledged: acknowledged, Size: windowData,
	}, plainDatagram(port, position, 0, windowData))
	n.sender.flush(now.Add(time.Second / 100))
}

// open brings an opening packet.
func (n *stillNode) open(now kernel.Instant, port uint16) {
	n.decide(now, steer.Packet{Flow: steer.FlowKey{Caller: plainCaller(port), Virtual: plainRoute}, Opening: true},
		plainDatagram(port, 0, plainOpening, 0))
}

// loseSome lets the first data of some flows come again 200 ms later, and be answered.
func (n *stillNode) loseSome(flows uint16) kernel.Instant {
	now := linkStart
	for port := range flows {
		n.ask(now.Add(time.Duration(port)*10*time.Millisecond), 1000+port, 1, 1)
	}
	now = now.Add(200 * time.Millisecond)
	for port := range flows {
		n.ask(now.Add(time.Duration(port)*10*time.Millisecond), 1000+port, 1, 1)
	}
	now = now.Add(100 * time.Millisecond)
	for port := range flows {
		n.ask(now, 1000+port, 1+windowData, 500)
	}
	return now.Add(100 * time.Millisecond)
}

func TestWhatIsLostBehindTheNodeLowersTheRateOfItsLink(t *testing.T) {
	log := &strings.Builder{}
	node := newStillNode(t, log)
	node.sender.tick(linkStart)
	assert.NotContains(t, log.String(), "link_narrower")
	now := node.loseSome(4)
	node.sender.tick(now)
	assert.Less(t, node.sender.scheduler.Rate(now), node.sender.learner.ConfiguredRate())
	assert.Contains(t, log.String(), "link_narrower")
	node.sender.tick(now.Add(time.Minute))
	assert.Contains(t, log.String(), "link_as_stated")
}

func TestWhatNeverLeftWasNotLostOnTheLink(t *testing.T) {
	const flows = 4
	node := newStillNode(t, io.Discard)
	failures := 0
	send := node.sender.transmit
	node.sender.transmit = func(datagram []byte, address netip.AddrPort) error {
		if failures < flows {
			failures++
			return syscall.EPERM
		}
		return send(datagram, address)
	}
	now := node.loseSome(flows)
	require.Equal(t, flows, failures)
	assert.InDelta(t, node.sender.learner.ConfiguredRate(), node.sender.learner.Rate(now), 0)
}

func TestAFullSystemQueueLowersTheRateAndOtherErrorsDoNot(t *testing.T) {
	for cause, lowers := range map[error]bool{syscall.ENOBUFS: true, syscall.EAGAIN: true, syscall.EPERM: false} {
		node := newStillNode(t, io.Discard)
		node.sender.transmit = func([]byte, netip.AddrPort) error { return cause }
		for port := range uint16(3) {
			node.ask(node.now(), port, 1, 1)
		}
		later := node.now().Add(100 * time.Millisecond)
		assert.Equal(t, lowers, node.sender.learner.Rate(later) < node.sender.learner.ConfiguredRate(), "%v", cause)
	}
}

// What the system did not take never reached the target: the data that comes again shows
// nothing against it.
func TestWhatCouldNotBeSentIsNoSilenceOfATarget(t *testing.T) {
	for _, failing := range []bool{false, true} {
		log := &strings.Builder{}
		node := newStillNode(t, log)
		if failing {
			node.sender.transmit = func([]byte, netip.AddrPort) error { return syscall.EPERM }
		}
		node.ask(linkStart, 1, 1, 1)
		node.sender.transmit = func([]byte, netip.AddrPort) error { return nil }
		again := linkStart.Add(200 * time.Millisecond)
		node.ask(again, 1, 1, 1)
		node.core.Report(again, reportInterval)
		silent := node.core.Report(again.Add(reportInterval), reportInterval).Silent
		assert.Equal(t, failing, len(silent) == 0, "%+v", silent)
		assert.Equal(t, failing, strings.Contains(log.String(), "name=socket_failed"))
	}
}

// What still waits at the node when its caller sends it again shows nothing against the
// target either; nor does it undo what was seen before.
func TestWhatWaitsAtTheNodeIsNoSilenceOfATarget(t *testing.T) {
	node := newStillNode(t, io.Discard)
	wait := func() {
		for node.sender.scheduler.Allow(linkStart, steer.FlowKey{}, 500) {
			continue
		}
	}
	wait()
	packet := steer.Packet{Flow: steer.FlowKey{Caller: plainCaller(1), Virtual: plainRoute}, Token: plainToken, Sequence: 1, Size: windowData}
	node.decide(linkStart, packet, plainDatagram(1, 1, 0, windowData))
	again := linkStart.Add(200 * time.Millisecond)
	node.decide(again, packet, plainDatagram(1, 1, 0, windowData))
	require.Equal(t, 1, node.sender.scheduler.Len())
	node.core.Report(again, reportInterval)
	assert.Empty(t, node.core.Report(again.Add(reportInterval), reportInterval).Silent)
	node.sender.flush(again.Add(reportInterval))
	require.Zero(t, node.sender.scheduler.Len())
	last := again.Add(400 * time.Millisecond)
	node.decide(last, packet, plainDatagram(1, 1, 0, windowData))
	for at := again.Add(2 * reportInterval); at <= last; at = at.Add(reportInterval) {
		node.core.Report(at, reportInterval)
	}
	assert.Len(t, node.core.Report(last.Add(reportInterval), reportInterval).Silent, 1, "it has left meanwhile")
}

// A target that never got the opening packet has not left it unanswered.
func TestACopyOfAnOpeningPacketThatWaitsHereIsNotPlacedAgain(t *testing.T) {
	log := &strings.Builder{}
	node := newStillNode(t, log)
	for node.sender.scheduler.Allow(linkStart, steer.FlowKey{}, 20) {
		continue
	}
	const port = 3000
	node.open(linkStart, port)
	again := linkStart.Add(200 * time.Millisecond)
	flow := steer.FlowKey{Caller: plainCaller(port), Virtual: plainRoute}
	node.decide(again, steer.Packet{Flow: flow, Opening: true, Copy: 1}, plainDatagram(port, 0, plainOpening, 0))
	require.Equal(t, 1, node.sender.scheduler.Len())
	assert.NotContains(t, log.String(), "flow_placed_again")
	node.core.Report(again, reportInterval)
	assert.Empty(t, node.core.Report(again.Add(reportInterval), reportInterval).Silent)
	node.sender.flush(again)
	node.decide(again.Add(time.Second), steer.Packet{Flow: flow, Opening: true, Copy: 2}, plainDatagram(port, 0, plainOpening, 0))
	assert.Contains(t, log.String(), "flow_placed_again", "it has left meanwhile")
}

func TestANarrowLinkRefusesAnUploadThatItCannotCarry(t *testing.T) {
	log := &strings.Builder{}
	node := newStillNode(t, log)
	const underWay, next, third = 3001, 3004, 3006
	node.open(linkStart, underWay)
	require.NotContains(t, node.sent[len(node.sent)-1], "reset", "the link is as wide as stated")
	now := node.loseSome(4)
	node.open(now, next)
	assert.Equal(t, "reset", node.sent[len(node.sent)-1])
	assert.Contains(t, log.String(), "reason=narrow_link")
	node.open(now.Add(time.Millisecond), third)
	assert.NotContains(t, node.sent[len(node.sent)-1], "reset", "the third try is taken")
}
