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

// KeepaliveInterval is the time between two signs of life to a node.
const KeepaliveInterval = 400 * time.Millisecond

// updateIntervalPerNode is the time, for each subscribed node, between two rounds of
// updates: it bounds the frames that a member sends in a second.
const updateIntervalPerNode = 2 * time.Millisecond

// initialStateWait is how long a node without state waits for this member to be
// current before it gets what the member has.
const initialStateWait = 5 * time.Second

// initialStateTTL is how long the bytes of the whole state serve for further nodes, which
// come in hundreds after an outage. What is cold counts as cold for so much longer.
const initialStateTTL = 100 * time.Millisecond

// subscription is a connected node.
type subscription struct {
	name     string
	zone     string
	revision uint64
	// waitingSince is when the node began to wait for its first state.
	waitingSince  kernel.Instant
	nextKeepalive kernel.Instant
	current       bool
	verdicts      directory.Verdicts
	// cachesVerdicts is set on a node that need not hear the same verdicts again, and
	// toldVerdicts once it has those above.
	cachesVerdicts, verdictsSent bool
	// silent is the newest report of silent targets.
	silent   []SilentTarget
	silentAt kernel.Instant
	strength strength.Resources
	// stepsSent is the number of relative times that the node was told since it came, and
	// hasSteps is set once these were all.
	stepsSent   int
	hasAllSteps bool
}

// Subscribe begins the stream of updates to a node.
func (c *Core) Subscribe(now kernel.Instant, connection ConnectionID, subscribe Subscribe) Output {
	c.nodes[connection] = &subscription{
		name: subscribe.Node, zone: subscribe.Zone, revision: subscribe.Revision, waitingSince: now.Add(-subscribe.Waited), cachesVerdicts: subscribe.CachesVerdicts,
		strength: subscribe.Strength,
	}
	c.logEvent(eventlog.NodeSubscribed, "node", subscribe.Node, "zone", subscribe.Zone, "revision", subscribe.Revision, "strength", subscribe.Strength)
	c.strengths.isStale = true
	c.update(now, connection, map[uint64][]byte{})
	c.sendRemembered(now, connection)
	c.sendKeepalive(now, connection)
	return c.takeOutput()
}

// Unsubscribe ends the stream to a node.
func (c *Core) Unsubscribe(connection ConnectionID) {
	delete(c.nodes, connection)
	c.strengths.isStale = true
	c.room.nodes.Remove(connection)
}

// sendUpdates sends what has changed to all subscribed nodes. Nodes that are at the
// same revision get the same bytes. The more nodes there are, the more changes
// travel together.
func (c *Core) sendUpdates(now kernel.Instant) {
	if now.Before(c.nextUpdate) {
		return
	}
	c.nextUpdate = now.Add(time.Duration(len(c.nodes)) * updateIntervalPerNode)
	payloads := map[uint64][]byte{}
	for _, connection := range c.sortedConnections() {
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
		c.nextUpdate = now
		c.remembered = rememberedPayloads{}
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
	if node.revision == 0 && !c.IsCurrent(now) && now.Sub(node.waitingSince) < initialStateWait {
		return
	}
	payload, made := payloads[node.revision]
	switch {
	case made:
	case node.revision == 0:
		payload = c.initialStatePayload(now)
	default:
		payload = c.encodeSince(now, node.revision)
		payloads[node.revision] = payload
	}
	node.revision = c.state.Revision()
	c.sendToNode(connection, wire.Frame{Kind: wire.FrameUpdate, Payload: payload})
}

func (c *Core) encodeSince(now kernel.Instant, revision uint64) []byte {
	return directory.EncodeUpdate(c.adjustWarmups(now, c.state.Since(revision)))
}

// initialState is the whole state as nodes without state get it.
type initialState struct {
	revision  uint64
	createdAt kernel.Instant
	payload   []byte
}

// initialStatePayload returns the bytes of the whole state.
func (c *Core) initialStatePayload(now kernel.Instant) []byte {
	kept := &c.initialState
	if kept.revision != c.state.Revision() || now.Sub(kept.createdAt) >= initialStateTTL {
		*kept = initialState{revision: c.state.Revision(), createdAt: now, payload: c.encodeSince(now, 0)}
	}
	return kept.payload
}

// sortedConnections returns the connections in a fixed order, so that a simulated run
// repeats.
func (c *Core) sortedConnections() []ConnectionID { return slices.Sorted(maps.Keys(c.nodes)) }

func (c *Core) sendToNode(connection ConnectionID, frame wire.Frame) {
	c.output.Nodes = append(c.output.Nodes, NodeFrame{Connection: connection, Frame: frame})
}

// tickNodes sends signs of life, at once when what they say has changed.
func (c *Core) tickNodes(now kernel.Instant) {
	c.becameCurrent(now)
	c.sendUpdates(now)
	for _, connection := range c.sortedConnections() {
		c.sendKeepalive(now, connection)
	}
}

// sendKeepalive sends a node a sign of life when one is due, or when it says that
// this member is current or not, or another target or zone that is held for lost. The
// verdicts go with it only when they are others than before: after the loss of a zone of
// 6,000 targets their list is 24 kB, 60 kB/s for each node if each sign held it.
func (c *Core) sendKeepalive(now kernel.Instant, connection ConnectionID) {
	node := c.nodes[connection]
	current := c.IsCurrent(now)
	judged := c.liveness.verdicts.Verdicts
	changed := node.current != current || !judged.IsAsUrgentAs(node.verdicts)
	if now.Before(node.nextKeepalive) && !changed {
		return
	}
	node.nextKeepalive = now.Add(KeepaliveInterval)
	node.current = current
	alive := Keepalive{
		Current: current && c.state.Revision() >= node.revision,
		Empty:   c.replica.Node == nil,
	}
	alive.Unchanged = alive.Current && node.cachesVerdicts && node.verdictsSent && judged.Equal(node.verdicts)
	if !alive.Unchanged {
		alive.Verdicts = judged
	}
	// A node takes no verdicts of a member that is not current.
	node.verdictsSent = alive.Current
	node.verdicts = judged
	if !alive.Current {
		alive.Leaderless = c.LeaderlessFor(now)
	}
	c.sendToNode(connection, alive.Frame())
}
