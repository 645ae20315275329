package sim

import (
	"fmt"
	"strings"
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/steperror"
)

// Scenario is a course of faults and changes.
type Scenario struct {
	Name string
	// Purpose says what the scenario shows.
	Purpose string
	tune    func(*Plan)
	run     func(*World)
}

// Scenarios returns all scenarios in order.
func Scenarios() []Scenario {
	var list []Scenario
	list = append(list, targetScenarios()...)
	list = append(list, balancerScenarios()...)
	list = append(list, controlScenarios()...)
	list = append(list, trafficScenarios()...)
	return append(list, Scenario{
		Name:    "chaos",
		Purpose: "faults and changes of all kinds, at any moment and together",
		tune: func(p *Plan) {
			p.Members = 5
			p.Length = 50 * time.Second
			p.Settle = 20 * time.Second
			p.MostUnfinished = 0.4
			p.DownloadsMayFail = true
		},
		run: runChaos,
	})
}

func findScenario(name string) (Scenario, error) {
	var known []string
	for _, scenario := range Scenarios() {
		if scenario.Name == name {
			return scenario, nil
		}
		known = append(known, scenario.Name)
	}
	return Scenario{}, steperror.New("sim.run", "", fmt.Sprintf("no scenario %q; known: %s", name, strings.Join(known, ", ")))
}

// faultSpan is the time within which a scenario's faults begin.
const faultSpan = 15 * time.Second

// soon runs a function at a random time within the span of faults.
func (w *World) soon(run func()) { w.clock.After(w.between(0, faultSpan), run) }

// aliveBalancer returns a random balancer that runs and does not leave.
func (w *World) aliveBalancer() *balancer {
	var alive []*balancer
	for _, b := range w.balancers {
		if b.up && !b.leaving && !b.frozen {
			alive = append(alive, b)
		}
	}
	if len(alive) == 0 {
		return nil
	}
	return alive[w.random.IntN(len(alive))]
}

// killBalancer kills a balancer and starts it again after a while.
func (w *World) killBalancer(b *balancer, downFor time.Duration) {
	if b == nil || !b.up {
		return
	}
	b.kill()
	generation := b.generation
	w.clock.After(downFor, func() {
		if b.generation == generation {
			b.run()
		}
	})
}

// roll asks one balancer after the other to leave, and starts each again.
func (w *World) roll(left []*balancer, done func()) {
	if len(left) == 0 {
		done()
		return
	}
	b := left[0]
	b.leave()
	w.awaitStop(b, func() {
		b.run()
		w.awaitView(b, func() { w.roll(left[1:], done) })
	})
}

func (w *World) awaitStop(b *balancer, then func()) {
	if !b.up {
		then()
		return
	}
	w.clock.After(100*time.Millisecond, func() { w.awaitStop(b, then) })
}

func (w *World) awaitView(b *balancer, then func()) {
	if !b.up || b.router.InView() {
		then()
		return
	}
	w.clock.After(100*time.Millisecond, func() { w.awaitView(b, then) })
}

// bookingBackend returns a random running back end of the booking service
// that is not leaving.
func (w *World) bookingBackend() *backendProcess {
	var alive []*backendProcess
	for _, name := range w.names {
		back := w.backends[name]
		if back.up && back.service == w.setup.Booking && back.drainedAt == 0 {
			alive = append(alive, back)
		}
	}
	if len(alive) == 0 {
		return nil
	}
	return alive[w.random.IntN(len(alive))]
}

func (w *World) serviceName(back *backendProcess) string {
	if back.service == w.setup.Booking {
		return w.setup.BookingName
	}
	return w.setup.DocumentsName
}

// killMember crashes a control member and boots it again after a while.
func (w *World) killMember(m *member, downFor time.Duration) {
	if m == nil || !m.up {
		return
	}
	if m == w.leader() {
		lost := w.clock.Now()
		w.clock.After(time.Millisecond, func() { w.awaitLeader(lost) })
	}
	m.crash()
	generation := m.generation
	w.clock.After(downFor, func() {
		if m.generation == generation {
			w.fault("%s boots", m.name)
			m.boot(nil)
		}
	})
}

// awaitLeader notes how long the control plane was without a leader that
// takes writes.
func (w *World) awaitLeader(lost kernel.Instant) {
	if w.leader() != nil {
		w.leaderless = max(w.leaderless, w.clock.Now().Sub(lost))
		return
	}
	w.clock.After(10*time.Millisecond, func() { w.awaitLeader(lost) })
}

// follower returns a random control member that does not lead.
func (w *World) follower() *member {
	var list []*member
	leader := w.leader()
	for _, m := range w.members {
		if m != leader && m.up && !m.frozen {
			list = append(list, m)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return list[w.random.IntN(len(list))]
}

// isolate cuts a member off from everyone for a while, in silence.
func (w *World) isolate(name string, length time.Duration) {
	w.fault("%s is cut off for %s", name, length)
	others := w.placeNames()
	for _, b := range w.balancers {
		if b.name == name {
			w.hide(b, length)
		}
	}
	for _, other := range others {
		w.network.cutBoth(name, other)
	}
	w.clock.After(length, func() {
		w.fault("%s is back", name)
		for _, other := range others {
			delete(w.network.cut, route{name, other})
			delete(w.network.cut, route{other, name})
		}
	})
}

// hide makes a balancer unreachable for the platform.
func (w *World) hide(b *balancer, length time.Duration) {
	b.hidden = true
	w.clock.After(length, func() { b.hidden = false })
}

// cutPair silences one direction between two places for a while.
func (w *World) cutPair(from, to string, length time.Duration) {
	w.fault("nothing goes from %s to %s for %s", from, to, length)
	w.network.cutWay(from, to)
	w.clock.After(length, func() {
		delete(w.network.cut, route{from, to})
		w.fault("packets go from %s to %s again", from, to)
	})
}

func (w *World) placeNames() []string {
	names := []string{w.operators.place.name}
	for _, m := range w.members {
		names = append(names, m.name)
	}
	for _, b := range w.balancers {
		names = append(names, b.name)
	}
	return append(names, w.names...)
}
