package registry

import (
	"slices"
	"time"

	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/room"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// Nodes report the usage of their links to their member, members send the leader summaries
// of their nodes, and the leader sends the summaries of the whole fleet to all members.
// None of this is replicated.

// sendThrottle suppresses the repetition of unchanged summaries until they would expire.
type sendThrottle struct {
	last       []room.ZoneSummary
	nextRepeat kernel.Instant
}

// isDue reports whether summaries must be sent: they changed, or the last ones are about to
// expire.
func (t *sendThrottle) isDue(now kernel.Instant, zones []room.ZoneSummary) bool {
	if now.Before(t.nextRepeat) && slices.Equal(zones, t.last) {
		return false
	}
	t.last = zones
	t.nextRepeat = now.Add(room.RepeatInterval)
	return true
}

// linkUsageTable holds the link usage of nodes.
type linkUsageTable struct {
	// nodes holds the reports of the nodes that follow this member.
	nodes room.Table[ConnectionID]
	// members holds the summaries of all members; used on the leader.
	members room.Table[string]
	// fleet is the newest message of the leader, or of this member while it leads, and
	// fleetAt when it was stored.
	fleet   room.Message
	fleetAt kernel.Instant
	// leaderThrottle limits the messages to the leader, or those of the leader to members;
	// nodeThrottle those to nodes.
	leaderThrottle, nodeThrottle sendThrottle
	nextRun                      kernel.Instant
	// isZoneFull is set while most nodes of some zone refuse new flows.
	isZoneFull bool
}

func newLinkUsageTable() linkUsageTable {
	return linkUsageTable{nodes: room.NewTable[ConnectionID](), members: room.NewTable[string]()}
}

// RecordLinkUsage records a subscribed node's report of its link usage.
func (c *Core) RecordLinkUsage(now kernel.Instant, connection ConnectionID, report room.LinkReport) {
	if node, connected := c.nodes[connection]; connected {
		c.linkUsage.nodes.RecordReport(now, connection, node.zone, report)
	}
}

// tickLinkUsage sends this member's summaries to the leader, or as the leader those of the
// fleet to all members, and the zone summaries to the nodes.
func (c *Core) tickLinkUsage(now kernel.Instant) {
	if now.Before(c.linkUsage.nextRun) {
		return
	}
	c.linkUsage.nextRun = now.Add(room.ReportInterval)
	own := c.linkUsage.nodes.Summaries(now)
	if c.IsLeader() {
		c.publishFleetUsage(now, own)
	} else if len(own) > 0 && c.linkUsage.leaderThrottle.isDue(now, own) {
		c.sendToMember(c.address(c.replica.Node.Leader()), room.Message{Member: c.settings.Address, Zones: own}.Frame())
	}
	c.sendUsageToNodes(now)
}

// publishFleetUsage combines the summaries of all members and sends them to all members.
func (c *Core) publishFleetUsage(now kernel.Instant, own []room.ZoneSummary) {
	c.linkUsage.members.RecordSummaries(now, c.settings.Address, own)
	zones := c.linkUsage.members.Summaries(now)
	if len(zones) == 0 || !c.linkUsage.leaderThrottle.isDue(now, zones) {
		return
	}
	c.setFleetUsage(now, room.Message{Term: c.replica.Node.Term(), Zones: zones})
	for _, member := range c.state.Members() {
		c.sendToMember(member.Address, c.linkUsage.fleet.Frame())
	}
}

// receiveLinkUsage handles the summaries of a member or the leader's of the whole fleet.
func (c *Core) receiveLinkUsage(now kernel.Instant, payload []byte) error {
	message, err := room.Decode(payload)
	if err != nil || message.Report != nil {
		return err
	}
	if message.Member != "" {
		c.linkUsage.members.RecordSummaries(now, message.Member, message.Zones)
		return nil
	}
	c.setFleetUsage(now, message)
	return nil
}

// setFleetUsage stores the fleet's summaries. It ignores those of an earlier term while
// newer ones have not expired.
func (c *Core) setFleetUsage(now kernel.Instant, message room.Message) {
	if message.Term < c.linkUsage.fleet.Term && now.Sub(c.linkUsage.fleetAt) < room.ReportLifetime {
		return
	}
	c.linkUsage.fleet = message
	c.linkUsage.fleetAt = now
	c.logFullZones(message.Zones)
}

// logFullZones logs when most nodes of some zone start to refuse new flows, and when there
// is no such zone any more.
func (c *Core) logFullZones(zones []room.ZoneSummary) {
	fullest := slices.IndexFunc(zones, func(zone room.ZoneSummary) bool { return 2*int(zone.RefusingNodes) > zone.Nodes() })
	switch {
	case fullest >= 0 && !c.linkUsage.isZoneFull:
		zone := zones[fullest]
		c.logEvent(eventlog.ZoneShortOfRoom, "zone", zone.Zone, "nodes", zone.Nodes(), "refusing", zone.RefusingNodes, "rate", zone.Rate, "used", zone.UsedRate)
	case fullest < 0 && c.linkUsage.isZoneFull:
		c.logEvent(eventlog.ZonesHaveRoom, "zones", len(zones))
	}
	c.linkUsage.isZoneFull = fullest >= 0
}

// sendUsageToNodes sends each node the summary of its zone if one is due.
func (c *Core) sendUsageToNodes(now kernel.Instant) {
	if len(c.linkUsage.fleet.Zones) == 0 || now.Sub(c.linkUsage.fleetAt) >= room.ReportLifetime || !c.linkUsage.nodeThrottle.isDue(now, c.linkUsage.fleet.Zones) {
		return
	}
	frames := map[string]wire.Frame{}
	for _, zone := range c.linkUsage.fleet.Zones {
		frames[zone.Zone] = room.Message{Term: c.linkUsage.fleet.Term, Zones: []room.ZoneSummary{zone}}.Frame()
	}
	for _, connection := range c.sortedConnections() {
		if frame, known := frames[c.nodes[connection].zone]; known {
			c.sendToNode(connection, frame)
		}
	}
}

// LinkUsage returns the fleet's summaries by zone and their age.
func (c *Core) LinkUsage(now kernel.Instant) ([]room.ZoneSummary, time.Duration) {
	return c.linkUsage.fleet.Zones, now.Sub(c.linkUsage.fleetAt)
}

type linkReportInput struct {
	connection ConnectionID
	report     room.LinkReport
}

func (i linkReportInput) handle(p *Process, now kernel.Instant) Output {
	if p.core != nil {
		p.core.RecordLinkUsage(now, i.connection, i.report)
	}
	return Output{}
}

// receiveLinkReport handles a node's link report. The report may be dropped under load,
// since the node repeats it.
func (p *Process) receiveLinkReport(connection ConnectionID, frame wire.Frame) {
	message, err := room.Decode(frame.Payload)
	if err != nil {
		p.logger.Event(eventlog.BadFrame, "connection", connection, "kind", frame.Kind, "err", err)
		return
	}
	if message.Report != nil {
		p.inputs.TryPush(linkReportInput{connection: connection, report: *message.Report})
	}
}
