package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

// Nodes that lose packets of their callers see healthy targets as silent.
func TestUnreliableEvidenceNeedsLongerSilence(t *testing.T) {
	cases := []struct {
		name   string
		seen   SilentTarget
		nodes  int
		quiet  time.Duration
		silent bool
	}{
		{"certain", SilentTarget{Weight: 2}, 2, time.Millisecond, true},
		{"certain, of one node", SilentTarget{Weight: 9}, 1, time.Minute, false},
		{"doubtful, lately seen", SilentTarget{UnreliableWeight: 9}, 2, unreliableSilenceTime - time.Millisecond, false},
		{"doubtful", SilentTarget{UnreliableWeight: 2}, 2, unreliableSilenceTime, true},
		{"doubtful, of one node", SilentTarget{UnreliableWeight: 9}, 1, time.Minute, false},
		{"both", SilentTarget{Weight: 1, UnreliableWeight: 1}, 2, unreliableSilenceTime, true},
		{"both, lately seen", SilentTarget{Weight: 1, UnreliableWeight: 1}, 2, time.Millisecond, false},
		{"too little", SilentTarget{UnreliableWeight: 1}, 3, time.Minute, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			now := kernel.Instant(time.Hour)
			seen := &targetStatus{silences: map[string]silenceReport{}, lastHeartbeat: now.Add(-test.quiet)}
			for number := range test.nodes {
				seen.recordSilence(now, address(number), test.seen.FromSingleNode())
			}
			assert.Equal(t, test.silent, seen.isSilent(now))
		})
	}
}
