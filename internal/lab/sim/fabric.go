package sim

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/beamdoor/beamdoor/internal/lab/backend"
)

// platformLag is how far the platform's list of machines is behind.
const platformLag = 800 * time.Millisecond

// fabric sprays each packet over the balancers that the platform lists.
type fabric struct {
	world  *World
	random *rand.Rand
	listed []*balancer
}

func (f *fabric) noteUp(b *balancer) {
	generation := b.generation
	f.world.clock.After(platformLag, func() {
		if b.generation == generation && !b.leaving {
			f.unlist(b)
			f.listed = append(f.listed, b)
		}
	})
}

func (f *fabric) noteDown(b *balancer) {
	generation := b.generation
	f.world.clock.After(platformLag, func() {
		if b.generation == generation {
			f.unlist(b)
		}
	})
}

func (f *fabric) unlist(b *balancer) {
	var left []*balancer
	for _, other := range f.listed {
		if other != b {
			left = append(left, other)
		}
	}
	f.listed = left
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
