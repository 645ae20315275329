package hosting

import (
	"net"
	"net/http"
	"time"
)

const (
	// busyPollInterval is the interval at which isBusy is polled.
	busyPollInterval = 10 * time.Millisecond
	// maxBusyWait bounds the delay of a request; clients time out after a second.
	maxBusyWait = 800 * time.Millisecond
)

// serving holds the options of Serve.
type serving struct {
	pace        throttle
	connections *ConnectionLimiter
}

// ServeOption is an option of Serve.
type ServeOption func(*serving)

// WithThrottle delays new connections and requests while isBusy reports true, so that
// an overloaded process keeps its CPU time for its own work.
func WithThrottle(isBusy func() bool) ServeOption {
	return func(s *serving) { s.pace.isBusy = isBusy }
}

// WithoutThrottleFor exempts requests from the delay by WithThrottle, such as the second part of
// an exchange whose first part was delayed already.
func WithoutThrottleFor(isExempt func(request *http.Request) bool) ServeOption {
	return func(s *serving) { s.pace.isExempt = isExempt }
}

// WithConnectionLimit applies a connection limit to the server.
func WithConnectionLimit(connections *ConnectionLimiter) ServeOption {
	return func(s *serving) { s.connections = connections }
}

// throttle delays clients while the process is busy. The zero value delays none.
type throttle struct {
	isBusy func() bool
	// isExempt selects requests that are not delayed; nil selects none.
	isExempt func(request *http.Request) bool
}

// handler returns a handler that delays requests by up to maxBusyWait.
func (p *throttle) handler(inner http.Handler) http.Handler {
	if p.isBusy == nil {
		return inner
	}
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if p.isExempt == nil || !p.isExempt(request) {
			p.wait()
		}
		inner.ServeHTTP(writer, request)
	})
}

// wait returns once the process is not busy, or after maxBusyWait.
func (p *throttle) wait() {
	end := time.Now().Add(maxBusyWait)
	for p.isBusy() && time.Now().Before(end) {
		time.Sleep(busyPollInterval)
	}
}

// listener returns a listener that delays accepting connections.
func (p *throttle) listener(inner net.Listener) net.Listener {
	if p.isBusy == nil {
		return inner
	}
	return &throttledListener{Listener: inner, isBusy: p.isBusy}
}

// throttledListener accepts connections while the process is not busy.
type throttledListener struct {
	net.Listener
	isBusy func() bool
}

// Accept implements net.Listener.
func (l *throttledListener) Accept() (net.Conn, error) {
	for l.isBusy() {
		time.Sleep(busyPollInterval)
	}
	return l.Listener.Accept()
}
