package peerlink

import (
	"context"
	"net"
	"time"

	"github.com/beamdoor/beamdoor/internal/steperror"
)

const (
	// dialTimeout is short: an unreachable host does not reply, and a later attempt
	// reaches it once it is back.
	dialTimeout = 200 * time.Millisecond
	// dialStagger is the delay between the starts of concurrent attempts.
	dialStagger = 40 * time.Millisecond
)

// dialResult is the result of one connection attempt.
type dialResult struct {
	address    string
	connection net.Conn
	err        error
}

// dialOptions holds the options of DialFirst.
type dialOptions struct{ hints <-chan struct{} }

// DialOption configures DialFirst.
type DialOption func(*dialOptions)

// WithHints starts the next attempt at once, without the usual delay, when a value arrives
// on the channel. A value means that next can now return the address of a running host.
func WithHints(hints <-chan struct{}) DialOption {
	return func(d *dialOptions) { d.hints = hints }
}

// DialFirst starts a connection attempt every 40 ms, each to the address that next
// returns, and returns the first connection that opens. Since attempts overlap, an
// unresponsive host does not delay attempts to others, and a host that comes back is
// reached by the next attempt. It returns an error when next has no more addresses and
// all attempts have failed, or when the context ends.
//
// Source: the staggered attempts of RFC 8305, section 5.
func DialFirst(ctx context.Context, next func() (address string, more bool), opts ...DialOption) (net.Conn, string, error) {
	var d dialOptions
	for _, opt := range opts {
		opt(&d)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// Connections that open later are closed by closePending, which outlives this call.
	results := make(chan dialResult)
	stagger := time.NewTimer(0)
	defer stagger.Stop()
	nextAttempt := stagger.C
	pending := 0
	var err error = steperror.New("peerlink.dial", "", "there is no address to connect to")
	for nextAttempt != nil || pending > 0 {
		select {
		case <-nextAttempt:
			address, more := next()
			if !more {
				nextAttempt = nil
				continue
			}
			pending++
			go func() { results <- dialOnce(ctx, address) }()
			stagger.Reset(dialStagger)
		case <-d.hints:
			stagger.Reset(0)
		case result := <-results:
			pending--
			if result.err == nil {
				go closePending(results, pending)
				return result.connection, result.address, nil
			}
			err = result.err
		case <-ctx.Done():
			go closePending(results, pending)
			return nil, "", steperror.Wrap("peerlink.dial", "", ctx.Err())
		}
	}
	return nil, "", err
}

// closePending closes the connections of the remaining attempts.
func closePending(results <-chan dialResult, pending int) {
	for range pending {
		closeIfOpen((<-results).connection)
	}
}

func dialOnce(ctx context.Context, address string) dialResult {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: setUserTimeout}
	connection, err := dialer.DialContext(ctx, "tcp4", address)
	return dialResult{address: address, connection: connection, err: steperror.Wrap("peerlink.dial", address, err)}
}
