// Package steperror provides an error type that records the step that failed and the peer,
// file or program involved.
package steperror

import (
	"errors"
	"strings"
)

// Error is a failure at a named step.
type Error struct {
	// Step is the operation that failed, for example "wal.append".
	Step string
	// Peer is the address or identity of the remote end, or the name of the file or program
	// that the step processed. It is empty if there is none.
	Peer string
	// Reason describes the failure in one sentence without a full stop.
	Reason string
	// Cause is the underlying error, if any.
	Cause error
}

var _ error = (*Error)(nil)

// New returns an Error without a cause.
func New(step, peer, reason string) *Error {
	return &Error{Step: step, Peer: peer, Reason: reason}
}

// Wrap returns an Error with a cause, or nil if the cause is nil.
func Wrap(step, peer string, cause error) error {
	if cause == nil {
		return nil
	}
	return &Error{Step: step, Peer: peer, Cause: cause}
}

// Error formats the step, the peer, the reason and the cause on one line.
func (e *Error) Error() string {
	var text strings.Builder
	text.WriteString(e.Step)
	if e.Peer != "" {
		text.WriteString(" [" + e.Peer + "]")
	}
	if e.Reason != "" {
		text.WriteString(": " + e.Reason)
	}
	if e.Cause != nil {
		text.WriteString(": " + e.Cause.Error())
	}
	return text.String()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// StepOf returns the step of the outermost Error in the chain, or "".
func StepOf(err error) string {
	var stepError *Error
	if errors.As(err, &stepError) {
		return stepError.Step
	}
	return ""
}
