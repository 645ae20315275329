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

// outcomeFixture is a group with one service, whose nodes report outcomes at random.
type outcomeFixture struct {
	*cluster
	leader  *machine
	targets []directory.Target
	// failing are the targets whose exchanges all fail.
	failing map[directory.Token]bool
	// reporters are the members that nodes report to.
	reporters []*machine
	// congestedNodes is the number of nodes whose exchanges all fail.
	congestedNodes int
}

const (
	fixtureTargets = 12
	fixtureNodes   = 20
)

func newOutcomeFixture(t *testing.T) *outcomeFixture {
	b := &outcomeFixture{cluster: newCluster(t, 5, 3), failing: map[directory.Token]bool{}}
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

// subscribe subscribes a node at a member unless it already is.
func (b *outcomeFixture) subscribe(m *machine, node int) ConnectionID {
	connection := ConnectionID(100 + node)
	if _, known := m.core.nodes[connection]; !known {
		b.apply(m, m.core.Subscribe(b.now, connection, Subscribe{Node: fmt.Sprint("edge", node)}))
	}
	return connection
}

// reportExchanges lets nodes report outcomes for a duration: one exchange with each target
// per livenessInterval, at a random node. Each node reports to a fixed member.
func (b *outcomeFixture) reportExchanges(duration time.Duration) {
	for end := b.now.Add(duration); b.now < end; b.run(livenessInterval) {
		for _, target := range b.targets {
			node := b.random.IntN(fixtureNodes)
			counted := directory.Outcomes{Token: target.Token, Answered: 1}
			if b.failing[target.Token] || node < b.congestedNodes {
				counted = directory.Outcomes{Token: target.Token, Unanswered: 1}
			}
			b.reportTo(b.reporters[node%len(b.reporters)], node, counted)
		}
	}
}

func (b *outcomeFixture) reportTo(m *machine, node int, counted ...directory.Outcomes) {
	if m.up {
		m.core.RecordEvidence(b.now, b.subscribe(m, node), Evidence{Outcomes: counted})
	}
}

// ejected returns the ejected targets in the verdicts that a member sends to its nodes.
func (b *outcomeFixture) ejected(m *machine) []directory.Token {
	b.run(KeepaliveInterval / 4)
	return m.keepalive.Verdicts.Ejected
}

func TestFailingTargetIsEjectedAtAllMembers(t *testing.T) {
	b := newOutcomeFixture(t)
	b.reportExchanges(3 * time.Second)
	assert.Empty(t, b.ejected(b.reporters[0]))
	faulty := b.targets[4].Token
	b.failing[faulty] = true
	b.reportExchanges(700 * time.Millisecond)
	for _, m := range b.reporters {
		assert.Equal(t, []directory.Token{faulty}, b.ejected(m))
	}
	assert.Equal(t, 1, b.events[eventlog.TargetEjected])
	b.failing = nil
	b.reportExchanges(2 * time.Second)
	assert.Equal(t, []directory.Token{faulty}, b.reporters[0].keepalive.Verdicts.Probation)
	b.reportExchanges(3 * time.Second)
	assert.Empty(t, b.reporters[0].keepalive.Verdicts.Probation)
	assert.Equal(t, 1, b.events[eventlog.TargetOnProbation])
	assert.Equal(t, 1, b.events[eventlog.TargetReadmitted])
}

func TestNoTargetIsEjectedWhenAllFail(t *testing.T) {
	b := newOutcomeFixture(t)
	b.reportExchanges(3 * time.Second)
	for _, target := range b.targets {
		b.failing[target.Token] = true
	}
	b.reportExchanges(3 * time.Second)
	assert.Zero(t, b.events[eventlog.TargetEjected])
}

// A node with a congested link, or one that reports late after a pause, sees failures at
// most targets, in any number.
func TestNodeWithFailuresEverywhereEjectsNoTarget(t *testing.T) {
	b := newOutcomeFixture(t)
	b.reportExchanges(3 * time.Second)
	for range 30 {
		var counted []directory.Outcomes
		for position, target := range b.targets {
			counted = append(counted, directory.Outcomes{Token: target.Token, Unanswered: uint32(position % 4)})
		}
		b.reportTo(b.reporters[0], 1, counted...)
		b.reportExchanges(livenessInterval)
	}
	assert.Zero(t, b.events[eventlog.TargetEjected])
}

// Failures at only one node may be caused by the path between them.
func TestFailuresAtOneNodeEjectNoTarget(t *testing.T) {
	b := newOutcomeFixture(t)
	b.reportExchanges(3 * time.Second)
	for range 30 {
		b.reportTo(b.reporters[0], 1, directory.Outcomes{Token: b.targets[0].Token, Unanswered: 5})
		b.reportExchanges(livenessInterval)
	}
	assert.Zero(t, b.events[eventlog.TargetEjected])
}

// A node that reconnects must not count as a second node.
func TestResubscribedNodeCountsOnce(t *testing.T) {
	b := newOutcomeFixture(t)
	b.reportExchanges(3 * time.Second)
	m := b.reporters[0]
	for number := range 30 {
		connection := ConnectionID(1000 + number)
		b.apply(m, m.core.Subscribe(b.now, connection, Subscribe{Node: "edge1"}))
		m.core.RecordEvidence(b.now, connection, Evidence{Outcomes: []directory.Outcomes{{Token: b.targets[0].Token, Unanswered: 5}}})
		b.reportExchanges(livenessInterval)
	}
	assert.Zero(t, b.events[eventlog.TargetEjected])
}

// A new leader has no counts. It keeps the ejections and soon puts the targets on
// probation.
func TestNewLeaderKeepsEjectionThenProbes(t *testing.T) {
	b := newOutcomeFixture(t)
	b.reportExchanges(3 * time.Second)
	faulty := b.targets[4].Token
	b.failing[faulty] = true
	b.reportExchanges(700 * time.Millisecond)
	require.Equal(t, []directory.Token{faulty}, b.ejected(b.reporters[0]))
	b.kill(b.leader.address, false)
	b.runUntil(5*time.Second, "a new leader", func() bool { l := b.nextLeader(); return l != nil })
	b.failing = nil
	b.run(b.nextLeader().core.settings.LostAfter + 200*time.Millisecond)
	for _, m := range b.reporters {
		assert.Equal(t, []directory.Token{faulty}, m.keepalive.Verdicts.Ejected)
	}
	b.reportExchanges(6 * time.Second)
	for _, m := range b.reporters {
		assert.Empty(t, m.keepalive.Verdicts.Ejected)
		assert.Empty(t, m.keepalive.Verdicts.Probation)
	}
}

// nextLeader returns the leader that replaced the first one, or nil.
func (b *outcomeFixture) nextLeader() *machine {
	if leader := b.cluster.leader(); leader != b.leader {
		return leader
	}
	return nil
}

// A partitioned member misses the end of an ejection. It must learn of it after the
// partition even if the verdicts no longer change.
func TestPartitionedMemberGetsVerdictsAfterHealing(t *testing.T) {
	b := newOutcomeFixture(t)
	b.reportExchanges(3 * time.Second)
	faulty := b.targets[4].Token
	b.failing[faulty] = true
	b.reportExchanges(700 * time.Millisecond)
	partitioned := b.reporters[1]
	require.Equal(t, []directory.Token{faulty}, b.ejected(partitioned))
	b.failing = nil
	b.cut = func(from, to string) bool { return from == partitioned.address || to == partitioned.address }
	b.reporters = b.reporters[:1]
	b.reportExchanges(6 * time.Second)
	require.Empty(t, b.ejected(b.reporters[0]))
	require.Equal(t, []directory.Token{faulty}, b.ejected(partitioned))
	b.cut = func(string, string) bool { return false }
	b.run(3 * time.Second)
	assert.Empty(t, partitioned.keepalive.Verdicts.Ejected)
	assert.Empty(t, partitioned.keepalive.Verdicts.Probation)
}

// The reports of the other members must be enough for an ejection.
func TestEjectionWorksWithoutPartitionedMember(t *testing.T) {
	b := newOutcomeFixture(t)
	b.reportExchanges(3 * time.Second)
	partitioned := b.reporters[1].address
	b.cut = func(from, to string) bool { return from == partitioned || to == partitioned }
	faulty := b.targets[4].Token
	b.failing[faulty] = true
	b.reportExchanges(1500 * time.Millisecond)
	assert.Equal(t, []directory.Token{faulty}, b.ejected(b.reporters[0]))
	assert.Equal(t, 1, b.events[eventlog.TargetEjected])
}

// All targets are replaced one by one. Draining targets leave more and more exchanges
// unanswered.
func TestRollingReleaseEjectsNoTarget(t *testing.T) {
	b := newOutcomeFixture(t)
	b.reportExchanges(2 * time.Second)
	for number := range fixtureTargets {
		old := b.targets[0]
		b.targets = b.targets[1:]
		b.register(fmt.Sprint("new-", number), 100+number)
		draining := putTarget(old.ID, old.Address.String(), directory.TargetDraining)
		require.NoError(t, b.submit(b.leader, draining).Err)
		for node := range 4 {
			b.reportTo(b.reporters[0], node, directory.Outcomes{Token: old.Token, Unanswered: 2})
		}
		b.reportExchanges(500 * time.Millisecond)
		require.NoError(t, b.submit(b.leader, directory.Command{Kind: directory.CommandEndTarget, Target: old}).Err)
	}
	assert.Zero(t, b.events[eventlog.TargetEjected])
}

func TestEndedTargetLeavesVerdicts(t *testing.T) {
	b := newOutcomeFixture(t)
	b.reportExchanges(3 * time.Second)
	faulty := b.targets[4]
	b.failing[faulty.Token] = true
	b.reportExchanges(700 * time.Millisecond)
	require.NotEmpty(t, b.ejected(b.reporters[0]))
	require.NoError(t, b.submit(b.leader, directory.Command{Kind: directory.CommandEndTarget, Target: faulty}).Err)
	b.run(300 * time.Millisecond)
	assert.Empty(t, b.ejected(b.reporters[0]))
}

func TestOutcomeTableSumsReportsByNode(t *testing.T) {
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

func TestFailureSpreadExpires(t *testing.T) {
	table := newOutcomeTable(0, 0, directory.Verdicts{})
	table.add(0, "a", []directory.Outcomes{{Token: 7, Answered: 9, Unanswered: 1}})
	table.drain(0)
	for now := range 6 {
		table.drain(kernel.Instant(now) * kernel.Instant(time.Second))
	}
	nodes, total, top, topNode := table.spreadOf(7)
	assert.Zero(t, nodes)
	assert.Zero(t, total)
	assert.Zero(t, top)
	assert.Zero(t, topNode)
}

// Nodes with failures everywhere are ignored; the others must find the failing target.
func TestCongestedNodesDoNotHideFailingTarget(t *testing.T) {
	b := newOutcomeFixture(t)
	b.congestedNodes = 3
	b.reportExchanges(4 * time.Second)
	faulty := b.targets[4].Token
	b.failing[faulty] = true
	b.reportExchanges(1500 * time.Millisecond)
	assert.Equal(t, []directory.Token{faulty}, b.ejected(b.reporters[0]))
	assert.Equal(t, 1, b.events[eventlog.TargetEjected])
}

// A lost target gets no flows anyway. Once it sends heartbeats again it must not still be
// ejected.
func TestLostTargetIsNoLongerEjected(t *testing.T) {
	b := newOutcomeFixture(t)
	b.reportExchanges(3 * time.Second)
	faulty := b.targets[4].Token
	b.failing[faulty] = true
	b.reportExchanges(700 * time.Millisecond)
	require.Equal(t, []directory.Token{faulty}, b.ejected(b.reporters[0]))
	b.targets = nil
	for range 8 {
		b.reportEvidence(b.reporters[0], 3, Evidence{Silent: []SilentTarget{{Token: faulty, Weight: 4, Nodes: 1}}})
		b.run(livenessInterval)
	}
	require.Equal(t, []directory.Token{faulty}, b.reporters[0].keepalive.Verdicts.Lost)
	assert.Empty(t, b.reporters[0].keepalive.Verdicts.Ejected)
	b.reporters[0].core.RecordHeartbeats(b.now, []directory.Token{faulty})
	b.run(4 * livenessInterval)
	assert.Empty(t, b.reporters[0].keepalive.Verdicts.Lost)
	assert.Empty(t, b.reporters[0].keepalive.Verdicts.Ejected)
	assert.Empty(t, b.reporters[0].keepalive.Verdicts.Probation)
}

// A node whose path to a target is cut may also lose its member and move to another. It
// must still count as one node.
func TestNodeThatChangesMemberCountsOnce(t *testing.T) {
	b := newOutcomeFixture(t)
	b.reportExchanges(3 * time.Second)
	seen := []directory.Outcomes{{Token: b.targets[4].Token, Unanswered: 1}}
	for _, target := range b.targets[:3] {
		seen = append(seen, directory.Outcomes{Token: target.Token, Answered: 1})
	}
	for _, m := range b.reporters {
		for range 10 {
			b.reportTo(m, 1, seen...)
			b.reportExchanges(livenessInterval)
		}
	}
	assert.Zero(t, b.events[eventlog.TargetEjected])
}

// At most a third of the targets outside the evacuated zone may be ejected.
func TestEjectionLimitIgnoresEvacuatedTargets(t *testing.T) {
	b := newOutcomeFixture(t)
	evacuated := b.targets[0].Zone
	evacuation := directory.Evacuation{Zone: evacuated, Active: true}
	require.NoError(t, b.submit(b.leader, directory.Command{Kind: directory.CommandEvacuate, Evacuation: evacuation}).Err)
	all := b.targets
	b.targets = slices.DeleteFunc(slices.Clone(all), func(target directory.Target) bool { return target.Zone == evacuated })
	b.reportExchanges(3 * time.Second)
	for _, target := range b.targets[:4] {
		b.failing[target.Token] = true
		for range 8 {
			b.reportExchanges(livenessInterval)
			assert.LessOrEqual(t, len(b.reporters[0].keepalive.Verdicts.Ejected), len(b.targets)/3)
		}
	}
}

// Evaluating a large fleet at every livenessInterval would use a whole CPU core.
func TestLargeFleetIsEvaluatedLessOften(t *testing.T) {
	b := newOutcomeFixture(t)
	b.failing[b.targets[0].Token] = true
	b.reportExchanges(2 * time.Second)
	core := b.leader.core
	ejected := core.liveness.verdicts.Ejected
	require.Equal(t, []directory.Token{b.targets[0].Token}, ejected)
	core.outcomes.nextEvaluation = b.now.Add(time.Second)
	b.failing[b.targets[1].Token] = true
	b.reportExchanges(900 * time.Millisecond)
	assert.Equal(t, ejected, core.liveness.verdicts.Ejected, "verdicts stay until the next evaluation")
	b.reportExchanges(time.Second)
	assert.Contains(t, core.liveness.verdicts.Ejected, b.targets[1].Token)
	assert.LessOrEqual(t, 3333*evaluationTimePerTarget, livenessInterval, "fleets of usual size are evaluated at every interval")
}
