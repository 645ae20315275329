package sim

import (
	"net/netip"
	"time"

	"github.com/beamdoor/beamdoor/internal/control"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/linkhealth"
	"github.com/beamdoor/beamdoor/internal/proxyheader"
	"github.com/beamdoor/beamdoor/internal/routing"
	"github.com/beamdoor/beamdoor/internal/wire"
)

const lingerQuiet = 1500 * time.Millisecond

// connection is one connection of a balancer to a control member.
type connection struct {
	id         control.ConnectionID
	balancer   *balancer
	member     *member
	generation int
	memberRun  int
}

// balancer is an emulated balancer around the product's router.
type balancer struct {
	process
	peer       netip.AddrPort
	router     *routing.Router
	connection *connection
	health     linkhealth.Health
	nextMember int
	leaving    bool
	joined     bool
	// hidden says that the platform cannot reach it.
	hidden     bool
	lastCaller kernel.Instant
	leavingAt  kernel.Instant
	revision   uint64
	// spent sums the control bytes of earlier runs.
	spent    uint64
	received uint64
	running  time.Duration
}

// run starts the balancer anew.
func (b *balancer) run() {
	b.start()
	b.leaving = false
	b.joined = false
	b.revision = 0
	b.connection = nil
	b.health = linkhealth.Health{}
	settings := routing.DefaultSettings()
	settings.Name = b.name
	settings.Zone = b.zone
	settings.Cell = 1
	settings.Peer = b.peer.String()
	settings.Admin = b.peer.String()
	random := b.world.newRandom()
	settings.Nonce = random.Uint64()
	settings.Random = random
	settings.Scheme = b.world.scheme
	settings.Mechanisms = b.world.mechanisms.Routing
	router, err := routing.NewRouter(b.now(), settings)
	if err != nil {
		panic(err)
	}
	b.router = router
	b.world.fault("%s starts", b.name)
	b.every(tickInterval, b.tick)
}

// kill ends the balancer without notice.
func (b *balancer) kill() {
	if !b.up {
		return
	}
	b.world.fault("%s is killed", b.name)
	b.end()
}

func (b *balancer) end() {
	b.spent += b.router.Counters().ControlBytes
	b.running += b.world.clock.Now().Sub(b.startedAt)
	b.hangUp()
	b.die()
}

// leave asks the balancer to stop in a planned way.
func (b *balancer) leave() {
	if !b.up || b.leaving {
		return
	}
	b.world.fault("%s leaves", b.name)
	b.leaving = true
	b.leavingAt = b.now()
	b.carryOut(b.router.Leave(b.now()))
}

func (b *balancer) tick() {
	if b.connection != nil && b.health.ShouldSwitch(b.now()) {
		b.hangUp()
	}
	if b.connection == nil {
		b.connect()
	}
	b.carryOut(b.router.Tick(b.now()))
	b.checkRevision()
	b.checkLeave()
}

// checkRevision sees to it that a configuration never goes back.
func (b *balancer) checkRevision() {
	if current := b.router.Revision(); current >= b.revision {
		b.revision = current
		return
	}
	b.world.violate(RuleNoRevert, "%s went back from revision %d to %d", b.name, b.revision, b.router.Revision())
}

func (b *balancer) checkLeave() {
	b.joined = b.joined || b.router.InView()
	quiet := b.now().Sub(max(b.lastCaller, b.leavingAt)) > lingerQuiet
	if b.leaving && quiet && !b.router.InView() && (b.router.HasNoPendingRequests() || !b.joined) {
		b.world.fault("%s has left", b.name)
		b.end()
	}
}

func (b *balancer) connect() {
	members := b.world.members
	to := members[b.nextMember%len(members)]
	b.nextMember++
	if !to.up || b.world.network.cut[route{b.name, to.name}] {
		return
	}
	b.world.nextConnection++
	b.connection = &connection{
		id:         b.world.nextConnection,
		balancer:   b,
		member:     to,
		generation: b.generation,
		memberRun:  to.generation,
	}
	b.health.ConnectionOpened(b.now())
	b.carryOut(b.router.HandleReconnect(b.now()))
}

func (b *balancer) hangUp() {
	closed := b.connection
	b.connection = nil
	if closed == nil {
		return
	}
	to := closed.member
	b.world.network.stream(b.place, to.place, func() {
		if to.generation != closed.memberRun {
			return
		}
		to.deliver(func() {
			delete(to.connections, closed.id)
			to.core.BalancerDisconnected(closed.id)
		})
	})
}

// toMember sends a frame from the balancer over the connection.
func (c *connection) toMember(frame wire.Frame) {
	to := c.member
	c.balancer.world.network.stream(c.balancer.place, to.place, func() {
		if to.generation != c.memberRun {
			return
		}
		to.deliver(func() { to.receiveNode(c, frame) })
	})
}

// toBalancer sends a frame from the member over the connection.
func (c *connection) toBalancer(frame wire.Frame) {
	b := c.balancer
	b.world.network.stream(c.member.place, b.place, func() {
		if b.generation != c.generation || b.connection != c {
			return
		}
		b.deliver(func() { b.receiveControl(frame) })
	})
}

func (b *balancer) receiveControl(frame wire.Frame) {
	b.health.RecordFrame(b.now(), frame)
	b.received += uint64(wire.FrameSize(frame))
	actions, err := b.router.HandleControlFrame(b.now(), frame)
	if err != nil {
		b.world.trace("%s cannot read a frame: %v", b.name, err)
	}
	b.carryOut(actions)
}

func (b *balancer) receiveCaller(service, caller netip.AddrPort, payload []byte) {
	b.lastCaller = b.now()
	b.carryOut(b.router.HandleCallerPacket(b.now(), b.arrivedAt, service, caller, payload))
}

func (b *balancer) receivePeer(encoded []byte) {
	var packet wire.PeerPacket
	if wire.DecodePeerPacket(encoded, &packet) == nil {
		b.carryOut(b.router.HandlePeerPacket(b.now(), b.arrivedAt, &packet))
	}
}

// carryOut does what the router wants done.
func (b *balancer) carryOut(actions []routing.Action) {
	for i := range actions {
		action := &actions[i]
		switch action.Kind {
		case routing.ActionToTarget:
			b.toTarget(action)
		case routing.ActionToCaller:
			payload := append([]byte(nil), action.Payload...)
			b.world.fabric.toCaller(b, action.Caller, action.Service, payload)
		case routing.ActionToPeer:
			b.toPeer(action)
		case routing.ActionToControl:
			if b.connection != nil {
				b.connection.toMember(wire.ReportFrame(action.Report))
			}
		case routing.ActionLog:
			b.world.logged(b.name, action.Event, action.Fields)
		}
	}
}

func (b *balancer) toTarget(action *routing.Action) {
	back := b.world.byAddress[action.Address]
	if back == nil {
		return
	}
	tag := action.Tag
	header := proxyheader.Header{Source: action.Caller, Destination: action.Service, Tag: &tag}
	payload := append([]byte(nil), action.Payload...)
	carry := b.world.network.datagramOnce
	if back.settings.DetectDuplicates {
		carry = b.world.network.datagram
	}
	carry(b.place, back.place, func() {
		back.deliver(func() { back.receive(header, payload) })
	})
}

func (b *balancer) toPeer(action *routing.Action) {
	to := b.world.byPeer[action.Address]
	if to == nil {
		return
	}
	encoded := wire.AppendPeerPacket(nil, &action.Packet)
	b.world.network.datagram(b.place, to.place, func() {
		to.deliver(func() { to.receivePeer(encoded) })
	})
}
