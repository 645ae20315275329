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

// connectedNode is the state of a balancer connected to this member.
type connectedNode struct {
	connection   ConnectionID
	nonce        uint64
	cell         uint32
	sentRevision uint64
	initialized  bool
	// reportedRevision is the revision in the last report. staleReports counts the
	// reports that repeated it although a newer revision had been sent.
	reportedRevision uint64
	staleReports     int
}

// nodeTable indexes the connected balancers by connection, nonce and cell.
type nodeTable struct {
	byConnection map[ConnectionID]*connectedNode
	byNonce      map[uint64]*connectedNode
	byCell       map[uint32]map[ConnectionID]*connectedNode
	// signals holds the latest signals by cell, and signalsReceivedAt their arrival.
	signals           map[uint32]wire.Signals
	signalsReceivedAt map[uint32]kernel.Instant
}

func newNodeTable() *nodeTable {
	return &nodeTable{
		byConnection:      map[ConnectionID]*connectedNode{},
		byNonce:           map[uint64]*connectedNode{},
		byCell:            map[uint32]map[ConnectionID]*connectedNode{},
		signals:           map[uint32]wire.Signals{},
		signalsReceivedAt: map[uint32]kernel.Instant{},
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

// HandleBalancerFrame handles a frame from a connected balancer.
func (c *Core) HandleBalancerFrame(now kernel.Instant, connection ConnectionID, frame wire.Frame) Output {
	if c.replica.Failed != nil || frame.Kind != wire.FrameReport {
		return Output{}
	}
	decoder := wire.NewDecoder(frame.Payload)
	report := wire.DecodeNodeReport(decoder)
	if err := decoder.Err("control.report"); err != nil {
		c.log(eventlog.BadFrame, "connection", connection, "err", err)
		return c.takeOutput()
	}
	node := c.nodes.add(connection, report)
	if !node.initialized {
		node.initialized = true
		node.sentRevision = report.Applied
		c.sendSignals(now, node)
	}
	node.recordReport(report.Applied)
	c.sendConfig(node)
	if c.IsLeader() {
		c.deliverGrants(c.leases.receive(now, []wire.NodeReport{report}))
	} else {
		c.queuedReports = append(c.queuedReports, report)
		c.reportNoLeader(report)
	}
	c.replica.Flush(now)
	return c.takeOutput()
}

// reportNoLeader sends an empty grant when this member knows no leader, so that the
// balancer doesn't switch to another member at once because a reply is missing.
func (c *Core) reportNoLeader(report wire.NodeReport) {
	if c.replica.Node.Leader() != raft.NoMember {
		return
	}
	c.deliverGrants([]wire.Grant{{Nonce: report.Nonce, Sequence: report.Sequence}})
}

// staleReportsBeforeResend is the number of stale reports after which the
// configuration is sent again.
const staleReportsBeforeResend = 4

// recordReport detects a lost configuration frame and schedules a retransmission.
func (n *connectedNode) recordReport(applied uint64) {
	n.sentRevision = max(n.sentRevision, applied)
	if applied != n.reportedRevision || applied >= n.sentRevision {
		n.reportedRevision = applied
		n.staleReports = 0
		return
	}
	n.staleReports++
	if n.staleReports >= staleReportsBeforeResend {
		n.sentRevision = applied
		n.staleReports = 0
	}
}

// BalancerDisconnected removes a balancer's closed connection.
func (c *Core) BalancerDisconnected(connection ConnectionID) { c.nodes.remove(connection) }

// ConnectedBalancers returns the number of balancers connected to this member.
func (c *Core) ConnectedBalancers() int { return len(c.nodes.byConnection) }

// forwardReports sends the queued reports to the leader in one frame. Without a leader
// they are dropped.
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

// sortByConnection returns the nodes in the order in which they connected.
func sortByConnection(nodes map[ConnectionID]*connectedNode) []*connectedNode {
	sorted := make([]*connectedNode, 0, len(nodes))
	for _, id := range slices.Sorted(maps.Keys(nodes)) {
		sorted = append(sorted, nodes[id])
	}
	return sorted
}

// distributeConfig sends each connected balancer the configuration changes of its cell.
func (c *Core) distributeConfig() {
	for _, cell := range slices.Sorted(maps.Keys(c.nodes.byCell)) {
		nodes := c.nodes.byCell[cell]
		newest := c.store.CellRevision(cell)
		frames := map[uint64]wire.Frame{}
		for _, node := range sortByConnection(nodes) {
			if node.sentRevision < newest {
				c.sendConfigFrame(node, frames)
			}
		}
	}
}

func (c *Core) sendConfig(node *connectedNode) {
	if node.sentRevision < c.store.CellRevision(node.cell) {
		c.sendConfigFrame(node, map[uint64]wire.Frame{})
	}
}

// sendConfigFrame sends the changes since the revision last sent to the node. Nodes
// with the same revision share the frame, which frames caches by revision.
func (c *Core) sendConfigFrame(node *connectedNode, frames map[uint64]wire.Frame) {
	frame, cached := frames[node.sentRevision]
	if !cached {
		payload, err := proto.Marshal(c.store.CellConfig(node.cell, node.sentRevision))
		if err != nil {
			c.log(eventlog.BadFrame, "err", err)
			return
		}
		frame = wire.Frame{Kind: wire.FrameConfig, Payload: payload}
		frames[node.sentRevision] = frame
	}
	node.sentRevision = c.store.Revision()
	c.sendNode(node.connection, frame)
}

// PublishSignals sends the verdicts on a cell's targets to all members and connected
// balancers. It does nothing unless this member leads.
func (c *Core) PublishSignals(now kernel.Instant, cell uint32, targets []wire.TargetSignal) Output {
	if !c.IsLeader() {
		return c.takeOutput()
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
	c.distributeSignals(now, signals)
	return c.takeOutput()
}

// distributeSignals stores signals that are newer than the stored ones and sends them
// to the connected balancers of the cell.
func (c *Core) distributeSignals(now kernel.Instant, signals wire.Signals) {
	previous := c.nodes.signals[signals.Cell]
	older := signals.Term < previous.Term
	older = older || signals.Term == previous.Term && signals.Sequence <= previous.Sequence
	if older {
		return
	}
	c.nodes.signals[signals.Cell] = signals
	c.nodes.signalsReceivedAt[signals.Cell] = now
	frame := wire.SignalsFrame(signals)
	for _, node := range sortByConnection(c.nodes.byCell[signals.Cell]) {
		c.sendNode(node.connection, frame)
	}
}

// sendSignals sends the stored signals to a balancer that has just connected, with the
// uptimes advanced to now.
func (c *Core) sendSignals(now kernel.Instant, node *connectedNode) {
	signals, known := c.nodes.signals[node.cell]
	if !known {
		return
	}
	passed := now.Sub(c.nodes.signalsReceivedAt[node.cell])
	signals.Targets = slices.Clone(signals.Targets)
	for i := range signals.Targets {
		signals.Targets[i].UptimeMilliseconds = addMilliseconds(signals.Targets[i].UptimeMilliseconds, passed)
	}
	c.sendNode(node.connection, wire.SignalsFrame(signals))
}
