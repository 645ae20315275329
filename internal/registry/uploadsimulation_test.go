package registry

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/steer"
)

// Parameters of the simulated callers, nodes and targets.
const (
	uploadWindow      = 16
	uploadPacketSize  = 1200
	resendDelay       = 200 * time.Millisecond
	maxResendDelay    = 1600 * time.Millisecond
	uploadAnswerDelay = 30 * time.Millisecond
	// uploadRoundTrip is the time from a node to a target and back to the caller.
	uploadRoundTrip = 6 * time.Millisecond
	// linkBytesPerSecond is the capacity of a node's link, and linkBuffer the size of its
	// queue.
	linkBytesPerSecond      = 250_000
	linkBuffer              = 6000
	uploadHeartbeatInterval = time.Second
	// probeTimeout is the time after which a node's probe of a dead target fails.
	probeTimeout = 300 * time.Millisecond
	// meanUploadPause is the mean time between two requests of a caller.
	meanUploadPause  = 200 * time.Millisecond
	uploadAnswerSize = 500
)

// uploadEvent is an event in the simulation; order breaks ties.
type uploadEvent struct {
	at    kernel.Instant
	order int
	act   func()
}

type uploadEvents []uploadEvent

func (e uploadEvents) Len() int { return len(e) }
func (e uploadEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e uploadEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *uploadEvents) Push(x any)   { *e = append(*e, x.(uploadEvent)) }
func (e *uploadEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// uploadSimulation is a group with nodes whose callers send uploads.
type uploadSimulation struct {
	*cluster
	leader, follower *machine
	random           *rand.Rand
	events           uploadEvents
	eventTime        kernel.Instant
	order            int
	nodes            []*uploadNode
	targets          []directory.Target
	dead             map[directory.Token]bool
	// full are the targets that leave opening packets unanswered and serve their flows.
	full map[directory.Token]bool
	// heartbeatDelay is how late the heartbeats of full targets arrive.
	heartbeatDelay time.Duration
	port           uint16
	// packets is the number of packets of a request.
	packets int
	// reorderDelay is the maximum random delay of a packet.
	reorderDelay time.Duration
	// reuseFlows is set when flows carry many requests.
	reuseFlows bool
	// limitLinks is set when links drop packets that exceed their capacity.
	limitLinks bool
	// reuseSomeFlows is set when one flow in four carries many requests.
	reuseSomeFlows bool
	// reuseEvenCallers is set when every second caller of a node sends all requests on one flow.
	reuseEvenCallers bool
	// reportOutcomes is set when nodes report the outcomes of exchanges.
	reportOutcomes bool
	// uploads are the open flows.
	uploads  map[steer.FlowKey]*upload
	finished int
	resets   int
}

type uploadNode struct {
	core       *steer.Core
	connection ConnectionID
	// queued is the number of bytes in the link's queue at the instant drained.
	queued  float64
	drained kernel.Instant
}

func newUploadSimulation(c *cluster, targets, nodes, callers int) *uploadSimulation {
	b := &uploadSimulation{cluster: c, leader: c.waitForLeader(), random: rand.New(rand.NewPCG(c.random.Uint64(), 7)), dead: map[directory.Token]bool{}, full: map[directory.Token]bool{}, uploads: map[steer.FlowKey]*upload{}}
	b.follower = c.machines[address(2)]
	if b.follower == b.leader {
		b.follower = c.machines[address(3)]
	}
	route := directory.Route{Name: "r", Address: netip.MustParseAddrPort("198.18.0.1:443"), Backends: []directory.Backend{{Service: "booking", Weight: 1}}}
	edit := directory.Difference(directory.Configuration{}, directory.Configuration{Version: 1, Routes: []directory.Route{route}})
	require.NoError(c, c.submit(b.leader, directory.Command{Kind: directory.CommandPublish, Edit: edit}).Err)
	for number := range targets {
		id := fmt.Sprint("i-", number)
		require.NoError(c, c.submit(b.leader, putTarget(id, fmt.Sprintf("10.1.1.%d:1", number+1), directory.TargetReady)).Err)
		target, _ := b.leader.core.State().Target(id)
		b.targets = append(b.targets, target)
	}
	c.run(time.Second)
	b.eventTime = c.now
	for number := range nodes {
		b.addNode(number, callers)
	}
	for _, target := range b.targets {
		b.schedule(time.Duration(b.random.Int64N(int64(uploadHeartbeatInterval))), func() { b.sendHeartbeat(target) })
	}
	return b
}

func (b *uploadSimulation) addNode(number, callers int) {
	settings := steer.DefaultSettings()
	settings.Name = fmt.Sprint("edge-", number)
	settings.Random = b.random
	node := &uploadNode{core: steer.New(settings), connection: ConnectionID(100 + number), drained: b.eventTime}
	require.True(b, node.core.Update(b.eventTime, b.leader.core.State().UpdateSince(0)))
	b.apply(b.follower, b.follower.core.Subscribe(b.now, node.connection, Subscribe{Node: settings.Name}))
	b.nodes = append(b.nodes, node)
	b.schedule(time.Duration(b.random.Int64N(int64(livenessInterval))), func() { b.report(node) })
	for caller := range callers {
		b.schedule(time.Duration(b.random.Int64N(int64(time.Second))), func() { b.openFlow(node, caller) })
	}
}

func (b *uploadSimulation) schedule(delay time.Duration, act func()) {
	b.order++
	heap.Push(&b.events, uploadEvent{at: b.eventTime.Add(delay), order: b.order, act: act})
}

// advance runs the simulation and the group for a duration.
func (b *uploadSimulation) advance(duration time.Duration) {
	for end := b.now.Add(duration); b.now < end; {
		next := b.now.Add(stepTime)
		for len(b.events) > 0 && b.events[0].at <= next {
			event := heap.Pop(&b.events).(uploadEvent)
			b.eventTime = event.at
			event.act()
		}
		b.run(stepTime)
	}
}

// pause returns a random pause between two requests of a caller.
func (b *uploadSimulation) pause() time.Duration {
	return meanUploadPause/2 + time.Duration(b.random.Int64N(int64(meanUploadPause)))
}

func (b *uploadSimulation) sendHeartbeat(target directory.Target) {
	if b.dead[target.Token] {
		return
	}
	delay := time.Duration(0)
	if b.full[target.Token] {
		delay = b.heartbeatDelay
	}
	b.schedule(delay, func() { b.follower.core.RecordHeartbeat(b.now, target.Start()) })
	b.schedule(uploadHeartbeatInterval+delay, func() { b.sendHeartbeat(target) })
}

// report sends a node's evidence to its member and probes targets, as the node's process does.
func (b *uploadSimulation) report(node *uploadNode) {
	evidence := node.core.Report(b.eventTime, livenessInterval)
	message := Evidence{Answering: evidence.Answering, Openings: evidence.Openings}
	for _, silent := range evidence.Silent {
		target := SilentTarget{Token: silent.Token, Weight: silent.Weight, UnreliableWeight: silent.UnreliableWeight}
		message.Silent = append(message.Silent, target.FromSingleNode())
	}
	if b.reportOutcomes {
		message.Outcomes = evidence.Outcomes
	}
	b.follower.core.RecordEvidence(b.now, node.connection, message)
	for _, target := range node.core.Probes(b.eventTime) {
		b.probe(node, target.Token)
	}
	b.schedule(livenessInterval, func() { b.report(node) })
}

// probe probes a target from a node.
func (b *uploadSimulation) probe(node *uploadNode, token directory.Token) {
	outcome, delay := steer.ProbeReached, uploadRoundTrip
	if b.dead[token] {
		outcome, delay = steer.ProbeFailed, probeTimeout
	}
	b.schedule(delay, func() {
		for _, packet := range node.core.HandleProbeOutcome(b.eventTime, token, outcome) {
			if u, open := b.uploads[packet.Flow]; open && !u.ended {
				b.resets++
				u.end()
			}
		}
	})
}

// linkAccepts reports whether a node's link accepts a packet, and queues it.
func (b *uploadSimulation) linkAccepts(node *uploadNode, size int) bool {
	node.queued = max(0, node.queued-b.eventTime.Sub(node.drained).Seconds()*linkBytesPerSecond)
	node.drained = b.eventTime
	if b.limitLinks && node.queued+float64(size) > linkBuffer {
		return false
	}
	node.queued += float64(size)
	return true
}

// openFlow starts a request of a node's caller on a new flow.
func (b *uploadSimulation) openFlow(node *uploadNode, caller int) {
	b.port++
	key := steer.FlowKey{Caller: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), b.port), Virtual: netip.MustParseAddrPort("198.18.0.1:443")}
	b.sendOpening(node, key, 0, caller)
}

// sendOpening sends an opening packet, and repeats it while the target is dead or full.
func (b *uploadSimulation) sendOpening(node *uploadNode, key steer.FlowKey, copies uint32, caller int) {
	decision := node.core.Decide(b.eventTime, steer.Packet{Flow: key, Opening: true, Copy: copies})
	require.Equal(b, steer.ActionForward, decision.Action)
	if b.dead[decision.Target.Token] || b.full[decision.Target.Token] {
		b.schedule(resendDelay<<copies, func() { b.sendOpening(node, key, copies+1, caller) })
		return
	}
	u := &upload{simulation: b, node: node, caller: caller, key: key, token: decision.Target.Token, first: b.random.Uint32(), acknowledged: 1}
	b.uploads[key] = u
	b.schedule(uploadRoundTrip, u.begin)
}
