package registry

import (
	"maps"
	"slices"
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/strength"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// AliveInterval is the time between two signs of life to a node.
const AliveInterval = 400 * time.Millisecond

// updatePause is the time, for each subscribed node, between two rounds of
// updates: it bounds the frames that a member sends in a second.
const updatePause = 2 * time.Millisecond

// firstStateWait is how long a node without state waits for this member to be
// current before it gets what the member has.
const firstStateWait = 5 * time.Second

// firstStateAge is how long the bytes of the whole state serve for further nodes, which
// come in hundreds after an outage. What is cold counts as cold for so much longer.
const firstStateAge = 100 * time.Millisecond

// subscription is a connected node.
type subscription struct {
	name     string
	zone     string
	revision uint64
	// waitsSince is when the node began to wait for its first state.
	waitsSince kernel.Instant
	nextAlive  kernel.Instant
	current    bool
	verdicts   directory.Verdicts
	// keepsVerdicts is set on a node that need not hear the same verdicts again, and
	// toldVerdicts once it has those above.
	keepsVerdicts, toldVerdicts bool
	// silent is the newest report of silent targets.
	silent   []SilentTarget
	silentAt kernel.Instant
	strength strength.Strength
	// stepsTold is the number of relative times that the node was told since it came, and
	// hasSteps is set once these were all.
	stepsTold int
	hasSteps  bool
}

// Open begins the stream of updates to a node.
func (c *Core) Open(now kernel.Instant, connection ConnectionID, subscribe Subscribe) Output {
	c.nodes[connection] = &subscription{
		name: subscribe.Node, zone: subscribe.Zone, revision: subscribe.Revision, waitsSince: now.Add(-subscribe.Waited), keepsVerdicts: subscribe.KeepsVerdicts,
		strength: subscribe.Strength,
	}
	c.log(eventlog.NodeSubscribed, "node", subscribe.Node, "zone", subscribe.Zone, "revision", subscribe.Revision, "strength", subscribe.Strength)
	c.strengths.isStale = true
	c.update(now, connection, map[uint64][]byte{})
	c.tellRemembered(now, connection)
	c.tellAlive(now, connection)
	return c.take()
}

// Close ends the stream to a node.
func (c *Core) Close(connection ConnectionID) {
	delete(c.nodes, connection)
	c.strengths.isStale = true
	c.room.nodes.Forget(connection)
}

// spread sends what has changed to all subscribed nodes. Nodes that are at the
// same revision get the same bytes. The more nodes there are, the more changes
// travel together.
func (c *Core) spread(now kernel.Instant) {
	if now.Before(c.nextSpread) {
		return
	}
	c.nextSpread = now.Add(time.Duration(len(c.nodes)) * updatePause)
	payloads := map[uint64][]byte{}
	for _, connection := range c.orderedNodes() {
		c.update(now, connection, payloads)
	}
}

// becameCurrent reports whether this member has become current since the last
// call. Nodes without state wait for nothing else, so their update is due then.
func (c *Core) becameCurrent(now kernel.Instant) bool {
	current := c.IsCurrent(now)
	became := current && !c.wasCurrent
	c.wasCurrent = current
	if became {
		c.nextSpread = now
		c.remembered = rememberedFrame{}
	}
	return became
}

// update sends a node what it lacks. A node that knows more than this member
// hears nothing until the member has caught up: state never goes back. A node
// without state is not given that of a member that may be behind, unless it
// has waited for too long.
func (c *Core) update(now kernel.Instant, connection ConnectionID, payloads map[uint64][]byte) {
	node := c.nodes[connection]
	if c.state.Revision() <= node.revision {
		return
	}
	if node.revision == 0 && !c.IsCurrent(now) && now.Sub(node.waitsSince) < firstStateWait {
		return
	}
	payload, made := payloads[node.revision]
	switch {
	case made:
	case node.revision == 0:
		payload = c.firstState(now)
	default:
		payload = c.encodeSince(now, node.revision)
		payloads[node.revision] = payload
	}
	node.revision = c.state.Revision()
	c.sendNode(connection, wire.Frame{Kind: wire.FrameUpdate, Payload: payload})
}

func (c *Core) encodeSince(now kernel.Instant, revision uint64) []byte {
	return directory.EncodeUpdate(c.adjustWarmups(now, c.state.Since(revision)))
}

// encodedState is the whole state as nodes without state get it.
type encodedState struct {
	revision uint64
	madeAt   kernel.Instant
	payload  []byte
}

// firstState returns the bytes of the whole state.
func (c *Core) firstState(now kernel.Instant) []byte {
	kept := &c.encoded
	if kept.revision != c.state.Revision() || now.Sub(kept.madeAt) >= firstStateAge {
		*kept = encodedState{revision: c.state.Revision(), madeAt: now, payload: c.encodeSince(now, 0)}
	}
	return kept.payload
}

// orderedNodes returns the connections in a fixed order, so that a simulated run
// repeats.
func (c *Core) orderedNodes() []ConnectionID { return slices.Sorted(maps.Keys(c.nodes)) }

func (c *Core) sendNode(connection ConnectionID, frame wire.Frame) {
	c.output.Nodes = append(c.output.Nodes, NodeFrame{Connection: connection, Frame: frame})
}

// tickNodes sends signs of life, at once when what they say has changed.
func (c *Core) tickNodes(now kernel.Instant) {
	c.becameCurrent(now)
	c.spread(now)
	for _, connection := range c.orderedNodes() {
		c.tellAlive(now, connection)
	}
}

// tellAlive sends a node a sign of life when one is due, or when it says that
// this member is current or not, or another target or zone that is held for lost. The
// verdicts go with it only when they are others than before: after the loss of a zone of
// 6,000 targets their list is 24 kB, 60 kB/s for each node if each sign held it.
func (c *Core) tellAlive(now kernel.Instant, connection ConnectionID) {
	node := c.nodes[connection]
	current := c.IsCurrent(now)
	judged := c.liveness.verdicts.Verdicts
	changed := node.current != current || !judged.IsAsUrgentAs(node.verdicts)
	if now.Before(node.nextAlive) && !changed {
		return
	}
	node.nextAlive = now.Add(AliveInterval)
	node.current = current
	alive := Alive{
		Current: current && c.state.Revision() >= node.revision,
		Empty:   c.replica.Node == nil,
	}
	alive.Unchanged = alive.Current && node.keepsVerdicts && node.toldVerdicts && judged.Equal(node.verdicts)
	if !alive.Unchanged {
		alive.Verdicts = judged
	}
	// A node takes no verdicts of a member that is not current.
	node.toldVerdicts = alive.Current
	node.verdicts = judged
	if !alive.Current {
		alive.Leaderless = c.LeaderlessFor(now)
	}
	c.sendNode(connection, alive.Frame())
}
