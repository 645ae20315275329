package room

import (
	"maps"
	"slices"
	"strings"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

// heard is what a node or a member told last.
type entry struct {
	zones []ZoneSummary
	at    kernel.Instant
}

// Table sums up the newest words of nodes, or the newest sums of members, by zone.
type Table[K comparable] struct {
	entries map[K]entry
}

// NewTable returns a table that knows nothing.
func NewTable[K comparable]() Table[K] { return Table[K]{entries: map[K]entry{}} }

// RecordReport notes a node's word.
func (t *Table[K]) RecordReport(now kernel.Instant, from K, zone string, word LinkReport) {
	sum := ZoneSummary{Zone: zone}
	sum.addReport(word)
	t.RecordSummaries(now, from, []ZoneSummary{sum})
}

// RecordSummaries notes the sums of a member.
func (t *Table[K]) RecordSummaries(now kernel.Instant, from K, zones []ZoneSummary) {
	t.entries[from] = entry{zones: zones, at: now}
}

// Remove forgets who is gone.
func (t *Table[K]) Remove(from K) { delete(t.entries, from) }

// Summaries returns the sums by zone of all that has not aged out, in the order of the zones.
func (t *Table[K]) Summaries(now kernel.Instant) []ZoneSummary {
	sums := map[string]*ZoneSummary{}
	for from, told := range t.entries {
		if now.Sub(told.at) >= ReportLifetime {
			delete(t.entries, from)
			continue
		}
		for _, zone := range told.zones {
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
