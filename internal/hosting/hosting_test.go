package hosting

import (
	"net"
	"net/http"
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
