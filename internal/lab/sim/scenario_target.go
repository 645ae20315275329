package sim

import (
	"net/netip"
	"time"

	beamdoorv1 "github.com/beamdoor/beamdoor/api/beamdoor/v1"
	"github.com/beamdoor/beamdoor/internal/lab/backend"
	"github.com/beamdoor/beamdoor/internal/store"
)

func targetScenarios() []Scenario {
	return []Scenario{
		{
			Name:    "steady",
			Purpose: "load without faults",
			run:     func(*World) {},
		},
		{
			Name:    "drain",
			Purpose: "one target leaves, then another, and one comes back",
			run: func(w *World) {
				w.soon(w.drainOne)
				w.soon(w.drainOne)
				w.soon(w.drainAndReturn)
			},
		},
		{
			Name:    "drain-many",
			Purpose: "five targets leave at once",
			run: func(w *World) {
				w.soon(func() {
					for range 5 {
						w.drainOne()
					}
				})
			},
		},
		{
			Name:    "kill-target",
			Purpose: "targets die, and only their own flows break",
			tune:    func(p *Plan) { p.MostUnfinished = 0.2 },
			run: func(w *World) {
				w.soon(w.killTarget)
				w.soon(w.killTarget)
			},
		},
		{
			Name:    "cold-start",
			Purpose: "targets start cold and get their share step by step",
			tune:    func(p *Plan) { p.ColdStart = 5 * time.Second },
			run: func(w *World) {
				w.soon(func() { w.addTargets(3) })
			},
		},
		{
			Name:    "reused-address",
			Purpose: "the address of a removed target goes to a target of another service",
			run: func(w *World) {
				w.soon(w.reuseAddress)
				w.soon(w.reuseAddress)
			},
		},
		{
			Name:    "lying-load",
			Purpose: "load reports lag or lie",
			run: func(w *World) {
				for range 4 {
					w.soon(w.lie)
				}
			},
		},
	}
}

func (w *World) drainOne() {
	back := w.bookingBackend()
	if back == nil {
		return
	}
	w.drain(back, true)
}

// drain marks a target as leaving. Every other target does not hear of it, so
// that its own report does not do the work of the mark.
func (w *World) drain(back *backendProcess, draining bool) {
	if !draining {
		back.drainedAt = 0
	}
	w.operators.drain(w.serviceName(back), back.name, draining, func(result store.Result) {
		if result.Code == store.ErrorConflict {
			w.clock.After(resendWait, func() { w.drain(back, draining) })
		}
		if result.Code != store.ErrorNone || result.Revision < back.drainRevision {
			return
		}
		back.drainRevision = result.Revision
		back.core.Drain(draining && w.random.IntN(2) == 0)
		back.drainedAt = 0
		if draining {
			back.drainedAt = w.clock.Now()
		}
	})
}

func (w *World) drainAndReturn() {
	back := w.bookingBackend()
	if back == nil {
		return
	}
	w.drain(back, true)
	w.clock.After(w.between(4*time.Second, 8*time.Second), func() { w.drain(back, false) })
}

// killTarget kills a target, and starts it again after a while.
func (w *World) killTarget() {
	back := w.bookingBackend()
	if back == nil {
		return
	}
	back.kill()
	generation := back.generation
	w.clock.After(w.between(6*time.Second, 12*time.Second), func() {
		if back.generation == generation {
			w.fault("%s starts again", back.name)
			back.run()
		}
	})
}

// addTargets starts targets and adds them to the booking service.
func (w *World) addTargets(count int) {
	setup := w.setup.booking()
	for i := range count {
		w.addBackend(setup, 100+i).run()
	}
	w.rewriteServices(w.services, func(*write) {})
}

// rewriteServices applies a configuration that is made anew for each try,
// until it is accepted.
func (w *World) rewriteServices(services func() []*beamdoorv1.Service, accepted func(*write)) {
	var current *write
	current = w.operators.apply("operator", w.operators.revision(), services(), nil, func(result store.Result) {
		if result.Code == store.ErrorConflict {
			w.clock.After(resendWait, func() { w.rewriteServices(services, accepted) })
			return
		}
		accepted(current)
	})
}

// reuseAddress kills a booking target and at once gives its address to a new
// target of the document service, before any balancer has heard of it.
func (w *World) reuseAddress() {
	back := w.bookingBackend()
	if back == nil {
		return
	}
	back.kill()
	documents := w.setup.documents()
	name := documents.name + "-at-" + back.name
	taker := w.placeBackend(name, documents, back.address, back.zone)
	taker.settings.NoServiceCheck = w.mechanisms.NoServiceCheck
	taker.run()
	w.fault("%s takes the address of %s", name, back.name)
	w.rewriteServices(w.services, func(accepted *write) {
		accepted.onInForce = func() { taker.inForceAt = w.clock.Now() }
	})
}

func (w *World) lie() {
	back := w.bookingBackend()
	if back == nil {
		return
	}
	behaviour := backend.Behaviour{Lie: w.random.IntN(2) == 0, ReportLag: w.between(0, 10*time.Second)}
	w.trace("%s lies: %+v", back.name, behaviour)
	back.core.SetBehaviour(behaviour)
}

// addressOf is a caller's address that is used again by another caller.
func addressOf(last byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 8, 0, last}), 40000)
}
