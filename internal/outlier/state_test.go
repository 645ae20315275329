package outlier

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/directory"
)

// illUntil makes a target fail all its work.
func (f *fleet) ill(position int) {
	f.fails = func(target, _ int) float64 {
		if target == position {
			return 1
		}
		return 0.005
	}
}

func (f *fleet) heal() { f.fails = func(int, int) float64 { return 0.005 } }

func (f *fleet) kinds(token directory.Token) []ChangeKind {
	var kinds []ChangeKind
	for _, change := range f.changes {
		if change.Token == token {
			kinds = append(kinds, change.Kind)
		}
	}
	return kinds
}

func TestATargetThatServesAgainIsTriedAndReadmitted(t *testing.T) {
	for seed := range uint64(50) {
		f := newFleet(seed, 12, 80)
		f.fails = func(int, int) float64 { return 0 }
		f.run(5 * time.Second)
		f.ill(4)
		f.timeTo(t, 5)
		f.fails = func(int, int) float64 { return 0 }
		f.run(firstHold + 100*time.Millisecond)
		require.True(t, f.tried[5])
		f.run(5 * time.Second)
		require.Equal(t, []ChangeKind{Ejected, OnProbation, Readmitted}, f.kinds(5), "seed %d", seed)
		f.run(5 * time.Second)
		require.Len(t, f.changes, 3, "it stays")
	}
}

func TestATargetThatStaysIllIsLeftOutForLongerEachTime(t *testing.T) {
	f := newFleet(1, 12, 80)
	f.run(5 * time.Second)
	f.ill(4)
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

func TestEarlierEjectionsAreForgottenAfterGoodBehaviour(t *testing.T) {
	f := newFleet(1, 12, 80)
	f.run(5 * time.Second)
	for range 3 {
		f.ill(4)
		f.timeTo(t, 5)
		f.heal()
		f.run(forgottenAfter + 30*time.Second)
		require.False(t, f.out[5] || f.tried[5])
	}
	for _, change := range f.changes {
		if change.Kind == Ejected {
			assert.Equal(t, firstHold, change.Hold)
		}
	}
}

// A service without work that may be repeated sends a target on probation nothing.
func TestATargetOfWhichNothingIsSeenIsReadmittedAfterATime(t *testing.T) {
	f := newFleet(1, 12, 80)
	f.run(5 * time.Second)
	f.ill(4)
	f.timeTo(t, 5)
	f.heal()
	f.trickle = 0
	f.run(firstHold + probationLimit - time.Second)
	assert.True(t, f.tried[5])
	f.run(2 * time.Second)
	assert.Equal(t, []ChangeKind{Ejected, OnProbation, Readmitted}, f.kinds(5))
}

func TestATargetThatEndsIsForgotten(t *testing.T) {
	f := newFleet(1, 12, 80)
	f.run(5 * time.Second)
	f.ill(4)
	f.timeTo(t, 5)
	decision := f.judge.Decide(f.now, f.targets[:4])
	assert.Empty(t, decision.Ejected)
	assert.Len(t, f.judge.records, 4)
}

// Another leader's reasons are not known: what it left out is tried soon.
func TestWhatAnotherJudgeLeftOutIsTried(t *testing.T) {
	f := newFleet(1, 12, 80)
	f.judge.Restore(f.now, 0, []directory.Token{5}, []directory.Token{6})
	f.step()
	assert.True(t, f.out[5])
	assert.True(t, f.tried[6])
	f.run(10 * time.Second)
	assert.Equal(t, []ChangeKind{OnProbation, Readmitted}, f.kinds(5))
	assert.Equal(t, []ChangeKind{Readmitted}, f.kinds(6))
}

// A service that has gone idle tells of nothing that is usual.
func TestATargetOfAnIdleServiceIsReadmittedAfterATime(t *testing.T) {
	f := newFleet(1, 12, 80)
	f.run(5 * time.Second)
	f.ill(4)
	f.timeTo(t, 5)
	f.rate, f.trickle = 0, 0
	f.run(firstHold + probationLimit + time.Second)
	assert.Equal(t, []ChangeKind{Ejected, OnProbation, Readmitted}, f.kinds(5))
}

// Targets of two: the other one would bear twice its work.
func TestOfTwoTargetsNoneIsLeftOut(t *testing.T) {
	f := newFleet(1, 2, 80)
	f.run(5 * time.Second)
	f.ill(0)
	f.run(10 * time.Second)
	assert.Empty(t, f.changes)
}

// One of four nodes has no way to a target; the others see a few failures, as usual.
func TestWhatOneNodeSeesIsNotEnough(t *testing.T) {
	f := newFleet(1, 12, 4)
	f.run(5 * time.Second)
	f.fails = func(target, node int) float64 {
		if target == 4 && node == 3 {
			return 1
		}
		return 0.005
	}
	f.rate = 100
	f.run(10 * time.Second)
	assert.Empty(t, f.changes)
}
