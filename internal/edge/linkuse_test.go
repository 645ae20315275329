package edge

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/egress"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/ring"
	"github.com/beamdoor/beamdoor/internal/room"
	"github.com/beamdoor/beamdoor/internal/steer"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// linkUseNode is a manual node with a queue of the frames it sends to its member.
type linkUseNode struct {
	*manualNode
	sentFrames *ring.Ring[wire.Frame]
	now        kernel.Instant
}

func newLinkUseNode(t *testing.T, log *strings.Builder) *linkUseNode {
	n := &linkUseNode{manualNode: newManualNode(t, log), sentFrames: ring.New[wire.Frame](1000), now: linkStart}
	n.subscriber.reports = n.sentFrames
	return n
}

// setPeersIdle reports to the node that all nodes of its zone are idle.
func (n *linkUseNode) setPeersIdle(t *testing.T) {
	idle := room.ZoneSummary{Zone: n.settings.Zone}
	idle.NodesByWait[0] = 4
	input := roomInput{message: room.Message{Term: 1, Zones: []room.ZoneSummary{idle}}}
	input.handle(n.Process, n.now)
	require.True(t, n.sender.linkUse.peers.IsCurrent(n.now))
}

// useLink advances the time while a share of the link is used.
func (n *linkUseNode) useLink(duration time.Duration, use float64) {
	for end := n.now.Add(duration); n.now < end; n.now = n.now.Add(reportInterval) {
		n.sender.recordReceived(n.now, int(use*n.sender.estimator.ConfiguredRate()*reportInterval.Seconds()))
		n.updateLinkUse(n.now)
	}
}

func (n *linkUseNode) sentLinkReports(t *testing.T) []room.LinkReport {
	var reports []room.LinkReport
	n.sentFrames.Close()
	for {
		frame, open := n.sentFrames.Pop()
		if !open {
			return reports
		}
		message, err := room.Decode(frame.Payload)
		require.NoError(t, err)
		reports = append(reports, *message.Report)
	}
}

func TestLinkUseIsSentAtMostOncePerSecond(t *testing.T) {
	n := newLinkUseNode(t, &strings.Builder{})
	n.useLink(4*time.Second, 0.5)
	n.useLink(20*time.Second, 0)
	reports := n.sentLinkReports(t)
	assert.LessOrEqual(t, len(reports), 4+2+10+1)
	assert.Equal(t, uint8(50), reports[1].InPercent)
	assert.Zero(t, reports[len(reports)-1].InPercent)
}

func TestBusyNodeRefusesWhilePeersAreIdle(t *testing.T) {
	log := &strings.Builder{}
	n := newLinkUseNode(t, log)
	for range 10 {
		n.setPeersIdle(t)
		n.useLink(time.Second, 0.8)
	}
	n.sendOpening(n.now, 3001)
	assert.Equal(t, "reset", n.sent[len(n.sent)-1])
	assert.Contains(t, log.String(), "reason=late", "the expected wait exceeds half of the objective")
	n.useLink(time.Second, 0.8)
	assert.Contains(t, log.String(), "name=node_refuses")
	n.useLink(2*time.Second, 0)
	assert.Contains(t, log.String(), "name=node_takes_all")
}

// Without members the state of other nodes expires and must not lead to refusals.
func TestStalePeerStateRefusesNothing(t *testing.T) {
	n := newLinkUseNode(t, &strings.Builder{})
	n.setPeersIdle(t)
	n.useLink(room.ReportLifetime+time.Second, 0.8)
	assert.False(t, n.sender.load(n.now).PeersKnown)
	assert.Zero(t, n.sender.load(n.now).RefusalFraction)
	n.sendOpening(n.now, 3001)
	assert.NotEqual(t, "reset", n.sent[len(n.sent)-1])
}

func TestOpeningAndCopiesAreHeld(t *testing.T) {
	log := &strings.Builder{}
	n := newLinkUseNode(t, log)
	n.sendOpening(n.now, 3001)
	before := len(n.sent)
	n.sendOpening(n.now, 3003)
	require.Equal(t, 1, n.sender.heldOpenings.Len())
	again := n.now.Add(200 * time.Millisecond)
	n.handlePacket(again, steer.Packet{Flow: steer.FlowKey{Caller: plainCaller(3003), Virtual: plainRoute}, Opening: true, Copy: 1},
		plainDatagram(3003, 0, plainOpening, 0))
	assert.Len(t, n.sent, before)
	n.sender.flush(n.now.Add(time.Minute))
	assert.Zero(t, n.sender.heldOpenings.Len())
	assert.Len(t, n.sent, before+1)
	assert.Contains(t, log.String(), "name=opening_held")
}

func TestUnlimitedLinkHoldsAndSendsNothing(t *testing.T) {
	n := newLinkUseNode(t, &strings.Builder{})
	n.sender.estimator = egress.NewRateEstimator(0)
	n.useLink(5*time.Second, 1)
	for port := range uint16(20) {
		n.sendOpening(n.now, 3000+port)
	}
	assert.Zero(t, n.sender.heldOpenings.Len())
	assert.Empty(t, n.sentLinkReports(t))
}
