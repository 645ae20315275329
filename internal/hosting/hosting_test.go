package hosting

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestNewConnectionsWaitWhileTheProcessIsBusy(t *testing.T) {
	free, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	address := free.Addr().String()
	require.NoError(t, free.Close())
	var busy atomic.Bool
	busy.Store(true)
	require.NoError(t, Serve(address, http.NotFoundHandler(), WithPace(busy.Load)))
	client := http.Client{Timeout: 200 * time.Millisecond}
	_, err = client.Get("http://" + address)
	require.Error(t, err, "not accepted yet")
	busy.Store(false)
	client.Timeout = 5 * time.Second
	response, err := client.Get("http://" + address)
	require.NoError(t, err)
	assert.Equal(t, http.StatusNotFound, response.StatusCode)
	assert.NoError(t, response.Body.Close())
}

// After all members of 300 machines were killed, calls on open connections took
// the time that an election needed (own copy, no leader for 30 s).
func TestCallsWaitWhileTheProcessIsBusyButNotForEver(t *testing.T) {
	var busy atomic.Bool
	p := pace{isBusy: busy.Load}
	handler := p.handler(http.NotFoundHandler())
	serve := func() time.Duration {
		begin := time.Now()
		handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil))
		return time.Since(begin)
	}
	assert.Less(t, serve(), longestWait/2)
	busy.Store(true)
	time.AfterFunc(100*time.Millisecond, func() { busy.Store(false) })
	took := serve()
	assert.GreaterOrEqual(t, took, 100*time.Millisecond)
	assert.Less(t, took, longestWait)
	busy.Store(true)
	assert.GreaterOrEqual(t, serve(), longestWait)
}
