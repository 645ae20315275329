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

// reservedPercent is the part in percent of all connections that is kept for callers who
// only ask, such as whether the node is ready, and for telling others to go elsewhere.
const reservedPercent = 10

// ConnectionLimiter counts the connections that callers hold at a process and bounds them,
// before the system refuses the process descriptors that its own duties need. Callers
// of several addresses may share one.
type ConnectionLimiter struct {
	limit   atomic.Int64
	open    atomic.Int64
	answers Responder
	logger  *eventlog.Logger
	// full is the event of a process without room for callers.
	full    eventlog.ID
	held    prometheus.Gauge
	refused prometheus.Counter
	closed  prometheus.Counter
}

// NewConnectionLimiter returns a bound of so many connections; 0 is none. The event tells that
// it is reached.
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

// SetLimit changes the bound. Connections that are open stay.
func (c *ConnectionLimiter) SetLimit(limit int) { c.limit.Store(int64(limit)) }

// errConnectionLimit refuses a call that may be taken elsewhere.
var errConnectionLimit = steperror.New("hosting.connections", "", "callers hold as many connections as they may")

// bind makes a server count the connections of a listener.
func (c *ConnectionLimiter) bind(server *http.Server, listener net.Listener) net.Listener {
	server.Handler = c.handler(server.Handler)
	server.ConnContext = func(ctx context.Context, connection net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, connection)
	}
	return &boundListener{Listener: listener, connections: c}
}

// connectionKey finds a call's connection in its context.
type connectionKey struct{}

// handler refuses calls on spare connections. One that only asks is answered; each ends
// its connection.
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

// boundListener closes connections beyond the bound at once.
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

// take counts a connection, or closes it and returns nil when there are too many.
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

// boundConnection is counted until it is closed.
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

// CloseWrite lets the server end a call whose body it has not read without losing the
// answer.
func (b *boundConnection) CloseWrite() error {
	if half, ok := b.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
