package steer

import (
	"cmp"
	"slices"
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

// A caller whose opening packet is taken shows it by its next packet, a few
// milliseconds later. One whose packet is refused comes back at once by another flow,
// which most often goes to another node: no node sees the refusal itself. So nodes
// count the opening packets that were followed by nothing.

const (
	// openingLimit is the time after which an opening packet has found no taker: some
	// times the longest usual one, which is twice the way between caller and target
	// in different zones (10 ms), and less than the 200 ms to its first copy.
	openingLimit = 60 * time.Millisecond
	// refusedFor is how long a target that took no opening packet is passed over at
	// this node: about the time between two of its heartbeats, the next sign of it.
	refusedFor = time.Second
)

// ZoneOpenings counts opening packets to the targets of a zone since the last report.
type ZoneOpenings struct {
	Zone string
	// Opened were taken, and Refused found no taker.
	Opened, Refused uint32
}

// openingWatch follows the opening packets that are under way.
type openingWatch struct {
	flows map[FlowKey]*flowEntry
	zones map[string]*ZoneOpenings
	// refusing are the targets that took no opening packet, with their number.
	refusing map[*targetEntry]uint32
}

func newOpeningWatch() openingWatch {
	return openingWatch{flows: map[FlowKey]*flowEntry{}, zones: map[string]*ZoneOpenings{}, refusing: map[*targetEntry]uint32{}}
}

func (w *openingWatch) zone(name string) *ZoneOpenings {
	known, exists := w.zones[name]
	if !exists {
		known = &ZoneOpenings{Zone: name}
		w.zones[name] = known
	}
	return known
}

// noteOpened notes that an opening packet was taken.
func (w *openingWatch) noteOpened(key FlowKey, flow *flowEntry) {
	if _, waiting := w.flows[key]; waiting {
		delete(w.flows, key)
		w.zone(flow.target.target.Zone).Opened++
	}
}

// noteOverdue finds the opening packets that have found no taker.
func (w *openingWatch) noteOverdue(now kernel.Instant) {
	for key, flow := range w.flows {
		if now.Sub(flow.placedAt) < openingLimit {
			continue
		}
		delete(w.flows, key)
		flow.target.refusedAt = now
		w.refusing[flow.target]++
		w.zone(flow.target.target.Zone).Refused++
	}
}

// take returns what was counted since the last call.
func (w *openingWatch) take() (zones []ZoneOpenings, refusing []SilentTarget) {
	for _, counted := range w.zones {
		zones = append(zones, *counted)
	}
	for entry, count := range w.refusing {
		if entry.refusedAt > entry.answeredAt {
			refusing = append(refusing, SilentTarget{Token: entry.target.Token, Weight: count})
		}
	}
	slices.SortFunc(zones, func(a, b ZoneOpenings) int { return cmp.Compare(a.Zone, b.Zone) })
	slices.SortFunc(refusing, func(a, b SilentTarget) int { return cmp.Compare(a.Token, b.Token) })
	clear(w.zones)
	clear(w.refusing)
	return zones, refusing
}

// forgetUnderWay forgets the opening packets under way: the node was stopped, and
// what would show that they were taken waits in its socket.
func (w *openingWatch) forgetUnderWay() { clear(w.flows) }

// refuses reports whether a target took no opening packet lately and has not
// answered since.
func (entry *targetEntry) refuses(now kernel.Instant) bool {
	return entry.refusedAt > entry.answeredAt && now.Sub(entry.refusedAt) < refusedFor
}
