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

// connectedBalancer is the state of a balancer connected to this member.
type connectedBalancer struct {
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

// balancerTable indexes the connected balancers by connection, nonce and cell.
type balancerTable struct {
	byConnection map[ConnectionID]*connectedBalancer
	byNonce      map[uint64]*connectedBalancer
	byCell       map[uint32]map[ConnectionID]*connectedBalancer
	// signals holds the latest signals by cell, and signalsReceivedAt their arrival.
	signals           map[uint32]wire.Signals
	signalsReceivedAt map[uint32]kernel.Instant
}

func newBalancerTable() *balancerTable {
	return &balancerTable{
		byConnection:      map[ConnectionID]*connectedBalancer{},
		byNonce:           map[uint64]*connectedBalancer{},
		byCell:            map[uint32]map[ConnectionID]*connectedBalancer{},
		signals:           map[uint32]wire.Signals{},
		signalsReceivedAt: map[uint32]kernel.Instant{},
	}
}

func (t *balancerTable) add(connection ConnectionID, report wire.NodeReport) *connectedBalancer {
	balancer, known := t.byConnection[connection]
	if known && balancer.nonce == report.Nonce {
		return balancer
	}
	balancer = &connectedBalancer{connection: connection, nonce: report.Nonce, cell: report.Cell}
	t.byConnection[connection] = balancer
	t.byNonce[report.Nonce] = balancer
	cell, exists := t.byCell[report.Cell]
	if !exists {
		cell = map[ConnectionID]*connectedBalancer{}
		t.byCell[report.Cell] = cell
	}
	cell[connection] = balancer
	return balancer
}

func (t *balancerTable) remove(connection ConnectionID) {
	balancer, known := t.byConnection[connection]
	if !known {
		return
	}
	delete(t.byConnection, connection)
	delete(t.byCell[balancer.cell], connection)
	if t.byNonce[balancer.nonce] == balancer {
		delete(t.byNonce, balancer.nonce)
	}
}

// HandleBalancerFrame handles a frame from a connected balancer.
func (c *Core) HandleBalancerFrame(now kernel.Instant, connection ConnectionID, frame wire.Frame) Output {
	if c.replica.Err != nil || frame.Kind != wire.FrameReport {
		return Output{}
	}
	decoder := wire.NewDecoder(frame.Payload)
	report := wire.DecodeNodeReport(decoder)
	if err := decoder.Err("control.report"); err != nil {
		c.log(eventlog.BadFrame, "connection", connection, "err", err)
		return c.takeOutput()
	}
	balancer := c.balancers.add(connection, report)
	if !balancer.initialized {
		balancer.initialized = true
		balancer.sentRevision = report.Applied
		c.sendSignals(now, balancer)
	}
	balancer.recordReport(report.Applied)
	c.sendConfig(balancer)
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
func (b *connectedBalancer) recordReport(applied uint64) {
	b.sentRevision = max(b.sentRevision, applied)
	if applied != b.reportedRevision || applied >= b.sentRevision {
		b.reportedRevision = applied
		b.staleReports = 0
		return
	}
	b.staleReports++
	if b.staleReports >= staleReportsBeforeResend {
		b.sentRevision = applied
		b.staleReports = 0
	}
}

// BalancerDisconnected removes a balancer's closed connection.
func (c *Core) BalancerDisconnected(connection ConnectionID) { c.balancers.remove(connection) }

// ConnectedBalancers returns the number of balancers connected to this member.
func (c *Core) ConnectedBalancers() int { return len(c.balancers.byConnection) }

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
		c.sendToMember(leader, wire.ReportsFrame(reports))
	}
}

func (c *Core) deliverGrants(grants []wire.Grant) {
	for _, grant := range grants {
		if balancer, connected := c.balancers.byNonce[grant.Nonce]; connected {
			c.sendToBalancer(balancer.connection, wire.GrantFrame(grant))
		}
	}
}

// sortByConnection returns the balancers in the order in which they connected.
func sortByConnection(balancers map[ConnectionID]*connectedBalancer) []*connectedBalancer {
	sorted := make([]*connectedBalancer, 0, len(balancers))
	for _, id := range slices.Sorted(maps.Keys(balancers)) {
		sorted = append(sorted, balancers[id])
	}
	return sorted
}

// distributeConfig sends each connected balancer the configuration changes of its cell.
func (c *Core) distributeConfig() {
	for _, cell := range slices.Sorted(maps.Keys(c.balancers.byCell)) {
		balancers := c.balancers.byCell[cell]
		newest := c.store.CellRevision(cell)
		frames := map[uint64]wire.Frame{}
		for _, balancer := range sortByConnection(balancers) {
			if balancer.sentRevision < newest {
				c.sendConfigFrame(balancer, frames)
			}
		}
	}
}

func (c *Core) sendConfig(balancer *connectedBalancer) {
	if balancer.sentRevision < c.store.CellRevision(balancer.cell) {
		c.sendConfigFrame(balancer, map[uint64]wire.Frame{})
	}
}

// sendConfigFrame sends the changes since the revision last sent to the balancer. It
// caches the frame by that revision in frames, for other balancers at the same one.
func (c *Core) sendConfigFrame(balancer *connectedBalancer, frames map[uint64]wire.Frame) {
	frame, cached := frames[balancer.sentRevision]
	if !cached {
		payload, err := proto.Marshal(c.store.CellConfig(balancer.cell, balancer.sentRevision))
		if err != nil {
			c.log(eventlog.BadFrame, "err", err)
			return
		}
		frame = wire.Frame{Kind: wire.FrameConfig, Payload: payload}
		frames[balancer.sentRevision] = frame
	}
	balancer.sentRevision = c.store.Revision()
	c.sendToBalancer(balancer.connection, frame)
}

// PublishSignals sends the verdicts on a cell's targets to all members and connected
// balancers. It does nothing unless this member leads.
func (c *Core) PublishSignals(now kernel.Instant, cell uint32, targets []wire.TargetSignal) Output {
	if !c.IsLeader() {
		return c.takeOutput()
	}
	previous := c.balancers.signals[cell]
	signals := wire.Signals{
		Term:     c.replica.Node.Term(),
		Sequence: previous.Sequence + 1,
		Cell:     cell,
		Targets:  targets,
	}
	frame := wire.SignalsFrame(signals)
	for _, member := range c.store.Members() {
		if member.Id != uint32(c.settings.Raft.ID) {
			c.sendToMember(memberID(member.Id), frame)
		}
	}
	c.distributeSignals(now, signals)
	return c.takeOutput()
}

// distributeSignals stores signals that are newer than the stored ones and sends them
// to the connected balancers of the cell.
func (c *Core) distributeSignals(now kernel.Instant, signals wire.Signals) {
	previous := c.balancers.signals[signals.Cell]
	older := signals.Term < previous.Term
	older = older || signals.Term == previous.Term && signals.Sequence <= previous.Sequence
	if older {
		return
	}
	c.balancers.signals[signals.Cell] = signals
	c.balancers.signalsReceivedAt[signals.Cell] = now
	frame := wire.SignalsFrame(signals)
	for _, balancer := range sortByConnection(c.balancers.byCell[signals.Cell]) {
		c.sendToBalancer(balancer.connection, frame)
	}
}

// sendSignals sends the stored signals to a balancer that has just connected, with the
// uptimes advanced to now.
func (c *Core) sendSignals(now kernel.Instant, balancer *connectedBalancer) {
	signals, known := c.balancers.signals[balancer.cell]
	if !known {
		return
	}
	passed := now.Sub(c.balancers.signalsReceivedAt[balancer.cell])
	signals.Targets = slices.Clone(signals.Targets)
	for i := range signals.Targets {
		signals.Targets[i].UptimeMilliseconds = addMilliseconds(signals.Targets[i].UptimeMilliseconds, passed)
	}
	c.sendToBalancer(balancer.connection, wire.SignalsFrame(signals))
}
