package hosting

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/strength"
)

func TestBusyProcessDelaysNewConnections(t *testing.T) {
	free, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	address := free.Addr().String()
	require.NoError(t, free.Close())
	var busy atomic.Bool
	busy.Store(true)
	require.NoError(t, Serve(address, http.NotFoundHandler(), WithThrottle(busy.Load)))
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

// Guards against requests on open connections starving a leader election of CPU time.
func TestBusyProcessDelaysRequestsForLimitedTime(t *testing.T) {
	var busy atomic.Bool
	p := throttle{isBusy: busy.Load}
	handler := p.handler(http.NotFoundHandler())
	serve := func() time.Duration {
		begin := time.Now()
		handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil))
		return time.Since(begin)
	}
	assert.Less(t, serve(), maxBusyWait/2)
	busy.Store(true)
	time.AfterFunc(100*time.Millisecond, func() { busy.Store(false) })
	took := serve()
	assert.GreaterOrEqual(t, took, 100*time.Millisecond)
	assert.Less(t, took, maxBusyWait)
	busy.Store(true)
	assert.GreaterOrEqual(t, serve(), maxBusyWait)
}

// SIGHUP applies changed settings; a file that cannot be read leaves them as they are.
func TestWatchReloadableAppliesChanges(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var mutex sync.Mutex
	var reads atomic.Int64
	known := ReloadableSettings{Seeds: []string{"10.0.0.1:1"}, Strength: strength.Resources{CPUShare: 0.1}}
	var failure error
	passed := make(chan ReloadableSettings, 10)
	go WatchReloadable(ctx, eventlog.Discard(), ReloadableSettings{Seeds: known.Seeds}, func() (ReloadableSettings, error) {
		mutex.Lock()
		defer mutex.Unlock()
		reads.Add(1)
		return known, failure
	}, func(next ReloadableSettings) { passed <- next })
	change := func(share float64, err error) {
		mutex.Lock()
		known.Strength.CPUShare, failure = share, err
		mutex.Unlock()
		// The second of these reads begins after what the first one led to.
		enough := reads.Load() + 2
		require.Eventually(t, func() bool {
			assert.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
			return reads.Load() >= enough
		}, testTimeout, time.Millisecond)
	}
	change(0.1, nil)
	require.Len(t, passed, 1, "the file was changed while the process started")
	<-passed
	change(0.1, nil)
	change(0.5, errors.New("half a file"))
	assert.Empty(t, passed)
	change(0.5, nil)
	require.Len(t, passed, 1)
	next := <-passed
	assert.Equal(t, 0.5, next.Strength.CPUShare)
	assert.Equal(t, known.Seeds, next.Seeds)
	change(0.5, nil)
	assert.Empty(t, passed, "nothing has changed")
}
