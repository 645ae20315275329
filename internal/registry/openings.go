package registry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

// Targets that are down refuse opening packets or do not answer them; both are counted as
// refusals. All nodes together detect within a fraction of a second that a target, or most
// of a zone, accepts none. New flows then avoid the target until it answers or sends a
// heartbeat, and the zone for a limited time. Open flows are not affected.

const (
	// refusalReportTTL is how long a report of refused opening packets is valid.
	refusalReportTTL = 500 * time.Millisecond
	// minRefusals is the number of refused opening packets, at minSilentNodes nodes or
	// more, that makes a target suspect.
	minRefusals = 3
	// refusalSuspicionTime is how long refusals keep a target suspect without further
	// evidence. By then missing heartbeats tell whether it is down.
	refusalSuspicionTime = 4 * time.Second
	// zoneWindow is the period over which the opening packets to a zone are counted, and
	// minZoneRefusals the number of refusals that a verdict needs.
	zoneWindow      = 300 * time.Millisecond
	minZoneRefusals = 10
	// zoneRefusedShare is the share of refused opening packets from which a zone is
	// avoided. It is well above what links with 10 % packet loss cause.
	zoneRefusedShare = 0.6
	// zoneAvoidTime is how long a zone is avoided. The time doubles, up to maxZoneAvoidTime,
	// if the zone refuses again within zoneAvoidTime after it was last avoided.
	zoneAvoidTime    = time.Second
	maxZoneAvoidTime = 2 * time.Second
)

// zoneRecord is the leader's record of the opening packets to a zone.
type zoneRecord struct {
	// counts are those of the last zoneWindow.
	counts     []timedOpenings
	avoidUntil kernel.Instant
	avoidTime  time.Duration
}

type timedOpenings struct {
	at kernel.Instant
	directory.ZoneOpenings
}

// openingTable holds the opening packets that nodes report. Each member adds up the reports
// of its nodes; the records on the leader cover all members.
type openingTable struct {
	unsent  map[string]directory.ZoneOpenings
	refused map[directory.Token]SilentTarget
	zones   map[string]*zoneRecord
}

func newOpeningTable() openingTable {
	return openingTable{unsent: map[string]directory.ZoneOpenings{}, refused: map[directory.Token]SilentTarget{}, zones: map[string]*zoneRecord{}}
}

// add adds the report of a node.
func (o *openingTable) add(evidence Evidence) {
	for _, counted := range evidence.Openings {
		sum := o.unsent[counted.Zone]
		sum.Zone = counted.Zone
		sum.Opened += counted.Opened
		sum.Refused += counted.Refused
		o.unsent[counted.Zone] = sum
	}
	for _, refusing := range evidence.Refused {
		o.refused[refusing.Token] = o.refused[refusing.Token].add(refusing)
	}
}

// drain returns and clears the sums since the last call.
func (o *openingTable) drain() (zones []directory.ZoneOpenings, refused []SilentTarget) {
	zones = slices.SortedFunc(maps.Values(o.unsent), func(a, b directory.ZoneOpenings) int { return cmp.Compare(a.Zone, b.Zone) })
	refused = slices.SortedFunc(maps.Values(o.refused), func(a, b SilentTarget) int { return cmp.Compare(a.Token, b.Token) })
	clear(o.unsent)
	clear(o.refused)
	return zones, refused
}

// record adds a member's sums to the leader's records.
func (o *openingTable) record(now kernel.Instant, zones []directory.ZoneOpenings) {
	for _, counted := range zones {
		record, known := o.zones[counted.Zone]
		if !known {
			record = &zoneRecord{}
			o.zones[counted.Zone] = record
		}
		record.counts = append(record.counts, timedOpenings{at: now, ZoneOpenings: counted})
	}
}

// evaluate reports whether new flows avoid the zone, and whether this has just begun.
func (z *zoneRecord) evaluate(now kernel.Instant) (avoided, begins bool) {
	z.counts = slices.DeleteFunc(z.counts, func(counted timedOpenings) bool { return now.Sub(counted.at) >= zoneWindow })
	if now.Before(z.avoidUntil) {
		return true, false
	}
	opened, refused := z.sum()
	if refused < minZoneRefusals || float64(refused) < zoneRefusedShare*float64(opened+refused) {
		return false, false
	}
	if z.avoidUntil == 0 || now.Sub(z.avoidUntil) > zoneAvoidTime {
		z.avoidTime = zoneAvoidTime / 2
	}
	z.avoidTime = min(2*z.avoidTime, maxZoneAvoidTime)
	z.avoidUntil = now.Add(z.avoidTime)
	return true, true
}

func (z *zoneRecord) sum() (opened, refused uint32) {
	for _, counted := range z.counts {
		opened += counted.Opened
		refused += counted.Refused
	}
	return opened, refused
}

// avoidedZones returns the zones that new flows avoid. If they hold most of the targets,
// the nodes are more likely at fault, and it returns none.
func (c *Core) avoidedZones(now kernel.Instant) []string {
	var avoided []string
	for _, zone := range slices.Sorted(maps.Keys(c.openings.zones)) {
		record := c.openings.zones[zone]
		opened, refused := record.sum()
		isAvoided, begins := record.evaluate(now)
		if begins {
			c.logEvent(eventlog.ZoneAvoided, "zone", zone, "opened", opened, "refused", refused, "hold", record.avoidTime)
		}
		if isAvoided {
			avoided = append(avoided, zone)
		}
	}
	if len(avoided) > 0 && c.countTargetsIn(avoided) > c.state.TargetCount()/verdictShareDivisor {
		return nil
	}
	return avoided
}

// countTargetsIn counts the targets in the given zones that have not ended.
func (c *Core) countTargetsIn(zones []string) int {
	count := 0
	c.state.EachTarget(func(target *directory.Target) {
		if target.State != directory.TargetEnded && slices.Contains(zones, target.Zone) {
			count++
		}
	})
	return count
}

// recordRefusal adds a member's report of refused opening packets.
func (s *targetLiveness) recordRefusal(now kernel.Instant, from string, refused SilentTarget) {
	if s.refusals == nil {
		s.refusals = map[string]silenceReport{}
	}
	report := s.refusals[from]
	if now.Sub(report.at) >= refusalReportTTL {
		report = silenceReport{}
	}
	report.Weight += refused.Weight
	report.Nodes = max(report.Nodes, refused.Nodes)
	report.at = now
	s.refusals[from] = report
}

// isRefusing reports whether a target is suspect because it refuses opening packets. A
// later heartbeat or answer ends that.
func (s *targetLiveness) isRefusing(now kernel.Instant) bool {
	var weight, nodes uint32
	for _, report := range s.refusals {
		if now.Sub(report.at) < refusalReportTTL {
			weight += report.Weight
			nodes += report.Nodes
		}
	}
	if weight >= minRefusals && nodes >= minSilentNodes {
		s.refusedAt = now
		s.refusals = nil
	}
	return s.refusedAt > s.lastSeen() && now.Sub(s.refusedAt) < refusalSuspicionTime
}
