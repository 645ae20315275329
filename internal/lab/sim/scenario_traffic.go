package sim

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

func trafficScenarios() []Scenario {
	return []Scenario{
		{
			Name:    "lossy-network",
			Purpose: "packets are lost, doubled and overtaken",
			tune:    func(p *Plan) { p.MostUnfinished = 0.3; p.DownloadsMayFail = true; p.NeverQuiet = true },
			run: func(w *World) {
				w.network.faults = faults{loss: 0.03, duplicate: 0.05, reorder: 0.1}
				w.soon(func() { w.killBalancer(w.aliveBalancer(), 8*time.Second) })
			},
		},
		{
			Name:    "late-answers",
			Purpose: "targets answer late, after retransmissions and after deadlines",
			tune: func(p *Plan) {
				p.ServiceTime = 400 * time.Millisecond
				p.PostRate = 30
				p.MostUnfinished = 0.5
				p.NeverQuiet = true
			},
			run: func(w *World) {
				w.network.faults = faults{duplicate: 0.05, reorder: 0.2}
			},
		},
		{
			Name:    "reused-ports",
			Purpose: "callers close and others use their address and port at once",
			tune:    func(p *Plan) { p.NeverQuiet = true },
			run:     func(w *World) { w.reusePorts(w.clock.Now().Add(20 * time.Second)) },
		},
		{
			Name:    "busy",
			Purpose: "short flows at 70% of what the targets can run, to measure the balance",
			tune: func(p *Plan) {
				p.ServiceTime = 100 * time.Millisecond
				p.PostRate = 10
				p.VisitRate = 200
				p.Length = 30 * time.Second
			},
			run: func(*World) {},
		},
		overload("overload-light", "one and a half times as many requests as the targets can run", 1.5, 20*time.Second),
		overload("overload", "three times as many requests as the targets can run", 3, 20*time.Second),
		overload("overload-heavy", "ten times as many requests as the targets can run", 10, 6*time.Second),
		{
			Name:    "duplicates-detected",
			Purpose: "targets detect duplicates, one forgets them in a restart",
			tune: func(p *Plan) {
				p.DetectDuplicates = true
				p.MostUnfinished = 0.3
				p.DownloadsMayFail = true
				p.NeverQuiet = true
			},
			run: func(w *World) {
				w.network.faults = faults{loss: 0.02, duplicate: 0.05, reorder: 0.1}
				w.soon(w.killTarget)
				w.soon(func() { w.killBalancer(w.aliveBalancer(), 8*time.Second) })
			},
		},
	}
}

// overloadCapacity is what the booking targets run a second when a request
// takes 0.1 s: 15 targets with 2 slots.
const overloadCapacity = 300

// overload returns a scenario with a multiple of the capacity, two thirds of it
// in open flows.
func overload(name, purpose string, factor float64, length time.Duration) Scenario {
	return Scenario{
		Name:    name,
		Purpose: purpose,
		tune: func(p *Plan) {
			p.ServiceTime = 100 * time.Millisecond
			p.PostRate = factor * overloadCapacity * 2 / 3
			p.VisitRate = factor * overloadCapacity / 3
			p.Length = length
			p.MostUnfinished = 1 - 0.8/factor
			p.NeverQuiet = true
		},
		run: func(*World) {},
	}
}

// reusePorts opens callers one after the other at the same address.
func (w *World) reusePorts(end kernel.Instant) {
	if w.clock.Now() >= end {
		return
	}
	for last := byte(1); last <= 5; last++ {
		address := addressOf(last)
		if earlier := w.callers[address]; earlier != nil {
			w.abandon(earlier)
		}
		next := w.openCaller(address, w.setup.Booking)
		next.post(nil)
		next.post(nil)
	}
	w.clock.After(w.between(10*time.Millisecond, 300*time.Millisecond), func() { w.reusePorts(end) })
}

// abandon closes a caller that still waits for answers.
func (w *World) abandon(earlier *caller) {
	for range earlier.exchanges {
		w.report.Count("request abandoned by its caller")
	}
	earlier.close()
}

// runChaos draws faults and changes of all kinds.
func runChaos(w *World) {
	w.operators.loseAnswers = 0.1
	w.race(2, 30*time.Second)
	courses := w.chaosCourses()
	for range 10 {
		course := courses[w.random.IntN(len(courses))]
		w.clock.After(w.between(0, 30*time.Second), course)
	}
	w.network.faults = faults{loss: 0.005, duplicate: 0.01, reorder: 0.02}
	w.clock.After(32*time.Second, func() {
		w.fault("the network is whole again")
		w.network.heal()
		w.network.faults = faults{}
	})
}

func (w *World) chaosCourses() []func() {
	return []func(){
		w.drainOne,
		w.drainAndReturn,
		w.killTarget,
		w.reuseAddress,
		w.lie,
		w.freezeLeader,
		func() { w.killBalancer(w.aliveBalancer(), w.between(time.Second, 8*time.Second)) },
		func() {
			if b := w.aliveBalancer(); b != nil {
				b.freeze(w.between(500*time.Millisecond, 6*time.Second))
			}
		},
		func() {
			if b := w.aliveBalancer(); b != nil {
				w.roll([]*balancer{b}, func() {})
			}
		},
		func() {
			if b := w.aliveBalancer(); b != nil {
				w.isolate(b.name, w.between(500*time.Millisecond, 8*time.Second))
			}
		},
		func() { w.killMember(w.leader(), w.between(time.Second, 5*time.Second)) },
		func() { w.killMember(w.follower(), w.between(time.Second, 5*time.Second)) },
		func() {
			if m := w.follower(); m != nil {
				w.isolate(m.name, w.between(time.Second, 10*time.Second))
			}
		},
		func() { w.breakDisk(w.follower()) },
		func() {
			a, b := w.aliveBalancer(), w.aliveBalancer()
			if a != nil && b != nil {
				w.cutPair(a.name, b.name, w.between(500*time.Millisecond, 4*time.Second))
			}
		},
	}
}
