package registry

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/directory"
)

// orderStep is an event in the life of an order that is delayed at a member.
type orderStep int

const (
	// stepRead: the member reads the unconfirmed order and responds with a log position.
	stepRead orderStep = iota
	// stepLeft: the caller leaves; a later order is sent to another member and acknowledged.
	stepLeft
	// stepCaughtUp: the member receives messages from the group again.
	stepCaughtUp
	// stepHandled: the member handles the confirmed order.
	stepHandled
	// stepApplied: the member's messages reach the group again, so that it applies the order.
	stepApplied
	orderStepCount
)

func (s orderStep) String() string {
	return [...]string{"read", "caller left", "log caught up", "handled", "applied"}[s]
}

// orderSequences returns the sequences of the steps in which an order is read before it is
// handled.
func orderSequences() [][]orderStep {
	var sequences [][]orderStep
	var extend func(sequence []orderStep)
	extend = func(sequence []orderStep) {
		if len(sequence) == int(orderStepCount) {
			if slices.Index(sequence, stepRead) < slices.Index(sequence, stepHandled) {
				sequences = append(sequences, slices.Clone(sequence))
			}
			return
		}
		for step := range orderStepCount {
			if !slices.Contains(sequence, step) {
				extend(append(sequence, step))
			}
		}
	}
	extend(nil)
	return sequences
}

// settingOrder is an order that sets the state of one subject.
type settingOrder struct {
	name    string
	prepare func(core *Core) directory.Command
}

func zoneOrder(active bool) settingOrder {
	return settingOrder{fmt.Sprint("evacuated=", active), func(core *Core) directory.Command {
		return directory.Command{Kind: directory.CommandEvacuate, Evacuation: core.PrepareEvacuation("north", active)}
	}}
}

func targetOrder(rule directory.TargetRule) settingOrder {
	return settingOrder{"target " + rule.String(), func(core *Core) directory.Command {
		order := directory.TargetOrder{ID: "i-1", Rule: rule, Revision: core.State().TargetOrder("i-1").Revision}
		return directory.Command{Kind: directory.CommandOrderTarget, TargetOrder: order}
	}}
}

func versionOrder(rule directory.VersionRule) settingOrder {
	version := directory.ServiceVersion{Service: "booking", Version: "v1"}
	return settingOrder{"version " + rule.String(), func(core *Core) directory.Command {
		order := directory.VersionOrder{ServiceVersion: version, Rule: rule, Revision: core.State().VersionOrder(version).Revision}
		return directory.Command{Kind: directory.CommandOrderVersion, VersionOrder: order}
	}}
}

// orderedState returns what orders have set at a member, in the form of settingOrder.name.
func orderedState(m *machine, kind directory.CommandKind) string {
	state := m.core.State()
	switch kind {
	case directory.CommandOrderTarget:
		return "target " + state.TargetOrder("i-1").Rule.String()
	case directory.CommandOrderVersion:
		return "version " + state.VersionOrder(directory.ServiceVersion{Service: "booking", Version: "v1"}).Rule.String()
	default:
		return fmt.Sprint("evacuated=", state.Evacuation("north").Active)
	}
}

// confirm submits an order at a member, confirmed at once, and returns the result. It returns
// CodeConflict if there is none.
func (c *cluster) confirm(m *machine, order settingOrder) directory.Code {
	ticket, output := m.core.SubmitOrder(c.now, order.prepare(m.core), m.core.OrderPosition())
	c.apply(m, output)
	c.runUntil(5*time.Second, "an outcome", func() bool { _, done := m.outcomes[ticket]; return done })
	if m.outcomes[ticket].Err != nil {
		return directory.CodeConflict
	}
	return m.outcomes[ticket].Result.Code
}

// acknowledge sends an order to the members that are allowed, one after the other, until one
// acknowledges it.
func (c *cluster) acknowledge(order settingOrder, allowed func(m *machine) bool) {
	for range 100 {
		for _, name := range c.names() {
			m := c.machines[name]
			if allowed(m) && c.confirm(m, order) == directory.CodeDone {
				return
			}
			c.run(50 * time.Millisecond)
		}
	}
	require.Fail(c, "no member acknowledged the order", order.name)
}

// delayedMember is the role of the member at which an order is delayed.
type delayedMember int

const (
	delayedFollower delayedMember = iota
	delayedLeader
	// restartedFollower restarts before it handles the confirmed order.
	restartedFollower
	delayedMemberCount
)

// playDelayedOrder plays the steps of an order that is delayed at a member, and returns the
// state that orders have set in the end.
func playDelayedOrder(t *testing.T, seed uint64, role delayedMember, before []settingOrder, delayed, later settingOrder, sequence []orderStep) string {
	c := newCluster(t, seed, 3)
	leader := c.waitForLeader()
	target := putTarget("i-1", "10.1.1.1:1", directory.TargetReady)
	target.Target.Version = "v1"
	require.NoError(t, c.submit(leader, target).Err)
	for _, order := range before {
		c.acknowledge(order, func(*machine) bool { return true })
	}
	c.run(200 * time.Millisecond)
	member := c.waitForLeader()
	if role != delayedLeader {
		member = c.follower()
	}
	receives, sends := false, false
	c.cut = func(from, to string) bool {
		return to == member.address && !receives || from == member.address && !sends
	}
	confirmed, left := uint64(0), false
	for _, step := range sequence {
		switch step {
		case stepRead:
			if !left {
				confirmed = member.core.OrderPosition()
			}
		case stepLeft:
			left = true
			c.acknowledge(later, func(m *machine) bool { return m != member })
		case stepCaughtUp:
			receives = true
		case stepApplied:
			sends = true
		case stepHandled:
			if role == restartedFollower {
				c.kill(member.address, false)
				c.start(member.address)
			}
			if confirmed > 0 {
				_, output := member.core.SubmitOrder(c.now, delayed.prepare(member.core), confirmed)
				c.apply(member, output)
			}
		}
		c.run(150 * time.Millisecond)
	}
	c.run(2 * time.Second)
	return orderedState(c.waitForLeader(), delayed.prepare(member.core).Kind)
}

// A delayed order whose caller has left must not undo a later order that was acknowledged, in
// whatever sequence it is read, handled and applied.
func TestDelayedOrderIsSupersededInEverySequence(t *testing.T) {
	judged, ejected := targetOrder(directory.RuleJudged), targetOrder(directory.RuleEjected)
	released, held := versionOrder(directory.VersionReleased), versionOrder(directory.VersionHeld)
	start, finish := zoneOrder(true), zoneOrder(false)
	cases := []struct {
		before         []settingOrder
		delayed, later settingOrder
	}{
		{[]settingOrder{start}, finish, start},
		{[]settingOrder{start, finish}, start, finish},
		{nil, start, finish},
		{[]settingOrder{ejected}, judged, ejected},
		{[]settingOrder{ejected, judged}, ejected, judged},
		{[]settingOrder{held}, released, held},
		{nil, held, released},
	}
	seed := uint64(0)
	for _, test := range cases {
		t.Run(test.delayed.name+", later "+test.later.name, func(t *testing.T) {
			for _, sequence := range orderSequences() {
				for role := range delayedMemberCount {
					seed++
					state := playDelayedOrder(t, seed, role, test.before, test.delayed, test.later, sequence)
					assert.Equal(t, test.later.name, state, "seed %d, role %d, %s", seed, role, strings.Join(stepNames(sequence), ", "))
				}
			}
		})
	}
}

func stepNames(sequence []orderStep) []string {
	var names []string
	for _, step := range sequence {
		names = append(names, step.String())
	}
	return names
}

// An order that a member receives in an election is acknowledged after it, and once more when it
// is sent again to another member.
func TestOrderIsAcknowledgedAfterElection(t *testing.T) {
	elections := []struct {
		name  string
		begin func(c *cluster)
	}{
		{"leader killed", func(c *cluster) { c.kill(c.leader().address, false) }},
		{"all members restarted", func(c *cluster) {
			for _, name := range c.names() {
				c.kill(name, false)
				c.start(name)
			}
		}},
	}
	for _, election := range elections {
		t.Run(election.name, func(t *testing.T) {
			for seed := range uint64(20) {
				c := newTolerantCluster(t, seed, 5, 2)
				c.run(200 * time.Millisecond)
				m := c.follower()
				election.begin(c)
				order := zoneOrder(true)
				assert.Equal(t, directory.CodeDone, c.confirm(m, order), "seed %d", seed)
				leader := c.waitForLeader()
				assert.Equal(t, directory.CodeDone, c.confirm(leader, order), "seed %d", seed)
				assert.True(t, leader.core.State().Evacuation("north").Active)
			}
		})
	}
}
