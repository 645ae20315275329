package registry

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/raft"
)

// CoreSettings configure a member's core.
type CoreSettings struct {
	Raft raft.Settings
	// Address is where other members and nodes reach this member.
	Address string
	Zone    string
	// Seeds are addresses of members, some of which may no longer exist.
	Seeds []string
	// Bootstrap lets this member bootstrap the group. It is set at the first start of the
	// whole group.
	Bootstrap bool
	// Voters is the intended number of voters.
	Voters int
	// LostZones is the number of zones whose simultaneous loss must leave a quorum of
	// voters; 0 disables the requirement.
	LostZones int
	// JoinInterval is the time between two join requests.
	JoinInterval time.Duration
	// ReplaceAfter is the silence after which a voter is replaced by a learner.
	ReplaceAfter time.Duration
	// RequestTimeout is how long a request waits for the group.
	RequestTimeout time.Duration
	// MaxStaleness is how long a member counts as current after it last heard from the
	// leader.
	MaxStaleness time.Duration
	// SuspectAfter is the silence after which a target is suspected.
	SuspectAfter time.Duration
	// LostAfter is the minimum silence after which a target with unanswered flows can be
	// marked as lost.
	LostAfter time.Duration
	// WarmupOf returns the configured warm-up of a service's cold targets; nil without any.
	WarmupOf     func(service directory.Service) (WarmupConfig, error)
	WarmupLimits WarmupLimits
	// SnapshotEntries is the log length that triggers compaction.
	SnapshotEntries int
}

const (
	// minSuspectAfter is the minimum of SuspectAfter. It leaves time for a failed heartbeat
	// to be retried at another member.
	minSuspectAfter = 3200 * time.Millisecond
	// heartbeatDelayMargin allows for the delay of heartbeats and of members' reports to
	// the leader.
	heartbeatDelayMargin = 300 * time.Millisecond
)

// CoreOption modifies the default settings of a core.
type CoreOption func(s *CoreSettings)

// WithHeartbeats sets the heartbeat interval of targets and raises SuspectAfter to match,
// so that live targets are not suspected between two heartbeats: with 3.2 s for heartbeats
// every 3 s, some live targets would be suspected at any moment.
func WithHeartbeats(interval time.Duration) CoreOption {
	return func(s *CoreSettings) {
		s.SuspectAfter = max(minSuspectAfter, interval+interval/10+heartbeatDelayMargin)
	}
}

// DefaultCoreSettings returns the production settings of a core.
func DefaultCoreSettings(opts ...CoreOption) CoreSettings {
	settings := CoreSettings{
		Raft: raft.Settings{
			ElectionTimeout:  250 * time.Millisecond,
			Heartbeat:        80 * time.Millisecond,
			MaxAppend:        64,
			ChunkSize:        128 << 10,
			VoteAfterRestart: true,
		},
		Voters:          3,
		JoinInterval:    250 * time.Millisecond,
		ReplaceAfter:    2500 * time.Millisecond,
		RequestTimeout:  900 * time.Millisecond,
		MaxStaleness:    800 * time.Millisecond,
		SuspectAfter:    minSuspectAfter,
		LostAfter:       600 * time.Millisecond,
		SnapshotEntries: 1024,
	}
	for _, opt := range opts {
		opt(&settings)
	}
	return settings
}
