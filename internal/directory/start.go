package directory

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Start identifies one run of a target's process. A process that starts again may
// keep its ID; it then knows nothing of the flows of the run before.
type Start struct {
	ID string
	// StartTime is when the process started, in Unix milliseconds of its own clock; 0
	// where it does not tell. Two runs that tell the same time are taken for one.
	StartTime uint64
}

// MaxStartTime is the latest start in Unix milliseconds that is taken for meant: the year
// 10889. What lies beyond is an error of the sender, and would hold for ever.
const MaxStartTime = 1<<48 - 1

// Validate returns a Problem when the start cannot be meant.
func (s Start) Validate() error {
	if s.StartTime > MaxStartTime {
		return NewProblem("born", s.StartTime, fmt.Sprintf("must be at most %d Unix milliseconds", uint64(MaxStartTime)))
	}
	return nil
}

// IsBefore reports whether this is an earlier run of the same target. Runs are ordered
// by their own clock alone, whenever they were heard of: a run whose clock was set back
// below that of the run before is never taken, and needs another ID. A run that does
// not tell its start comes before all that do.
func (s Start) IsBefore(other Start) bool { return s.ID == other.ID && s.StartTime < other.StartTime }

// token returns the token that the run gets unless another run has it: a hash of what
// identifies the run, so that all members and disks agree on it.
func (s Start) token() Token {
	if s.StartTime == 0 {
		return Token(xxhash.Sum64String(s.ID))
	}
	return Token(xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(s.ID), s.StartTime)))
}

// Start returns the run of its process that the target is.
func (t Target) Start() Start { return Start{ID: t.ID, StartTime: t.StartTime} }

// HasDerivedToken reports whether the target's token follows from its start alone, and not
// also from the targets that were registered before it.
func (t Target) HasDerivedToken() bool { return t.Token == t.Start().token() }
