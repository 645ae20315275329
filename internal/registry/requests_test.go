package registry

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// requestKind is a kind of request that a member forwards to the leader.
type requestKind struct {
	name string
	open func(m *machine, c *cluster) (Ticket, Output)
}

// publishing returns the request to publish a version.
func publishing(name string, version uint64) requestKind {
	return requestKind{name, func(m *machine, c *cluster) (Ticket, Output) {
		edit := directory.Difference(m.core.State().Configuration(), configurationOf(version))
		return m.core.Submit(c.now, directory.Command{Kind: directory.CommandPublish, Edit: edit})
	}}
}

// submitting returns the request to submit a command.
func submitting(name string, command directory.Command) requestKind {
	return requestKind{name, func(m *machine, c *cluster) (Ticket, Output) { return m.core.Submit(c.now, command) }}
}

var readRequest = requestKind{"read", func(m *machine, c *cluster) (Ticket, Output) { return m.core.Read(c.now) }}

// open starts a request at a member and returns its ticket.
func (c *cluster) open(m *machine, kind requestKind) Ticket {
	ticket, output := kind.open(m, c)
	c.apply(m, output)
	return ticket
}

// takeReply waits for the leader's reply to a forwarded request of a member and removes it
// from the network.
func (c *cluster) takeReply(to string) wire.Frame {
	isReply := func(sent inFlightFrame) bool { return sent.to == to && sent.frame.Kind == wire.FrameForwardReply }
	c.runUntil(3*time.Second, "a reply", func() bool { return slices.ContainsFunc(c.inFlight, isReply) })
	position := slices.IndexFunc(c.inFlight, isReply)
	frame := c.inFlight[position].frame
	c.inFlight = slices.Delete(c.inFlight, position, position+1)
	return frame
}

// follower returns a member that does not lead.
func (c *cluster) follower() *machine {
	leader := c.waitForLeader()
	for _, name := range c.names() {
		if c.machines[name] != leader {
			return c.machines[name]
		}
	}
	return nil
}

// A reply to a request that was sent before a restart of the member must not complete a request
// sent after it, which the leader may never have received.
func TestReplyToEarlierRunCompletesNoRequest(t *testing.T) {
	earlier := []requestKind{
		publishing("publish", 13),
		readRequest,
		submitting("register target", putTarget("i-1", "10.1.0.1:1", directory.TargetReady)),
		submitting("end target", directory.Command{Kind: directory.CommandEndTarget, Target: directory.Target{ID: "i-0"}}),
	}
	current := []requestKind{
		publishing("publish", 17),
		readRequest,
		submitting("drain target", putTarget("i-0", "10.1.0.2:1", directory.TargetDraining)),
		submitting("end target", directory.Command{Kind: directory.CommandEndTarget, Target: directory.Target{ID: "i-2"}}),
	}
	for seed, first := range earlier {
		for _, second := range current {
			t.Run(first.name+", then "+second.name, func(t *testing.T) {
				c := newCluster(t, uint64(seed), 3)
				m := c.follower()
				require.NoError(t, c.publish(m, 10).Err)
				c.kill(m.address, false)
				c.start(m.address)
				c.run(time.Second)

				c.open(m, first)
				late := c.takeReply(m.address)
				c.kill(m.address, false)
				c.start(m.address)
				c.cut = func(from, _ string) bool { return from == m.address }
				c.run(50 * time.Millisecond)
				ticket := c.open(m, second)
				c.deliverFrame(m, late)
				c.run(100 * time.Millisecond)
				assert.NotContains(t, m.outcomes, ticket, "the leader has not received the request")
				assert.Positive(t, c.events[eventlog.ReplyUnmatched])

				c.cut = func(string, string) bool { return false }
				c.runUntil(3*time.Second, "an outcome", func() bool { _, done := m.outcomes[ticket]; return done })
				assert.NoError(t, m.outcomes[ticket].Err)
			})
		}
	}
}

// An acknowledged version must stay in force when the member that acknowledged it was killed
// before while it forwarded another version.
func TestVersionAcknowledgedAfterRestartIsInForce(t *testing.T) {
	for seed := range uint64(20) {
		c := newCluster(t, seed, 3)
		m := c.follower()
		require.NoError(t, c.publish(c.waitForLeader(), 10).Err)
		c.run(time.Second)
		c.open(m, publishing("publish", 13))
		late := c.takeReply(m.address)
		c.kill(m.address, false)
		c.start(m.address)
		ticket := c.open(m, publishing("publish", 17))
		c.deliverFrame(m, late)
		c.runUntil(3*time.Second, "an outcome", func() bool { _, done := m.outcomes[ticket]; return done })
		outcome := m.outcomes[ticket]
		for outcome.Err == nil && outcome.Result.Code == directory.CodeConflict {
			outcome = c.publish(m, 17)
		}
		require.NoError(t, outcome.Err)
		require.Equal(t, directory.CodeDone, outcome.Result.Code)
		for _, name := range c.names() {
			version, err := c.read(c.machines[name])
			require.NoError(t, err)
			assert.Equal(t, uint64(17), version, "seed %d", seed)
		}
	}
}
