package fleetsim

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/lab/flowrules"
	"github.com/beamdoor/beamdoor/internal/steer"
)

const (
	heartbeat = 1200 * time.Millisecond
	workTime  = 20 * time.Millisecond
	// drainTime is how long a target serves on after its drain was acknowledged.
	drainTime = 5 * time.Second
)

// target is one incarnation of a back end.
type target struct {
	world   *World
	id      string
	number  int
	service string
	zone    string
	address netip.AddrPort
	state   directory.TargetState
	lives   bool
	// coldUntil is when it is warm; 0 for those that start with the world. coldTaken
	// holds the times of the new flows before.
	coldUntil kernel.Instant
	coldTaken []kernel.Instant
	flows     map[*flow]bool
	// acknowledgedAt is when the drain was acknowledged; 0 before.
	acknowledgedAt kernel.Instant
}

func (w *World) addTarget(service string) *target {
	w.nextTarget++
	number := w.nextTarget
	return w.addTargetAt(service, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(number >> 8), byte(number)}), 80))
}

// addTargetIn adds a target in a zone.
func (w *World) addTargetIn(service, zone string) *target {
	t := w.addTarget(service)
	t.zone = zone
	return t
}

func (w *World) addTargetAt(service string, address netip.AddrPort) *target {
	t := &target{
		world: w, id: fmt.Sprintf("t-%d-%d", w.nextTarget, len(w.targets)), number: len(w.targets), service: service,
		zone: w.zone(len(w.targets)), address: address, state: directory.TargetReady, lives: true, flows: map[*flow]bool{},
	}
	if w.started {
		t.coldUntil = w.now.Add(flowrules.ColdTime)
	}
	w.targets = append(w.targets, t)
	w.every(heartbeat, func() {
		if t.lives {
			t.beat()
		}
	})
	return t
}

func (w *World) targetAt(id string) *target {
	for _, t := range w.targets {
		if t.id == id {
			return t
		}
	}
	return nil
}

func (t *target) describe() directory.Target {
	described := directory.Target{
		ID: t.id, Number: uint64(t.number), Service: t.service, Zone: t.zone, Address: t.address, Slots: 2, State: t.state,
	}
	if left := t.coldUntil.Sub(t.world.now); left > 0 {
		described.Warmup = &directory.Warmup{Remaining: left}
	}
	return described
}

// noteCold counts a new flow of a cold target and returns the number in the second
// before; 0 when it is warm.
func (t *target) noteCold() int {
	now := t.world.now
	if !now.Before(t.coldUntil) {
		return 0
	}
	t.coldTaken = append(t.coldTaken, now)
	count := 0
	for _, at := range t.coldTaken {
		if now.Sub(at) < time.Second {
			count++
		}
	}
	return count
}

// beat tells some member of the target.
func (t *target) beat() {
	w := t.world
	m := w.memberFor()
	if m == nil || w.cuts[t.id] {
		return
	}
	reported := t.describe()
	w.after(w.between(t.zone, m.zone), func() {
		if !m.up {
			return
		}
		m.beat(reported, func(acknowledged bool) {
			if acknowledged && reported.State == directory.TargetDraining && t.acknowledgedAt == 0 {
				t.acknowledgedAt = w.now
				w.after(drainTime, t.end)
			}
		})
	})
}

// memberFor returns the member that a target calls, or nil when it is not
// reached. One that is cut off from all but targets is called more often.
func (w *World) memberFor() *member {
	m := w.members[w.random.IntN(len(w.members))]
	for _, other := range w.members {
		if other.name == w.lured && w.random.IntN(2) == 0 {
			m = other
		}
	}
	if !m.up || w.cuts[m.name] && m.name != w.lured {
		return nil
	}
	return m
}

// drain says that the target leaves, until a member has acknowledged it.
func (t *target) drain() {
	if !t.lives {
		return
	}
	t.state = directory.TargetDraining
	var again func()
	again = func() {
		if t.lives && t.acknowledgedAt == 0 {
			t.beat()
			t.world.after(heartbeat/4, again)
		}
	}
	again()
}

// end says that the target ends, and ends.
func (t *target) end() {
	w := t.world
	for _, m := range w.members {
		if m.up && !w.cuts[m.name] {
			m.submit(directory.Command{Kind: directory.CommandEndTarget, Target: directory.Target{ID: t.id}}, ignoreOutcome)
			break
		}
	}
	t.crash()
}

// crash ends the target without a word.
func (t *target) crash() {
	t.lives = false
	t.flows = map[*flow]bool{}
	t.world.disturb(t.id)
}

// packet takes a packet that a node has forwarded.
func (t *target) packet(from *edge, p steer.Packet, f *flow, token directory.Token) {
	w := t.world
	if !t.lives || w.cuts[t.id] {
		return
	}
	if p.Opening {
		t.open(from, p, f, token)
		return
	}
	if !t.flows[f] {
		if !p.Reset {
			w.after(callerTime, func() { f.resetByTarget() })
		}
		return
	}
	if p.Closing || p.Reset {
		delete(t.flows, f)
		return
	}
	if p.Size > 0 {
		sequence := p.Sequence
		w.after(workTime, func() {
			if t.lives && !w.cuts[t.id] && !w.isLost() {
				w.after(callerTime, func() { f.answer(t, sequence) })
			}
		})
	}
}

func (t *target) open(from *edge, p steer.Packet, f *flow, token directory.Token) {
	w := t.world
	taken := flowrules.TakenFlow{
		Target: t.id, Service: t.service, Virtual: p.Flow.Virtual.String(), Through: from.name, Calm: w.calm(group, from.name),
	}
	if t.acknowledgedAt != 0 {
		taken.DrainedFor = w.now.Sub(t.acknowledgedAt)
	}
	if at, evacuated := w.evacuated[t.zone]; evacuated {
		taken.EvacuatedFor = w.now.Sub(at)
	}
	taken.InSecond = t.noteCold()
	w.oracle.Took(taken)
	t.flows[f] = true
	w.after(callerTime, func() { f.opened(t, token) })
}
