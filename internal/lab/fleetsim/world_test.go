package fleetsim

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/lab/flowrules"
)

// seedCount is the number of seeds in CI; more by the environment variable.
const seedCount = 24

func seeds(t *testing.T) int {
	text := os.Getenv("BEAMDOOR_FLEET_SEEDS")
	if text == "" {
		return seedCount
	}
	asked, err := strconv.Atoi(text)
	require.NoError(t, err)
	return asked
}

func settings(seed uint64) Settings {
	return Settings{Seed: seed, Members: 3 + 2*int(seed%2), Edges: 6, Targets: 9, Callers: 40, Length: 40 * time.Second, Faults: true}
}

func TestACalmDayIsServedWhole(t *testing.T) {
	calm := settings(1)
	calm.Faults = false
	report := New(calm).Run()
	assert.Zero(t, report.Broken, report.Breaches)
	assert.Zero(t, report.Failed, report.Reasons)
	assert.Greater(t, report.Served, 5000)
}

func TestASeedGivesTheSameRun(t *testing.T) {
	first, second := New(settings(5)), New(settings(5))
	assert.Equal(t, first.Run(), second.Run())
	assert.Equal(t, first.Log(), second.Log())
}

// No mix of faults breaks a rule, and callers are served between them.
func TestMixedFaults(t *testing.T) {
	for seed := range uint64(seeds(t)) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			world := New(settings(seed))
			report := world.Run()
			assert.Zero(t, report.Broken, "%v\n%v", report.Breaches, world.Log())
			assert.Greater(t, report.Served, report.Asked/2, "%v\n%v", report.Reasons, world.Log())
		})
	}
}

// Each rule can fail: with a mechanism switched off some seeds break it. Nodes that go between
// two members need two of them on the wrong side of a cut, so that case plays nine members.
func TestTheRulesSeeWhatIsWrong(t *testing.T) {
	cases := map[string]struct {
		switches Switches
		rule     flowrules.Rule
		seeds    uint64
		needed   int
		members  int
	}{
		"a node alone holds targets for lost":   {Switches{HastyLoss: true}, flowrules.Flow, 40, 1, 0},
		"nodes go between two members":          {Switches{ForgetFaults: true}, flowrules.Config, 160, 2, 9},
		"a drain is acknowledged early":         {Switches{EarlyDrain: true}, flowrules.Drain, 40, 1, 0},
		"nodes ignore that zones are evacuated": {Switches{KeepZones: true}, flowrules.Evacuated, 40, 1, 0},
		"nodes ignore what cold targets bear":   {Switches{NoBudget: true}, flowrules.Cold, 40, 1, 0},
		"nodes ignore that targets drain":       {Switches{KeepOld: true}, flowrules.Drain, 40, 1, 0},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			seen := 0
			for seed := range test.seeds {
				wrong := settings(seed)
				wrong.Switches = test.switches
				if test.members > 0 {
					wrong.Members = test.members
				}
				isSeen := func(breach flowrules.Breach) bool { return breach.Rule == test.rule }
				if slices.ContainsFunc(New(wrong).Run().Breaches, isSeen) {
					seen++
				}
				if seen == test.needed {
					return
				}
			}
			assert.Fail(t, "too few seeds broke "+string(test.rule), "%d of %d, %d needed", seen, test.seeds, test.needed)
		})
	}
}
