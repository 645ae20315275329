package registry

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

// noQuorumInterval is the time between two events of a member that cannot
// reach a quorum.
const noQuorumInterval = 5 * time.Second

// groupSizeState remembers what the log was last told about the group's size.
type groupSizeState struct {
	// small is set while the group has fewer voters than its tolerance needs.
	small bool
	// exposed is set while the loss of some zones would leave no quorum.
	exposed bool
	// nextNoQuorum is when the next event about a missing quorum may be written.
	nextNoQuorum kernel.Instant
}

// Voters returns the number of voters that this member knows of.
func (c *Core) Voters() int {
	if c.replica.Node == nil {
		return 0
	}
	return len(c.replica.Node.Membership().Voters)
}

// HasTooFewVoters reports whether the group has fewer voters than it needs to bear
// the losses that the settings state.
func (c *Core) HasTooFewVoters() bool { return c.Voters() < c.settings.Voters }

// logGroupSize writes an event when the group becomes too small for its
// tolerance or large enough, and now and then while this member has no leader.
func (c *Core) logGroupSize(now kernel.Instant) {
	if c.IsLeader() && c.HasTooFewVoters() != c.groupSize.small {
		c.groupSize.small = !c.groupSize.small
		c.logEvent(eventlog.GroupSizeChanged, "too_small", c.groupSize.small,
			"voters", c.Voters(), "voters_needed", c.settings.Voters, "members", len(c.state.Members()))
	}
	c.logZoneTolerance()
	if c.replica.Node == nil || now.Before(c.groupSize.nextNoQuorum) || !c.needsMembership(now) {
		return
	}
	c.groupSize.nextNoQuorum = now.Add(noQuorumInterval)
	c.logEvent(eventlog.QuorumMissing, "leaderless_for", c.LeaderlessFor(now), "voters", c.Voters(), "term", c.replica.Node.Term())
}
