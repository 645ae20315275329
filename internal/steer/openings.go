package steer

import (
	"cmp"
	"slices"
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

// A caller whose opening packet is taken shows it by its next packet, a few
// milliseconds later. One whose packet is refused comes back at once by another flow,
// which most often goes to another node: no node sees the refusal itself. So nodes
// count the opening packets that were followed by nothing.

const (
	// shortestOpeningLimit is the least time after which an opening packet has found no
	// taker: some times the longest usual one where zones are 1.4 ms and callers 3 ms
	// away (10 ms). Where callers or zones are farther, a node learns a longer one.
	minOpeningTimeout = 60 * time.Millisecond
	// longestOpeningLimit is less than the 200 ms after which a caller sends a copy.
	maxOpeningTimeout = 180 * time.Millisecond
	// The weights of a new opening in the usual time and its deviation, as parts of
	// one, and the deviations that are added to the usual time (RFC 6298, section 2).
	meanDivisor      = 8
	deviationDivisor = 4
	deviationFactor  = 4
	// recentKept is the part of the recent openings that still counts at the next report:
	// half of them after 0.7 s, where reports come each 100 ms.
	recentDecay = 0.9
	// leastRecent is the number of openings of a zone, counted so, that is forgotten.
	minRecent = 0.5
	// refusedFor is how long a target that took no opening packet is passed over at
	// this node: about the time between two of its heartbeats, the next sign of it.
	refusalLifetime = time.Second
)

// openingWatch follows the opening packets that are under way.
type openingTracker struct {
	inFlight map[FlowKey]*flowEntry
	counts   map[string]*directory.ZoneOpenings
	// refusing are the targets that took no opening packet, with their number.
	refused map[*targetEntry]uint32
	// usual is the time from an opening packet to the caller's next one, and deviation
	// how far single ones are off.
	meanTime, deviation time.Duration
	// recent are the openings of the last reports by zone.
	recent map[string]zoneCounts
}

// zoneShare counts openings of a zone; older ones count less.
type zoneCounts struct{ opened, refused float64 }

// limit returns the time after which an opening packet has found no taker.
func (w *openingTracker) timeout() time.Duration {
	return min(max(w.meanTime+deviationFactor*w.deviation, minOpeningTimeout), maxOpeningTimeout)
}

// noteTime learns from an opening packet that was taken.
func (w *openingTracker) addTime(taken time.Duration) {
	if w.meanTime == 0 {
		w.meanTime = taken
		w.deviation = taken / 2
		return
	}
	w.deviation += ((taken - w.meanTime).Abs() - w.deviation) / deviationDivisor
	w.meanTime += (taken - w.meanTime) / meanDivisor
}

func newOpeningTracker() openingTracker {
	return openingTracker{inFlight: map[FlowKey]*flowEntry{}, counts: map[string]*directory.ZoneOpenings{}, refused: map[*targetEntry]uint32{}, recent: map[string]zoneCounts{}}
}

func (w *openingTracker) zone(name string) *directory.ZoneOpenings {
	known, exists := w.counts[name]
	if !exists {
		known = &directory.ZoneOpenings{Zone: name}
		w.counts[name] = known
	}
	return known
}

// noteOpened notes that an opening packet was taken, at last perhaps.
func (w *openingTracker) recordOpened(now kernel.Instant, key FlowKey, flow *flowEntry) {
	if flow.placedAt > 0 {
		flow.exchange.handshakeTime = now.Sub(flow.placedAt)
		w.addTime(flow.exchange.handshakeTime)
	}
	if _, waiting := w.inFlight[key]; waiting {
		delete(w.inFlight, key)
		w.zone(flow.target.target.Zone).Opened++
	}
}

// noteOverdue finds the opening packets that have found no taker.
func (w *openingTracker) expireOverdue(now kernel.Instant) {
	limit := w.timeout()
	for key, flow := range w.inFlight {
		if now.Sub(flow.placedAt) < limit {
			continue
		}
		delete(w.inFlight, key)
		flow.target.refusedAt = now
		w.refused[flow.target]++
		w.zone(flow.target.target.Zone).Refused++
	}
}

// take returns what was counted since the last call.
func (w *openingTracker) take() (zones []directory.ZoneOpenings, refusing []SilentTarget) {
	for _, counted := range w.counts {
		zones = append(zones, *counted)
	}
	for entry, count := range w.refused {
		if entry.refusedAt > entry.answeredAt {
			refusing = append(refusing, SilentTarget{Token: entry.target.Token, Weight: count})
		}
	}
	slices.SortFunc(zones, func(a, b directory.ZoneOpenings) int { return cmp.Compare(a.Zone, b.Zone) })
	slices.SortFunc(refusing, func(a, b SilentTarget) int { return cmp.Compare(a.Token, b.Token) })
	w.updateRecent()
	clear(w.counts)
	clear(w.refused)
	return zones, refusing
}

// noteRecent adds what was counted since the last call to the recent openings.
func (w *openingTracker) updateRecent() {
	for zone, share := range w.recent {
		w.recent[zone] = zoneCounts{opened: share.opened * recentDecay, refused: share.refused * recentDecay}
		if share.opened+share.refused < minRecent {
			delete(w.recent, zone)
		}
	}
	for zone, counted := range w.counts {
		share := w.recent[zone]
		share.opened += float64(counted.Opened)
		share.refused += float64(counted.Refused)
		w.recent[zone] = share
	}
}

// refusedEverywhere reports whether most openings of this node found no taker lately
// in every zone, of several: the node's own link is at fault, or all targets are full.
func (w *openingTracker) refusedEverywhere() bool {
	zones := 0
	for _, share := range w.recent {
		if share.refused <= share.opened {
			return false
		}
		zones++
	}
	return zones > 1
}

// forgetUnderWay forgets the opening packets under way: the node was stopped, and
// what would show that they were taken waits in its socket.
func (w *openingTracker) clearInFlight() { clear(w.inFlight) }

// refuses reports whether a target took no opening packet lately and has not
// answered since.
func (entry *targetEntry) hasRefused(now kernel.Instant) bool {
	return entry.refusedAt > entry.answeredAt && now.Sub(entry.refusedAt) < refusalLifetime
}
