package control

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/raft"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// connectedNode is a balancer connected to this member.
type connectedNode struct {
	connection ConnectionID
	nonce      uint64
	cell       uint32
	sent       uint64
	known      bool
	// reported is the revision in the last report, and repeats how often it
	// came while a newer one had been sent.
	reported uint64
	repeats  int
}

// nodeTable holds the balancers connected to this member, by connection, by
// nonce and by cell.
type nodeTable struct {
	byConnection map[ConnectionID]*connectedNode
	byNonce      map[uint64]*connectedNode
	byCell       map[uint32]map[ConnectionID]*connectedNode
	// signals are the newest of each cell, and signalsAt when they came.
	signals   map[uint32]wire.Signals
	signalsAt map[uint32]kernel.Instant
}

func newNodeTable() *nodeTable {
	return &nodeTable{
		byConnection: map[ConnectionID]*connectedNode{},
		byNonce:      map[uint64]*connectedNode{},
		byCell:       map[uint32]map[ConnectionID]*connectedNode{},
		signals:      map[uint32]wire.Signals{},
		signalsAt:    map[uint32]kernel.Instant{},
	}
}

func (t *nodeTable) add(connection ConnectionID, report wire.NodeReport) *connectedNode {
	node, known := t.byConnection[connection]
	if known && node.nonce == report.Nonce {
		return node
	}
	node = &connectedNode{connection: connection, nonce: report.Nonce, cell: report.Cell}
	t.byConnection[connection] = node
	t.byNonce[report.Nonce] = node
	cell, exists := t.byCell[report.Cell]
	if !exists {
		cell = map[ConnectionID]*connectedNode{}
		t.byCell[report.Cell] = cell
	}
	cell[connection] = node
	return node
}

func (t *nodeTable) remove(connection ConnectionID) {
	node, known := t.byConnection[connection]
	if !known {
		return
	}
	delete(t.byConnection, connection)
	delete(t.byCell[node.cell], connection)
	if t.byNonce[node.nonce] == node {
		delete(t.byNonce, node.nonce)
	}
}

// HandleNodeFrame handles a frame from a connected balancer.
func (c *Core) HandleNodeFrame(now kernel.Instant, connection ConnectionID, frame wire.Frame) Output {
	if c.replica.Err != nil || frame.Kind != wire.FrameReport {
		return Output{}
	}
	decoder := wire.NewDecoder(frame.Payload)
	report := wire.DecodeNodeReport(decoder)
	if err := decoder.Err("control.report"); err != nil {
		c.log(eventlog.BadFrame, "connection", connection, "err", err)
		return c.take()
	}
	node := c.nodes.add(connection, report)
	if !node.known {
		node.known = true
		node.sent = report.Applied
		c.sendSignals(now, node)
	}
	node.noteReport(report.Applied)
	c.sendConfig(node)
	if c.IsLeader() {
		c.deliverGrants(c.leases.receive(now, []wire.NodeReport{report}))
	} else {
		c.queuedReports = append(c.queuedReports, report)
		c.answerWithoutLeader(report)
	}
	c.replica.Flush(now)
	return c.take()
}

// answerWithoutLeader tells a balancer that this member runs but knows no
// leader, so that the balancer does not change to another member in vain.
func (c *Core) answerWithoutLeader(report wire.NodeReport) {
	if c.replica.Node.Leader() != raft.NoMember {
		return
	}
	c.deliverGrants([]wire.Grant{{Nonce: report.Nonce, Sequence: report.Sequence}})
}

// resendAfter is the number of reports with an old revision after which the
// configuration is sent again.
const resendAfter = 4

// noteReport finds out whether a configuration that was sent has got lost.
func (n *connectedNode) noteReport(applied uint64) {
	n.sent = max(n.sent, applied)
	if applied != n.reported || applied >= n.sent {
		n.reported = applied
		n.repeats = 0
		return
	}
	n.repeats++
	if n.repeats >= resendAfter {
		n.sent = applied
		n.repeats = 0
	}
}

// NodeDisconnected forgets a balancer's connection.
func (c *Core) NodeDisconnected(connection ConnectionID) { c.nodes.remove(connection) }

// ConnectedNodes returns the number of balancers connected to this member.
func (c *Core) ConnectedNodes() int { return len(c.nodes.byConnection) }

// forwardReports passes the reports of connected balancers on to the leader,
// many in one frame.
func (c *Core) forwardReports(now kernel.Instant) {
	if len(c.queuedReports) == 0 {
		return
	}
	reports := c.queuedReports
	c.queuedReports = nil
	if c.IsLeader() {
		c.deliverGrants(c.leases.receive(now, reports))
		return
	}
	if leader := c.replica.Node.Leader(); leader != 0 {
		c.sendMember(leader, wire.ReportsFrame(reports))
	}
}

func (c *Core) deliverGrants(grants []wire.Grant) {
	for _, grant := range grants {
		if node, connected := c.nodes.byNonce[grant.Nonce]; connected {
			c.sendNode(node.connection, wire.GrantFrame(grant))
		}
	}
}

// inOrder returns connections in the order in which they were opened.
func inOrder(nodes map[ConnectionID]*connectedNode) []*connectedNode {
	list := make([]*connectedNode, 0, len(nodes))
	for _, id := range slices.Sorted(maps.Keys(nodes)) {
		list = append(list, nodes[id])
	}
	return list
}

// spreadConfig sends each connected balancer what changed in its cell.
func (c *Core) spreadConfig() {
	for _, cell := range slices.Sorted(maps.Keys(c.nodes.byCell)) {
		nodes := c.nodes.byCell[cell]
		newest := c.store.CellRevision(cell)
		frames := map[uint64]wire.Frame{}
		for _, node := range inOrder(nodes) {
			if node.sent < newest {
				c.sendConfigFrame(node, frames)
			}
		}
	}
}

func (c *Core) sendConfig(node *connectedNode) {
	if node.sent < c.store.CellRevision(node.cell) {
		c.sendConfigFrame(node, map[uint64]wire.Frame{})
	}
}

// sendConfigFrame sends the difference to what the node has; nodes with the
// same revision share one encoding.
func (c *Core) sendConfigFrame(node *connectedNode, frames map[uint64]wire.Frame) {
	frame, made := frames[node.sent]
	if !made {
		payload, err := proto.Marshal(c.store.CellConfig(node.cell, node.sent))
		if err != nil {
			c.log(eventlog.BadFrame, "err", err)
			return
		}
		frame = wire.Frame{Kind: wire.FrameConfig, Payload: payload}
		frames[node.sent] = frame
	}
	node.sent = c.store.Revision()
	c.sendNode(node.connection, frame)
}

// PublishSignals spreads new verdicts on the targets of a cell; only a leader
// calls it.
func (c *Core) PublishSignals(now kernel.Instant, cell uint32, targets []wire.TargetSignal) Output {
	if !c.IsLeader() {
		return c.take()
	}
	previous := c.nodes.signals[cell]
	signals := wire.Signals{
		Term:     c.replica.Node.Term(),
		Sequence: previous.Sequence + 1,
		Cell:     cell,
		Targets:  targets,
	}
	frame := wire.SignalsFrame(signals)
	for _, member := range c.store.Members() {
		if member.Id != uint32(c.settings.Raft.ID) {
			c.sendMember(memberID(member.Id), frame)
		}
	}
	c.spreadSignals(now, signals)
	return c.take()
}

func (c *Core) spreadSignals(now kernel.Instant, signals wire.Signals) {
	previous := c.nodes.signals[signals.Cell]
	older := signals.Term < previous.Term
	older = older || signals.Term == previous.Term && signals.Sequence <= previous.Sequence
	if older {
		return
	}
	c.nodes.signals[signals.Cell] = signals
	c.nodes.signalsAt[signals.Cell] = now
	frame := wire.SignalsFrame(signals)
	for _, node := range inOrder(c.nodes.byCell[signals.Cell]) {
		c.sendNode(node.connection, frame)
	}
}

// sendSignals brings a balancer that has just connected the verdicts of its
// cell, with uptimes that have grown since.
func (c *Core) sendSignals(now kernel.Instant, node *connectedNode) {
	signals, known := c.nodes.signals[node.cell]
	if !known {
		return
	}
	passed := now.Sub(c.nodes.signalsAt[node.cell])
	signals.Targets = slices.Clone(signals.Targets)
	for i := range signals.Targets {
		signals.Targets[i].UptimeMilliseconds = addMilliseconds(signals.Targets[i].UptimeMilliseconds, passed)
	}
	c.sendNode(node.connection, wire.SignalsFrame(signals))
}
