package steer

import (
	"cmp"
	"slices"
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

// A caller whose opening packet is accepted sends its next packet a few milliseconds later.
// After a refusal it retries with a new flow, which usually arrives at another node, so no
// node sees the refusal itself. An opening packet therefore counts as refused if the caller's
// next packet does not follow in time.

const (
	// minOpeningTimeout is the shortest time after which an opening packet counts as refused.
	// It covers several round trips within a region, about 10 ms each where zones are 1.4 ms
	// and callers 3 ms away; longer ones are learned.
	minOpeningTimeout = 60 * time.Millisecond
	// maxOpeningTimeout is less than a caller's retransmission timeout of 200 ms.
	maxOpeningTimeout = 180 * time.Millisecond
	// The inverse gains of the moving mean and deviation, and the multiple of the deviation in
	// the timeout (RFC 6298, section 2).
	meanDivisor      = 8
	deviationDivisor = 4
	deviationFactor  = 4
	// recentDecay is the decay per report of the counts in recent. With a report every 100 ms
	// they halve in 0.7 s.
	recentDecay = 0.9
	// minRecent is the count below which a zone is removed from recent.
	minRecent = 0.5
	// refusalLifetime is how long this node avoids a target that refused an opening packet:
	// about the interval between two heartbeats of the target.
	refusalLifetime = time.Second
)

// openingTracker tracks opening packets until they are accepted or time out.
type openingTracker struct {
	inFlight map[FlowKey]*flowEntry
	counts   map[string]*directory.ZoneOpenings
	// refused counts the refused opening packets by target.
	refused map[*targetEntry]uint32
	// meanTime is the moving mean of the time from an opening packet to the caller's next
	// packet, and deviation its mean deviation.
	meanTime, deviation time.Duration
	// recent are decaying counts by zone.
	recent map[string]zoneCounts
}

// zoneCounts are the decaying counts of a zone.
type zoneCounts struct{ opened, refused float64 }

// timeout returns the time after which an opening packet counts as refused.
func (t *openingTracker) timeout() time.Duration {
	return min(max(t.meanTime+deviationFactor*t.deviation, minOpeningTimeout), maxOpeningTimeout)
}

// addTime updates the mean and the deviation with the time of an accepted opening packet.
func (t *openingTracker) addTime(elapsed time.Duration) {
	if t.meanTime == 0 {
		t.meanTime = elapsed
		t.deviation = elapsed / 2
		return
	}
	t.deviation += ((elapsed - t.meanTime).Abs() - t.deviation) / deviationDivisor
	t.meanTime += (elapsed - t.meanTime) / meanDivisor
}

func newOpeningTracker() openingTracker {
	return openingTracker{inFlight: map[FlowKey]*flowEntry{}, counts: map[string]*directory.ZoneOpenings{}, refused: map[*targetEntry]uint32{}, recent: map[string]zoneCounts{}}
}

func (t *openingTracker) zone(name string) *directory.ZoneOpenings {
	known, exists := t.counts[name]
	if !exists {
		known = &directory.ZoneOpenings{Zone: name}
		t.counts[name] = known
	}
	return known
}

// recordOpened records that an opening packet was accepted. It is counted only if it had
// not timed out.
func (t *openingTracker) recordOpened(now kernel.Instant, key FlowKey, flow *flowEntry) {
	if flow.placedAt > 0 {
		flow.exchange.handshakeTime = now.Sub(flow.placedAt)
		t.addTime(flow.exchange.handshakeTime)
	}
	if _, waiting := t.inFlight[key]; waiting {
		delete(t.inFlight, key)
		t.zone(flow.target.target.Zone).Opened++
	}
}

// expireOverdue counts the opening packets that have timed out as refused. It returns the
// targets that have answered nothing since these packets were placed.
func (t *openingTracker) expireOverdue(now kernel.Instant) []*targetEntry {
	limit := t.timeout()
	var silent []*targetEntry
	for key, flow := range t.inFlight {
		if now.Sub(flow.placedAt) < limit {
			continue
		}
		delete(t.inFlight, key)
		flow.target.refusedAt = now
		t.refused[flow.target]++
		t.zone(flow.target.target.Zone).Refused++
		if !flow.target.answeredSince(flow.placedAt) {
			silent = append(silent, flow.target)
		}
	}
	return silent
}

// take returns and clears the counts since the last call. The refused list has only targets
// that have not answered since their last refusal.
func (t *openingTracker) take() (zones []directory.ZoneOpenings, refused []SilentTarget) {
	for _, counted := range t.counts {
		zones = append(zones, *counted)
	}
	for entry, count := range t.refused {
		if entry.refusedAt > entry.answeredAt {
			refused = append(refused, SilentTarget{Token: entry.target.Token, Weight: count})
		}
	}
	slices.SortFunc(zones, func(a, b directory.ZoneOpenings) int { return cmp.Compare(a.Zone, b.Zone) })
	slices.SortFunc(refused, func(a, b SilentTarget) int { return cmp.Compare(a.Token, b.Token) })
	t.updateRecent()
	clear(t.counts)
	clear(t.refused)
	return zones, refused
}

// updateRecent decays the recent counts and adds those since the last call.
func (t *openingTracker) updateRecent() {
	for zone, counts := range t.recent {
		t.recent[zone] = zoneCounts{opened: counts.opened * recentDecay, refused: counts.refused * recentDecay}
		if counts.opened+counts.refused < minRecent {
			delete(t.recent, zone)
		}
	}
	for zone, counted := range t.counts {
		counts := t.recent[zone]
		counts.opened += float64(counted.Opened)
		counts.refused += float64(counted.Refused)
		t.recent[zone] = counts
	}
}

// refusedEverywhere reports whether most recent openings were refused in each of several
// zones. Then this node's link is the likely cause, or all targets are full.
func (t *openingTracker) refusedEverywhere() bool {
	zones := 0
	for _, counts := range t.recent {
		if counts.refused <= counts.opened {
			return false
		}
		zones++
	}
	return zones > 1
}

// clearInFlight drops the pending opening packets. After a stall, the packets that show their
// acceptance are still queued in the socket.
func (t *openingTracker) clearInFlight() { clear(t.inFlight) }

// hasRefused reports whether a target recently refused an opening packet and has not
// answered since.
func (entry *targetEntry) hasRefused(now kernel.Instant) bool {
	return entry.refusedAt > entry.answeredAt && now.Sub(entry.refusedAt) < refusalLifetime
}
