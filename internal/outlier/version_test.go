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

// release is a fleet whose targets are replaced by ones of another version.
type release struct {
	*fleet
	position uint64
	// bad are the shares of their work that versions fail.
	bad      map[string]float64
	versions []VersionChange
}

const slotsOfRelease = 2

func newRelease(seed uint64, targets int) *release {
	r := &release{fleet: newFleet(seed, targets, 80), bad: map[string]float64{}}
	r.fails = func(target, _ int) float64 { return max(0.005, r.bad[r.targets[target].Version]) }
	for position := range r.targets {
		r.replace(position, "v1")
	}
	r.play(5 * time.Second)
	return r
}

// replace starts a target of a version in place of one.
func (r *release) replace(position int, version string) {
	r.position++
	target := &r.targets[position]
	target.Token = directory.Token(1000*int(r.position) + position)
	target.Version, target.RegisteredAt, target.Slots = version, r.position, slotsOfRelease
	r.seen[position], r.before[position] = map[int]uint32{}, map[int]uint32{}
}

// play lets time pass and keeps what became of versions.
func (r *release) play(duration time.Duration) {
	for end := r.now.Add(duration); r.now < end; {
		r.step()
		r.versions = append(r.versions, r.decision.Versions...)
	}
}

// causes returns what became of versions, in short.
func (r *release) causes() []string {
	var words []string
	for _, change := range r.versions {
		words = append(words, fmt.Sprintf("%s %d %d", change.Version, change.Kind, change.Cause))
	}
	return words
}

// flowsTo returns the number of a version's targets that get all flows, and a few.
func (r *release) flowsTo(version string) (all, few int) {
	for _, target := range r.targets {
		switch {
		case target.Version != version, r.out[target.Token]:
		case r.tried[target.Token]:
			few++
		default:
			all++
		}
	}
	return all, few
}

// became is one of causes.
func became(version string, kind ChangeKind, cause VersionCause) string {
	return fmt.Sprintf("%s %d %d", version, kind, cause)
}

// roll replaces some targets by ones of a version.
func (r *release) roll(from, to int, version string) {
	for position := from; position < to; position++ {
		r.replace(position, version)
	}
}

// A release that fails is held at each of its stages at which the old version bears the
// service, and not one target of that is left out.
func TestABadReleaseIsHeldAtItsStages(t *testing.T) {
	for _, share := range []float64{1, 0.5, 0.3} {
		for _, stage := range []int{2, 4, 6} {
			t.Run(fmt.Sprintf("%d of 12 fail %v", stage, share), func(t *testing.T) {
				var times []time.Duration
				for seed := range uint64(30) {
					r := newRelease(seed, 12)
					r.bad["v2"] = share
					r.roll(0, stage, "v2")
					begin := r.now
					for len(r.versions) == 0 && r.now.Sub(begin) < 20*time.Second {
						r.play(bucketTime)
					}
					if len(r.versions) == 0 {
						all, _ := r.flowsTo("v2")
						require.LessOrEqual(t, all, 1, "seed %d: left out one by one", seed)
						continue
					}
					times = append(times, r.now.Sub(begin))
					require.Equal(t, became("v2", Ejected, HighFailureRate), r.causes()[0], "seed %d", seed)
					all, few := r.flowsTo("v2")
					require.Zero(t, all+few, "seed %d", seed)
					all, _ = r.flowsTo("v1")
					require.Equal(t, 12-stage, all, "seed %d", seed)
					r.play(30 * time.Second)
					all, few = r.flowsTo("v2")
					require.Zero(t, all, "seed %d", seed)
					require.LessOrEqual(t, few, fewestTrials, "seed %d", seed)
				}
				slices.Sort(times)
				if len(times) > 0 {
					t.Logf("%d of 30 held, median %v, longest %v", len(times), medianTime(times), times[len(times)-1])
				}
			})
		}
	}
}

// Once the old version bears less than half of the service the release goes on, held or
// not; with the rollback done nothing is left of it.
func TestAReleaseThatGoesOnIsLetGoAndRolledBack(t *testing.T) {
	r := newRelease(1, 12)
	r.bad["v2"] = 1
	r.roll(0, 4, "v2")
	r.play(3 * time.Second)
	r.roll(4, 6, "v2")
	r.play(time.Second)
	all, _ := r.flowsTo("v2")
	assert.Zero(t, all, "new targets of a held version are held")
	r.roll(6, 7, "v2")
	r.play(time.Second)
	assert.Equal(t, became("v2", Readmitted, InsufficientCapacity), r.causes()[len(r.versions)-1])
	r.roll(7, 12, "v2")
	r.play(5 * time.Second)
	seen := len(r.versions)
	r.roll(0, 12, "v1")
	r.play(10 * time.Second)
	assert.Len(t, r.versions, seen)
	all, _ = r.flowsTo("v1")
	assert.Equal(t, 12, all)
	assert.Empty(t, r.judge.versions)
}

func TestTheOnlyVersionIsNotHeld(t *testing.T) {
	r := newRelease(1, 12)
	r.bad["v2"] = 1
	r.roll(0, 6, "v2")
	r.play(time.Second)
	r.roll(6, 12, "v2")
	r.play(time.Second)
	assert.Equal(t, []string{became("v2", Ejected, HighFailureRate), became("v2", Readmitted, NoOtherVersion)}, r.causes())
}

// During the rollback of a release that is held the old version serves.
func TestARollbackEndsAHold(t *testing.T) {
	r := newRelease(2, 12)
	r.bad["v2"] = 1
	r.roll(0, 6, "v2")
	r.play(3 * time.Second)
	require.Equal(t, []string{became("v2", Ejected, HighFailureRate)}, r.causes()[:1])
	for position := range 6 {
		r.replace(position, "v1")
		r.play(time.Second)
		all, _ := r.flowsTo("v1")
		assert.Equal(t, 7+position, all)
	}
	assert.Empty(t, r.judge.versions)
}

func TestAVersionThatServesAgainIsReadmitted(t *testing.T) {
	for seed := range uint64(30) {
		r := newRelease(seed, 12)
		r.bad["v2"] = 1
		r.roll(0, 4, "v2")
		r.play(2 * time.Second)
		require.Len(t, r.versions, 1, "seed %d", seed)
		r.bad["v2"] = 0
		r.play(firstHold + 100*time.Millisecond)
		_, few := r.flowsTo("v2")
		require.LessOrEqual(t, few, fewestTrials)
		r.play(15 * time.Second)
		expected := []string{became("v2", Ejected, HighFailureRate), became("v2", OnProbation, HoldExpired), became("v2", Readmitted, Recovered)}
		require.Equal(t, expected, r.causes(), "seed %d", seed)
		all, _ := r.flowsTo("v2")
		require.Equal(t, 4, all)
	}
}

// A service without work that may be repeated sends trials nothing.
func TestAVersionOfWhichNothingIsSeenIsReadmittedAfterATime(t *testing.T) {
	r := newRelease(1, 12)
	r.bad["v2"] = 1
	r.roll(0, 4, "v2")
	r.play(2 * time.Second)
	r.bad["v2"] = 0
	r.trickle = 0
	r.play(firstHold + probationLimit + time.Second)
	assert.Equal(t, became("v2", Readmitted, Inconclusive), r.causes()[len(r.versions)-1])
}

// What is no fault of the new version holds none; drawn fleets have more of it.
func TestNoVersionIsHeldForWhatIsNotItsFault(t *testing.T) {
	cases := map[string]func(r *release){
		"both versions fail": func(r *release) { r.bad = map[string]float64{"v1": 0.5, "v2": 0.5} },
		"the old one fails":  func(r *release) { r.bad = map[string]float64{"v1": 0.5} },
		"a third of the new targets fails": func(r *release) {
			r.fails = func(target, _ int) float64 {
				if target < 2 {
					return 1
				}
				return 0.005
			}
		},
		"a zone fails that has most of the new version": func(r *release) {
			for position := range r.targets {
				r.targets[position].Zone = fmt.Sprint("z", position/5)
			}
			r.fails = func(target, _ int) float64 {
				if target < 5 {
					return 0.5
				}
				return 0.005
			}
		},
		"a zone fails that has all of the new version": func(r *release) {
			for position := range r.targets {
				r.targets[position].Zone = fmt.Sprint("z", position/6)
			}
			r.fails = func(target, _ int) float64 {
				if target < 6 {
					return 0.5
				}
				return 0.005
			}
		},
		"one node sees all failures": func(r *release) {
			r.fails = func(target, node int) float64 {
				if target < 6 && node == 7 {
					return 1
				}
				return 0.005
			}
		},
		"the new version is cold": func(r *release) {
			r.bad["v2"] = 1
			for position := range 6 {
				r.targets[position].WarmingUp = true
			}
		},
		"no version is stated": func(r *release) {
			r.bad[""] = 0.3
			for position := range r.targets {
				r.targets[position].Version = ""
			}
		},
	}
	for name, begin := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				r := newRelease(seed, 12)
				r.roll(0, 6, "v2")
				begin(r)
				r.play(10 * time.Second)
				require.Empty(t, r.versions, "seed %d", seed)
			}
		})
	}
}

// Another leader's reasons are not known: a version that it held is held, then tried.
func TestAVersionThatAnotherJudgeHeldIsTried(t *testing.T) {
	for _, share := range []float64{0, 1} {
		r := newRelease(3, 12)
		r.bad["v2"] = 1
		r.roll(0, 6, "v2")
		r.play(2 * time.Second)
		require.Len(t, r.versions, 1)
		before := r.decision
		r.bad["v2"] = share
		r.judge = NewDetector()
		r.judge.Restore(r.now, 0, before.Ejected, before.Probation)
		r.roll(0, 1, "v2")
		r.play(firstHold)
		all, _ := r.flowsTo("v2")
		assert.Zero(t, all)
		assert.Equal(t, became("v2", Ejected, HeldByPreviousLeader), r.causes()[1])
		r.play(15 * time.Second)
		all, _ = r.flowsTo("v2")
		if share == 0 {
			assert.Equal(t, 6, all, "it serves")
		} else {
			assert.Zero(t, all, "it does not")
		}
	}
}

// order gives an operator's order about a version.
func (r *release) order(version string, rule directory.VersionRule) {
	for position := range r.targets {
		if r.targets[position].Version == version {
			r.targets[position].VersionRule = rule
		}
	}
}

func TestOrdersAboutVersionsComeFirst(t *testing.T) {
	r := newRelease(4, 12)
	r.roll(0, 8, "v2")
	r.order("v2", directory.VersionHeld)
	r.play(30 * time.Second)
	all, few := r.flowsTo("v2")
	assert.Zero(t, all+few, "no share bounds it, and nothing is tried")
	r.bad["v2"] = 1
	r.order("v2", directory.VersionReleased)
	r.roll(6, 8, "v1")
	r.play(300 * time.Millisecond)
	assert.Equal(t, []string{became("v2", Ejected, OperatorOrder), became("v2", Readmitted, OperatorOrder)}, r.causes())
	r.play(5 * time.Second)
	assert.Len(t, r.versions, 2, "released whatever is seen")
	r.order("v2", directory.VersionJudged)
	r.play(20 * time.Second)
	assert.Equal(t, became("v2", Ejected, HighFailureRate), r.causes()[2])
	r.targets[0].Order.Rule = directory.RuleExempt
	r.play(200 * time.Millisecond)
	assert.False(t, r.out[r.targets[0].Token], "an order about a single target")
}
