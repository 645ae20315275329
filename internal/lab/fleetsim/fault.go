package fleetsim

import (
	"fmt"
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/lab/flowrules"
	"github.com/beamdoor/beamdoor/internal/registry"
)

// faultPause is the longest time between two faults.
const faultPause = 6 * time.Second

// nextFault begins a random fault, and another one later.
func (w *World) nextFault() {
	if !w.settings.Faults {
		return
	}
	faults := []func(time.Duration){
		w.killEdge, w.killEdges, w.killMember, w.wipeMember, w.restartAll, w.cutMember, w.cutEdge,
		w.crashTarget, w.cutTarget, w.drainTarget, w.replaceMember, w.reuseAddress,
		w.rollEdge, w.evacuateZone, w.loseZone, w.returnCold, w.splitMembers, w.lureTargets,
	}
	length := time.Duration(300+w.random.IntN(4000)) * time.Millisecond
	chosen := w.random.IntN(len(faults))
	faults[chosen](length)
	if chosen >= len(faults)-2 {
		length = lureTime
	}
	w.after(contact+length+time.Duration(w.random.Int64N(int64(faultPause))), w.nextFault)
}

func (w *World) anyEdge() *edge { return w.edges[w.random.IntN(len(w.edges))] }

func (w *World) anyMember() *member { return w.members[w.random.IntN(len(w.members))] }

func (w *World) anyTarget() *target {
	for range 50 {
		if t := w.targets[w.random.IntN(len(w.targets))]; t.lives && t.acknowledgedAt == 0 {
			return t
		}
	}
	return w.addTarget(services[0])
}

func (w *World) killEdge(length time.Duration) { w.killSome(1, length) }

func (w *World) killEdges(length time.Duration) { w.killSome(len(w.edges)/2, length) }

func (w *World) killSome(count int, length time.Duration) {
	for range count {
		e := w.anyEdge()
		if !e.up {
			continue
		}
		w.note("kill %s for %v", e.name, length)
		e.stop()
		w.disturb(e.name)
		w.after(length, func() {
			w.disturb(e.name)
			e.start()
		})
	}
}

func (w *World) killMember(length time.Duration) {
	m := w.anyMember()
	w.note("power off %s for %v", m.name, length)
	m.stop(true)
	w.disturb(group)
	w.after(length, func() {
		w.disturb(group)
		m.start()
	})
}

func (w *World) wipeMember(length time.Duration) {
	m := w.anyMember()
	w.note("wipe %s for %v", m.name, length)
	m.stop(false)
	m.disk.Wipe()
	w.disturb(group)
	w.after(length, func() {
		w.disturb(group)
		m.start()
	})
}

// restartAll takes the power from all members and all nodes at once.
func (w *World) restartAll(length time.Duration) {
	w.note("power off all for %v", length)
	for _, m := range w.members {
		m.stop(true)
	}
	w.disturb(group)
	for _, e := range w.edges {
		e.stop()
		w.disturb(e.name)
	}
	w.after(length, func() {
		w.disturb(group)
		for _, m := range w.members {
			m.start()
		}
		for _, e := range w.edges {
			w.disturb(e.name)
			e.start()
		}
	})
}

func (w *World) cut(name, noted string, length time.Duration) {
	w.note("cut %s for %v", name, length)
	w.cuts[name] = true
	w.disturb(noted, name)
	w.after(length, func() {
		w.disturb(noted, name)
		delete(w.cuts, name)
	})
}

func (w *World) cutMember(length time.Duration) { w.cut(w.anyMember().name, group, length) }

func (w *World) cutEdge(length time.Duration) {
	name := w.anyEdge().name
	w.cut(name, name, length)
}

func (w *World) cutTarget(length time.Duration) {
	id := w.anyTarget().id
	w.cut(id, id, length)
}

func (w *World) crashTarget(time.Duration) {
	t := w.anyTarget()
	w.note("crash %s", t.id)
	t.crash()
	w.addTarget(t.service)
}

func (w *World) drainTarget(time.Duration) {
	t := w.anyTarget()
	w.note("drain %s", t.id)
	w.addTarget(t.service)
	t.drain()
}

// reuseAddress gives the address of a dead target to one of another service.
func (w *World) reuseAddress(length time.Duration) {
	t := w.anyTarget()
	w.note("crash %s, its address goes to another service", t.id)
	t.crash()
	w.addTarget(t.service)
	other := services[0]
	if t.service == other {
		other = services[2]
	}
	w.after(length+2*time.Second, func() { w.addTargetAt(other, t.address) })
}

// replaceMember ends a member for good; an empty one comes elsewhere.
func (w *World) replaceMember(length time.Duration) {
	position := w.random.IntN(len(w.members))
	gone := w.members[position]
	w.note("%s is gone for good, another one comes after %v", gone.name, length)
	gone.stop(false)
	w.disturb(group)
	w.members = append(w.members[:position:position], w.members[position+1:]...)
	w.after(length, func() {
		w.disturb(group)
		w.nextTarget++
		w.addMember(fmt.Sprintf("member-next-%d", w.nextTarget), gone.zone, false)
	})
}

// leaveTime is how long a node that is to stop goes on, and restartTime how
// long it is down.
const (
	leaveTime   = 2200 * time.Millisecond
	restartTime = 500 * time.Millisecond
)

// rollEdge is planned work: a node leaves the routers, stops and starts again.
func (w *World) rollEdge(time.Duration) {
	e := w.anyEdge()
	if !e.up || e.leaving {
		return
	}
	w.note("roll %s", e.name)
	w.plannedAt[e.name] = w.now
	e.leaving = true
	w.after(leaveTime, func() {
		e.stop()
		w.plannedAt[e.name] = w.now
		w.after(restartTime, func() {
			w.plannedAt[e.name] = w.now
			e.start()
		})
	})
}

// lureTime is how long a member is cut off from all but targets; long enough
// for the rest of the group to count as calm.
const lureTime = 14 * time.Second

// lureTargets cuts a member off from all but targets, some of which drain.
func (w *World) lureTargets(time.Duration) {
	m := w.anyMember()
	w.cut(m.name, group, lureTime)
	w.lured = m.name
	w.after(lureTime, func() { w.lured = "" })
	for number := range 3 {
		w.after(contact+time.Duration(number)*time.Second, func() { w.drainTarget(0) })
	}
}

// splitMembers cuts the group in two for longer than the contact time, so that
// nodes must find the larger side.
func (w *World) splitMembers(time.Duration) {
	w.random.Shuffle(len(w.members), func(a, b int) { w.members[a], w.members[b] = w.members[b], w.members[a] })
	for _, m := range w.members[:(len(w.members)-1)/2] {
		w.split[m.name] = true
		w.note("%s on the small side of a split", m.name)
	}
	w.disturb(group)
	w.after(lureTime, func() {
		w.disturb(group)
		clear(w.split)
	})
}

// giveOrder gives an order about a zone to one member after the other until it is
// acknowledged.
func (w *World) giveOrder(zone string, active bool, acknowledged func()) {
	done := false
	var again func()
	again = func() {
		if done {
			return
		}
		if m := w.anyMember(); m.up && !w.cuts[m.name] {
			command := directory.Command{Kind: directory.CommandEvacuate, Evacuation: m.core.PrepareEvacuation(zone, active)}
			m.submitOrder(command, func(outcome registry.Outcome) {
				if !done && outcome.Err == nil && outcome.Result.Code == directory.CodeDone {
					done = true
					acknowledged()
				}
			})
		}
		w.after(orderPause, again)
	}
	again()
}

// orderPause is the time after which an operator gives an order again.
const orderPause = time.Second

// evacuateZone is planned work: new flows are kept from a zone for a while. One zone
// at a time, so that orders about it have an order.
func (w *World) evacuateZone(length time.Duration) {
	zone := w.zone(w.random.IntN(w.settings.Zones))
	if w.evacuating || w.settings.Zones < 2 {
		return
	}
	w.evacuating = true
	w.note("evacuate %s for %v", zone, length)
	w.giveOrder(zone, true, func() {
		w.evacuated[zone] = w.now
		w.after(contact+length, func() {
			w.note("take %s back", zone)
			delete(w.evacuated, zone)
			for _, t := range w.targets {
				if t.zone == zone {
					t.coldUntil = w.now.Add(flowrules.ColdTime)
					t.coldTaken = nil
				}
			}
			w.giveOrder(zone, false, func() { w.evacuating = false })
		})
	})
}

// inZone returns the living targets of a zone.
func (w *World) inZone(zone string) []*target {
	var list []*target
	for _, t := range w.targets {
		if t.lives && t.zone == zone {
			list = append(list, t)
		}
	}
	return list
}

// returnCold ends all targets of a zone; others come in their places, cold.
func (w *World) returnCold(length time.Duration) {
	w.returnColdIn(w.zone(w.random.IntN(w.settings.Zones)), length)
}

func (w *World) returnColdIn(zone string, length time.Duration) {
	w.note("all targets of %s are down for %v", zone, length)
	for _, t := range w.inZone(zone) {
		t.crash()
		w.after(length, func() { w.addTargetIn(t.service, zone) })
	}
}

// loseZone takes the power from all that stands in a zone, where the group bears it.
func (w *World) loseZone(length time.Duration) {
	zone := w.zone(w.random.IntN(w.settings.Zones))
	var members []*member
	for _, m := range w.members {
		if m.zone == zone {
			members = append(members, m)
		}
	}
	if len(members) > w.settings.Tolerance {
		return
	}
	w.note("%s has no power for %v", zone, length)
	w.returnColdIn(zone, length)
	w.disturb(group)
	for _, m := range members {
		m.stop(true)
		w.after(length, func() {
			w.disturb(group)
			m.start()
		})
	}
	for _, e := range w.edges {
		if e.zone != zone || !e.up {
			continue
		}
		e.stop()
		w.disturb(e.name)
		w.after(length, func() {
			w.disturb(e.name)
			e.start()
		})
	}
}
