package registry

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/rendezvous"
	"github.com/beamdoor/beamdoor/internal/strength"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// weightInterval is the minimum time between two computations of the weights in
// tickStrengths. It batches the changes when many nodes subscribe at once.
const weightInterval = time.Second

// strengthTable holds the weights of the nodes that follow this member.
type strengthTable struct {
	// isStale is set when the weights must be recomputed.
	isStale    bool
	computedAt kernel.Instant
	// weighted are the nodes with their weights; the seed of each is its NodeKey.
	weighted []rendezvous.Node
	// unstated is the number of nodes that state no processor.
	unstated int
	// capped are the nodes whose weight is lower than the strength that they state.
	capped map[string]bool
}

// UpdateStrength sets the strength that a subscribed node states.
func (c *Core) UpdateStrength(connection ConnectionID, stated strength.Resources) Output {
	node, follows := c.nodes[connection]
	if !follows || node.strength == stated {
		return c.takeOutput()
	}
	c.output.Events = append(c.output.Events, LogEvent{Event: eventlog.StrengthChanged, Sampled: true, Fields: []any{
		"node", node.name, "before", node.strength, "strength", stated}})
	node.strength = stated
	c.strengths.isStale = true
	return c.takeOutput()
}

// tickStrengths recomputes stale weights at most once per weightInterval, so that an
// implausible strength is logged even if the weights are not used.
func (c *Core) tickStrengths(now kernel.Instant) {
	if c.strengths.isStale && now.Sub(c.strengths.computedAt) >= weightInterval {
		c.strengths.computedAt = now
		c.weightedNodes()
	}
}

// weightedNodes returns the nodes that follow this member with their weights. If a node has
// several connections, the latest counts.
func (c *Core) weightedNodes() []rendezvous.Node {
	table := &c.strengths
	if !table.isStale {
		return table.weighted
	}
	positions := map[uint32]int{}
	var nodes []*subscription
	for _, connection := range c.sortedConnections() {
		node := c.nodes[connection]
		key := directory.NodeKey(node.name)
		if position, known := positions[key]; known {
			nodes[position] = node
			continue
		}
		positions[key] = len(nodes)
		nodes = append(nodes, node)
	}
	c.computeWeights(nodes)
	table.isStale = false
	return table.weighted
}

func (c *Core) computeWeights(nodes []*subscription) {
	stated := make([]strength.Resources, len(nodes))
	for position, node := range nodes {
		stated[position] = node.strength
	}
	weights := strength.Weights(stated)
	weighted := make([]rendezvous.Node, len(nodes))
	capped := map[string]bool{}
	unstated := 0
	for position, node := range nodes {
		weighted[position] = rendezvous.Node{Seed: uint64(directory.NodeKey(node.name)), Weight: weights[position]}
		if node.strength.CPU() == 0 {
			unstated++
		}
		if !strength.IsCapped(node.strength, weights[position]) {
			continue
		}
		capped[node.name] = true
		if !c.strengths.capped[node.name] {
			c.output.Events = append(c.output.Events, LogEvent{Event: eventlog.StrengthBounded, Sampled: true, Fields: []any{
				"node", node.name, "strength", node.strength, "weight", weights[position]}})
		}
	}
	c.strengths.weighted = weighted
	c.strengths.capped = capped
	c.strengths.unstated = unstated
}

// receiveStrength handles a subscription on an open connection, by which a node states that
// its machine has changed.
func (p *Process) receiveStrength(connection ConnectionID, frame wire.Frame) {
	if frame.Kind != wire.FrameSubscribe {
		return
	}
	subscribe, err := DecodeSubscribe(frame.Payload)
	if err != nil {
		p.logger.Event(eventlog.BadFrame, "connection", connection, "err", err)
		return
	}
	p.inputs.Push(strengthInput{connection: connection, resources: subscribe.Strength})
}

type strengthInput struct {
	connection ConnectionID
	resources  strength.Resources
}

func (i strengthInput) handle(p *Process, _ kernel.Instant) Output {
	p.heartbeatDistributor.SetStrength(uint64(i.connection), i.resources)
	if p.core == nil {
		return Output{}
	}
	return p.core.UpdateStrength(i.connection, i.resources)
}
