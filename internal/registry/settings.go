package registry

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/raft"
)

// CoreSettings are the fixed settings of a member's core.
type CoreSettings struct {
	Raft raft.Settings
	// Address is where other members and nodes reach this member.
	Address string
	Zone    string
	// Seeds are addresses of members, some of which may be gone.
	Seeds []string
	// Bootstrap is set at the first start of the whole group.
	Bootstrap bool
	// Voters is the number of voters to keep.
	Voters int
	// LostZones is the number of zones whose loss at once must leave a quorum of
	// voters; 0 means that none need be borne.
	LostZones int
	// JoinInterval is the time between two requests for a place.
	JoinInterval time.Duration
	// ReplaceAfter is the silence after which a voter gives way to a learner.
	ReplaceAfter time.Duration
	// RequestTimeout is how long a request waits for the group.
	RequestTimeout time.Duration
	// MaxStaleness is how long a member counts as current after it heard from
	// the leader.
	MaxStaleness time.Duration
	// SuspectAfter is the silence after which a target is suspected.
	SuspectAfter time.Duration
	// LostAfter is the shortest silence after which a target can be held for
	// lost, when callers wait for its answers.
	LostAfter time.Duration
	// WarmthOf returns what is stated about the cold targets of a service; nil where
	// nothing is.
	WarmthOf     func(service directory.Service) (Warmth, error)
	WarmupLimits WarmupLimits
	// SnapshotEntries is the length of the log at which it is compacted.
	SnapshotEntries int
}

const (
	// minSuspectAfter is the least silence after which a target is suspected: a heartbeat
	// whose call failed after a second is still under way at another member.
	minSuspectAfter = 3200 * time.Millisecond
	// heartbeatDelayMargin is how much later than usual heartbeats of living targets come at
	// the leader, beside a tenth of the interval: their way and that of members' reports.
	heartbeatDelayMargin = 300 * time.Millisecond
)

// CoreOption changes the settings of a member in production.
type CoreOption func(s *CoreSettings)

// WithHeartbeats sets the usual time between two heartbeats of a target. Where it is long
// targets are suspected later: after 3.2 s with 3 s between heartbeats, a part of all
// living targets was suspected at any moment.
func WithHeartbeats(interval time.Duration) CoreOption {
	return func(s *CoreSettings) {
		s.SuspectAfter = max(minSuspectAfter, interval+interval/10+heartbeatDelayMargin)
	}
}

// DefaultCoreSettings returns the settings of a member in production.
func DefaultCoreSettings(opts ...CoreOption) CoreSettings {
	settings := CoreSettings{
		Raft: raft.Settings{
			ElectionTimeout: 250 * time.Millisecond,
			Heartbeat:       80 * time.Millisecond,
			MaxAppend:       64,
			ChunkSize:       128 << 10,
			UnboundRestart:  true,
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
