package hosting

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/eventlog"
)

// testTimeout bounds each request of these tests.
const testTimeout = 5 * time.Second

// lines is a log buffer that is safe for concurrent use.
type lines struct {
	mutex sync.Mutex
	text  strings.Builder
}

func (l *lines) Write(data []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.text.Write(data)
}

func (l *lines) String() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.text.String()
}

// serveBound starts a server with a connection limit.
func serveBound(t *testing.T, limit int) (string, *ConnectionLimiter, *lines) {
	t.Helper()
	free, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	address := free.Addr().String()
	require.NoError(t, free.Close())
	log := &lines{}
	connections := NewConnectionLimiter(limit, eventlog.NodeConnectionsFull, NewMetrics("test"), eventlog.New(log, "edge-1"))
	echo := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, "served") })
	require.NoError(t, Serve(address, echo, WithConnectionLimit(connections)))
	return address, connections, log
}

// sendRequest sends a request over a new connection, which stays open.
func sendRequest(t *testing.T, address, method string) (net.Conn, *http.Response) {
	t.Helper()
	connection, err := net.Dial("tcp4", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	_ = connection.SetDeadline(time.Now().Add(testTimeout))
	_, err = io.WriteString(connection, method+" / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(connection), &http.Request{Method: method})
	if err != nil {
		return connection, nil
	}
	return connection, response
}

// In the reserved tenth, GET requests are served and others rejected with 503.
func TestReservedConnectionsServeOnlyGET(t *testing.T) {
	address, connections, log := serveBound(t, 20)
	var held []net.Conn
	for range 18 {
		connection, response := sendRequest(t, address, http.MethodPost)
		require.NotNil(t, response)
		require.Equal(t, http.StatusOK, response.StatusCode)
		held = append(held, connection)
	}
	assert.Empty(t, log.String())
	_, refused := sendRequest(t, address, http.MethodPost)
	require.NotNil(t, refused)
	assert.Equal(t, http.StatusServiceUnavailable, refused.StatusCode)
	assert.Equal(t, retryAfterSeconds, refused.Header.Get("Retry-After"))
	assert.True(t, refused.Close, "it frees its descriptor")
	_, asked := sendRequest(t, address, http.MethodGet)
	require.NotNil(t, asked)
	assert.Equal(t, http.StatusOK, asked.StatusCode, "whether the node is ready is told all the same")
	assert.True(t, asked.Close)
	assert.Contains(t, log.String(), "event=2153")
	require.NoError(t, held[0].Close())
	require.NoError(t, held[1].Close())
	require.NoError(t, held[2].Close())
	assert.Eventually(t, func() bool { return connections.open.Load() <= 17 }, testTimeout, time.Millisecond)
	_, response := sendRequest(t, address, http.MethodPost)
	require.NotNil(t, response)
	assert.Equal(t, http.StatusOK, response.StatusCode, "there is room again")
}

// When idle clients hold all connections, further ones are closed at once.
func TestConnectionsAboveLimitAreClosed(t *testing.T) {
	address, connections, _ := serveBound(t, 4)
	for range 4 {
		connection, err := net.Dial("tcp4", address)
		require.NoError(t, err)
		t.Cleanup(func() { _ = connection.Close() })
	}
	assert.Eventually(t, func() bool { return connections.open.Load() == 4 }, testTimeout, time.Millisecond)
	_, response := sendRequest(t, address, http.MethodGet)
	assert.Nil(t, response)
	connections.SetLimit(100)
	_, response = sendRequest(t, address, http.MethodPost)
	require.NotNil(t, response)
	assert.Equal(t, http.StatusOK, response.StatusCode, "the settings allow more")
}

// Guards against losing a response whose request body is unread, and against counting a
// connection that is closed twice.
func TestConnectionHalfCloseAndSingleCount(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	caller, err := net.Dial("tcp4", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = caller.Close() })
	require.NoError(t, caller.SetDeadline(time.Now().Add(testTimeout)))
	accepted, err := listener.Accept()
	require.NoError(t, err)
	connections := NewConnectionLimiter(10, eventlog.NodeConnectionsFull, NewMetrics("test"), eventlog.Discard())
	bound := connections.take(accepted)
	half, ok := bound.(interface{ CloseWrite() error })
	require.True(t, ok)
	require.NoError(t, half.CloseWrite())
	_, err = caller.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	_, err = io.WriteString(caller, "x")
	require.NoError(t, err)
	_, err = io.ReadFull(bound, make([]byte, 1))
	assert.NoError(t, err)
	assert.Equal(t, int64(1), connections.open.Load())
	_ = bound.Close()
	_ = bound.Close()
	assert.Zero(t, connections.open.Load())
}

func TestNoConnectionLimit(t *testing.T) {
	address, _, log := serveBound(t, 0)
	for range 50 {
		_, response := sendRequest(t, address, http.MethodPost)
		require.NotNil(t, response)
		require.Equal(t, http.StatusOK, response.StatusCode)
	}
	assert.Empty(t, log.String())
}
