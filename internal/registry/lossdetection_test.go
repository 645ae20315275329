package registry

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/eventlog"
)

const (
	deathTestNodes = 16
	// maxDetectionTime is when a trial stops waiting for the verdict.
	maxDetectionTime = 5 * time.Second
)

// detection is the result of a trial: how long the verdict took, and whether the target was
// ejected before it.
type detection struct {
	took    time.Duration
	ejected bool
}

// timeUntilLost lets a target die, with or without outlier ejection, and returns how the
// death was detected.
func timeUntilLost(t *testing.T, seed uint64, test deathCase, withEjection bool) detection {
	b := newUploadSimulation(newCluster(t, 300+seed, 3), 6, deathTestNodes, test.callers)
	b.packets = test.packets
	b.reuseFlows = test.reuseFlows
	b.reportOutcomes = withEjection
	b.advance(8*time.Second + time.Duration(b.random.Int64N(int64(time.Second))))
	require.Zero(t, b.cluster.events[eventlog.TargetHeldLost])
	require.Zero(t, b.cluster.events[eventlog.TargetEjected])
	token := b.targets[0].Token
	b.dead[token] = true
	died := b.now
	var result detection
	for !slices.Contains(b.leader.core.liveness.verdicts.Lost, token) && b.now.Sub(died) < maxDetectionTime {
		b.advance(stepTime)
		result.ejected = result.ejected || slices.Contains(b.leader.core.liveness.verdicts.Ejected, token)
	}
	result.took = b.now.Sub(died)
	return result
}

// A dead target may be ejected before it is marked as lost. It then gets no openings that
// would be evidence of its silence, but its flows must be reset as soon.
func TestEjectionDoesNotDelayLossDetection(t *testing.T) {
	const deaths = 10
	cases := []deathCase{
		{name: "few requests over new flows", packets: 1, callers: 1},
		{name: "some requests over new flows", packets: 1, callers: 2},
		{name: "many requests over new flows", packets: 1, callers: 8},
		{name: "few requests over reused flows", packets: 1, reuseFlows: true, callers: 1},
		{name: "few uploads", packets: 34, callers: 1},
		{name: "some requests over reused flows", packets: 1, reuseFlows: true, callers: 3},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			var sums [2]time.Duration
			var longest [2]time.Duration
			ejected := 0
			for seed := range uint64(deaths) {
				for position, withEjection := range []bool{false, true} {
					result := timeUntilLost(t, seed, test, withEjection)
					sums[position] += result.took
					longest[position] = max(longest[position], result.took)
					if result.ejected {
						ejected++
					}
				}
			}
			t.Logf("without ejection: mean %v, max %v; with ejection: mean %v, max %v; %d ejected before the verdict", sums[0]/deaths, longest[0], sums[1]/deaths, longest[1], ejected)
			assert.Less(t, sums[1]/deaths, sums[0]/deaths+100*time.Millisecond)
		})
	}
}

// timeUntilLostByRule returns the time from the death of a target, which an operator may
// have ejected before, to the verdict. One flow in four is reused for many requests.
func timeUntilLostByRule(t *testing.T, seed uint64, callers int, ejectedBefore bool) time.Duration {
	b := newUploadSimulation(newCluster(t, 500+seed, 3), 6, deathTestNodes, callers)
	b.packets = 1
	b.reuseSomeFlows = true
	b.reportOutcomes = true
	b.advance(8*time.Second + time.Duration(b.random.Int64N(int64(time.Second))))
	target := b.targets[0]
	if ejectedBefore {
		order := directory.TargetOrder{ID: target.ID, Rule: directory.RuleEjected}
		require.NoError(t, b.submit(b.leader, directory.Command{Kind: directory.CommandOrderTarget, TargetOrder: order}).Err)
		b.advance(500 * time.Millisecond)
		require.Contains(t, b.leader.core.liveness.verdicts.Ejected, target.Token)
		for _, node := range b.nodes {
			node.core.ApplyVerdicts(b.leader.core.liveness.verdicts.Verdicts)
		}
		b.advance(500 * time.Millisecond)
	}
	b.dead[target.Token] = true
	died := b.now
	for !slices.Contains(b.leader.core.liveness.verdicts.Lost, target.Token) && b.now.Sub(died) < maxDetectionTime {
		b.advance(stepTime)
	}
	return b.now.Sub(died)
}

// A target ejected by an operator gets no new flows, but its loss must be detected as soon
// for the callers on open ones.
func TestEjectRuleDoesNotDelayLossDetection(t *testing.T) {
	const deaths = 15
	for _, callers := range []int{2, 4, 8} {
		var sums, longest [2]time.Duration
		for position, before := range []bool{false, true} {
			for seed := range uint64(deaths) {
				took := timeUntilLostByRule(t, seed, callers, before)
				sums[position] += took
				longest[position] = max(longest[position], took)
			}
		}
		t.Logf("%d callers: mean %v, max %v; ejected before: mean %v, max %v", callers, sums[0]/deaths, longest[0], sums[1]/deaths, longest[1])
		assert.Less(t, sums[1]/deaths, sums[0]/deaths+100*time.Millisecond)
		assert.LessOrEqual(t, longest[1], longest[0]+100*time.Millisecond)
	}
}
