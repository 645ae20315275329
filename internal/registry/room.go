package registry

import (
	"slices"
	"time"

	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/room"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// Nodes tell their member how their links are used, members tell the leader the sums of
// their nodes, and the leader tells all the fleet's. None of it is replicated.

// sendThrottle tells the same again only now and then.
type sendThrottle struct {
	last       []room.ZoneSummary
	nextRepeat kernel.Instant
}

// isDue reports whether sums are to be told: they are others, or the last ones age out.
func (t *sendThrottle) isDue(now kernel.Instant, zones []room.ZoneSummary) bool {
	if now.Before(t.nextRepeat) && slices.Equal(zones, t.last) {
		return false
	}
	t.last = zones
	t.nextRepeat = now.Add(room.RepeatInterval)
	return true
}

// linkUsageTable knows how the links of nodes are used.
type linkUsageTable struct {
	// nodes are the words of this member's nodes.
	nodes room.Table[ConnectionID]
	// members are the sums of all members, on the leader.
	members room.Table[string]
	// fleet is what the leader told last, or found itself, and fleetAt when.
	fleet   room.Message
	fleetAt kernel.Instant
	// leaderThrottle and nodeThrottle are what was told last.
	leaderThrottle, nodeThrottle sendThrottle
	nextRun                      kernel.Instant
	// isZoneFull is set while most nodes refuse new flows.
	isZoneFull bool
}

func newLinkUsageTable() linkUsageTable {
	return linkUsageTable{nodes: room.NewTable[ConnectionID](), members: room.NewTable[string]()}
}

// RecordLinkUsage notes what a subscribed node tells of its link.
func (c *Core) RecordLinkUsage(now kernel.Instant, connection ConnectionID, word room.LinkReport) {
	if node, connected := c.nodes[connection]; connected {
		c.room.nodes.RecordReport(now, connection, node.zone, word)
	}
}

// tickLinkUsage tells the leader how this member's nodes are used, or as the leader all
// members how all are, and nodes what is known of their zones.
func (c *Core) tickLinkUsage(now kernel.Instant) {
	if now.Before(c.room.nextRun) {
		return
	}
	c.room.nextRun = now.Add(room.ReportInterval)
	own := c.room.nodes.Summaries(now)
	if c.IsLeader() {
		c.publishFleetUsage(now, own)
	} else if len(own) > 0 && c.room.leaderThrottle.isDue(now, own) {
		c.sendToMember(c.address(c.replica.Node.Leader()), room.Message{Member: c.settings.Address, Zones: own}.Frame())
	}
	c.sendUsageToNodes(now)
}

// publishFleetUsage sums up what all members told and tells them.
func (c *Core) publishFleetUsage(now kernel.Instant, own []room.ZoneSummary) {
	c.room.members.RecordSummaries(now, c.settings.Address, own)
	zones := c.room.members.Summaries(now)
	if len(zones) == 0 || !c.room.leaderThrottle.isDue(now, zones) {
		return
	}
	c.setFleetUsage(now, room.Message{Term: c.replica.Node.Term(), Zones: zones})
	for _, member := range c.state.Members() {
		c.sendToMember(member.Address, c.room.fleet.Frame())
	}
}

// receiveLinkUsage takes the sums of a member, or the leader's of all.
func (c *Core) receiveLinkUsage(now kernel.Instant, payload []byte) error {
	message, err := room.Decode(payload)
	if err != nil || message.Report != nil {
		return err
	}
	if message.Member != "" {
		c.room.members.RecordSummaries(now, message.Member, message.Zones)
		return nil
	}
	c.setFleetUsage(now, message)
	return nil
}

// setFleetUsage takes the fleet's sums. Those of a leader that has been replaced are left out.
func (c *Core) setFleetUsage(now kernel.Instant, message room.Message) {
	if message.Term < c.room.fleet.Term && now.Sub(c.room.fleetAt) < room.ReportLifetime {
		return
	}
	c.room.fleet = message
	c.room.fleetAt = now
	c.logFullZones(message.Zones)
}

// logFullZones writes an event when most nodes of a zone begin to refuse new flows, and when
// none of the zones has that any more.
func (c *Core) logFullZones(zones []room.ZoneSummary) {
	fullest := slices.IndexFunc(zones, func(zone room.ZoneSummary) bool { return 2*int(zone.RefusingNodes) > zone.Nodes() })
	switch {
	case fullest >= 0 && !c.room.isZoneFull:
		zone := zones[fullest]
		c.logEvent(eventlog.ZoneShortOfRoom, "zone", zone.Zone, "nodes", zone.Nodes(), "refusing", zone.RefusingNodes, "rate", zone.Rate, "used", zone.UsedRate)
	case fullest < 0 && c.room.isZoneFull:
		c.logEvent(eventlog.ZonesHaveRoom, "zones", len(zones))
	}
	c.room.isZoneFull = fullest >= 0
}

// sendUsageToNodes tells each node the sums of its zone.
func (c *Core) sendUsageToNodes(now kernel.Instant) {
	if len(c.room.fleet.Zones) == 0 || now.Sub(c.room.fleetAt) >= room.ReportLifetime || !c.room.nodeThrottle.isDue(now, c.room.fleet.Zones) {
		return
	}
	frames := map[string]wire.Frame{}
	for _, zone := range c.room.fleet.Zones {
		frames[zone.Zone] = room.Message{Term: c.room.fleet.Term, Zones: []room.ZoneSummary{zone}}.Frame()
	}
	for _, connection := range c.sortedConnections() {
		if frame, known := frames[c.nodes[connection].zone]; known {
			c.sendToNode(connection, frame)
		}
	}
}

// LinkUsage returns the fleet's sums by zone and their age.
func (c *Core) LinkUsage(now kernel.Instant) ([]room.ZoneSummary, time.Duration) {
	return c.room.fleet.Zones, now.Sub(c.room.fleetAt)
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

// receiveLinkReport takes what a node tells of its link. It may be dropped under load: the
// next one says the same.
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
