package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

// Nodes that lose packets of their callers report healthy targets as silent.
func TestUnreliableEvidenceNeedsLongerSilence(t *testing.T) {
	cases := []struct {
		name     string
		reported SilentTarget
		nodes    int
		quiet    time.Duration
		silent   bool
	}{
		{"reliable", SilentTarget{Weight: 2}, 2, time.Millisecond, true},
		{"reliable, of one node", SilentTarget{Weight: 9}, 1, time.Minute, false},
		{"unreliable, recently seen", SilentTarget{UnreliableWeight: 9}, 2, unreliableSilenceTime - time.Millisecond, false},
		{"unreliable", SilentTarget{UnreliableWeight: 2}, 2, unreliableSilenceTime, true},
		{"unreliable, of one node", SilentTarget{UnreliableWeight: 9}, 1, time.Minute, false},
		{"both", SilentTarget{Weight: 1, UnreliableWeight: 1}, 2, unreliableSilenceTime, true},
		{"both, recently seen", SilentTarget{Weight: 1, UnreliableWeight: 1}, 2, time.Millisecond, false},
		{"too little weight", SilentTarget{UnreliableWeight: 1}, 3, time.Minute, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			now := kernel.Instant(time.Hour)
			liveness := &targetLiveness{silences: map[string]silenceReport{}, lastHeartbeat: now.Add(-test.quiet)}
			for number := range test.nodes {
				liveness.recordSilence(now, address(number), test.reported.FromSingleNode())
			}
			assert.Equal(t, test.silent, liveness.isSilent(now))
		})
	}
}
