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

// Targets that are down refuse opening packets or leave them without an answer. One
// node sees few of them; all nodes together see within a fraction of a second that a
// target, or most of a zone, takes none. New flows then go elsewhere until there is a
// sign of the target, or for a while in the case of a zone. Open flows are not touched.

const (
	// refusalLifetime is how long a report of refused opening packets counts.
	refusalLifetime = 500 * time.Millisecond
	// minRefusals is the number of refused opening packets, at silentNodesNeeded
	// nodes, from which on a target is suspected.
	minRefusals = 3
	// refusalSuspicionTime is how long a target is suspected without another sign: after that
	// its missing heartbeats speak for themselves.
	refusalSuspicionTime = 4 * time.Second
	// zoneWindow is the time in which the opening packets to a zone are compared, and
	// zoneRefusalsNeeded the number of refused ones needed for a verdict.
	zoneWindow      = 300 * time.Millisecond
	minZoneRefusals = 10
	// zoneRefusedShare is the share of refused opening packets from which on a zone is
	// avoided: links that lose a tenth of all packets refuse 0.27.
	zoneRefusedShare = 0.6
	// zoneAvoidTime is how long a zone is avoided, doubled up to longestZoneHold when it
	// refuses again within zoneAvoidTime after that.
	zoneAvoidTime    = time.Second
	maxZoneAvoidTime = 2 * time.Second
)

// zoneRecord is what the leader knows of the opening packets to a zone.
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

// openingTable holds opening packets as nodes report them. Each member sums up what
// its nodes report; the leader's records are those of all.
type openingTable struct {
	unsent  map[string]directory.ZoneOpenings
	refused map[directory.Token]SilentTarget
	zones   map[string]*zoneRecord
}

func newOpeningTable() openingTable {
	return openingTable{unsent: map[string]directory.ZoneOpenings{}, refused: map[directory.Token]SilentTarget{}, zones: map[string]*zoneRecord{}}
}

// add sums up the report of a node.
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

// drain returns the sums since the last call.
func (o *openingTable) drain() (zones []directory.ZoneOpenings, refused []SilentTarget) {
	zones = slices.SortedFunc(maps.Values(o.unsent), func(a, b directory.ZoneOpenings) int { return cmp.Compare(a.Zone, b.Zone) })
	refused = slices.SortedFunc(maps.Values(o.refused), func(a, b SilentTarget) int { return cmp.Compare(a.Token, b.Token) })
	clear(o.unsent)
	clear(o.refused)
	return zones, refused
}

// record enters a member's sums into the leader's records.
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

// evaluate reports whether new flows avoid the zone, and whether they do so from now on.
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

// avoidedZones returns the zones that new flows avoid. When most targets stand in
// them, the nodes are more likely at fault, and none is avoided.
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

// countTargetsIn counts the targets of some zones that have not ended.
func (c *Core) countTargetsIn(zones []string) int {
	count := 0
	c.state.EachTarget(func(target *directory.Target) {
		if target.State != directory.TargetEnded && slices.Contains(zones, target.Zone) {
			count++
		}
	})
	return count
}

// recordRefusal enters a member's report of a target that took no opening packets.
func (s *targetStatus) recordRefusal(now kernel.Instant, from string, refused SilentTarget) {
	if s.refusals == nil {
		s.refusals = map[string]silenceReport{}
	}
	report := s.refusals[from]
	if now.Sub(report.at) >= refusalLifetime {
		report = silenceReport{}
	}
	report.Weight += refused.Weight
	report.Nodes = max(report.Nodes, refused.Nodes)
	report.at = now
	s.refusals[from] = report
}

// isRefusing reports whether a target is suspected because it takes no opening packets.
// A sign of it ends that.
func (s *targetStatus) isRefusing(now kernel.Instant) bool {
	var weight, nodes uint32
	for _, report := range s.refusals {
		if now.Sub(report.at) < refusalLifetime {
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
