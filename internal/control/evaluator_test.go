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

// evaluatorFixture is an evaluator of one service with four targets.
type evaluatorFixture struct {
	*TargetEvaluator
	now      kernel.Instant
	services []*beamdoorv1.Service
	policies []*beamdoorv1.Policy
}

func newEvaluatorFixture() *evaluatorFixture {
	service := &beamdoorv1.Service{Name: "s", Cell: 1, SharingPolicy: "builtin/even", HealthPolicy: "builtin/health"}
	for id := uint32(1); id <= 4; id++ {
		service.Targets = append(service.Targets, &beamdoorv1.Target{Id: id, Name: fmt.Sprintf("t%d", id), Admin: "a", Slots: 2})
	}
	f := &evaluatorFixture{TargetEvaluator: NewTargetEvaluator(), services: []*beamdoorv1.Service{service}}
	f.SetServices(0, f.services)
	return f
}

func (f *evaluatorFixture) report(id uint32, report *beamdoorv1.LoadResponse) {
	f.RecordReport(f.now, id, report)
}

// evaluateNext evaluates after one second. It returns the signals by target ID, or nil if
// nothing changed.
func (f *evaluatorFixture) evaluateNext() map[uint32]wire.TargetSignal {
	f.now = f.now.Add(time.Second)
	changed, _ := f.TargetEvaluator.Evaluate(f.now, f.services, CompilePolicies(f.services, f.policies))
	if changed[1] == nil {
		return nil
	}
	signals := map[uint32]wire.TargetSignal{}
	for _, signal := range changed[1] {
		signals[signal.TargetID] = signal
	}
	return signals
}

func readyReport(run uint64) *beamdoorv1.LoadResponse {
	return &beamdoorv1.LoadResponse{Ready: true, UptimeMs: 60_000, Run: run}
}

func TestEvaluateReturnsNoSignalsWithoutReports(t *testing.T) {
	f := newEvaluatorFixture()
	assert.Nil(t, f.evaluateNext(), "a new leader keeps the verdicts of the former one")
	f.report(1, readyReport(1))
	signals := f.evaluateNext()
	assert.Len(t, signals, 1)
	assert.True(t, signals[1].Alive)
	assert.Nil(t, f.evaluateNext(), "only changes are published")
}

func TestTargetsStayAliveWhenMostMissReports(t *testing.T) {
	f := newEvaluatorFixture()
	for id := uint32(1); id <= 4; id++ {
		f.report(id, readyReport(1))
	}
	f.evaluateNext()
	for range missedReportsUntilDead {
		f.RecordMissedReport(1)
	}
	assert.False(t, f.evaluateNext()[1].Alive)
	for range missedReportsUntilDead {
		f.RecordMissedReport(2)
		f.RecordMissedReport(3)
	}
	signals := f.evaluateNext()
	assert.True(t, signals[1].Alive, "all targets count as alive when most miss reports")
	assert.True(t, signals[2].Alive)
	assert.Zero(t, signals[2].Weight, "targets that miss reports get no new flows")
}

func TestTargetRestartIsPublished(t *testing.T) {
	f := newEvaluatorFixture()
	f.report(1, readyReport(7))
	before := f.evaluateNext()[1].Run
	f.report(1, readyReport(7))
	assert.Nil(t, f.evaluateNext())
	f.report(1, readyReport(8))
	after := f.evaluateNext()[1].Run
	assert.NotZero(t, before)
	assert.NotEqual(t, before, after)
}

func TestFailingPolicyKeepsLastVerdict(t *testing.T) {
	f := newEvaluatorFixture()
	f.report(1, readyReport(1))
	weight := f.evaluateNext()[1].Weight
	require.NotZero(t, weight)
	f.services[0].SharingPolicy = "custom"
	f.policies = []*beamdoorv1.Policy{{Name: "custom", Source: "def weight(target):\n    return target.nothing\n"}}
	f.report(1, readyReport(1))
	assert.Nil(t, f.evaluateNext())
	assert.Equal(t, uint32(weight), f.Status()[0].Weight)
}

func TestStatusShowsDrainingTarget(t *testing.T) {
	f := newEvaluatorFixture()
	f.services[0].Targets[0].Draining = true
	f.report(1, readyReport(1))
	f.evaluateNext()
	assert.Equal(t, "draining", f.Status()[0].Reason)
}
