package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

// TestFlowTableAgainstASimpleOracle puts, forgets and expires flows at random.
func TestFlowTableAgainstASimpleOracle(t *testing.T) {
	const idle = 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 8).Draw(t, "limit")
		table := newFlowTable(limit)
		oracle := map[uint64]flowRecord{}
		var now kernel.Instant
		key := rapid.Uint64Range(0, 12)
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				fingerprint := key.Draw(t, "flow")
				record := flowRecord{targetID: rapid.Uint32Range(1, 3).Draw(t, "target"), lastSeen: lastSeenAt(now)}
				_, known := oracle[fingerprint]
				room := known || len(oracle) < limit
				assert.Equal(t, room, table.put(fingerprint, record), "a full table takes no new flow")
				if room {
					oracle[fingerprint] = record
				}
			},
			"remove": func(t *rapid.T) {
				fingerprint := key.Draw(t, "flow")
				table.remove(fingerprint)
				delete(oracle, fingerprint)
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 15).Draw(t, "seconds")) * time.Second)
				gone := map[uint64]bool{}
				// Two sweeps look at every flow, whenever the last one began.
				for range 2 {
					table.expire(now, func(flowRecord) time.Duration { return idle }, func(fingerprint uint64, _ flowRecord) { gone[fingerprint] = true })
				}
				for fingerprint, record := range oracle {
					if time.Duration(lastSeenAt(now)-record.lastSeen)*lastSeenUnit > idle {
						assert.True(t, gone[fingerprint])
						delete(oracle, fingerprint)
					}
				}
			},
			"": func(t *rapid.T) {
				assert.Equal(t, len(oracle), table.len())
				perTarget := map[uint32]int{}
				for fingerprint, want := range oracle {
					got, known := table.get(fingerprint)
					assert.True(t, known)
					assert.Equal(t, want, got)
					perTarget[want.targetID]++
				}
				for target, count := range perTarget {
					assert.Len(t, table.of(target), count)
				}
			},
		})
	})
}

// TestRetriesStayWithinTheBudget earns and spends at random: retries are never
// more than their share of the requests and what could be saved up.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		percent := rapid.Uint32Range(1, 50).Draw(t, "percent")
		budget := retryBudget{percent: percent}
		requests, retries := 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"request": func(*rapid.T) {
				requests++
				budget.earn()
			},
			"retry": func(*rapid.T) {
				if budget.spend() {
					retries++
				}
			},
			"": func(t *rapid.T) {
				assert.LessOrEqual(t, retries*100, requests*int(percent))
				assert.LessOrEqual(t, budget.credit, uint32(retryCredit))
			},
		})
	})
}

// TestLedgerAgainstASimpleOracle puts records with deadlines and lets time
// pass: each is given up once, at its deadline, and forgotten in time.
func TestLedgerAgainstASimpleOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var now kernel.Instant
		entries := newLedger(now)
		oracle := map[uint64]*requestRecord{}
		givenUp := map[uint64]int{}
		next := uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				next++
				deadline := now.Add(time.Duration(rapid.IntRange(1, 50).Draw(t, "deadline")) * 100 * time.Millisecond)
				forget := deadline.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "forget")) * 100 * time.Millisecond)
				record := &requestRecord{state: requestForwarded, deadline: deadline, forget: forget}
				entries.put(next, record)
				oracle[next] = record
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
				entries.expire(now, func(key uint64, record *requestRecord) {
					record.state = requestUnknown
					givenUp[key]++
				})
			},
			"": func(t *rapid.T) {
				for key, record := range oracle {
					late := now.Sub(record.deadline) > 2*ledgerTick
					assert.LessOrEqual(t, givenUp[key], 1)
					assert.True(t, !late || givenUp[key] == 1, "given up at its deadline")
					if now.Sub(record.forget) > 2*ledgerTick {
						assert.Nil(t, entries.get(key), "forgotten")
						delete(oracle, key)
						continue
					}
					if now < record.forget {
						assert.Same(t, record, entries.get(key))
					}
				}
			},
		})
	})
}
