// Package adminclient is a client of the administration API. It retries on other
// control members and follows redirects to the leader.
package adminclient

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

const retryInterval = 150 * time.Millisecond

// Client calls the administration API. It is not safe for concurrent use.
type Client struct {
	addresses []string
	timeout   time.Duration
	http      *http.Client
	leader    string
}

// New returns a client for the administration addresses of the control members.
func New(addresses []string, timeout time.Duration) *Client {
	return &Client{addresses: addresses, timeout: timeout, http: &http.Client{}}
}

// Addresses returns the administration addresses that New was given.
func (c *Client) Addresses() []string { return c.addresses }

// HTTP returns the underlying HTTP client.
func (c *Client) HTTP() *http.Client { return c.http }

// NewRequestID returns a random ID that makes retries of a write idempotent.
func NewRequestID() []byte {
	id := make([]byte, store.RequestIDSize)
	_, _ = rand.Read(id)
	return id
}

// UnavailableError means that no control member with a quorum answered before the timeout.
type UnavailableError struct{ Cause error }

var _ error = (*UnavailableError)(nil)

// Error returns the message of the cause.
func (e *UnavailableError) Error() string { return e.Cause.Error() }

// Unwrap returns the error of the last attempt before the timeout.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// Request sends one request through an API client.
type Request[T any] func(context.Context, beamdoorv1connect.AdminServiceClient) (*connect.Response[T], error)

// Call sends a request and retries it, on the leader named by the error or on the next
// member, until it is answered or the client's timeout expires. Retrying writes is safe
// because every attempt carries the same request ID.
func Call[T any](ctx context.Context, c *Client, run Request[T]) (*T, error) {
	const step = "adminclient.call"
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var lastErr error
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
			return nil, steperror.Wrap(step, address, err)
		}
		if ctx.Err() == nil || lastErr == nil {
			lastErr = steperror.Wrap(step, address, err)
		}
		c.leader = Detail(err).LeaderAdmin
		time.Sleep(retryInterval)
	}
	return nil, &UnavailableError{Cause: lastErr}
}

func retryable(err error) bool {
	code := connect.CodeOf(err)
	return code == connect.CodeUnavailable || code == connect.CodeUnknown || code == connect.CodeDeadlineExceeded
}

// Detail returns the ErrorDetail of an API error, or an empty one.
func Detail(err error) *beamdoorv1.ErrorDetail {
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
