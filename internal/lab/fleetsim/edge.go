package fleetsim

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	product "github.com/beamdoor/beamdoor/internal/edge"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/lab/flowrules"
	"github.com/beamdoor/beamdoor/internal/registry"
	"github.com/beamdoor/beamdoor/internal/steer"
	"github.com/beamdoor/beamdoor/internal/strength"
	"github.com/beamdoor/beamdoor/internal/wire"
)

const (
	reportInterval = 100 * time.Millisecond
	probeInterval  = 500 * time.Millisecond
	// missesUntilOut is the number of probes missed before routers leave a node out.
	missesUntilOut = 2
)

// edge is one node between callers and targets.
type edge struct {
	world *World
	name  string
	zone  string
	core  *steer.Core
	up    bool
	life  int
	ready bool
	// leaving is set while the node is to stop: it is not ready and forwards.
	leaving bool
	// in and misses are the routers' view of the node.
	in     bool
	misses int

	// held are frames of members that a cut holds up, in order.
	held []heldFrame
	// seeds are the members that the node was told when it started.
	seeds    []string
	follower *steer.Follower
	// left is the address of the member that was tried last.
	left       string
	member     *member
	connection registry.ConnectionID
	heardAt    kernel.Instant
	startedAt  kernel.Instant
	version    uint64
	// told is the strength that the member knows.
	told strength.Resources
}

// strengthInterval is the time after which a node states another strength.
const strengthInterval = 5 * time.Second

// stated are what nodes state in turn: nothing, machines of two strengths, and a mistake.
var stated = []strength.Resources{{}, {CPUShare: 0.045, CPUCores: 1}, {CPUShare: 0.153, CPUCores: 1}, {CPUShare: 1000}}

// strength returns what the node states by now.
func (e *edge) strength() strength.Resources {
	turn := uint64(directory.NodeKey(e.name)) + uint64(e.world.now/kernel.Instant(strengthInterval))
	return stated[turn%uint64(len(stated))]
}

func (e *edge) start() {
	settings := steer.DefaultSettings()
	settings.Name = e.name
	settings.Zone = e.zone
	settings.Random = e.world.random
	e.core = steer.New(settings)
	e.follower = steer.NewFollower(steer.NewMemberList(e.zone, steer.WithShuffle(e.world.random.Shuffle)), e.world.random)
	e.seeds = e.world.seeds()
	e.up = true
	e.ready = false
	e.leaving = false
	e.life++
	e.member = nil
	e.version = 0
	e.startedAt = e.world.now
}

func (e *edge) stop() {
	e.up = false
	e.ready = false
	e.leave()
}

// probe is the routers' look at the node's readiness.
func (e *edge) probe() {
	if e.up && e.ready && !e.leaving {
		e.in = true
		e.misses = 0
		return
	}
	e.misses++
	if e.misses >= missesUntilOut {
		e.in = false
	}
}

// tick reports evidence and follows another member when this one is silent.
func (e *edge) tick() {
	if !e.up {
		return
	}
	w := e.world
	evidence := e.core.Report(w.now, reportInterval)
	e.core.Tick(w.now)
	if e.core.ExpireRemembered(w.now) {
		e.noteState()
	}
	if w.settings.Switches.HastyLoss {
		e.loseHastily(evidence)
	}
	if e.member == nil {
		e.follow()
		return
	}
	e.send(evidence)
	e.restate()
	silent := w.now.Sub(e.heardAt) > product.SilenceTimeout
	if silent || !e.member.up || e.follower.CheckZone(w.now) != nil {
		e.leave()
	}
}

// loseHastily resets the flows of every target in the node's own report.
func (e *edge) loseHastily(evidence steer.Evidence) {
	var lost []directory.Token
	for _, silent := range evidence.Silent {
		lost = append(lost, silent.Token)
	}
	for _, packet := range e.core.ApplyVerdicts(directory.Verdicts{Lost: lost}) {
		e.reset(packet)
	}
}

func (e *edge) send(evidence steer.Evidence) {
	message := product.EvidenceMessage(evidence, nil)
	if message.IsEmpty() {
		return
	}
	w, m, connection, life := e.world, e.member, e.connection, e.member.life
	w.after(w.between(e.zone, m.zone), func() {
		if m.up && m.life == life && !w.cuts[m.name] && !w.cuts[e.name] {
			m.core.RecordEvidence(w.now, connection, message)
		}
	})
}

// restate tells the member of another strength.
func (e *edge) restate() {
	next := e.strength()
	if next == e.told {
		return
	}
	e.told = next
	w, m, connection, life := e.world, e.member, e.connection, e.member.life
	w.after(w.between(e.zone, m.zone), func() {
		if m.up && m.life == life && !w.cuts[m.name] && !w.cuts[e.name] {
			m.take(m.core.UpdateStrength(connection, next))
		}
	})
}

// follow subscribes to the next member of the list, as the product's
// subscriber does.
func (e *edge) follow() {
	w := e.world
	list := e.follower.List
	if w.settings.Switches.ForgetFaults {
		list.ClearFailures()
		list.RecordFailure(e.left, w.now)
	}
	if members := e.core.Members(); members != nil {
		list.Members = members
	}
	list.Seeds = e.seeds
	next := list.Order()[0]
	address := next.Address
	list.RecordFailure(address, w.now)
	e.left = address
	m := w.memberAt(address)
	if m == nil || !m.up || w.cuts[m.name] || w.cuts[e.name] {
		return
	}
	subscribe := registry.Subscribe{
		Node: e.name, Zone: e.zone, Revision: e.core.Revision(), Waited: w.now.Sub(e.startedAt), Referable: e.follower.NeedsReferral(),
		CachesVerdicts: true, Strength: e.strength(),
	}
	e.told = subscribe.Strength
	if referral, refers := m.core.Refer(subscribe); refers {
		_ = e.follower.ApplyReferral(referral.Members)
		return
	}
	m.nextConn++
	e.member = m
	e.connection = m.nextConn
	e.heardAt = w.now
	e.follower.Follow(w.now, next)
	m.nodes[e.connection] = e
	m.take(m.core.Subscribe(w.now, e.connection, subscribe))
}

func (e *edge) leave() {
	if e.member != nil && e.member.up {
		e.member.core.Unsubscribe(e.connection)
		delete(e.member.nodes, e.connection)
	}
	e.member = nil
}

// holdInterval is the time after which held frames are offered again.
const holdInterval = 50 * time.Millisecond

// heldFrame is a frame of a member on its way to a node.
type heldFrame struct {
	from       *member
	life       int
	connection registry.ConnectionID
	frame      wire.Frame
}

// arrive takes a frame from a stream. A cut holds a stream up and loses nothing
// of it, as TCP does.
func (e *edge) arrive(held heldFrame) {
	e.held = append(e.held, held)
	if len(e.held) == 1 {
		e.release()
	}
}

// release hands on the held frames in order, once no cut is in their way.
func (e *edge) release() {
	w := e.world
	for len(e.held) > 0 {
		next := e.held[0]
		if !e.follows(next.from, next.connection) {
			e.held = e.held[1:]
			continue
		}
		if w.cuts[e.name] || w.cuts[next.from.name] {
			w.after(holdInterval, e.release)
			return
		}
		e.held = e.held[1:]
		if next.from.life == next.life {
			e.receive(next.from, next.connection, next.frame)
		}
	}
}

// follows reports whether a connection is the one that the node reads.
func (e *edge) follows(from *member, connection registry.ConnectionID) bool {
	return e.up && e.member == from && e.connection == connection
}

// receive takes a frame of the member that is followed.
func (e *edge) receive(from *member, connection registry.ConnectionID, frame wire.Frame) {
	if !e.follows(from, connection) {
		return
	}
	w := e.world
	e.heardAt = w.now
	switch frame.Kind {
	case wire.FrameUpdate:
		e.update(frame.Payload)
	case wire.FrameRemembered:
		e.remember(frame.Payload)
	case wire.FrameKeepalive:
		alive, err := registry.DecodeKeepalive(frame.Payload)
		if err != nil {
			panic(err)
		}
		presence := steer.MemberStatus{Current: alive.Current, Empty: alive.Empty, Leaderless: alive.Leaderless}
		if e.follower.HandleStatus(w.now, presence, e.core.Revision() == 0) != nil {
			e.leave()
			return
		}
		if !alive.Current || alive.Unchanged {
			return
		}
		for _, packet := range e.core.ApplyVerdicts(alive.Verdicts) {
			e.reset(packet)
		}
	}
}

// remember takes what a member's disk holds.
func (e *edge) remember(payload []byte) {
	remembered, err := directory.DecodeRemembered(payload)
	if err != nil {
		panic(err)
	}
	e.core.ApplyRemembered(e.world.now, remembered, e.startedAt.Add(registry.RememberedTTL))
	e.noteState()
}

// noteState notes what the node's core holds by now.
func (e *edge) noteState() {
	e.world.oracle.Obeys(flowrules.NodeVersion{Node: e.name, Before: e.version, Version: e.core.Version()})
	e.version = e.core.Version()
	e.ready = e.core.IsReady()
}

func (e *edge) update(payload []byte) {
	update, err := directory.DecodeUpdate(payload)
	if err != nil {
		panic(err)
	}
	if e.world.settings.Switches.KeepOld {
		for position := range update.Targets {
			update.Targets[position].State = directory.TargetReady
		}
	}
	if e.world.settings.Switches.KeepZones {
		update.Evacuations = nil
	}
	if e.world.settings.Switches.NoBudget {
		dropBudgets(update)
	}
	if !e.core.Update(e.world.now, update) {
		e.world.oracle.Broke(flowrules.Config, "%s got an update that does not fit", e.name)
	}
	e.noteState()
}

// dropBudgets takes out of an update what cold targets bear.
func dropBudgets(update directory.Update) {
	for position := range update.Targets {
		update.Targets[position].Warmup = nil
	}
	for position := range update.Evacuations {
		update.Evacuations[position].Warmups = nil
	}
}

// packet decides on a packet of a caller and carries the decision out.
func (e *edge) packet(p steer.Packet, f *flow) {
	if !e.up {
		return
	}
	w := e.world
	if e.core.UsesRemembered() && !e.core.CanDecide(p) {
		// It waits for the current state; the caller's copies stand for that here.
		return
	}
	decision := e.core.Decide(w.now, p)
	switch decision.Action {
	case steer.ActionForward:
		t := w.targetAt(decision.Target.ID)
		if t == nil {
			return
		}
		w.after(w.between(e.zone, t.zone), func() { t.packet(e, p, f, decision.Target.Token) })
	case steer.ActionReset:
		w.after(callerTime, func() { f.reset(e) })
	}
}

// reset tells the caller of a lost target's flow.
func (e *edge) reset(p steer.Packet) {
	for _, c := range e.world.callers {
		if c.flow != nil && c.flow.key == p.Flow {
			f := c.flow
			e.world.after(callerTime, func() { f.reset(e) })
		}
	}
}
