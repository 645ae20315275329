package sim

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/beamdoor/beamdoor/internal/lab/backend"
)

const (
	// platformLag is how far the platform's list of machines is behind.
	platformLag  = 800 * time.Millisecond
	listInterval = 200 * time.Millisecond
)

// fabric sprays each packet over the balancers that the platform lists.
type fabric struct {
	world  *World
	random *rand.Rand
	listed []*balancer
}

// follow takes the platform's list, which shows what was reachable a while ago.
func (f *fabric) follow() {
	var reachable []*balancer
	for _, b := range f.world.balancers {
		if b.up && !b.frozen && !b.leaving && !b.hidden {
			reachable = append(reachable, b)
		}
	}
	f.world.clock.After(platformLag, func() { f.listed = reachable })
	f.world.clock.After(listInterval, f.follow)
}

// pick returns the balancer that gets the next packet.
func (f *fabric) pick() *balancer {
	if len(f.listed) == 0 {
		return nil
	}
	return f.listed[f.random.IntN(len(f.listed))]
}

// fromCaller brings a caller's packet to a balancer.
func (f *fabric) fromCaller(from *caller, payload []byte) {
	to := f.pick()
	if to == nil {
		return
	}
	address, service := from.address, from.service
	f.world.network.datagram(from.place, to.place, func() {
		to.deliver(func() { to.receiveCaller(service, address, payload) })
	})
}

// fromTarget brings a target's reply to a balancer, and not the one that the
// request came through.
func (f *fabric) fromTarget(from *backendProcess, reply backend.Event) {
	to := f.pick()
	if to == nil {
		return
	}
	f.world.network.datagram(from.place, to.place, func() {
		to.deliver(func() {
			payload := append([]byte(nil), reply.Payload...)
			to.carryOut(to.router.HandleTargetPacket(to.now(), from.service, reply.Caller, reply.Tag, payload))
		})
	})
}

// toCaller brings a packet from a balancer to a caller.
func (f *fabric) toCaller(from *balancer, address, service netip.AddrPort, payload []byte) {
	to := f.world.callers[address]
	if to == nil {
		return
	}
	f.world.network.datagram(from.place, to.place, func() {
		if f.world.callers[address] == to && to.service == service {
			to.receive(payload)
		}
	})
}
