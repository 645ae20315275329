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

// KeepaliveInterval is the time between two keepalives to a node.
const KeepaliveInterval = 400 * time.Millisecond

// updateIntervalPerNode is multiplied by the number of subscribed nodes to give the
// interval between rounds of updates, which bounds the frames that a member sends per
// second.
const updateIntervalPerNode = 2 * time.Millisecond

// initialStateWait is how long a node without state waits for this member to become current
// before it is sent a state that may be outdated.
const initialStateWait = 5 * time.Second

// initialStateTTL is how long the encoded whole state is reused for further nodes, which
// may subscribe by the hundreds after an outage. The remaining warm-up times that it
// contains are outdated by up to this time.
const initialStateTTL = 100 * time.Millisecond

// subscription is the state of a subscribed node.
type subscription struct {
	name     string
	zone     string
	revision uint64
	// waitingSince is when the node began to wait for its initial state.
	waitingSince  kernel.Instant
	nextKeepalive kernel.Instant
	// current is whether this member was current at the last keepalive, and verdicts are
	// the ones it had then.
	current  bool
	verdicts directory.Verdicts
	// cachesVerdicts is set for a node that keeps the last verdicts, and verdictsSent when
	// the verdicts above were sent while this member was current.
	cachesVerdicts, verdictsSent bool
	// silent is the latest report of silent targets, and silentAt when it arrived.
	silent   []SilentTarget
	silentAt kernel.Instant
	strength strength.Resources
	// stepsSent is the number of relative target times sent to the node since it
	// subscribed, and hasAllSteps is set once all have been sent.
	stepsSent   int
	hasAllSteps bool
}

// Subscribe opens the stream of updates to a node.
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

// Unsubscribe closes the stream of updates to a node.
func (c *Core) Unsubscribe(connection ConnectionID) {
	delete(c.nodes, connection)
	c.strengths.isStale = true
	c.linkUsage.nodes.Remove(connection)
}

// sendUpdates sends changes to all subscribed nodes. Nodes at the same revision share the
// encoded update. The interval grows with the number of nodes, so that updates are batched.
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

// becameCurrent reports whether this member has become current since the last call. If so,
// updates are due at once, since nodes without state wait for them, and the persisted state
// is no longer sent.
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

// update sends a node the changes since its revision. A node that is ahead of this member
// gets no update until the member has caught up, and a node without state gets none while
// the member is not current unless it has waited for initialStateWait.
func (c *Core) update(now kernel.Instant, connection ConnectionID, payloads map[uint64][]byte) {
	node := c.nodes[connection]
	if c.state.Revision() <= node.revision {
		return
	}
	if node.revision == 0 && !c.IsCurrent(now) && now.Sub(node.waitingSince) < initialStateWait {
		return
	}
	payload, cached := payloads[node.revision]
	switch {
	case cached:
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
	return directory.EncodeUpdate(c.adjustWarmups(now, c.state.UpdateSince(revision)))
}

// initialState caches the encoded whole state for nodes without state.
type initialState struct {
	revision  uint64
	createdAt kernel.Instant
	payload   []byte
}

// initialStatePayload returns the encoded whole state.
func (c *Core) initialStatePayload(now kernel.Instant) []byte {
	cache := &c.initialState
	if cache.revision != c.state.Revision() || now.Sub(cache.createdAt) >= initialStateTTL {
		*cache = initialState{revision: c.state.Revision(), createdAt: now, payload: c.encodeSince(now, 0)}
	}
	return cache.payload
}

// sortedConnections returns the connections in a fixed order to keep simulations
// reproducible.
func (c *Core) sortedConnections() []ConnectionID { return slices.Sorted(maps.Keys(c.nodes)) }

func (c *Core) sendToNode(connection ConnectionID, frame wire.Frame) {
	c.output.Nodes = append(c.output.Nodes, NodeFrame{Connection: connection, Frame: frame})
}

// tickNodes sends due updates and keepalives.
func (c *Core) tickNodes(now kernel.Instant) {
	c.becameCurrent(now)
	c.sendUpdates(now)
	for _, connection := range c.sortedConnections() {
		c.sendKeepalive(now, connection)
	}
}

// sendKeepalive sends a keepalive if one is due, if this member became current or ceased to
// be, or if a verdict other than a suspicion changed. Unchanged verdicts are omitted,
// because their list can be long after the loss of a zone and would otherwise be sent with
// every keepalive, far more than a node may receive for control.
func (c *Core) sendKeepalive(now kernel.Instant, connection ConnectionID) {
	node := c.nodes[connection]
	current := c.IsCurrent(now)
	verdicts := c.liveness.verdicts.Verdicts
	changed := node.current != current || !verdicts.EqualIgnoringSuspects(node.verdicts)
	if now.Before(node.nextKeepalive) && !changed {
		return
	}
	node.nextKeepalive = now.Add(KeepaliveInterval)
	node.current = current
	keepalive := Keepalive{
		Current: current && c.state.Revision() >= node.revision,
		Empty:   c.replica.Node == nil,
	}
	keepalive.Unchanged = keepalive.Current && node.cachesVerdicts && node.verdictsSent && verdicts.Equal(node.verdicts)
	if !keepalive.Unchanged {
		keepalive.Verdicts = verdicts
	}
	// Nodes ignore verdicts from a member that is not current.
	node.verdictsSent = keepalive.Current
	node.verdicts = verdicts
	if !keepalive.Current {
		keepalive.Leaderless = c.LeaderlessFor(now)
	}
	c.sendToNode(connection, keepalive.Frame())
}
