package routing

import (
	"net/netip"
	"slices"
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

// requestState is the state of an unsafe request.
type requestState uint8

const (
	// requestForwarded means that the request may have run and has no answer yet.
	requestForwarded requestState = iota + 1
	// requestAnswered means that the target has answered.
	requestAnswered
	// requestRefused means that the request was refused and will not run.
	requestRefused
	// requestUnknown means that the request may have run and will not be forwarded
	// again.
	requestUnknown
)

// requestRecord is the ledger's record of an unsafe request.
type requestRecord struct {
	state     requestState
	attempt   uint8
	startedAt kernel.Instant
	deadline  kernel.Instant
	// expiresAt is the time after which no retransmission can arrive.
	expiresAt kernel.Instant
	// flow is the fingerprint of the flow, or only its partition in a record from a
	// handover. PartitionOf maps both to the partition.
	flow      uint64
	targetID  uint32
	serviceID uint32
	caller    netip.AddrPort
	// placedFlow reports whether the flow was placed for this request.
	placedFlow bool
	// countedOutstanding reports whether the request is included in its target's
	// outstanding requests.
	countedOutstanding bool
	// relayedTo is the backup to which the primary relayed the request, 0 if none.
	relayedTo uint32
	// decider is the primary that decided on the request, 0 if unknown. It tells
	// the caller when the outcome is unknown.
	decider uint32
	// historyIncomplete reports whether the primary lacked earlier records of the
	// partition when it decided.
	historyIncomplete bool
	// packet is the caller's packet, kept for a retry or a 5.04 answer until the
	// request ends.
	packet []byte
	// answer is the stored answer for retransmissions, nil if there is none or it was
	// too large.
	answer []byte
}

// pendingAt returns the keys of the requests that await an answer from a target,
// sorted for reproducible simulations.
func (l *ledger) pendingAt(targetID uint32) []uint64 {
	var keys []uint64
	for key, record := range l.records {
		if record.state == requestForwarded && record.targetID == targetID {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// ledgerTick is the resolution of the ledger's timers.
const ledgerTick = 100 * time.Millisecond

// ledger records the unsafe requests, with a timer wheel for their deadlines and
// expiry.
type ledger struct {
	records  map[uint64]*requestRecord
	timers   map[int64][]uint64
	nextTick int64
}

func newLedger(now kernel.Instant) *ledger {
	return &ledger{
		records:  map[uint64]*requestRecord{},
		timers:   map[int64][]uint64{},
		nextTick: tickOf(now),
	}
}

func tickOf(at kernel.Instant) int64 { return int64(at) / int64(ledgerTick) }

func (l *ledger) get(key uint64) *requestRecord { return l.records[key] }

func (l *ledger) put(key uint64, record *requestRecord) {
	l.records[key] = record
	l.schedule(key, record.deadline)
	l.schedule(key, record.expiresAt)
}

func (l *ledger) schedule(key uint64, at kernel.Instant) {
	tick := max(tickOf(at)+1, l.nextTick)
	l.timers[tick] = append(l.timers[tick], key)
}

// expire calls onTimeout for each request whose deadline has passed without an
// answer, and deletes expired records.
func (l *ledger) expire(now kernel.Instant, onTimeout func(uint64, *requestRecord)) {
	for ; l.nextTick <= tickOf(now); l.nextTick++ {
		for _, key := range l.timers[l.nextTick] {
			record := l.records[key]
			if record == nil {
				continue
			}
			if record.state == requestForwarded && record.deadline <= now {
				onTimeout(key, record)
			}
			if record.expiresAt <= now {
				delete(l.records, key)
			}
		}
		delete(l.timers, l.nextTick)
	}
}
