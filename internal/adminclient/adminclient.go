// Package adminclient calls the administration API on whichever control member
// leads. The command line and the experiments use it.
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

const retryPause = 150 * time.Millisecond

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

// Addresses returns the administration addresses.
func (c *Client) Addresses() []string { return c.addresses }

// HTTP returns the client's HTTP client.
func (c *Client) HTTP() *http.Client { return c.http }

// NewRequestID draws the identity of a write.
func NewRequestID() []byte {
	id := make([]byte, store.RequestIDSize)
	_, _ = rand.Read(id)
	return id
}

// UnavailableError says that no control member with a quorum answered in time.
type UnavailableError struct{ Cause error }

var _ error = (*UnavailableError)(nil)

// Error returns the cause.
func (e *UnavailableError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// Request is one request to the API.
type Request[T any] func(context.Context, beamdoorv1connect.AdminServiceClient) (*connect.Response[T], error)

// Call runs one request, and again on another member while it is not known to
// have been answered. That is safe for writes because each carries the same
// request identity every time.
func Call[T any](ctx context.Context, c *Client, run Request[T]) (*T, error) {
	const step = "adminclient.call"
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
			return nil, steperror.Wrap(step, address, err)
		}
		if ctx.Err() == nil || last == nil {
			last = steperror.Wrap(step, address, err)
		}
		c.leader = Detail(err).LeaderAdmin
		time.Sleep(retryPause)
	}
	return nil, &UnavailableError{Cause: last}
}

func retryable(err error) bool {
	code := connect.CodeOf(err)
	return code == connect.CodeUnavailable || code == connect.CodeUnknown || code == connect.CodeDeadlineExceeded
}

// Detail returns the details of an API error, or empty ones.
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
