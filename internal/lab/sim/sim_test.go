package sim

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

func run(t *testing.T, options Options) Result {
	result, err := Run(options)
	require.NoError(t, err)
	return result
}

func assertHolds(t *testing.T, result Result) {
	for _, violation := range result.Violations {
		t.Errorf("%s: %s: %s", result, violation.Rule, violation.Detail)
	}
	if len(result.Violations) > 0 {
		t.Log("last events:\n" + strings.Join(result.Trace, "\n"))
	}
}

// TestScenariosHold runs every scenario with a few seeds.
func TestScenariosHold(t *testing.T) {
	for _, scenario := range Scenarios() {
		for seed := uint64(1); seed <= 2; seed++ {
			t.Run(fmt.Sprintf("%s/%d", scenario.Name, seed), func(t *testing.T) {
				t.Parallel()
				setup := Setups()[seed%2].Name
				assertHolds(t, run(t, Options{Setup: setup, Scenario: scenario.Name, Seed: seed}))
			})
		}
	}
}

// TestSeedsThatFailed runs the seeds that once broke a rule.
func TestSeedsThatFailed(t *testing.T) {
	tests := []struct {
		setup, scenario string
		seed            uint64
		cause           string
	}{
		{"patitas", "freeze-balancer", 4, "a packet that waited in a stopped balancer came after its request was forgotten"},
		{"patitas", "freeze-balancer", 22, "the span of lost records was that of the defaults"},
		{"patitas", "kill-two-balancers", 1, "a view without records never settled"},
		{"perth", "freeze-leader", 4, "a leader that was stopped expired healthy balancers"},
		{"patitas", "lost-disk", 8, "a follower took a wiped disk's identity for the first one"},
		{"patitas", "lost-disk", 14, "the same"},
		{"patitas", "chaos", 1, "apply ended a drain"},
		{"patitas", "chaos", 5, "a target started anew unnoticed"},
		{"patitas", "freeze-balancer", 117, "owners that changed while records were lost waited anew"},
		{"patitas", "chaos", 137, "a restart noticed late ended a flow of the new run"},
		{"patitas", "chaos", 7, "a balancer without configuration answered 4.04"},
	}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%s/%s/%d", test.setup, test.scenario, test.seed), func(t *testing.T) {
			t.Parallel()
			assertHolds(t, run(t, Options{Setup: test.setup, Scenario: test.scenario, Seed: test.seed}))
		})
	}
}

// TestMechanismsAreNeeded switches off one mechanism at a time and expects that the rule which
// rests on it breaks, which shows that the oracle can fail.
func TestMechanismsAreNeeded(t *testing.T) {
	tests := []struct {
		mechanism, scenario, rule string
	}{
		{"decision-point", "late-answers", "not run is true"},
		{"backup-record", "chaos", "at most once"},
		{"history-check", "cut-two-balancers", "at most once"},
		{"balancer-lease", "cut-two-balancers", "at most once"},
		{"service-check", "reused-address", "no packet to another service"},
		{"consult", "kill-two-balancers", "open flow survives"},
		{"handover", "roll-balancers", RuleProgress},
		{"drain", "drain", RuleDrained},
		{"retry-rule", "kill-target", "at most once"},
		{"stall-check", "freeze-leader", RuleHealthy},
		{"leader-lease", "freeze-leader", RuleFreshRead},
		{"pre-vote", "silent-member", RuleStable},
		{"check-quorum", "deaf-leader", RuleProgress},
		{"disk-identity", "lost-disk", RuleNoRevert},
		{"sync", "restart-control", RuleRecovers},
		{"request-identity", "race", RuleRefused},
		{"compare-and-set", "race", RuleOneWinner},
	}
	for _, test := range tests {
		t.Run(test.mechanism, func(t *testing.T) {
			t.Parallel()
			assert.True(t, breaks(t, test.scenario, test.mechanism, test.rule), "no seed broke %q", test.rule)
		})
	}
}

// mostSeeds is the number of seeds tried until one breaks the rule.
const mostSeeds = 30

// breaks looks for a seed that breaks the rule without the mechanism, and
// checks that the same seed holds with it.
func breaks(t *testing.T, scenario, mechanism, rule string) bool {
	for seed := uint64(1); seed <= mostSeeds; seed++ {
		options := Options{Scenario: scenario, Seed: seed, Disabled: []string{mechanism}}
		if !slices.Contains(run(t, options).Rules(), rule) {
			continue
		}
		options.Disabled = nil
		assertHolds(t, run(t, options))
		return true
	}
	return false
}

func TestSameSeedSameRun(t *testing.T) {
	for _, scenario := range []string{"chaos", "replace-two"} {
		first := run(t, Options{Scenario: scenario, Seed: 3, Trace: true})
		second := run(t, Options{Scenario: scenario, Seed: 3, Trace: true})
		require.Equal(t, len(first.Trace), len(second.Trace))
		for i := range first.Trace {
			require.Equal(t, first.Trace[i], second.Trace[i])
		}
	}
}

// register is the model of the newest write: a read shows the write before it.
var register = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		if written, isWrite := input.(string); isWrite {
			return true, written
		}
		return output.(string) == state.(string), state
	},
	Equal: func(a, b any) bool { return a.(string) == b.(string) },
}

func history(result Result, last kernel.Instant) []porcupine.Operation {
	var operations []porcupine.Operation
	for i, done := range result.Operations {
		operation := porcupine.Operation{ClientId: i, Call: int64(done.Start), Return: int64(done.End)}
		if done.Write {
			operation.Input = done.Value
		}
		operation.Output = done.Value
		if !done.Answered {
			operation.Return = int64(last)
		}
		operations = append(operations, operation)
	}
	return operations
}

// TestHistoriesAreLinearizable checks what operators wrote and read, with
// lost answers, dead leaders and cuts.
func TestHistoriesAreLinearizable(t *testing.T) {
	const endOfRun = kernel.Instant(1e12)
	for _, scenario := range []string{"race", "kill-leader", "freeze-leader", "asymmetric-cuts", "restart-control"} {
		t.Run(scenario, func(t *testing.T) {
			t.Parallel()
			result := run(t, Options{Scenario: scenario, Seed: 5})
			require.NotEmpty(t, result.Operations)
			assert.True(t, porcupine.CheckOperations(register, history(result, endOfRun)))
		})
	}
	t.Run("without the leader's lease", func(t *testing.T) {
		broken := 0
		for seed := uint64(1); seed <= 4; seed++ {
			result := run(t, Options{Scenario: "freeze-leader", Seed: seed, Disabled: []string{"leader-lease"}})
			if !porcupine.CheckOperations(register, history(result, endOfRun)) {
				broken++
			}
		}
		assert.NotZero(t, broken, "the check can fail")
	})
}

func TestBadOptionsNameWhatThereIs(t *testing.T) {
	tests := map[string]Options{
		"kill-balancer":       {Scenario: "nothing"},
		"patitas, perth":      {Setup: "nowhere", Scenario: "steady"},
		"compare-and-set":     {Scenario: "steady", Disabled: []string{"gravity"}},
		"routing.scheme.hash": {Scenario: "steady", Scheme: "routing.scheme.none"},
	}
	for want, options := range tests {
		_, err := Run(options)
		assert.ErrorContains(t, err, want)
	}
}
