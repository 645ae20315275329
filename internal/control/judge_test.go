package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	beamdoorv1 "github.com/beamdoor/beamdoor/api/beamdoor/v1"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// judged is a judge of one service with four targets.
type judged struct {
	*TargetEvaluator
	now      kernel.Instant
	services []*beamdoorv1.Service
	policies []*beamdoorv1.Policy
}

func newJudged() *judged {
	service := &beamdoorv1.Service{Name: "s", Cell: 1, SharingPolicy: "builtin/even", HealthPolicy: "builtin/health"}
	for id := uint32(1); id <= 4; id++ {
		service.Targets = append(service.Targets, &beamdoorv1.Target{Id: id, Name: fmt.Sprintf("t%d", id), Admin: "a", Slots: 2})
	}
	j := &judged{TargetEvaluator: NewTargetEvaluator(), services: []*beamdoorv1.Service{service}}
	j.SetServices(0, j.services)
	return j
}

func (j *judged) report(id uint32, report *beamdoorv1.LoadResponse) {
	j.RecordReport(j.now, id, report)
}

// verdicts returns the signals of the cell by target, or nil without a change.
func (j *judged) verdicts() map[uint32]wire.TargetSignal {
	j.now = j.now.Add(time.Second)
	changed, _ := j.TargetEvaluator.Evaluate(j.now, j.services, CompilePolicies(j.services, j.policies))
	if changed[1] == nil {
		return nil
	}
	found := map[uint32]wire.TargetSignal{}
	for _, signal := range changed[1] {
		found[signal.TargetID] = signal
	}
	return found
}

func ready(run uint64) *beamdoorv1.LoadResponse {
	return &beamdoorv1.LoadResponse{Ready: true, UptimeMs: 60_000, Run: run}
}

func TestNoVerdictWithoutEvidence(t *testing.T) {
	j := newJudged()
	assert.Nil(t, j.verdicts(), "a new leader does not undo what the former one said")
	j.report(1, ready(1))
	got := j.verdicts()
	assert.Len(t, got, 1)
	assert.True(t, got[1].Alive)
	assert.Nil(t, j.verdicts(), "only changes are spread")
}

func TestDeadTargetAndMassDeath(t *testing.T) {
	j := newJudged()
	for id := uint32(1); id <= 4; id++ {
		j.report(id, ready(1))
	}
	j.verdicts()
	for range deadAfter {
		j.RecordMissedReport(1)
	}
	assert.False(t, j.verdicts()[1].Alive)
	for range deadAfter {
		j.RecordMissedReport(2)
		j.RecordMissedReport(3)
	}
	got := j.verdicts()
	assert.True(t, got[1].Alive, "when most seem dead the fault is on this side")
	assert.True(t, got[2].Alive)
	assert.Zero(t, got[2].Weight, "yet they get no new flows")
}

func TestRestartOfATargetIsSpread(t *testing.T) {
	j := newJudged()
	j.report(1, ready(7))
	before := j.verdicts()[1].Run
	j.report(1, ready(7))
	assert.Nil(t, j.verdicts())
	j.report(1, ready(8))
	after := j.verdicts()[1].Run
	assert.NotZero(t, before)
	assert.NotEqual(t, before, after)
}

func TestFailingPolicyKeepsTheLastVerdict(t *testing.T) {
	j := newJudged()
	j.report(1, ready(1))
	weight := j.verdicts()[1].Weight
	require.NotZero(t, weight)
	j.services[0].SharingPolicy = "mine"
	j.policies = []*beamdoorv1.Policy{{Name: "mine", Source: "def weight(target):\n    return target.nothing\n"}}
	j.report(1, ready(1))
	assert.Nil(t, j.verdicts())
	assert.Equal(t, uint32(weight), j.Status()[0].Weight)
}

func TestStatusShowsDraining(t *testing.T) {
	j := newJudged()
	j.services[0].Targets[0].Draining = true
	j.report(1, ready(1))
	j.verdicts()
	assert.Equal(t, "draining", j.Status()[0].Reason)
}
