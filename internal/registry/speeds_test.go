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

// speedBench is a group whose nodes see some targets take longer than others.
type speedBench struct {
	*outcomeBench
	// times are the relative times of targets, 1 where there is none.
	times map[directory.Token]float64
	sums  map[int]map[directory.Token]*speed.Sums
}

func newSpeedBench(t *testing.T) *speedBench {
	b := &speedBench{outcomeBench: newOutcomeBench(t), times: map[directory.Token]float64{}, sums: map[int]map[directory.Token]*speed.Sums{}}
	for number, target := range b.targets {
		b.times[target.Token] = []float64{0.6, 1, 1.7}[number%3]
	}
	return b
}

// learn lets nodes time requests and tell of them.
func (b *speedBench) learn(duration time.Duration) {
	const spread = 0.4
	for end := b.now.Add(duration); b.now < end; b.run(speedInterval) {
		fade := math.Exp2(-float64(speedInterval) / float64(speed.HalfLife))
		for node := range nodesOfBench {
			if b.sums[node] == nil {
				b.sums[node] = map[directory.Token]*speed.Sums{}
			}
			var words []speed.Report
			for _, target := range b.targets {
				sums := b.sums[node][target.Token]
				if sums == nil {
					sums = &speed.Sums{}
					b.sums[node][target.Token] = sums
				}
				*sums = sums.Scaled(fade)
				sums.Add(math.Log(b.times[target.Token]) + spread*b.random.NormFloat64())
				words = append(words, speed.Report{Token: target.Token, Sums: *sums})
			}
			m := b.reporters[node%len(b.reporters)]
			if m.up {
				m.core.RecordResponseTimes(b.now, b.open(m, node), words)
			}
		}
	}
}

// assertTold compares what a member tells with what is true, relative to one target.
func (b *speedBench) assertTold(m *machine, reference directory.Token) {
	b.Helper()
	usual := m.core.speeds.told[reference].TimeRatio() / b.times[reference]
	for _, target := range b.targets {
		assert.InEpsilon(b, b.times[target.Token]*usual, m.core.speeds.told[target.Token].TimeRatio(), 0.25, target.ID)
	}
}

func TestAllMembersKnowHowLongTargetsTake(t *testing.T) {
	b := newSpeedBench(t)
	b.learn(10 * time.Second)
	for _, m := range b.machines {
		b.assertTold(m, b.targets[1].Token)
	}
	assert.Equal(t, 1, b.events[eventlog.SpeedsDiffer])
}

func TestEqualTargetsCostNothing(t *testing.T) {
	b := newSpeedBench(t)
	for _, target := range b.targets {
		b.times[target.Token] = 1
	}
	b.learn(20 * time.Second)
	for _, m := range b.machines {
		assert.LessOrEqual(t, len(m.core.speeds.told), 2)
	}
	assert.Zero(t, b.events[eventlog.SpeedsDiffer])
}

// A new leader has no sums; until it has heard of all members, what was told before holds.
func TestALeaderChangeKeepsWhatIsKnown(t *testing.T) {
	b := newSpeedBench(t)
	b.learn(10 * time.Second)
	b.kill(b.leader.address, false)
	next := b.waitForLeader()
	for range 20 {
		b.learn(speedInterval)
		for _, m := range b.reporters {
			b.assertTold(m, b.targets[1].Token)
		}
	}
	assert.Greater(t, next.core.speeds.term, b.leader.core.speeds.term)
	b.times[b.targets[0].Token] = 3
	b.learn(40 * time.Second)
	b.assertTold(b.reporters[0], b.targets[1].Token)
}

func TestATargetThatChangesItsSpeedIsToldAnew(t *testing.T) {
	b := newSpeedBench(t)
	b.learn(10 * time.Second)
	b.times[b.targets[0].Token] = 2
	b.learn(40 * time.Second)
	b.assertTold(b.reporters[0], b.targets[1].Token)
}

// A target that starts again under its ID may be another machine.
func TestANewStartIsNotMeasuredByTheOldOne(t *testing.T) {
	b := newSpeedBench(t)
	b.learn(10 * time.Second)
	old := b.targets[2]
	command := putTarget(old.ID, old.Address.String(), directory.TargetReady)
	command.Target.Zone = old.Zone
	command.Target.StartTime = 1
	require.NoError(t, b.submit(b.leader, command).Err)
	started, _ := b.leader.core.State().Target(old.ID)
	require.NotEqual(t, old.Token, started.Token)
	b.run(speedInterval)
	for _, m := range b.reporters {
		assert.Zero(t, m.core.speeds.told[started.Token])
	}
	b.learn(2 * speed.SweepInterval)
	for _, m := range b.reporters {
		assert.Zero(t, m.core.speeds.told[old.Token], "it has ended")
	}
}

// A member that missed the leader's word that a target takes the usual time does not keep
// the old one for good, nor do its nodes; what the leader tells again stays.
func TestALostWordOfAUsualTimeIsMadeUpFor(t *testing.T) {
	b := newSpeedBench(t)
	for number, target := range b.targets {
		b.times[target.Token] = []float64{0.6, 1.7}[number%2]
	}
	b.learn(10 * time.Second)
	m := b.reporters[0].core
	told := b.targets[1].Token
	missed := b.targets[2].Token
	b.leader.core.setSteps(b.now, []speed.TargetStep{{Token: missed}})
	require.NotZero(t, m.speeds.told[missed])
	later := b.now.Add(stepMemory + time.Second)
	b.leader.core.sweepSteps(later)
	assert.NotZero(t, b.leader.core.speeds.told[told], "the leader knows by itself")
	m.setSteps(later, []speed.TargetStep{{Token: told, Step: m.speeds.told[told]}})
	m.speeds.changed = newTokenQueue()
	m.sweepSteps(later)
	assert.NotZero(t, m.speeds.told[told])
	assert.NotContains(t, m.speeds.told, missed)
	assert.NotContains(t, m.speeds.heard, missed)
	assert.Contains(t, m.speeds.changed.tokens, missed, "nodes are told")
}

// All that is told is told again before members would forget it.
func TestWhatIsToldIsHeardAgain(t *testing.T) {
	b := newSpeedBench(t)
	b.learn(10 * time.Second)
	from := b.now
	b.learn(speedRepeat + 2*speedInterval)
	for _, m := range b.machines {
		require.NotEmpty(t, m.core.speeds.told)
		for token := range m.core.speeds.told {
			assert.True(t, from.Before(m.core.speeds.heard[token]), "target %d at %s", token, m.address)
		}
	}
}

// The sums of a member that has left the group do not count beside those of the members
// that its nodes went to.
func TestAMemberThatLeftIsNotSummedUp(t *testing.T) {
	b := newSpeedBench(t)
	b.learn(5 * time.Second)
	token := b.targets[0].Token
	core := b.leader.core
	core.noteSums(b.now, "gone", []speed.Report{{Token: token, Sums: speed.Sums{Count: 1000, Total: 1000, Squares: 1000}}})
	require.Greater(t, core.speeds.members.Total(b.now, token).Count, 1000.0)
	b.learn(speed.SweepInterval)
	assert.Less(t, core.speeds.members.Total(b.now, token).Count, 500.0)
}

// Nodes that leave a member take their samples along: the leader is told what is left.
func TestNodesThatLeftAMemberAreNotSummedUpThere(t *testing.T) {
	b := newSpeedBench(t)
	b.learn(10 * time.Second)
	token, m := b.targets[0].Token, b.reporters[0]
	before := b.leader.core.speeds.members.Total(b.now, token).Count
	for node := 0; node < nodesOfBench; node += len(b.reporters) {
		m.core.Unsubscribe(b.open(m, node))
	}
	b.run(speed.SweepInterval + 2*speedInterval)
	most := 1 - 1/float64(len(b.reporters))
	assert.Less(t, b.leader.core.speeds.members.Total(b.now, token).Count, most*before)
}

// One node of twenty may say what it likes: it moves a target by no more than a step or two.
func TestANodeThatLiesIsOneOfMany(t *testing.T) {
	b := newSpeedBench(t)
	b.learn(10 * time.Second)
	m := b.reporters[0]
	for range 40 {
		var words []speed.Report
		for _, target := range b.targets[:6] {
			words = append(words, speed.Report{Token: target.Token, Sums: speed.Sums{Count: 8000, Total: 16000, Squares: 32000}})
		}
		m.core.RecordResponseTimes(b.now, b.open(m, nodesOfBench), words)
		b.learn(speedInterval)
	}
	for _, target := range b.targets[:6] {
		told := m.core.speeds.told[target.Token].TimeRatio() / m.core.speeds.told[b.targets[7].Token].TimeRatio()
		assert.InEpsilon(t, b.times[target.Token]/b.times[b.targets[7].Token], told, 0.3)
	}
}

// A word of a target that is not known costs no memory.
func TestWordsOfUnknownTargetsAreNotKept(t *testing.T) {
	b := newSpeedBench(t)
	m := b.reporters[0]
	for token := range directory.Token(10_000) {
		m.core.RecordResponseTimes(b.now, b.open(m, 1), []speed.Report{{Token: token, Sums: speed.Sums{Count: 1}}})
	}
	assert.Empty(t, m.core.speeds.nodes.Tokens())
}

// The load: 36,000 targets that all change all the time. What a node is told stays under
// 3 kB/s, also while it is new, and it knows all of them within ten minutes.
func TestANodeIsToldOfManyTargetsInFewBytes(t *testing.T) {
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
			var list []speed.TargetStep
			for number := range changedAtOnce {
				token := directory.Token((second*2+half)*changedAtOnce + number)
				list = append(list, speed.TargetStep{Token: 1 + token%targets, Step: speed.Step(1 + second%20)})
			}
			core.setSteps(c.now, list)
			core.tellNodesSpeeds()
			for _, sent := range core.takeOutput().Nodes {
				bytes[sent.Connection] += wire.FrameSize(sent.Frame)
				message, err := speed.Decode(sent.Frame.Payload)
				require.NoError(t, err)
				for _, told := range message.Steps {
					known[sent.Connection][told.Token] = true
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

// A third of the targets is slow and its answers look slow to nodes; another one is quick
// and fails. The judge finds the one that fails.
func TestSlowTargetsAreNotIll(t *testing.T) {
	b := newSpeedBench(t)
	sick := b.targets[0].Token
	for range 40 {
		for node := range 4 {
			var counted []directory.Outcomes
			for number, target := range b.targets {
				outcome := directory.Outcomes{Token: target.Token, Answered: 1}
				if number%3 == 2 {
					outcome = directory.Outcomes{Token: target.Token, Slow: 1}
				}
				if target.Token == sick && node%2 == 0 {
					outcome = directory.Outcomes{Token: target.Token, Short: 1}
				}
				counted = append(counted, outcome)
			}
			b.reportTo(b.reporters[node%len(b.reporters)], node, counted...)
		}
		b.run(livenessInterval)
		for _, token := range b.ejected(b.reporters[0]) {
			assert.Equal(t, sick, token, fmt.Sprint(b.now))
		}
	}
	assert.Positive(t, b.events[eventlog.TargetEjected])
}
