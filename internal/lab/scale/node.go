// Package scale runs thousands of hollow balancers in one process against real
// control members: each has the product's routing core and speaks the product's
// control protocol over a connection of its own, but opens no socket for
// packets. It measures what a node and a control member spend.
package scale

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/linkhealth"
	"github.com/beamdoor/beamdoor/internal/routing"
	"github.com/beamdoor/beamdoor/internal/wire"
)

const (
	tickInterval = 200 * time.Millisecond
	dialTimeout  = 2 * time.Second
	inboxSize    = 256
)

// input is something that the goroutine of a node handles.
type input func()

// node is one hollow balancer. Its goroutine owns all but the counters.
type node struct {
	fleet   *fleet
	index   int
	cell    uint32
	peer    string
	router  *routing.Router
	started time.Time
	inbox   chan input
	stop    chan struct{}

	connection net.Conn
	health     linkhealth.Health
	nextMember int
	joined     bool

	sent     atomic.Uint64
	received atomic.Uint64
}

func newNode(owner *fleet, index int, cell uint32) *node {
	return &node{
		fleet:      owner,
		index:      index,
		cell:       cell,
		peer:       fmt.Sprintf("10.%d.%d.%d:8200", index>>16, index>>8&0xff, index&0xff),
		inbox:      make(chan input, inboxSize),
		stop:       make(chan struct{}),
		nextMember: index,
	}
}

func (n *node) now() kernel.Instant { return kernel.Instant(time.Since(n.started)) }

// run lives until the node is stopped.
func (n *node) run() {
	if err := n.begin(); err != nil {
		n.fleet.fail(err)
		return
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case handle := <-n.inbox:
			handle()
		case <-ticker.C:
			n.tick()
		case <-n.stop:
			n.hangUp()
			return
		}
	}
}

func (n *node) begin() error {
	n.started = time.Now()
	settings := routing.DefaultSettings()
	settings.Name = fmt.Sprintf("hollow-%d", n.index)
	settings.Zone = zoneName(n.index)
	settings.Cell = n.cell
	settings.Peer = n.peer
	settings.Admin = n.peer
	settings.Nonce = rand.Uint64()
	settings.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	router, err := routing.NewRouter(n.now(), settings)
	n.router = router
	return err
}

func (n *node) tick() {
	if n.connection != nil && n.health.Failed(n.now()) {
		n.hangUp()
	}
	if n.connection == nil {
		n.connect()
	}
	n.carryOut(n.router.Tick(n.now()))
	n.note()
}

func (n *node) hangUp() {
	if n.connection != nil {
		_ = n.connection.Close()
		n.connection = nil
	}
}

func (n *node) connect() {
	address := n.fleet.options.Nodes[n.nextMember%len(n.fleet.options.Nodes)]
	n.nextMember++
	connection, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return
	}
	n.connection = connection
	n.health.Opened(n.now())
	go n.read(connection)
	n.carryOut(n.router.Reconnected(n.now()))
}

// read hands the frames of one connection to the node.
func (n *node) read(connection net.Conn) {
	reader := bufio.NewReader(connection)
	for {
		frame, err := wire.ReadFrame(reader)
		if err != nil {
			n.post(func() { n.closed(connection) })
			return
		}
		n.received.Add(uint64(wire.FrameSize(frame)))
		if !n.post(func() { n.receive(frame) }) {
			return
		}
	}
}

// post hands something to the node's goroutine; false means it has stopped.
func (n *node) post(handle input) bool {
	select {
	case n.inbox <- handle:
		return true
	case <-n.stop:
		return false
	}
}

func (n *node) closed(connection net.Conn) {
	if n.connection == connection {
		n.hangUp()
	}
}

func (n *node) receive(frame wire.Frame) {
	n.health.NoteFrame(n.now(), frame)
	actions, err := n.router.HandleControlFrame(n.now(), frame)
	if err != nil {
		n.fleet.fail(err)
	}
	n.carryOut(actions)
	n.note()
}

// note tells the fleet which revision is in force here.
func (n *node) note() {
	n.fleet.noteRevision(n.index, n.router.Revision())
	if !n.joined && n.router.InView() && n.router.HasLease(n.now()) {
		n.joined = true
		n.fleet.joined.Add(1)
	}
}

func (n *node) carryOut(actions []routing.Action) {
	for i := range actions {
		switch action := &actions[i]; action.Kind {
		case routing.ActionToControl:
			n.send(wire.ReportFrame(action.Report))
		case routing.ActionToPeer:
			n.toPeer(action)
		}
	}
}

func (n *node) send(frame wire.Frame) {
	if n.connection == nil {
		return
	}
	_ = n.connection.SetWriteDeadline(time.Now().Add(dialTimeout))
	if _, err := n.connection.Write(wire.AppendFrame(nil, frame)); err != nil {
		n.hangUp()
		return
	}
	n.sent.Add(uint64(wire.FrameSize(frame)))
}

// toPeer hands a packet to another hollow node; one with a full inbox loses it.
func (n *node) toPeer(action *routing.Action) {
	to := n.fleet.byPeer[action.Address.String()]
	if to == nil {
		return
	}
	packet := action.Packet
	packet.Payload = append([]byte(nil), packet.Payload...)
	size := uint64(wire.PeerHeaderSize + len(packet.Payload))
	n.sent.Add(size)
	handle := func() {
		to.received.Add(size)
		to.carryOut(to.router.HandlePeerPacket(to.now(), to.now(), &packet))
	}
	select {
	case to.inbox <- handle:
	default:
	}
}
