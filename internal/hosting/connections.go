package hosting

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/steperror"
)

// reservedPercent is the percentage of the connection limit that is reserved for GET
// requests, such as readiness probes, and for rejecting other requests with 503.
const reservedPercent = 10

// ConnectionLimiter limits the open connections of clients, so that they cannot use up
// the file descriptors that the process needs itself. Several listeners may share one.
type ConnectionLimiter struct {
	limit   atomic.Int64
	open    atomic.Int64
	answers Responder
	logger  *eventlog.Logger
	// full is the event that is logged when a connection falls into the reserve.
	full    eventlog.ID
	held    prometheus.Gauge
	refused prometheus.Counter
	closed  prometheus.Counter
}

// NewConnectionLimiter returns a limiter for a number of connections; 0 is unlimited. The
// event full is logged when a connection falls into the reserve.
func NewConnectionLimiter(limit int, full eventlog.ID, set *Metrics, logger *eventlog.Logger) *ConnectionLimiter {
	c := &ConnectionLimiter{
		answers: NewResponder(logger),
		logger:  logger,
		full:    full,
		held:    set.Gauge("connections", "connections of callers over HTTP"),
		refused: set.Counter("calls_without_room_total", "calls refused since callers hold as many connections as they may"),
		closed:  set.Counter("connections_closed_total", "connections closed unheard since not even a refusal has room"),
	}
	c.SetLimit(limit)
	return c
}

// SetLimit changes the limit. Open connections are kept.
func (c *ConnectionLimiter) SetLimit(limit int) { c.limit.Store(int64(limit)) }

// errConnectionLimit rejects a request that the client may retry on another node.
var errConnectionLimit = steperror.New("hosting.connections", "", "connection limit reached")

// bind wraps the listener and the handler of a server with the connection limit.
func (c *ConnectionLimiter) bind(server *http.Server, listener net.Listener) net.Listener {
	server.Handler = c.handler(server.Handler)
	server.ConnContext = func(ctx context.Context, connection net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, connection)
	}
	return &boundListener{Listener: listener, connections: c}
}

// connectionKey is the context key of a request's connection.
type connectionKey struct{}

// handler rejects requests on reserved connections, except GET, and closes these
// connections after the response.
func (c *ConnectionLimiter) handler(inner http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		connection, bound := request.Context().Value(connectionKey{}).(*boundConnection)
		if !bound || !connection.isReserved {
			inner.ServeHTTP(writer, request)
			return
		}
		writer.Header().Set("Connection", "close")
		if request.Method == http.MethodGet {
			inner.ServeHTTP(writer, request)
			return
		}
		c.refused.Inc()
		c.answers.Unavailable(writer, request, errConnectionLimit)
	})
}

// boundListener closes connections above the limit right after accepting them.
type boundListener struct {
	net.Listener
	connections *ConnectionLimiter
}

// Accept implements net.Listener.
func (l *boundListener) Accept() (net.Conn, error) {
	for {
		connection, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if bound := l.connections.take(connection); bound != nil {
			return bound, nil
		}
	}
}

// take counts a connection. Above the limit it closes the connection and returns nil.
func (c *ConnectionLimiter) take(connection net.Conn) net.Conn {
	limit := c.limit.Load()
	open := c.open.Add(1)
	bound := &boundConnection{Conn: connection, connections: c}
	bound.isReserved = limit > 0 && open > limit-limit*reservedPercent/100
	c.held.Inc()
	if bound.isReserved {
		c.logger.Sampled(c.full, "connections", open, "limit", limit, "from", connection.RemoteAddr())
	}
	if limit <= 0 || open <= limit {
		return bound
	}
	c.closed.Inc()
	_ = bound.Close()
	return nil
}

// boundConnection is a connection that counts against the limit until it is closed.
type boundConnection struct {
	net.Conn
	connections *ConnectionLimiter
	isReserved  bool
	once        sync.Once
}

// Close implements net.Conn.
func (b *boundConnection) Close() error {
	b.once.Do(func() {
		b.connections.open.Add(-1)
		b.connections.held.Dec()
	})
	return b.Conn.Close()
}

// CloseWrite lets the HTTP server half-close a connection whose request body it has not
// read, so that the client still receives the response.
func (b *boundConnection) CloseWrite() error {
	if half, ok := b.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
