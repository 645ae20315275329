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

// roomNode is a still node that is told of its zone and whose link is busy.
type roomNode struct {
	*stillNode
	told *ring.Ring[wire.Frame]
	now  kernel.Instant
}

func newRoomNode(t *testing.T, log *strings.Builder) *roomNode {
	n := &roomNode{stillNode: newStillNode(t, log), told: ring.New[wire.Frame](1000), now: linkStart}
	n.subscriber.reports = n.told
	return n
}

// hear tells the node that all nodes of its zone are idle.
func (n *roomNode) hear(t *testing.T) {
	idle := room.ZoneSummary{Zone: n.settings.Zone}
	idle.NodesByWait[0] = 4
	input := roomInput{message: room.Message{Term: 1, Zones: []room.ZoneSummary{idle}}}
	input.handle(n.Process, n.now)
	require.True(t, n.sender.room.view.IsCurrent(n.now))
}

// work lets time pass while a share of the link is used.
func (n *roomNode) work(duration time.Duration, use float64) {
	for end := n.now.Add(duration); n.now < end; n.now = n.now.Add(reportInterval) {
		n.sender.noteReceived(n.now, int(use*n.sender.learner.ConfiguredRate()*reportInterval.Seconds()))
		n.tickRoom(n.now)
	}
}

func (n *roomNode) words(t *testing.T) []room.LinkReport {
	var words []room.LinkReport
	n.told.Close()
	for {
		frame, open := n.told.Pop()
		if !open {
			return words
		}
		message, err := room.Decode(frame.Payload)
		require.NoError(t, err)
		words = append(words, *message.Report)
	}
}

func TestANodeTellsItsUseOnceASecondWhenItChanges(t *testing.T) {
	n := newRoomNode(t, &strings.Builder{})
	n.work(4*time.Second, 0.5)
	n.work(20*time.Second, 0)
	words := n.words(t)
	assert.LessOrEqual(t, len(words), 4+2+10+1)
	assert.Equal(t, uint8(50), words[1].InPercent)
	assert.Zero(t, words[len(words)-1].InPercent)
}

func TestAFullNodeRefusesWhileOthersAreIdle(t *testing.T) {
	log := &strings.Builder{}
	n := newRoomNode(t, log)
	for range 10 {
		n.hear(t)
		n.work(time.Second, 0.8)
	}
	n.open(n.now, 3001)
	assert.Equal(t, "reset", n.sent[len(n.sent)-1])
	assert.Contains(t, log.String(), "reason=late", "0.8 is a wait beyond a half of the objective")
	n.work(time.Second, 0.8)
	assert.Contains(t, log.String(), "name=node_refuses")
	n.work(2*time.Second, 0)
	assert.Contains(t, log.String(), "name=node_takes_all")
}

// Members are gone: the view ages out and the node goes by its own link.
func TestAnOldViewRefusesNothing(t *testing.T) {
	n := newRoomNode(t, &strings.Builder{})
	n.hear(t)
	n.work(room.ReportLifetime+time.Second, 0.8)
	assert.False(t, n.sender.load(n.now).PeersKnown)
	assert.Zero(t, n.sender.load(n.now).RefusalFraction)
	n.open(n.now, 3001)
	assert.NotEqual(t, "reset", n.sent[len(n.sent)-1])
}

func TestAnOpeningIsHeldAndItsCopiesWithIt(t *testing.T) {
	log := &strings.Builder{}
	n := newRoomNode(t, log)
	n.open(n.now, 3001)
	before := len(n.sent)
	n.open(n.now, 3003)
	require.Equal(t, 1, n.sender.held.Len())
	again := n.now.Add(200 * time.Millisecond)
	n.decide(again, steer.Packet{Flow: steer.FlowKey{Caller: plainCaller(3003), Virtual: plainRoute}, Opening: true, Copy: 1},
		plainDatagram(3003, 0, plainOpening, 0))
	assert.Len(t, n.sent, before)
	n.sender.flush(n.now.Add(time.Minute))
	assert.Zero(t, n.sender.held.Len())
	assert.Len(t, n.sent, before+1)
	assert.Contains(t, log.String(), "name=opening_held")
}

func TestNothingIsHeldOrToldWhereNoLinkIsStated(t *testing.T) {
	n := newRoomNode(t, &strings.Builder{})
	n.sender.learner = egress.NewRateEstimator(0)
	n.work(5*time.Second, 1)
	for port := range uint16(20) {
		n.open(n.now, 3000+port)
	}
	assert.Zero(t, n.sender.held.Len())
	assert.Empty(t, n.words(t))
}
