package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

// TestFlowTableMatchesModel compares random puts, removals and expiries of flows
// with a map.
func TestFlowTableMatchesModel(t *testing.T) {
	const idle = 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 8).Draw(t, "limit")
		table := newFlowTable(limit)
		model := map[uint64]flowRecord{}
		var now kernel.Instant
		key := rapid.Uint64Range(0, 12)
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				fingerprint := key.Draw(t, "flow")
				record := flowRecord{targetID: rapid.Uint32Range(1, 3).Draw(t, "target"), lastSeen: flowTimestamp(now)}
				_, known := model[fingerprint]
				accepted := known || len(model) < limit
				assert.Equal(t, accepted, table.put(fingerprint, record), "a full table rejects new flows")
				if accepted {
					model[fingerprint] = record
				}
			},
			"remove": func(t *rapid.T) {
				fingerprint := key.Draw(t, "flow")
				table.remove(fingerprint)
				delete(model, fingerprint)
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 15).Draw(t, "seconds")) * time.Second)
				expired := map[uint64]bool{}
				// Two calls check every flow even if the first ends an earlier sweep.
				for range 2 {
					table.expire(now, func(flowRecord) time.Duration { return idle }, func(fingerprint uint64, _ flowRecord) { expired[fingerprint] = true })
				}
				for fingerprint, record := range model {
					if time.Duration(flowTimestamp(now)-record.lastSeen)*timestampUnit > idle {
						assert.True(t, expired[fingerprint])
						delete(model, fingerprint)
					}
				}
			},
			"": func(t *rapid.T) {
				assert.Equal(t, len(model), table.len())
				perTarget := map[uint32]int{}
				for fingerprint, want := range model {
					got, known := table.get(fingerprint)
					assert.True(t, known)
					assert.Equal(t, want, got)
					perTarget[want.targetID]++
				}
				for target, count := range perTarget {
					assert.Len(t, table.withTarget(target), count)
				}
			},
		})
	})
}

// TestRetriesStayWithinBudget checks for random requests and retries that the
// retries never exceed their percentage of the requests.
func TestRetriesStayWithinBudget(t *testing.T) {
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
				assert.LessOrEqual(t, budget.credit, uint32(maxRetryCredit))
			},
		})
	})
}

// TestLedgerMatchesModel checks that each record times out once, at its deadline,
// and is deleted when it expires.
func TestLedgerMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var now kernel.Instant
		entries := newLedger(now)
		model := map[uint64]*requestRecord{}
		timedOut := map[uint64]int{}
		next := uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				next++
				deadline := now.Add(time.Duration(rapid.IntRange(1, 50).Draw(t, "deadline")) * 100 * time.Millisecond)
				expiresAt := deadline.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "expiry")) * 100 * time.Millisecond)
				record := &requestRecord{state: requestForwarded, deadline: deadline, expiresAt: expiresAt}
				entries.put(next, record)
				model[next] = record
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
				entries.expire(now, func(key uint64, record *requestRecord) {
					record.state = requestUnknown
					timedOut[key]++
				})
			},
			"": func(t *rapid.T) {
				for key, record := range model {
					overdue := now.Sub(record.deadline) > 2*ledgerTick
					assert.LessOrEqual(t, timedOut[key], 1)
					assert.True(t, !overdue || timedOut[key] == 1, "times out at its deadline")
					if now.Sub(record.expiresAt) > 2*ledgerTick {
						assert.Nil(t, entries.get(key), "deleted after expiry")
						delete(model, key)
						continue
					}
					if now < record.expiresAt {
						assert.Same(t, record, entries.get(key))
					}
				}
			},
		})
	})
}
