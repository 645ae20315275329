// Package cli implements the commands of the beamdoor program.
package cli

import (
	"context"
	"errors"

	"connectrpc.com/connect"

	"github.com/beamdoor/beamdoor/internal/adminclient"
)

// Exit codes of the program, for scripts.
const (
	ExitOK = 0
	// ExitFailed is a failure without a more specific code.
	ExitFailed = 1
	// ExitUsage is an invalid flag, argument or file.
	ExitUsage = 2
	// ExitConflict means that a concurrent write was accepted first.
	ExitConflict = 3
	// ExitNotFound means that a named object does not exist.
	ExitNotFound = 4
	// ExitUnavailable means that no control member with a quorum answered in time.
	ExitUnavailable = 5
)

// ExitError carries the exit code of a failed command.
type ExitError struct {
	Code  int
	Cause error
}

var _ error = (*ExitError)(nil)

// Error returns the message of the cause.
func (e *ExitError) Error() string { return e.Cause.Error() }

// Unwrap returns the underlying error.
func (e *ExitError) Unwrap() error { return e.Cause }

// ExitCode returns the exit code for an error of a command.
func ExitCode(err error) int {
	var exit *ExitError
	if err == nil {
		return ExitOK
	}
	if errors.As(err, &exit) {
		return exit.Code
	}
	return ExitFailed
}

// call sends an API request and wraps a failure in an ExitError.
func call[T any](ctx context.Context, c *adminclient.Client, run adminclient.Request[T]) (*T, error) {
	response, err := adminclient.Call(ctx, c, run)
	if err != nil {
		return nil, &ExitError{Code: exitCodeOf(err), Cause: err}
	}
	return response, nil
}

func exitCodeOf(err error) int {
	var unavailable *adminclient.UnavailableError
	if errors.As(err, &unavailable) {
		return ExitUnavailable
	}
	switch connect.CodeOf(err) {
	case connect.CodeAborted:
		return ExitConflict
	case connect.CodeNotFound:
		return ExitNotFound
	case connect.CodeInvalidArgument:
		return ExitUsage
	}
	return ExitFailed
}
