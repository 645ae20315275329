package outlier

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/directory"
)

// release is a fleet whose targets are replaced by targets of another version.
type release struct {
	*fleet
	registrations uint64
	// failureRates holds the failure rate of each version.
	failureRates   map[string]float64
	versionChanges []VersionChange
}

const releaseSlots = 2

func newRelease(seed uint64, targets int) *release {
	r := &release{fleet: newFleet(seed, targets, 80), failureRates: map[string]float64{}}
	r.failureRate = func(target, _ int) float64 { return max(0.005, r.failureRates[r.targets[target].Version]) }
	for position := range r.targets {
		r.replace(position, "v1")
	}
	r.runRecorded(5 * time.Second)
	return r
}

// replace substitutes a newly registered target for the one at a position.
func (r *release) replace(position int, version string) {
	r.registrations++
	target := &r.targets[position]
	target.Token = directory.Token(1000*int(r.registrations) + position)
	target.Version, target.RegisteredAt, target.Slots = version, r.registrations, releaseSlots
	r.recentFailures[position], r.previousFailures[position] = map[int]uint32{}, map[int]uint32{}
}

// runRecorded advances the time and records the version changes.
func (r *release) runRecorded(duration time.Duration) {
	for end := r.now.Add(duration); r.now < end; {
		r.step()
		r.versionChanges = append(r.versionChanges, r.decision.Versions...)
	}
}

// changeTexts returns the recorded version changes in the format of changeText.
func (r *release) changeTexts() []string {
	var texts []string
	for _, change := range r.versionChanges {
		texts = append(texts, fmt.Sprintf("%s %d %d", change.Version, change.Kind, change.Cause))
	}
	return texts
}

// targetsByStage returns how many of a version's targets are active and on probation.
func (r *release) targetsByStage(version string) (active, onTrial int) {
	for _, target := range r.targets {
		switch {
		case target.Version != version, r.ejected[target.Token]:
		case r.onProbation[target.Token]:
			onTrial++
		default:
			active++
		}
	}
	return active, onTrial
}

// changeText formats a version change for comparison.
func changeText(version string, kind ChangeKind, cause VersionCause) string {
	return fmt.Sprintf("%s %d %d", version, kind, cause)
}

// replaceRange replaces a range of targets.
func (r *release) replaceRange(from, to int, version string) {
	for position := from; position < to; position++ {
		r.replace(position, version)
	}
}

// A failing version is held while the old one has enough capacity, and no target of the
// old version is ejected.
func TestFailingVersionIsHeldDuringRelease(t *testing.T) {
	for _, rate := range []float64{1, 0.5, 0.3} {
		for _, replaced := range []int{2, 4, 6} {
			t.Run(fmt.Sprintf("%d of 12 with failure rate %v", replaced, rate), func(t *testing.T) {
				var times []time.Duration
				for seed := range uint64(30) {
					r := newRelease(seed, 12)
					r.failureRates["v2"] = rate
					r.replaceRange(0, replaced, "v2")
					begin := r.now
					for len(r.versionChanges) == 0 && r.now.Sub(begin) < 20*time.Second {
						r.runRecorded(bucketDuration)
					}
					if len(r.versionChanges) == 0 {
						active, _ := r.targetsByStage("v2")
						require.LessOrEqual(t, active, 1, "seed %d: ejected individually", seed)
						continue
					}
					times = append(times, r.now.Sub(begin))
					require.Equal(t, changeText("v2", Ejected, HighFailureRate), r.changeTexts()[0], "seed %d", seed)
					active, onTrial := r.targetsByStage("v2")
					require.Zero(t, active+onTrial, "seed %d", seed)
					active, _ = r.targetsByStage("v1")
					require.Equal(t, 12-replaced, active, "seed %d", seed)
					r.runRecorded(30 * time.Second)
					active, onTrial = r.targetsByStage("v2")
					require.Zero(t, active, "seed %d", seed)
					require.LessOrEqual(t, onTrial, minTrialTargets, "seed %d", seed)
				}
				slices.Sort(times)
				if len(times) > 0 {
					t.Logf("%d of 30 held, median %v, longest %v", len(times), medianTime(times), times[len(times)-1])
				}
			})
		}
	}
}

// A held version is readmitted once the old one lacks capacity. After the rollback no
// state is left.
func TestContinuedReleaseIsReadmittedAndRolledBack(t *testing.T) {
	r := newRelease(1, 12)
	r.failureRates["v2"] = 1
	r.replaceRange(0, 4, "v2")
	r.runRecorded(3 * time.Second)
	r.replaceRange(4, 6, "v2")
	r.runRecorded(time.Second)
	active, _ := r.targetsByStage("v2")
	assert.Zero(t, active, "new targets of a held version are ejected")
	r.replaceRange(6, 7, "v2")
	r.runRecorded(time.Second)
	assert.Equal(t, changeText("v2", Readmitted, InsufficientCapacity), r.changeTexts()[len(r.versionChanges)-1])
	r.replaceRange(7, 12, "v2")
	r.runRecorded(5 * time.Second)
	recorded := len(r.versionChanges)
	r.replaceRange(0, 12, "v1")
	r.runRecorded(10 * time.Second)
	assert.Len(t, r.versionChanges, recorded)
	active, _ = r.targetsByStage("v1")
	assert.Equal(t, 12, active)
	assert.Empty(t, r.detector.versions)
}

func TestOnlyVersionIsNotHeld(t *testing.T) {
	r := newRelease(1, 12)
	r.failureRates["v2"] = 1
	r.replaceRange(0, 6, "v2")
	r.runRecorded(time.Second)
	r.replaceRange(6, 12, "v2")
	r.runRecorded(time.Second)
	assert.Equal(t, []string{changeText("v2", Ejected, HighFailureRate), changeText("v2", Readmitted, NoOtherVersion)}, r.changeTexts())
}

// During the rollback of a held version the old version serves.
func TestRollbackEndsHold(t *testing.T) {
	r := newRelease(2, 12)
	r.failureRates["v2"] = 1
	r.replaceRange(0, 6, "v2")
	r.runRecorded(3 * time.Second)
	require.Equal(t, []string{changeText("v2", Ejected, HighFailureRate)}, r.changeTexts()[:1])
	for position := range 6 {
		r.replace(position, "v1")
		r.runRecorded(time.Second)
		active, _ := r.targetsByStage("v1")
		assert.Equal(t, 7+position, active)
	}
	assert.Empty(t, r.detector.versions)
}

func TestRecoveredVersionIsReadmitted(t *testing.T) {
	for seed := range uint64(30) {
		r := newRelease(seed, 12)
		r.failureRates["v2"] = 1
		r.replaceRange(0, 4, "v2")
		r.runRecorded(2 * time.Second)
		require.Len(t, r.versionChanges, 1, "seed %d", seed)
		r.failureRates["v2"] = 0
		r.runRecorded(minHold + 100*time.Millisecond)
		_, onTrial := r.targetsByStage("v2")
		require.LessOrEqual(t, onTrial, minTrialTargets)
		r.runRecorded(15 * time.Second)
		expected := []string{changeText("v2", Ejected, HighFailureRate), changeText("v2", OnProbation, HoldExpired), changeText("v2", Readmitted, Recovered)}
		require.Equal(t, expected, r.changeTexts(), "seed %d", seed)
		active, _ := r.targetsByStage("v2")
		require.Equal(t, 4, active)
	}
}

// A service without retryable requests sends nothing to targets on trial.
func TestVersionTrialWithoutTrafficTimesOut(t *testing.T) {
	r := newRelease(1, 12)
	r.failureRates["v2"] = 1
	r.replaceRange(0, 4, "v2")
	r.runRecorded(2 * time.Second)
	r.failureRates["v2"] = 0
	r.probationRate = 0
	r.runRecorded(minHold + maxProbation + time.Second)
	assert.Equal(t, changeText("v2", Readmitted, Inconclusive), r.changeTexts()[len(r.versionChanges)-1])
}

// Failures that are not caused by the new version do not hold it.
func TestUnrelatedFailuresDoNotHoldVersion(t *testing.T) {
	cases := map[string]func(r *release){
		"both versions fail":    func(r *release) { r.failureRates = map[string]float64{"v1": 0.5, "v2": 0.5} },
		"the old version fails": func(r *release) { r.failureRates = map[string]float64{"v1": 0.5} },
		"a third of the new targets fail": func(r *release) {
			r.failureRate = func(target, _ int) float64 {
				if target < 2 {
					return 1
				}
				return 0.005
			}
		},
		"a zone with most of the new version fails": func(r *release) {
			for position := range r.targets {
				r.targets[position].Zone = fmt.Sprint("z", position/5)
			}
			r.failureRate = func(target, _ int) float64 {
				if target < 5 {
					return 0.5
				}
				return 0.005
			}
		},
		"a zone with all of the new version fails": func(r *release) {
			for position := range r.targets {
				r.targets[position].Zone = fmt.Sprint("z", position/6)
			}
			r.failureRate = func(target, _ int) float64 {
				if target < 6 {
					return 0.5
				}
				return 0.005
			}
		},
		"one node sees all failures": func(r *release) {
			r.failureRate = func(target, node int) float64 {
				if target < 6 && node == 7 {
					return 1
				}
				return 0.005
			}
		},
		"the new version is warming up": func(r *release) {
			r.failureRates["v2"] = 1
			for position := range 6 {
				r.targets[position].WarmingUp = true
			}
		},
		"no version is known": func(r *release) {
			r.failureRates[""] = 0.3
			for position := range r.targets {
				r.targets[position].Version = ""
			}
		},
	}
	for name, begin := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				r := newRelease(seed, 12)
				r.replaceRange(0, 6, "v2")
				begin(r)
				r.runRecorded(10 * time.Second)
				require.Empty(t, r.versionChanges, "seed %d", seed)
			}
		})
	}
}

// A version held by the previous leader stays held and is then tried.
func TestRestoredVersionHoldGoesThroughTrial(t *testing.T) {
	for _, rate := range []float64{0, 1} {
		r := newRelease(3, 12)
		r.failureRates["v2"] = 1
		r.replaceRange(0, 6, "v2")
		r.runRecorded(2 * time.Second)
		require.Len(t, r.versionChanges, 1)
		before := r.decision
		r.failureRates["v2"] = rate
		r.detector = NewDetector()
		r.detector.Restore(r.now, 0, before.Ejected, before.Probation)
		r.replaceRange(0, 1, "v2")
		r.runRecorded(minHold)
		active, _ := r.targetsByStage("v2")
		assert.Zero(t, active)
		assert.Equal(t, changeText("v2", Ejected, HeldByPreviousLeader), r.changeTexts()[1])
		r.runRecorded(15 * time.Second)
		active, _ = r.targetsByStage("v2")
		if rate == 0 {
			assert.Equal(t, 6, active, "it has recovered")
		} else {
			assert.Zero(t, active, "it still fails")
		}
	}
}

// order sets the operator's rule for a version.
func (r *release) order(version string, rule directory.VersionRule) {
	for position := range r.targets {
		if r.targets[position].Version == version {
			r.targets[position].VersionRule = rule
		}
	}
}

func TestVersionOrdersTakePrecedence(t *testing.T) {
	r := newRelease(4, 12)
	r.replaceRange(0, 8, "v2")
	r.order("v2", directory.VersionHeld)
	r.runRecorded(30 * time.Second)
	active, onTrial := r.targetsByStage("v2")
	assert.Zero(t, active+onTrial, "orders ignore the capacity limit and are not followed by trials")
	r.failureRates["v2"] = 1
	r.order("v2", directory.VersionReleased)
	r.replaceRange(6, 8, "v1")
	r.runRecorded(300 * time.Millisecond)
	assert.Equal(t, []string{changeText("v2", Ejected, OperatorOrder), changeText("v2", Readmitted, OperatorOrder)}, r.changeTexts())
	r.runRecorded(5 * time.Second)
	assert.Len(t, r.versionChanges, 2, "released whatever the failure rate")
	r.order("v2", directory.VersionJudged)
	r.runRecorded(20 * time.Second)
	assert.Equal(t, changeText("v2", Ejected, HighFailureRate), r.changeTexts()[2])
	r.targets[0].Order.Rule = directory.RuleExempt
	r.runRecorded(200 * time.Millisecond)
	assert.False(t, r.ejected[r.targets[0].Token], "an order for an individual target takes precedence")
}
