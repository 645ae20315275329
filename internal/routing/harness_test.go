package routing

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"
	"github.com/stretchr/testify/require"

	beamdoorv1 "github.com/beamdoor/beamdoor/api/beamdoor/v1"
	"github.com/beamdoor/beamdoor/internal/coapmsg"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/wire"
)

var (
	bookingAddress = netip.MustParseAddrPort("10.1.0.1:5683")
	callerAddress  = netip.MustParseAddrPort("10.9.0.1:4000")
)

// delivery is a packet sent to a target or a caller.
type delivery struct {
	target  netip.AddrPort
	caller  netip.AddrPort
	tag     wire.ForwardTag
	payload []byte
}

// cell runs routers that exchange packets without delay.
type cell struct {
	t            testing.TB
	now          kernel.Instant
	revision     uint64
	view         *beamdoorv1.View
	service      *beamdoorv1.Service
	routers      map[uint32]*Router
	disconnected map[uint32]bool
	toTargets    []delivery
	toCallers    []delivery
}

func newCell(t testing.TB, balancers, targets int) *cell {
	c := &cell{t: t, routers: map[uint32]*Router{}, disconnected: map[uint32]bool{}, view: &beamdoorv1.View{Cell: 1, Number: 1, Founding: true}}
	c.service = &beamdoorv1.Service{
		Id: 1, Name: "booking", Address: bookingAddress.String(), Cell: 1, Priority: "flows",
		Limits: &beamdoorv1.Limits{DefaultDeadlineMs: 5000, RetransmitSpanMs: 10_000, IdleTimeoutMs: 600_000},
	}
	for i := range targets {
		c.service.Targets = append(c.service.Targets, &beamdoorv1.Target{
			Id: uint32(100 + i), Name: fmt.Sprintf("t%d", i), Address: fmt.Sprintf("10.2.0.%d:9000", i+1), Slots: 2, Connections: 2000,
		})
	}
	for id := uint32(1); id <= uint32(balancers); id++ {
		c.addRouter(id)
		c.view.Members = append(c.view.Members, c.viewMember(id))
	}
	c.configure()
	return c
}

func peerAddress(id uint32) string { return fmt.Sprintf("10.3.0.%d:8200", id) }

func (c *cell) viewMember(id uint32) *beamdoorv1.Balancer {
	return &beamdoorv1.Balancer{
		Id: id, Name: fmt.Sprintf("b%d", id), Peer: peerAddress(id), Nonce: uint64(id), State: beamdoorv1.BalancerState_BALANCER_STATE_ACTIVE,
	}
}

func (c *cell) addRouter(id uint32) *Router {
	settings := DefaultSettings()
	settings.Nonce = uint64(id)
	settings.Random = rand.New(rand.NewPCG(uint64(id), 3))
	router, err := NewRouter(c.now, settings)
	require.NoError(c.t, err)
	c.routers[id] = router
	return router
}

// configure sends the service and the view to all connected routers and grants
// them leases.
func (c *cell) configure() {
	c.revision++
	for id, router := range c.routers {
		if c.disconnected[id] {
			continue
		}
		config := &beamdoorv1.CellConfig{Revision: c.revision, Services: []*beamdoorv1.Service{c.service}, View: c.view}
		c.execute(router.HandleConfig(c.now, config))
		c.grant(id)
	}
}

func (c *cell) grant(id uint32) {
	router := c.routers[id]
	for sequence := range router.reportSentAt {
		grant := wire.Grant{Nonce: uint64(id), Sequence: sequence, ID: id, LeaseMilliseconds: 3000, Revision: c.revision, CellRevision: c.revision}
		c.execute(router.HandleGrant(c.now, grant))
		return
	}
}

// changeView configures the next view with the given members.
func (c *cell) changeView(ids ...uint32) {
	c.view = &beamdoorv1.View{Cell: 1, Number: c.view.Number + 1}
	for _, id := range ids {
		if c.routers[id] == nil {
			c.addRouter(id)
		}
		c.view.Members = append(c.view.Members, c.viewMember(id))
	}
	c.configure()
}

func (c *cell) execute(actions []Action) {
	var peers []Action
	for _, action := range actions {
		payload := append([]byte(nil), action.Payload...)
		switch action.Kind {
		case ActionToTarget:
			c.toTargets = append(c.toTargets, delivery{action.Address, action.Caller, action.Tag, payload})
		case ActionToCaller:
			c.toCallers = append(c.toCallers, delivery{caller: action.Caller, payload: payload})
		case ActionToPeer:
			action.Packet.Payload = append([]byte(nil), action.Packet.Payload...)
			peers = append(peers, action)
		}
	}
	for i := range peers {
		c.deliverToPeer(&peers[i])
	}
}

func (c *cell) deliverToPeer(action *Action) {
	for id, router := range c.routers {
		if action.Address.String() == peerAddress(id) && !c.disconnected[id] && !c.disconnected[action.Packet.From] {
			c.execute(router.HandlePeerPacket(c.now, c.now, &action.Packet))
		}
	}
}

// advance moves the clock forward in steps, with ticks of all routers and grants to
// the connected ones.
func (c *cell) advance(length time.Duration) {
	for end := c.now.Add(length); c.now < end; {
		c.now = c.now.Add(50 * time.Millisecond)
		for id, router := range c.routers {
			c.execute(router.Tick(c.now))
			if !c.disconnected[id] {
				c.grant(id)
			}
		}
	}
}

func (c *cell) send(id uint32, caller netip.AddrPort, packet []byte) {
	c.execute(c.routers[id].HandleCallerPacket(c.now, c.now, bookingAddress, caller, packet))
}

// answerPacket sends a target's answer to a packet through a balancer.
func (c *cell) answerPacket(id uint32, got delivery, code codes.Code) {
	parser := coapmsg.NewParser()
	require.NoError(c.t, parser.Parse(got.payload))
	c.execute(c.routers[id].HandleTargetPacket(c.now, bookingAddress, got.caller, got.tag, parser.Response(code, 1)))
}

// lastForwarded returns the last packet sent to a target.
func (c *cell) lastForwarded() delivery {
	require.NotEmpty(c.t, c.toTargets)
	return c.toTargets[len(c.toTargets)-1]
}

// lastCode returns the code of the last answer sent to a caller.
func (c *cell) lastCode() codes.Code {
	require.NotEmpty(c.t, c.toCallers)
	return coapmsg.Code(c.toCallers[len(c.toCallers)-1].payload)
}

func request(t testing.TB, code codes.Code, messageID int32, modify func(*message.Message)) []byte {
	outgoing := message.Message{Type: message.Confirmable, Code: code, MessageID: messageID, Token: []byte{1, 2, byte(messageID)}}
	if modify != nil {
		modify(&outgoing)
	}
	buffer := make([]byte, 256)
	size, err := coder.DefaultCoder.Encode(outgoing, buffer)
	require.NoError(t, err)
	return buffer[:size]
}

func withObserve(outgoing *message.Message) {
	outgoing.Options, _, _ = outgoing.Options.SetObserve(make([]byte, 8), 0)
}

// owners returns the primary and backup of a caller's flow, and the other members.
func (c *cell) owners(caller netip.AddrPort) (primary, backup uint32, others []uint32) {
	for _, router := range c.routers {
		if router.table.view == nil || router.table.view.number != c.view.Number {
			continue
		}
		fingerprint := Flow{Caller: caller, ServiceID: 1}.Fingerprint()
		chosen := router.table.view.pairs[PartitionOf(fingerprint)]
		for _, member := range router.table.view.members {
			if !chosen.has(member.id) {
				others = append(others, member.id)
			}
		}
		return chosen.primary, chosen.backup, others
	}
	c.t.Fatal("no router has the current view")
	return 0, 0, nil
}
