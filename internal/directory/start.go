package directory

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Start identifies one start of a target's process. A restarted process may keep its ID
// but has lost the state of its earlier flows.
type Start struct {
	ID string
	// StartTime is when the process started, in Unix milliseconds of its own clock, or 0
	// if unknown. Two starts with the same start time are treated as one.
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

// IsBefore reports whether this is an earlier start of the same target. Only start times
// are compared: a process whose clock was set back to before its previous start is
// rejected and needs another ID. An unknown start time is before all known ones.
func (s Start) IsBefore(other Start) bool { return s.ID == other.ID && s.StartTime < other.StartTime }

// token returns the derived token of the start: a hash of the ID and the start time. The
// target gets another one if it is in use.
func (s Start) token() Token {
	if s.StartTime == 0 {
		return Token(xxhash.Sum64String(s.ID))
	}
	return Token(xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(s.ID), s.StartTime)))
}

// Start returns the ID and the start time of the target.
func (t Target) Start() Start { return Start{ID: t.ID, StartTime: t.StartTime} }

// HasDerivedToken reports whether the token of the target is derived from its start; see
// allocateToken.
func (t Target) HasDerivedToken() bool { return t.Token == t.Start().token() }
