package routing

import (
	"slices"
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

// flowRecord is what a balancer knows of one flow. It has no pointers, so
// that the garbage collector passes over a table of hundreds of thousands.
type flowRecord struct {
	// registered is the view in which the pair of the partition is known to
	// hold the flow.
	registered uint64
	targetID   uint32
	// lastSeen counts tenths of a second since the start.
	lastSeen uint32
	// confirmed is when a packet last went through the pair, in the same unit.
	confirmed uint32
	flags     flowFlags
}

type flowFlags uint8

const (
	// flowCounted marks a flow that counts among its target's placed flows.
	flowCounted flowFlags = 1 << iota
	// flowAnswered marks a flow whose choice can no longer be moved.
	flowAnswered
)

const lastSeenUnit = 100 * time.Millisecond

func lastSeenAt(now kernel.Instant) uint32 { return uint32(time.Duration(now) / lastSeenUnit) }

// flowTable holds the flows that this balancer has seen or keeps as one of a
// pair.
type flowTable struct {
	records map[uint64]flowRecord
	limit   int
	sweep   []uint64
	dropped uint64
}

func newFlowTable(limit int) *flowTable {
	return &flowTable{records: make(map[uint64]flowRecord), limit: limit}
}

func (t *flowTable) get(fingerprint uint64) (flowRecord, bool) {
	record, known := t.records[fingerprint]
	return record, known
}

func (t *flowTable) len() int { return len(t.records) }

// put stores a record. A full table takes no flow that it does not hold yet
// and counts it; such a flow is still relayed to its pair.
func (t *flowTable) put(fingerprint uint64, record flowRecord) bool {
	if _, known := t.records[fingerprint]; !known && len(t.records) >= t.limit {
		t.dropped++
		return false
	}
	t.records[fingerprint] = record
	return true
}

// of returns the flows of a target in a fixed order.
func (t *flowTable) of(targetID uint32) []uint64 {
	var list []uint64
	for fingerprint, record := range t.records {
		if record.targetID == targetID {
			list = append(list, fingerprint)
		}
	}
	slices.Sort(list)
	return list
}

func (t *flowTable) remove(fingerprint uint64) { delete(t.records, fingerprint) }

// sweepBatch is the number of records looked at in one tick.
const sweepBatch = 4096

// expire calls gone for each flow idle beyond its limit, a batch at a time.
func (t *flowTable) expire(now kernel.Instant, idle func(flowRecord) time.Duration, gone func(uint64, flowRecord)) {
	if len(t.sweep) == 0 {
		for fingerprint := range t.records {
			t.sweep = append(t.sweep, fingerprint)
		}
	}
	batch := min(sweepBatch, len(t.sweep))
	current := lastSeenAt(now)
	for _, fingerprint := range t.sweep[len(t.sweep)-batch:] {
		record, known := t.records[fingerprint]
		if !known || record.lastSeen > current {
			continue
		}
		if time.Duration(current-record.lastSeen)*lastSeenUnit > idle(record) {
			delete(t.records, fingerprint)
			gone(fingerprint, record)
		}
	}
	t.sweep = t.sweep[:len(t.sweep)-batch]
}
