package registry

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/outlier"
)

// outcomeFixture is a group with one service, whose nodes count at random.
type outcomeFixture struct {
	*cluster
	leader  *machine
	targets []directory.Target
	// ill are the targets all of whose exchanges fail.
	ill map[directory.Token]bool
	// reporters are the members that nodes report to.
	reporters []*machine
	// choked is the number of nodes all of whose exchanges fail.
	choked int
}

const (
	fixtureTargets = 12
	fixtureNodes   = 20
)

func newOutcomeFixture(t *testing.T) *outcomeFixture {
	b := &outcomeFixture{cluster: newCluster(t, 5, 3), ill: map[directory.Token]bool{}}
	b.leader = b.waitForLeader()
	for number := range fixtureTargets {
		b.register(fmt.Sprint("i-", number), number)
	}
	for _, name := range b.names() {
		if m := b.machines[name]; m != b.leader {
			b.reporters = append(b.reporters, m)
		}
	}
	b.run(time.Second)
	return b
}

func (b *outcomeFixture) register(id string, number int) directory.Target {
	command := putTarget(id, fmt.Sprintf("10.1.1.%d:1", number+1), directory.TargetReady)
	command.Target.Zone = fmt.Sprint("zone-", number%testZones)
	require.NoError(b, b.submit(b.leader, command).Err)
	target, _ := b.leader.core.State().Target(id)
	b.targets = append(b.targets, target)
	return target
}

// open subscribes a node at a member, unless it is.
func (b *outcomeFixture) open(m *machine, node int) ConnectionID {
	connection := ConnectionID(100 + node)
	if _, known := m.core.nodes[connection]; !known {
		b.apply(m, m.core.Subscribe(b.now, connection, Subscribe{Node: fmt.Sprint("edge", node)}))
	}
	return connection
}

// serve lets nodes report exchanges for a time: one with each target in 100 ms, each
// time by some node; each node has its member.
func (b *outcomeFixture) serve(duration time.Duration) {
	for end := b.now.Add(duration); b.now < end; b.run(livenessInterval) {
		for _, target := range b.targets {
			node := b.random.IntN(fixtureNodes)
			counted := directory.Outcomes{Token: target.Token, Answered: 1}
			if b.ill[target.Token] || node < b.choked {
				counted = directory.Outcomes{Token: target.Token, Unanswered: 1}
			}
			b.reportTo(b.reporters[node%len(b.reporters)], node, counted)
		}
	}
}

func (b *outcomeFixture) reportTo(m *machine, node int, counted ...directory.Outcomes) {
	if m.up {
		m.core.RecordEvidence(b.now, b.open(m, node), Evidence{Outcomes: counted})
	}
}

// ejected returns what nodes are told at a member.
func (b *outcomeFixture) ejected(m *machine) []directory.Token {
	b.run(KeepaliveInterval / 4)
	return m.keepalive.Verdicts.Ejected
}

func TestATargetThatFailsItsWorkIsEjectedAtAllMembers(t *testing.T) {
	b := newOutcomeFixture(t)
	b.serve(3 * time.Second)
	assert.Empty(t, b.ejected(b.reporters[0]))
	sick := b.targets[4].Token
	b.ill[sick] = true
	b.serve(700 * time.Millisecond)
	for _, m := range b.reporters {
		assert.Equal(t, []directory.Token{sick}, b.ejected(m))
	}
	assert.Equal(t, 1, b.events[eventlog.TargetEjected])
	b.ill = nil
	b.serve(2 * time.Second)
	assert.Equal(t, []directory.Token{sick}, b.reporters[0].keepalive.Verdicts.Probation)
	b.serve(3 * time.Second)
	assert.Empty(t, b.reporters[0].keepalive.Verdicts.Probation)
	assert.Equal(t, 1, b.events[eventlog.TargetOnProbation])
	assert.Equal(t, 1, b.events[eventlog.TargetReadmitted])
}

func TestWhenAllTargetsFailNoneIsEjected(t *testing.T) {
	b := newOutcomeFixture(t)
	b.serve(3 * time.Second)
	for _, target := range b.targets {
		b.ill[target.Token] = true
	}
	b.serve(3 * time.Second)
	assert.Zero(t, b.events[eventlog.TargetEjected])
}

// A node whose link is choked, or that was frozen and reports late, sees failures of
// most targets; it may tell of any number.
func TestANodeThatSeesFailuresEverywhereEjectsNobody(t *testing.T) {
	b := newOutcomeFixture(t)
	b.serve(3 * time.Second)
	for range 30 {
		var counted []directory.Outcomes
		for position, target := range b.targets {
			counted = append(counted, directory.Outcomes{Token: target.Token, Unanswered: uint32(position % 4)})
		}
		b.reportTo(b.reporters[0], 1, counted...)
		b.serve(livenessInterval)
	}
	assert.Zero(t, b.events[eventlog.TargetEjected])
}

// What one node sees of one target may be the way between them.
func TestOneNodesFailuresEjectNobody(t *testing.T) {
	b := newOutcomeFixture(t)
	b.serve(3 * time.Second)
	for range 30 {
		b.reportTo(b.reporters[0], 1, directory.Outcomes{Token: b.targets[0].Token, Unanswered: 5})
		b.serve(livenessInterval)
	}
	assert.Zero(t, b.events[eventlog.TargetEjected])
}

// A node that comes back on another connection is still one node.
func TestANodeThatSubscribesAgainIsNoSecondWitness(t *testing.T) {
	b := newOutcomeFixture(t)
	b.serve(3 * time.Second)
	m := b.reporters[0]
	for number := range 30 {
		connection := ConnectionID(1000 + number)
		b.apply(m, m.core.Subscribe(b.now, connection, Subscribe{Node: "edge1"}))
		m.core.RecordEvidence(b.now, connection, Evidence{Outcomes: []directory.Outcomes{{Token: b.targets[0].Token, Unanswered: 5}}})
		b.serve(livenessInterval)
	}
	assert.Zero(t, b.events[eventlog.TargetEjected])
}

// A new leader has no sums. It keeps what the old one left out and tries it soon.
func TestANewLeaderKeepsWhatIsEjectedAndTriesIt(t *testing.T) {
	b := newOutcomeFixture(t)
	b.serve(3 * time.Second)
	sick := b.targets[4].Token
	b.ill[sick] = true
	b.serve(700 * time.Millisecond)
	require.Equal(t, []directory.Token{sick}, b.ejected(b.reporters[0]))
	b.kill(b.leader.address, false)
	b.runUntil(5*time.Second, "another leader", func() bool { l := b.nextLeader(); return l != nil })
	b.ill = nil
	b.run(b.nextLeader().core.settings.LostAfter + 200*time.Millisecond)
	for _, m := range b.reporters {
		assert.Equal(t, []directory.Token{sick}, m.keepalive.Verdicts.Ejected)
	}
	b.serve(6 * time.Second)
	for _, m := range b.reporters {
		assert.Empty(t, m.keepalive.Verdicts.Ejected)
		assert.Empty(t, m.keepalive.Verdicts.Probation)
	}
}

// nextLeader returns the leader after the first one has gone.
func (b *outcomeFixture) nextLeader() *machine {
	if leader := b.cluster.leader(); leader != b.leader {
		return leader
	}
	return nil
}

// A member behind a cut misses the end of an ejection. It hears of it once the cut is
// over, though nothing changes any more.
func TestAMemberBehindACutHearsTheVerdictsAfterIt(t *testing.T) {
	b := newOutcomeFixture(t)
	b.serve(3 * time.Second)
	sick := b.targets[4].Token
	b.ill[sick] = true
	b.serve(700 * time.Millisecond)
	behind := b.reporters[1]
	require.Equal(t, []directory.Token{sick}, b.ejected(behind))
	b.ill = nil
	b.cut = func(from, to string) bool { return from == behind.address || to == behind.address }
	b.reporters = b.reporters[:1]
	b.serve(6 * time.Second)
	require.Empty(t, b.ejected(b.reporters[0]))
	require.Equal(t, []directory.Token{sick}, b.ejected(behind))
	b.cut = func(string, string) bool { return false }
	b.run(3 * time.Second)
	assert.Empty(t, behind.keepalive.Verdicts.Ejected)
	assert.Empty(t, behind.keepalive.Verdicts.Probation)
}

// The counts of nodes behind a cut are missing; the others are enough.
func TestAMemberBehindACutTakesNothingFromTheVerdict(t *testing.T) {
	b := newOutcomeFixture(t)
	b.serve(3 * time.Second)
	behind := b.reporters[1].address
	b.cut = func(from, to string) bool { return from == behind || to == behind }
	sick := b.targets[4].Token
	b.ill[sick] = true
	b.serve(1500 * time.Millisecond)
	assert.Equal(t, []directory.Token{sick}, b.ejected(b.reporters[0]))
	assert.Equal(t, 1, b.events[eventlog.TargetEjected])
}

// All targets of a service are replaced one after the other; what drains answers less
// and less, and what has ended is forgotten.
func TestAReleaseEjectsNobody(t *testing.T) {
	b := newOutcomeFixture(t)
	b.serve(2 * time.Second)
	for number := range fixtureTargets {
		old := b.targets[0]
		b.targets = b.targets[1:]
		b.register(fmt.Sprint("new-", number), 100+number)
		draining := putTarget(old.ID, old.Address.String(), directory.TargetDraining)
		require.NoError(t, b.submit(b.leader, draining).Err)
		for node := range 4 {
			b.reportTo(b.reporters[0], node, directory.Outcomes{Token: old.Token, Unanswered: 2})
		}
		b.serve(500 * time.Millisecond)
		require.NoError(t, b.submit(b.leader, directory.Command{Kind: directory.CommandEndTarget, Target: old}).Err)
	}
	assert.Zero(t, b.events[eventlog.TargetEjected])
}

func TestAnEjectedTargetThatEndsLeavesTheVerdicts(t *testing.T) {
	b := newOutcomeFixture(t)
	b.serve(3 * time.Second)
	sick := b.targets[4]
	b.ill[sick.Token] = true
	b.serve(700 * time.Millisecond)
	require.NotEmpty(t, b.ejected(b.reporters[0]))
	require.NoError(t, b.submit(b.leader, directory.Command{Kind: directory.CommandEndTarget, Target: sick}).Err)
	b.run(300 * time.Millisecond)
	assert.Empty(t, b.ejected(b.reporters[0]))
}

func TestReportsOfAllNodesAreSummedUpWithTheirSpread(t *testing.T) {
	table := newOutcomeTable(0, 0, directory.Verdicts{})
	list := []directory.Outcomes{{Token: 7, Answered: 3, Unanswered: 1}, {Token: 8, Answered: 2}}
	table.add(0, "a", list)
	table.add(0, "b", list)
	table.add(0, "a", list)
	expected := []outlier.Report{
		{Outcomes: directory.Outcomes{Token: 7, Answered: 9, Unanswered: 3}, FailingNodes: 2, RecentFailures: 3, TopFailures: 2, TopNode: directory.NodeKey("a")},
		{Outcomes: directory.Outcomes{Token: 8, Answered: 6}},
	}
	taken := table.drain(0)
	assert.Equal(t, expected, taken)
	assert.Empty(t, table.drain(0))
	message := observations{From: "m", Outcomes: taken}
	fromLeader, _, seen, err := decodeLiveness(message.frame().Payload)
	require.NoError(t, err)
	assert.False(t, fromLeader)
	assert.Equal(t, message, seen)
	assert.False(t, message.isEmpty())
}

func TestTheSpreadOfFailuresIsForgotten(t *testing.T) {
	table := newOutcomeTable(0, 0, directory.Verdicts{})
	table.add(0, "a", []directory.Outcomes{{Token: 7, Answered: 9, Unanswered: 1}})
	table.drain(0)
	for now := range 6 {
		table.drain(kernel.Instant(now) * kernel.Instant(time.Second))
	}
	nodes, seen, most, witness := table.spreadOf(7)
	assert.Zero(t, nodes)
	assert.Zero(t, seen)
	assert.Zero(t, most)
	assert.Zero(t, witness)
}

// Some nodes are choked and see failures everywhere. They are no witnesses: the others
// find the target that is ill.
func TestChokedNodesDoNotHideAnIllTarget(t *testing.T) {
	b := newOutcomeFixture(t)
	b.choked = 3
	b.serve(4 * time.Second)
	sick := b.targets[4].Token
	b.ill[sick] = true
	b.serve(1500 * time.Millisecond)
	assert.Equal(t, []directory.Token{sick}, b.ejected(b.reporters[0]))
	assert.Equal(t, 1, b.events[eventlog.TargetEjected])
}

// What is held for lost gets nothing anyway. When it is heard again, it begins anew.
func TestAnEjectedTargetThatIsHeldForLostIsForgotten(t *testing.T) {
	b := newOutcomeFixture(t)
	b.serve(3 * time.Second)
	sick := b.targets[4].Token
	b.ill[sick] = true
	b.serve(700 * time.Millisecond)
	require.Equal(t, []directory.Token{sick}, b.ejected(b.reporters[0]))
	b.targets = nil
	for range 8 {
		b.reportEvidence(b.reporters[0], 3, Evidence{Silent: []SilentTarget{{Token: sick, Weight: 4, Nodes: 1}}})
		b.run(livenessInterval)
	}
	require.Equal(t, []directory.Token{sick}, b.reporters[0].keepalive.Verdicts.Lost)
	assert.Empty(t, b.reporters[0].keepalive.Verdicts.Ejected)
	b.reporters[0].core.RecordHeartbeats(b.now, []directory.Token{sick})
	b.run(4 * livenessInterval)
	assert.Empty(t, b.reporters[0].keepalive.Verdicts.Lost)
	assert.Empty(t, b.reporters[0].keepalive.Verdicts.Ejected)
	assert.Empty(t, b.reporters[0].keepalive.Verdicts.Probation)
}

// A node whose way to one target is cut loses its member too and goes to another one. It
// is one witness still.
func TestANodeThatChangesItsMemberIsOneWitness(t *testing.T) {
	b := newOutcomeFixture(t)
	b.serve(3 * time.Second)
	seen := []directory.Outcomes{{Token: b.targets[4].Token, Unanswered: 1}}
	for _, target := range b.targets[:3] {
		seen = append(seen, directory.Outcomes{Token: target.Token, Answered: 1})
	}
	for _, m := range b.reporters {
		for range 10 {
			b.reportTo(m, 1, seen...)
			b.serve(livenessInterval)
		}
	}
	assert.Zero(t, b.events[eventlog.TargetEjected])
}

// The targets of an evacuated zone bear nothing: a third of the others is left out.
func TestOfTheTargetsThatBearLoadAThirdIsLeftOut(t *testing.T) {
	b := newOutcomeFixture(t)
	away := b.targets[0].Zone
	order := directory.Evacuation{Zone: away, Active: true}
	require.NoError(t, b.submit(b.leader, directory.Command{Kind: directory.CommandEvacuate, Evacuation: order}).Err)
	all := b.targets
	b.targets = slices.DeleteFunc(slices.Clone(all), func(target directory.Target) bool { return target.Zone == away })
	b.serve(3 * time.Second)
	for _, target := range b.targets[:4] {
		b.ill[target.Token] = true
		for range 8 {
			b.serve(livenessInterval)
			assert.LessOrEqual(t, len(b.reporters[0].keepalive.Verdicts.Ejected), len(b.targets)/3)
		}
	}
}

// A leader that judged 36,000 targets ten times a second would spend a whole core.
func TestALargeFleetIsJudgedLessOften(t *testing.T) {
	b := newOutcomeFixture(t)
	b.ill[b.targets[0].Token] = true
	b.serve(2 * time.Second)
	core := b.leader.core
	ejected := core.liveness.verdicts.Ejected
	require.Equal(t, []directory.Token{b.targets[0].Token}, ejected)
	core.outcomes.nextJudgement = b.now.Add(time.Second)
	b.ill[b.targets[1].Token] = true
	b.serve(900 * time.Millisecond)
	assert.Equal(t, ejected, core.liveness.verdicts.Ejected, "verdicts hold until the next judgement")
	b.serve(time.Second)
	assert.Contains(t, core.liveness.verdicts.Ejected, b.targets[1].Token)
	assert.LessOrEqual(t, 3333*judgeTimePerTarget, livenessInterval, "usual fleets are judged with each message")
}
