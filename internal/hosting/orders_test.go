package hosting

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/eventlog"
)

func TestUnconfirmedOrderIsRedirected(t *testing.T) {
	var positions []uint64
	handler := NewResponder(eventlog.Discard()).HandleOrder(time.Second, func(_ context.Context, _ *http.Request, position uint64) error {
		positions = append(positions, position)
		if position == 0 {
			return &directory.UnconfirmedOrderError{Step: "order", Peer: "core-1", Position: 7}
		}
		return nil
	})
	cases := []struct {
		url, location, body string
		status              int
	}{
		{"http://10.0.0.1:80/zones/a%2Fb/start", "http://10.0.0.1:80/zones/a%2Fb/start?position=7", "", http.StatusTemporaryRedirect},
		{"http://10.0.0.1:80/zones/a%2Fb/start?position=7", "", "{}", http.StatusOK},
		{"http://10.0.0.1:80/zones/a/start?position=-1", "", "position: -1: must be a log position above 0\n", http.StatusBadRequest},
		{"http://10.0.0.1:80/zones/a/start?position=0", "", "position: 0: must be a log position above 0\n", http.StatusBadRequest},
	}
	for _, test := range cases {
		recorder := httptest.NewRecorder()
		handler(recorder, httptest.NewRequest(http.MethodPost, test.url, nil))
		assert.Equal(t, test.status, recorder.Code, test.url)
		assert.Equal(t, test.location, recorder.Header().Get("Location"), test.url)
		assert.Equal(t, test.body, recorder.Body.String(), test.url)
	}
	assert.Equal(t, []uint64{0, 7}, positions)
}

// A busy process delays an order once, not again when the caller confirms it.
func TestConfirmedOrderIsNotThrottled(t *testing.T) {
	var s serving
	WithThrottle(func() bool { return true })(&s)
	WithoutThrottleFor(IsConfirmedOrder)(&s)
	handler := s.pace.handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	duration := func(url string) time.Duration {
		started := time.Now()
		handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, url, nil))
		return time.Since(started)
	}
	assert.GreaterOrEqual(t, duration("/order"), maxBusyWait)
	assert.Less(t, duration("/order?position=7"), maxBusyWait)
}
