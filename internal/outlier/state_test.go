package outlier

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/directory"
)

// failTarget makes a target fail all exchanges.
func (f *fleet) failTarget(position int) {
	f.failureRate = func(target, _ int) float64 {
		if target == position {
			return 1
		}
		return 0.005
	}
}

func (f *fleet) restoreTargets() { f.failureRate = func(int, int) float64 { return 0.005 } }

func (f *fleet) changeKinds(token directory.Token) []ChangeKind {
	var kinds []ChangeKind
	for _, change := range f.changes {
		if change.Token == token {
			kinds = append(kinds, change.Kind)
		}
	}
	return kinds
}

func TestRecoveredTargetIsReadmittedAfterProbation(t *testing.T) {
	for seed := range uint64(50) {
		f := newFleet(seed, 12, 80)
		f.failureRate = func(int, int) float64 { return 0 }
		f.run(5 * time.Second)
		f.failTarget(4)
		f.timeToEjection(t, 5)
		f.failureRate = func(int, int) float64 { return 0 }
		f.run(minHold + 100*time.Millisecond)
		require.True(t, f.onProbation[5])
		f.run(5 * time.Second)
		require.Equal(t, []ChangeKind{Ejected, OnProbation, Readmitted}, f.changeKinds(5), "seed %d", seed)
		f.run(5 * time.Second)
		require.Len(t, f.changes, 3, "it stays active")
	}
}

func TestEjectionDurationGrows(t *testing.T) {
	f := newFleet(1, 12, 80)
	f.run(5 * time.Second)
	f.failTarget(4)
	f.run(5 * time.Minute)
	var holds []time.Duration
	for _, change := range f.changes {
		require.Equal(t, directory.Token(5), change.Token)
		require.NotEqual(t, Readmitted, change.Kind)
		if change.Kind == Ejected {
			holds = append(holds, change.Hold)
		}
	}
	require.GreaterOrEqual(t, len(holds), 7)
	assert.Equal(t, []time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second, 16 * time.Second, 32 * time.Second, time.Minute, time.Minute}, holds[:7])
}

func TestEjectionHistoryExpires(t *testing.T) {
	f := newFleet(1, 12, 80)
	f.run(5 * time.Second)
	for range 3 {
		f.failTarget(4)
		f.timeToEjection(t, 5)
		f.restoreTargets()
		f.run(ejectionMemory + 30*time.Second)
		require.False(t, f.ejected[5] || f.onProbation[5])
	}
	for _, change := range f.changes {
		if change.Kind == Ejected {
			assert.Equal(t, minHold, change.Hold)
		}
	}
}

// A service without retryable requests sends nothing to targets on probation.
func TestProbationWithoutTrafficTimesOut(t *testing.T) {
	f := newFleet(1, 12, 80)
	f.run(5 * time.Second)
	f.failTarget(4)
	f.timeToEjection(t, 5)
	f.restoreTargets()
	f.probationRate = 0
	f.run(minHold + maxProbation - time.Second)
	assert.True(t, f.onProbation[5])
	f.run(2 * time.Second)
	assert.Equal(t, []ChangeKind{Ejected, OnProbation, Readmitted}, f.changeKinds(5))
}

func TestEndedTargetIsRemoved(t *testing.T) {
	f := newFleet(1, 12, 80)
	f.run(5 * time.Second)
	f.failTarget(4)
	f.timeToEjection(t, 5)
	decision := f.detector.Decide(f.now, f.targets[:4])
	assert.Empty(t, decision.Ejected)
	assert.Len(t, f.detector.records, 4)
}

// Ejections without known evidence last minHold.
func TestRestoredEjectionsGoThroughProbation(t *testing.T) {
	f := newFleet(1, 12, 80)
	f.detector.Restore(f.now, 0, []directory.Token{5}, []directory.Token{6})
	f.step()
	assert.True(t, f.ejected[5])
	assert.True(t, f.onProbation[6])
	f.run(10 * time.Second)
	assert.Equal(t, []ChangeKind{OnProbation, Readmitted}, f.changeKinds(5))
	assert.Equal(t, []ChangeKind{Readmitted}, f.changeKinds(6))
}

// An idle service has no baseline.
func TestProbationInIdleServiceTimesOut(t *testing.T) {
	f := newFleet(1, 12, 80)
	f.run(5 * time.Second)
	f.failTarget(4)
	f.timeToEjection(t, 5)
	f.rate, f.probationRate = 0, 0
	f.run(minHold + maxProbation + time.Second)
	assert.Equal(t, []ChangeKind{Ejected, OnProbation, Readmitted}, f.changeKinds(5))
}

// The remaining target would have to take twice its load.
func TestServiceWithTwoTargetsEjectsNone(t *testing.T) {
	f := newFleet(1, 2, 80)
	f.run(5 * time.Second)
	f.failTarget(0)
	f.run(10 * time.Second)
	assert.Empty(t, f.changes)
}

// One node of four cannot reach the target, the others see the usual failures.
func TestFailuresSeenByOneNodeDoNotEject(t *testing.T) {
	f := newFleet(1, 12, 4)
	f.run(5 * time.Second)
	f.failureRate = func(target, node int) float64 {
		if target == 4 && node == 3 {
			return 1
		}
		return 0.005
	}
	f.rate = 100
	f.run(10 * time.Second)
	assert.Empty(t, f.changes)
}
