package registry

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

// quorumEventInterval is the time between two events of a member that cannot reach a
// quorum.
const quorumEventInterval = 5 * time.Second

// groupSizeState is what was last logged about the size of the group.
type groupSizeState struct {
	// isTooSmall is set while the group has fewer voters than its tolerance requires.
	isTooSmall bool
	// isExposed is set while the loss of LostZones zones would leave no quorum.
	isExposed bool
	// nextQuorumEvent is when the next event about a missing quorum may be logged.
	nextQuorumEvent kernel.Instant
}

// Voters returns the number of voters that this member knows.
func (c *Core) Voters() int {
	if c.replica.Node == nil {
		return 0
	}
	return len(c.replica.Node.Membership().Voters)
}

// HasTooFewVoters reports whether the group has fewer voters than the configured tolerance
// requires.
func (c *Core) HasTooFewVoters() bool { return c.Voters() < c.settings.Voters }

// logGroupSize logs when the number of voters falls below or reaches what the tolerance
// requires, when the tolerance of lost zones changes, and periodically while this member
// cannot reach a quorum.
func (c *Core) logGroupSize(now kernel.Instant) {
	if c.IsLeader() && c.HasTooFewVoters() != c.groupSize.isTooSmall {
		c.groupSize.isTooSmall = !c.groupSize.isTooSmall
		c.logEvent(eventlog.GroupSizeChanged, "too_small", c.groupSize.isTooSmall,
			"voters", c.Voters(), "voters_needed", c.settings.Voters, "members", len(c.state.Members()))
	}
	c.logZoneTolerance()
	if c.replica.Node == nil || now.Before(c.groupSize.nextQuorumEvent) || !c.needsMembership(now) {
		return
	}
	c.groupSize.nextQuorumEvent = now.Add(quorumEventInterval)
	c.logEvent(eventlog.QuorumMissing, "leaderless_for", c.LeaderlessFor(now), "voters", c.Voters(), "term", c.replica.Node.Term())
}
