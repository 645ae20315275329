package routing

import (
	"slices"
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

// flowRecord is a balancer's record of a flow. It has no pointers, so that the
// garbage collector does not scan the flow table.
type flowRecord struct {
	// registeredView is the last view in which the partition's pair is known to
	// have recorded the flow.
	registeredView uint64
	targetID       uint32
	// lastSeen is the time of the last packet, in units of timestampUnit.
	lastSeen uint32
	// confirmedAt is when a packet last went through the pair, in the same unit.
	confirmedAt uint32
	flags       flowFlags
}

type flowFlags uint8

const (
	// flowCounted marks a flow that is included in its target's placedFlows.
	flowCounted flowFlags = 1 << iota
	// flowAnswered marks a flow whose target has answered or was learned from another
	// balancer.
	flowAnswered
)

// timestampUnit is the resolution of the times in a flowRecord.
const timestampUnit = 100 * time.Millisecond

func flowTimestamp(now kernel.Instant) uint32 { return uint32(time.Duration(now) / timestampUnit) }

// flowTable holds the flows that this balancer has seen or holds as a member of
// their pair.
type flowTable struct {
	records      map[uint64]flowRecord
	limit        int
	pendingSweep []uint64
	dropped      uint64
}

func newFlowTable(limit int) *flowTable {
	return &flowTable{records: make(map[uint64]flowRecord), limit: limit}
}

func (t *flowTable) get(fingerprint uint64) (flowRecord, bool) {
	record, known := t.records[fingerprint]
	return record, known
}

func (t *flowTable) len() int { return len(t.records) }

// put stores a record. A full table drops and counts new flows and returns false;
// packets of such a flow are relayed to its pair.
func (t *flowTable) put(fingerprint uint64, record flowRecord) bool {
	if _, known := t.records[fingerprint]; !known && len(t.records) >= t.limit {
		t.dropped++
		return false
	}
	t.records[fingerprint] = record
	return true
}

// withTarget returns the fingerprints of a target's flows, sorted for
// reproducible simulations.
func (t *flowTable) withTarget(targetID uint32) []uint64 {
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

// sweepBatchSize is the largest number of records checked in one tick.
const sweepBatchSize = 4096

// expire checks one batch of records, removes the flows that exceed their idle
// timeout and calls onExpired for each of them.
func (t *flowTable) expire(now kernel.Instant, idleTimeout func(flowRecord) time.Duration, onExpired func(uint64, flowRecord)) {
	if len(t.pendingSweep) == 0 {
		for fingerprint := range t.records {
			t.pendingSweep = append(t.pendingSweep, fingerprint)
		}
	}
	batch := min(sweepBatchSize, len(t.pendingSweep))
	current := flowTimestamp(now)
	for _, fingerprint := range t.pendingSweep[len(t.pendingSweep)-batch:] {
		record, known := t.records[fingerprint]
		if !known || record.lastSeen > current {
			continue
		}
		if time.Duration(current-record.lastSeen)*timestampUnit > idleTimeout(record) {
			delete(t.records, fingerprint)
			onExpired(fingerprint, record)
		}
	}
	t.pendingSweep = t.pendingSweep[:len(t.pendingSweep)-batch]
}
