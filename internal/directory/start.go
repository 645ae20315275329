package directory

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Start identifies one run of a target's process. A restarted process may keep its ID but
// has no state of the flows of the previous run.
type Start struct {
	ID string
	// StartTime is when the process started, in Unix milliseconds of its own clock, or 0
	// if unknown. Two runs with the same start time are treated as one.
	StartTime uint64
}

// MaxStartTime is the maximum start time in Unix milliseconds, in the year 10889. A
// larger value is an error of the sender that would block all later starts.
const MaxStartTime = 1<<48 - 1

// Validate returns a Problem if the start time is out of range.
func (s Start) Validate() error {
	if s.StartTime > MaxStartTime {
		return NewProblem("born", s.StartTime, fmt.Sprintf("must be at most %d Unix milliseconds", uint64(MaxStartTime)))
	}
	return nil
}

// IsBefore reports whether this is an earlier run of the same target. Only start times
// are compared: a process whose clock was set back before the previous start is rejected
// and needs another ID. A run without a start time is before all runs with one.
func (s Start) IsBefore(other Start) bool { return s.ID == other.ID && s.StartTime < other.StartTime }

// token returns the preferred token of the run. It is a hash of the ID and the start
// time, so that all members derive the same one.
func (s Start) token() Token {
	if s.StartTime == 0 {
		return Token(xxhash.Sum64String(s.ID))
	}
	return Token(xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(s.ID), s.StartTime)))
}

// Start returns the process run of the target.
func (t Target) Start() Start { return Start{ID: t.ID, StartTime: t.StartTime} }

// HasDerivedToken reports whether the target has the preferred token of its start, which
// was not in use when the target was registered.
func (t Target) HasDerivedToken() bool { return t.Token == t.Start().token() }
