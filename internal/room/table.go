package room

import (
	"maps"
	"slices"
	"strings"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

// entry is the latest report or summaries of a sender.
type entry struct {
	zones []ZoneSummary
	at    kernel.Instant
}

// Table keeps the latest report of each node, or the latest summaries of each member,
// and sums them up by zone.
type Table[K comparable] struct {
	entries map[K]entry
}

// NewTable returns an empty table.
func NewTable[K comparable]() Table[K] { return Table[K]{entries: map[K]entry{}} }

// RecordReport replaces the report of a node.
func (t *Table[K]) RecordReport(now kernel.Instant, from K, zone string, report LinkReport) {
	sum := ZoneSummary{Zone: zone}
	sum.addReport(report)
	t.RecordSummaries(now, from, []ZoneSummary{sum})
}

// RecordSummaries replaces the summaries of a member.
func (t *Table[K]) RecordSummaries(now kernel.Instant, from K, zones []ZoneSummary) {
	t.entries[from] = entry{zones: zones, at: now}
}

// Remove removes what a node or member has reported.
func (t *Table[K]) Remove(from K) { delete(t.entries, from) }

// Summaries removes expired entries and returns the sums of the others, sorted by zone.
func (t *Table[K]) Summaries(now kernel.Instant) []ZoneSummary {
	sums := map[string]*ZoneSummary{}
	for from, latest := range t.entries {
		if now.Sub(latest.at) >= ReportLifetime {
			delete(t.entries, from)
			continue
		}
		for _, zone := range latest.zones {
			sum, known := sums[zone.Zone]
			if !known {
				sum = &ZoneSummary{Zone: zone.Zone}
				sums[zone.Zone] = sum
			}
			sum.add(zone)
		}
	}
	var zones []ZoneSummary
	for _, name := range slices.SortedFunc(maps.Keys(sums), strings.Compare) {
		zones = append(zones, *sums[name])
	}
	return zones
}
