// Package cli provides the commands of the beamdoor program.
package cli

import (
	"context"
	"crypto/rand"
	"errors"
	"net/http"
	"time"

	"connectrpc.com/connect"

	beamdoorv1 "github.com/beamdoor/beamdoor/api/beamdoor/v1"
	"github.com/beamdoor/beamdoor/api/beamdoor/v1/beamdoorv1connect"
	"github.com/beamdoor/beamdoor/internal/steperror"
	"github.com/beamdoor/beamdoor/internal/store"
)

// Exit codes of the program, for scripts.
const (
	ExitOK = 0
	// ExitFailed is any failure that has no code of its own.
	ExitFailed = 1
	// ExitUsage is a wrong flag, argument or file.
	ExitUsage = 2
	// ExitConflict is a lost race: somebody else's write came first.
	ExitConflict = 3
	// ExitNotFound names something that does not exist.
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

// Error returns the cause.
func (e *ExitError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
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

const retryPause = 150 * time.Millisecond

// client calls the administration API on whichever control member leads.
type client struct {
	addresses []string
	timeout   time.Duration
	http      *http.Client
	leader    string
}

func newClient(addresses []string, timeout time.Duration) *client {
	return &client{addresses: addresses, timeout: timeout, http: &http.Client{}}
}

func newRequestID() []byte {
	id := make([]byte, store.RequestIDSize)
	_, _ = rand.Read(id)
	return id
}

// call runs one request, and again on another member while it is not known to
// have been answered. That is safe for writes because each carries the same
// request identity every time.
func call[T any](ctx context.Context, c *client, run func(context.Context, beamdoorv1connect.AdminServiceClient) (*connect.Response[T], error)) (*T, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var last error
	for attempt := 0; ctx.Err() == nil; attempt++ {
		address := c.leader
		if address == "" {
			address = c.addresses[attempt%len(c.addresses)]
		}
		api := beamdoorv1connect.NewAdminServiceClient(c.http, "http://"+address)
		response, err := run(ctx, api)
		if err == nil {
			c.leader = address
			return response.Msg, nil
		}
		if !retryable(err) {
			return nil, exitError(address, err)
		}
		if ctx.Err() == nil || last == nil {
			last = steperror.Wrap("cli.call", address, err)
		}
		c.leader = leaderOf(err)
		time.Sleep(retryPause)
	}
	return nil, &ExitError{Code: ExitUnavailable, Cause: steperror.Wrap("cli.call", "", last)}
}

func retryable(err error) bool {
	code := connect.CodeOf(err)
	return code == connect.CodeUnavailable || code == connect.CodeUnknown || code == connect.CodeDeadlineExceeded
}

// errorDetail returns the details of an API error, or empty ones.
func errorDetail(err error) *beamdoorv1.ErrorDetail {
	var apiError *connect.Error
	if errors.As(err, &apiError) {
		for _, encoded := range apiError.Details() {
			if value, decodeErr := encoded.Value(); decodeErr == nil {
				if detail, ok := value.(*beamdoorv1.ErrorDetail); ok {
					return detail
				}
			}
		}
	}
	return &beamdoorv1.ErrorDetail{}
}

func leaderOf(err error) string { return errorDetail(err).LeaderAdmin }

func exitError(address string, err error) error {
	code := ExitFailed
	switch connect.CodeOf(err) {
	case connect.CodeAborted:
		code = ExitConflict
	case connect.CodeNotFound:
		code = ExitNotFound
	case connect.CodeInvalidArgument:
		code = ExitUsage
	}
	return &ExitError{Code: code, Cause: steperror.Wrap("cli.call", address, err)}
}
