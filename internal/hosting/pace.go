package hosting

import (
	"net"
	"net/http"
	"time"
)

const (
	// busyPause is the time between two looks at whether the process is busy.
	busyPause = 10 * time.Millisecond
	// longestWait is how long a call waits at most; callers give up after a second.
	longestWait = 800 * time.Millisecond
)

// serving is how calls are served.
type serving struct {
	pace        pace
	connections *ConnectionLimiter
}

// ServeOption changes how calls are served.
type ServeOption func(*serving)

// WithThrottle lets new connections and calls wait while the process is busy: a process
// that has no time for its own duties must not spend it on callers.
func WithThrottle(isBusy func() bool) ServeOption {
	return func(s *serving) { s.pace.isBusy = isBusy }
}

// WithConnectionLimit bounds the connections of callers.
func WithConnectionLimit(connections *ConnectionLimiter) ServeOption {
	return func(s *serving) { s.connections = connections }
}

// pace holds callers up while the process is busy. The zero value never does.
type pace struct{ isBusy func() bool }

// handler returns a handler whose calls wait, for longestWait at most.
func (p *pace) handler(inner http.Handler) http.Handler {
	if p.isBusy == nil {
		return inner
	}
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		end := time.Now().Add(longestWait)
		for p.isBusy() && time.Now().Before(end) {
			time.Sleep(busyPause)
		}
		inner.ServeHTTP(writer, request)
	})
}

// listener returns a listener whose new connections wait.
func (p *pace) listener(inner net.Listener) net.Listener {
	if p.isBusy == nil {
		return inner
	}
	return &pacedListener{Listener: inner, isBusy: p.isBusy}
}

// pacedListener accepts connections while the process is not busy.
type pacedListener struct {
	net.Listener
	isBusy func() bool
}

// Accept implements net.Listener.
func (l *pacedListener) Accept() (net.Conn, error) {
	for l.isBusy() {
		time.Sleep(busyPause)
	}
	return l.Listener.Accept()
}
