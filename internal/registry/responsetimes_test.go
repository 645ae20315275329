package registry

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/speed"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// responseTimeFixture is a group whose nodes see different response times of targets.
type responseTimeFixture struct {
	*outcomeFixture
	// timeRatios are the response times of targets relative to each other.
	timeRatios map[directory.Token]float64
	sums       map[int]map[directory.Token]*speed.Sums
}

func newResponseTimeFixture(t *testing.T) *responseTimeFixture {
	b := &responseTimeFixture{outcomeFixture: newOutcomeFixture(t), timeRatios: map[directory.Token]float64{}, sums: map[int]map[directory.Token]*speed.Sums{}}
	for number, target := range b.targets {
		b.timeRatios[target.Token] = []float64{0.6, 1, 1.7}[number%3]
	}
	return b
}

// reportTimes lets nodes sample response times and report them.
func (b *responseTimeFixture) reportTimes(duration time.Duration) {
	const spread = 0.4
	for end := b.now.Add(duration); b.now < end; b.run(responseTimeInterval) {
		decay := math.Exp2(-float64(responseTimeInterval) / float64(speed.HalfLife))
		for node := range fixtureNodes {
			if b.sums[node] == nil {
				b.sums[node] = map[directory.Token]*speed.Sums{}
			}
			var reports []speed.Report
			for _, target := range b.targets {
				sums := b.sums[node][target.Token]
				if sums == nil {
					sums = &speed.Sums{}
					b.sums[node][target.Token] = sums
				}
				*sums = sums.Scaled(decay)
				sums.Add(math.Log(b.timeRatios[target.Token]) + spread*b.random.NormFloat64())
				reports = append(reports, speed.Report{Token: target.Token, Sums: *sums})
			}
			m := b.reporters[node%len(b.reporters)]
			if m.up {
				m.core.RecordResponseTimes(b.now, b.subscribe(m, node), reports)
			}
		}
	}
}

// assertSteps compares the steps at a member with the true ratios, scaled by a reference
// target.
func (b *responseTimeFixture) assertSteps(m *machine, reference directory.Token) {
	b.Helper()
	scale := m.core.responseTimes.steps[reference].TimeRatio() / b.timeRatios[reference]
	for _, target := range b.targets {
		assert.InEpsilon(b, b.timeRatios[target.Token]*scale, m.core.responseTimes.steps[target.Token].TimeRatio(), 0.25, target.ID)
	}
}

func TestEveryMemberLearnsResponseTimes(t *testing.T) {
	b := newResponseTimeFixture(t)
	b.reportTimes(10 * time.Second)
	for _, m := range b.machines {
		b.assertSteps(m, b.targets[1].Token)
	}
	assert.Equal(t, 1, b.events[eventlog.SpeedsDiffer])
}

func TestEqualTargetsNeedNoSteps(t *testing.T) {
	b := newResponseTimeFixture(t)
	for _, target := range b.targets {
		b.timeRatios[target.Token] = 1
	}
	b.reportTimes(20 * time.Second)
	for _, m := range b.machines {
		assert.LessOrEqual(t, len(m.core.responseTimes.steps), 2)
	}
	assert.Zero(t, b.events[eventlog.SpeedsDiffer])
}

// A new leader has no sums. The previous steps must hold until all members have reported.
func TestLeaderChangeKeepsSteps(t *testing.T) {
	b := newResponseTimeFixture(t)
	b.reportTimes(10 * time.Second)
	b.kill(b.leader.address, false)
	next := b.waitForLeader()
	for range 20 {
		b.reportTimes(responseTimeInterval)
		for _, m := range b.reporters {
			b.assertSteps(m, b.targets[1].Token)
		}
	}
	assert.Greater(t, next.core.responseTimes.term, b.leader.core.responseTimes.term)
	b.timeRatios[b.targets[0].Token] = 3
	b.reportTimes(40 * time.Second)
	b.assertSteps(b.reporters[0], b.targets[1].Token)
}

func TestChangedResponseTimeUpdatesStep(t *testing.T) {
	b := newResponseTimeFixture(t)
	b.reportTimes(10 * time.Second)
	b.timeRatios[b.targets[0].Token] = 2
	b.reportTimes(40 * time.Second)
	b.assertSteps(b.reporters[0], b.targets[1].Token)
}

// A target that restarts under the same ID may run on another machine.
func TestRestartedTargetStartsWithoutStep(t *testing.T) {
	b := newResponseTimeFixture(t)
	b.reportTimes(10 * time.Second)
	old := b.targets[2]
	command := putTarget(old.ID, old.Address.String(), directory.TargetReady)
	command.Target.Zone = old.Zone
	command.Target.StartTime = 1
	require.NoError(t, b.submit(b.leader, command).Err)
	started, _ := b.leader.core.State().Target(old.ID)
	require.NotEqual(t, old.Token, started.Token)
	b.run(responseTimeInterval)
	for _, m := range b.reporters {
		assert.Zero(t, m.core.responseTimes.steps[started.Token])
	}
	b.reportTimes(2 * speed.SweepInterval)
	for _, m := range b.reporters {
		assert.Zero(t, m.core.responseTimes.steps[old.Token], "the target has ended")
	}
}

// A member that missed a reset to the usual time must not keep the old step forever. Steps
// that the leader refreshes stay.
func TestStepExpiresAfterLostReset(t *testing.T) {
	b := newResponseTimeFixture(t)
	for number, target := range b.targets {
		b.timeRatios[target.Token] = []float64{0.6, 1.7}[number%2]
	}
	b.reportTimes(10 * time.Second)
	m := b.reporters[0].core
	refreshed := b.targets[1].Token
	missed := b.targets[2].Token
	b.leader.core.applySteps(b.now, []speed.TargetStep{{Token: missed}})
	require.NotZero(t, m.responseTimes.steps[missed])
	later := b.now.Add(stepTTL + time.Second)
	b.leader.core.sweepSteps(later)
	assert.NotZero(t, b.leader.core.responseTimes.steps[refreshed], "the leader keeps its own steps")
	m.applySteps(later, []speed.TargetStep{{Token: refreshed, Step: m.responseTimes.steps[refreshed]}})
	m.responseTimes.unsentSteps = newTokenQueue()
	m.sweepSteps(later)
	assert.NotZero(t, m.responseTimes.steps[refreshed])
	assert.NotContains(t, m.responseTimes.steps, missed)
	assert.NotContains(t, m.responseTimes.receivedAt, missed)
	assert.Contains(t, m.responseTimes.unsentSteps.tokens, missed, "the reset is queued for the nodes")
}

// All steps must be repeated before members drop them.
func TestStepsAreRefreshed(t *testing.T) {
	b := newResponseTimeFixture(t)
	b.reportTimes(10 * time.Second)
	from := b.now
	b.reportTimes(stepRefreshInterval + 2*responseTimeInterval)
	for _, m := range b.machines {
		require.NotEmpty(t, m.core.responseTimes.steps)
		for token := range m.core.responseTimes.steps {
			assert.True(t, from.Before(m.core.responseTimes.receivedAt[token]), "target %d at %s", token, m.address)
		}
	}
}

// Sums of a departed member would count twice once its nodes report to other members.
func TestSumsOfDepartedMemberAreRemoved(t *testing.T) {
	b := newResponseTimeFixture(t)
	b.reportTimes(5 * time.Second)
	token := b.targets[0].Token
	core := b.leader.core
	core.recordSums(b.now, "gone", []speed.Report{{Token: token, Sums: speed.Sums{Count: 1000, Total: 1000, Squares: 1000}}})
	require.Greater(t, core.responseTimes.memberSums.Total(b.now, token).Count, 1000.0)
	b.reportTimes(speed.SweepInterval)
	assert.Less(t, core.responseTimes.memberSums.Total(b.now, token).Count, 500.0)
}

// Samples of nodes that left a member must leave the leader's sums too.
func TestSumsOfDepartedNodesAreRemoved(t *testing.T) {
	b := newResponseTimeFixture(t)
	b.reportTimes(10 * time.Second)
	token, m := b.targets[0].Token, b.reporters[0]
	before := b.leader.core.responseTimes.memberSums.Total(b.now, token).Count
	for node := 0; node < fixtureNodes; node += len(b.reporters) {
		m.core.Unsubscribe(b.subscribe(m, node))
	}
	b.run(speed.SweepInterval + 2*responseTimeInterval)
	maxShare := 1 - 1/float64(len(b.reporters))
	assert.Less(t, b.leader.core.responseTimes.memberSums.Total(b.now, token).Count, maxShare*before)
}

// A single node with false reports must move a step only slightly.
func TestFaultyNodeBarelyMovesSteps(t *testing.T) {
	b := newResponseTimeFixture(t)
	b.reportTimes(10 * time.Second)
	m := b.reporters[0]
	for range 40 {
		var reports []speed.Report
		for _, target := range b.targets[:6] {
			reports = append(reports, speed.Report{Token: target.Token, Sums: speed.Sums{Count: 8000, Total: 16000, Squares: 32000}})
		}
		m.core.RecordResponseTimes(b.now, b.subscribe(m, fixtureNodes), reports)
		b.reportTimes(responseTimeInterval)
	}
	for _, target := range b.targets[:6] {
		ratio := m.core.responseTimes.steps[target.Token].TimeRatio() / m.core.responseTimes.steps[b.targets[7].Token].TimeRatio()
		assert.InEpsilon(t, b.timeRatios[target.Token]/b.timeRatios[b.targets[7].Token], ratio, 0.3)
	}
}

// Reports of unknown targets must not take memory.
func TestReportsOfUnknownTargetsAreIgnored(t *testing.T) {
	b := newResponseTimeFixture(t)
	m := b.reporters[0]
	for token := range directory.Token(10_000) {
		m.core.RecordResponseTimes(b.now, b.subscribe(m, 1), []speed.Report{{Token: token, Sums: speed.Sums{Count: 1}}})
	}
	assert.Empty(t, m.core.responseTimes.nodeSums.Tokens())
}

// Even if all of 36,000 targets change constantly, a node must get at most 3 kB/s and still
// learn all of them within ten minutes.
func TestStepMessagesToNodesAreLimited(t *testing.T) {
	const (
		targets, limit = 36_000, 3000
		first, late    = 7, 8
		seconds        = 900
	)
	c := newCluster(t, 1, 3)
	core := c.waitForLeader().core
	known := map[ConnectionID]map[directory.Token]bool{first: {}, late: {}}
	core.Subscribe(c.now, first, Subscribe{Node: "edge"})
	core.takeOutput()
	for second := range seconds {
		if second == seconds/3 {
			core.Subscribe(c.now, late, Subscribe{Node: "edge2"})
			core.takeOutput()
		}
		bytes := map[ConnectionID]int{}
		for half := range 2 {
			var steps []speed.TargetStep
			for number := range maxChangesPerMessage {
				token := directory.Token((second*2+half)*maxChangesPerMessage + number)
				steps = append(steps, speed.TargetStep{Token: 1 + token%targets, Step: speed.Step(1 + second%20)})
			}
			core.applySteps(c.now, steps)
			core.sendStepsToNodes()
			for _, sent := range core.takeOutput().Nodes {
				bytes[sent.Connection] += wire.FrameSize(sent.Frame)
				message, err := speed.Decode(sent.Frame.Payload)
				require.NoError(t, err)
				for _, entry := range message.Steps {
					known[sent.Connection][entry.Token] = true
				}
			}
		}
		for connection, total := range bytes {
			require.LessOrEqual(t, total, limit, "node %d, second %d", connection, second)
		}
	}
	assert.Len(t, known[first], targets)
	assert.Len(t, known[late], targets)
}

// Only the failing target must be ejected, not the slow ones.
func TestSlowTargetsAreNotEjected(t *testing.T) {
	b := newResponseTimeFixture(t)
	faulty := b.targets[0].Token
	for range 40 {
		for node := range 4 {
			var counted []directory.Outcomes
			for number, target := range b.targets {
				outcome := directory.Outcomes{Token: target.Token, Answered: 1}
				if number%3 == 2 {
					outcome = directory.Outcomes{Token: target.Token, Slow: 1}
				}
				if target.Token == faulty && node%2 == 0 {
					outcome = directory.Outcomes{Token: target.Token, Short: 1}
				}
				counted = append(counted, outcome)
			}
			b.reportTo(b.reporters[node%len(b.reporters)], node, counted...)
		}
		b.run(livenessInterval)
		for _, token := range b.ejected(b.reporters[0]) {
			assert.Equal(t, faulty, token, fmt.Sprint(b.now))
		}
	}
	assert.Positive(t, b.events[eventlog.TargetEjected])
}
