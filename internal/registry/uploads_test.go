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

// What callers, nodes and targets do is as on the users' protocol page ("Flows").
const (
	uploadWindow  = 16
	uploadPacket  = 1200
	uploadResend  = 200 * time.Millisecond
	longestResend = 1600 * time.Millisecond
	uploadAnswer  = 30 * time.Millisecond
	// uploadTurn is the time from a node to a target and back to the caller.
	uploadTurn = 6 * time.Millisecond
	// linkBytesPerSecond is a node's link of 2 Mbit/s, and linkBuffer what it holds.
	linkBytesPerSecond = 250_000
	linkBuffer         = 6000
	uploadBeat         = time.Second
	// uploadPause is the mean time between two requests of a caller.
	uploadPause      = 200 * time.Millisecond
	uploadAnswerSize = 500
)

// uploadEvent is something that happens at an instant.
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

// uploadBench is a group with nodes whose callers send much data over narrow links.
type uploadBench struct {
	*cluster
	leader, follower *machine
	random           *rand.Rand
	events           uploadEvents
	moment           kernel.Instant
	order            int
	nodes            []*uploadNode
	targets          []directory.Target
	dead             map[directory.Token]bool
	port             uint16
	// packets is the number of packets of a request.
	packets int
	// swap is how much later than others packets of a window may come.
	swap time.Duration
	// kept flows carry many requests.
	kept bool
	// narrow links drop what they cannot take.
	narrow bool
	// mixed keeps every fourth flow.
	mixed bool
	// judged is set when nodes report how exchanges end.
	judged   bool
	finished int
	resets   int
}

type uploadNode struct {
	core       *steer.Core
	connection ConnectionID
	// queued is what waits for the link, in bytes, at the moment drained.
	queued  float64
	drained kernel.Instant
}

func newUploadBench(c *cluster, targets, nodes, callers int) *uploadBench {
	b := &uploadBench{cluster: c, leader: c.waitForLeader(), random: rand.New(rand.NewPCG(c.random.Uint64(), 7)), dead: map[directory.Token]bool{}}
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
	b.moment = c.now
	for number := range nodes {
		b.addNode(number, callers)
	}
	for _, target := range b.targets {
		b.after(time.Duration(b.random.Int64N(int64(uploadBeat))), func() { b.beat(target) })
	}
	return b
}

func (b *uploadBench) addNode(number, callers int) {
	settings := steer.DefaultSettings()
	settings.Name = fmt.Sprint("edge-", number)
	settings.Random = b.random
	node := &uploadNode{core: steer.New(settings), connection: ConnectionID(100 + number), drained: b.moment}
	require.True(b, node.core.Update(b.moment, b.leader.core.State().UpdateSince(0)))
	b.apply(b.follower, b.follower.core.Subscribe(b.now, node.connection, Subscribe{Node: settings.Name}))
	b.nodes = append(b.nodes, node)
	b.after(time.Duration(b.random.Int64N(int64(livenessInterval))), func() { b.report(node) })
	for range callers {
		b.after(time.Duration(b.random.Int64N(int64(time.Second))), func() { b.open(node) })
	}
}

func (b *uploadBench) after(delay time.Duration, act func()) {
	b.order++
	heap.Push(&b.events, uploadEvent{at: b.moment.Add(delay), order: b.order, act: act})
}

// pass lets time pass for all.
func (b *uploadBench) pass(duration time.Duration) {
	for end := b.now.Add(duration); b.now < end; {
		next := b.now.Add(stepTime)
		for len(b.events) > 0 && b.events[0].at <= next {
			event := heap.Pop(&b.events).(uploadEvent)
			b.moment = event.at
			event.act()
		}
		b.run(stepTime)
	}
}

// pause returns a caller's pause between two requests.
func (b *uploadBench) pause() time.Duration {
	return uploadPause/2 + time.Duration(b.random.Int64N(int64(uploadPause)))
}

func (b *uploadBench) beat(target directory.Target) {
	if b.dead[target.Token] {
		return
	}
	b.follower.core.RecordHeartbeat(b.now, target.Start())
	b.after(uploadBeat, func() { b.beat(target) })
}

// report passes a node's evidence on, as its process does.
func (b *uploadBench) report(node *uploadNode) {
	evidence := node.core.Report(b.moment, livenessInterval)
	message := Evidence{Answering: evidence.Answering, Openings: evidence.Openings}
	for _, silent := range evidence.Silent {
		seen := SilentTarget{Token: silent.Token, Weight: silent.Weight, UnreliableWeight: silent.Doubtful}
		message.Silent = append(message.Silent, seen.FromSingleNode())
	}
	if b.judged {
		message.Outcomes = evidence.Outcomes
	}
	b.follower.core.RecordEvidence(b.now, node.connection, message)
	b.after(livenessInterval, func() { b.report(node) })
}

// admits reports whether a node's link takes a packet.
func (b *uploadBench) admits(node *uploadNode, size int) bool {
	node.queued = max(0, node.queued-b.moment.Sub(node.drained).Seconds()*linkBytesPerSecond)
	node.drained = b.moment
	if b.narrow && node.queued+float64(size) > linkBuffer {
		return false
	}
	node.queued += float64(size)
	return true
}

// open opens a flow.
func (b *uploadBench) open(node *uploadNode) {
	b.port++
	key := steer.FlowKey{Caller: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), b.port), Virtual: netip.MustParseAddrPort("198.18.0.1:443")}
	b.sendOpening(node, key, 0)
}

// sendOpening sends an opening packet or its copy; dead targets answer none.
func (b *uploadBench) sendOpening(node *uploadNode, key steer.FlowKey, copies uint32) {
	decision := node.core.Decide(b.moment, steer.Packet{Flow: key, Opening: true, Copy: copies})
	require.Equal(b, steer.ActionForward, decision.Action)
	if b.dead[decision.Target.Token] {
		b.after(uploadResend<<copies, func() { b.sendOpening(node, key, copies+1) })
		return
	}
	u := &upload{bench: b, node: node, key: key, token: decision.Target.Token, first: b.random.Uint32(), acknowledged: 1}
	b.after(uploadTurn, u.begin)
}
