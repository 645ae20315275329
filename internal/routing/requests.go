package routing

import (
	"net/netip"
	"slices"
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

// requestState is where a request that may not be repeated stands.
type requestState uint8

const (
	// requestForwarded may have run.
	requestForwarded requestState = iota + 1
	// requestAnswered has the target's answer.
	requestAnswered
	// requestRefused was answered "not run" and never will run.
	requestRefused
	// requestUnknown was answered "outcome unknown" and will not be forwarded.
	requestUnknown
)

// requestRecord is one entry of the ledger.
type requestRecord struct {
	state    requestState
	attempt  uint8
	started  kernel.Instant
	deadline kernel.Instant
	// forget is when no retransmission can arrive any more.
	forget kernel.Instant
	// flow is the fingerprint of the flow; of a record that was handed over it
	// is only the partition.
	flow     uint64
	targetID uint32
	service  uint32
	caller   netip.AddrPort
	// first says that this request placed its flow.
	first bool
	// tracked says that the request counts as outstanding at its target.
	tracked bool
	// relayedTo is the backup that got the request; only it may have forwarded it.
	relayedTo uint32
	// decider is the primary that decided on the request, 0 when it is not
	// known any more. It tells the caller how the request ended.
	decider uint32
	// unsure says that the primary decided without all earlier records.
	unsure bool
	// packet is kept until the answer, for a retry.
	packet []byte
	// answer is kept for retransmissions.
	answer []byte
}

// waitingFor returns the requests without an answer at a target, in a fixed
// order.
func (l *ledger) waitingFor(targetID uint32) []uint64 {
	var keys []uint64
	for key, record := range l.records {
		if record.state == requestForwarded && record.targetID == targetID {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

const ledgerTick = 100 * time.Millisecond

// ledger holds the requests that may not be repeated, with a wheel of the
// times at which each is due.
type ledger struct {
	records map[uint64]*requestRecord
	due     map[int64][]uint64
	next    int64
}

func newLedger(now kernel.Instant) *ledger {
	return &ledger{
		records: map[uint64]*requestRecord{},
		due:     map[int64][]uint64{},
		next:    tickOf(now),
	}
}

func tickOf(at kernel.Instant) int64 { return int64(at) / int64(ledgerTick) }

func (l *ledger) get(key uint64) *requestRecord { return l.records[key] }

func (l *ledger) put(key uint64, record *requestRecord) {
	l.records[key] = record
	l.schedule(key, record.deadline)
	l.schedule(key, record.forget)
}

func (l *ledger) schedule(key uint64, at kernel.Instant) {
	tick := max(tickOf(at)+1, l.next)
	l.due[tick] = append(l.due[tick], key)
}

// expire calls expired for each request whose deadline has passed without an
// answer, and drops those that no retransmission can ask for.
func (l *ledger) expire(now kernel.Instant, expired func(uint64, *requestRecord)) {
	for ; l.next <= tickOf(now); l.next++ {
		for _, key := range l.due[l.next] {
			record := l.records[key]
			if record == nil {
				continue
			}
			if record.state == requestForwarded && record.deadline <= now {
				expired(key, record)
			}
			if record.forget <= now {
				delete(l.records, key)
			}
		}
		delete(l.due, l.next)
	}
}
