package drawn

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/lab/fleetsim"
)

func TestEveryDrawnDeploymentCanWork(t *testing.T) {
	seen := map[Size]int{}
	for seed := range uint64(400) {
		deployment := Draw(seed)
		require.NoError(t, deployment.Validate(), Describe(deployment))
		assert.Equal(t, deployment, Draw(seed))
		seen[SizeOf(seed)]++
	}
	assert.Equal(t, map[Size]int{Small: 250, Medium: 100, Large: 50}, seen)
}

func TestADeploymentThatCannotWorkIsRefused(t *testing.T) {
	cases := []struct {
		name  string
		spoil func(*fleetsim.Settings)
		field string
	}{
		{"members that do not bear the tolerance", func(s *fleetsim.Settings) { s.Members, s.Tolerance = 3, 2 }, "Tolerance"},
		{"a route without a target", func(s *fleetsim.Settings) { s.Targets = 0 }, "Targets"},
		{"no member", func(s *fleetsim.Settings) { s.Members = 0 }, "Members"},
		{"no node", func(s *fleetsim.Settings) { s.Edges = 0 }, "Edges"},
		{"a negative loss", func(s *fleetsim.Settings) { s.LossOneIn = -1 }, "LossOneIn"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			deployment := Draw(3)
			test.spoil(&deployment)
			assert.ErrorContains(t, deployment.Validate(), test.field)
		})
	}
}

// A few fixed seeds in CI, two of each size; make drawn plays many.
func TestDrawnDeploymentsKeepTheRules(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3, 4, 8, 16} {
		t.Run(string(SizeOf(seed)), func(t *testing.T) {
			t.Parallel()
			deployment := Draw(seed)
			world := fleetsim.New(deployment)
			report := world.Run()
			assert.Zero(t, report.Broken, "%s\n%v\n%v", Describe(deployment), report.Breaches, world.Log())
			assert.Greater(t, report.Served, report.Asked/2, "%v", report.Reasons)
		})
	}
}
