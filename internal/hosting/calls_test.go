package hosting

import (
	"bytes"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/eventlog"
)

func TestRespondWritesStatusAndLogsReason(t *testing.T) {
	cases := []struct {
		err    error
		status int
		body   string
		log    string
	}{
		{nil, http.StatusOK, "{}", ""},
		{errors.New("no leader"), http.StatusServiceUnavailable, "not taken\n", `status=503 reason="no leader"`},
		{&directory.Problem{Field: "zone", Reason: "is not known"}, http.StatusBadRequest, "zone: is not known\n", `status=400 reason="zone: is not known"`},
	}
	for _, test := range cases {
		var log bytes.Buffer
		recorder := httptest.NewRecorder()
		NewResponder(eventlog.New(&log, "core-1")).Respond(recorder, httptest.NewRequest(http.MethodPost, "/call", nil), test.err)
		assert.Equal(t, test.status, recorder.Code)
		assert.Equal(t, test.body, recorder.Body.String())
		assert.Equal(t, test.status == http.StatusServiceUnavailable, recorder.Header().Get("Retry-After") == "1")
		assert.Contains(t, log.String(), test.log)
		assert.Equal(t, test.err == nil, log.Len() == 0)
	}
}

func TestReadBodyLogsOversizedBody(t *testing.T) {
	var log bytes.Buffer
	recorder := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodPost, "/call", strings.NewReader("four"))
	_, read := NewResponder(eventlog.New(&log, "core-1")).ReadBody(recorder, request, 3)
	assert.False(t, read)
	assert.Equal(t, http.StatusRequestEntityTooLarge, recorder.Code)
	assert.Contains(t, log.String(), "status=413")
}

// Guards against clients flooding the log with many requests or long paths and bodies.
func TestRefusalLogIsBounded(t *testing.T) {
	const calls = 1000
	var log bytes.Buffer
	answers := NewResponder(eventlog.New(&log, "core-1"))
	request := httptest.NewRequest(http.MethodPost, "/"+strings.Repeat("a", 10_000), nil)
	for range calls {
		answers.Unavailable(httptest.NewRecorder(), request, errors.New(strings.Repeat("b", 10_000)))
	}
	lines := strings.Split(strings.TrimSpace(log.String()), "\n")
	// The loop may span two sampling periods, the second with a line on dropped lines.
	assert.LessOrEqual(t, len(lines), calls/4)
	for _, line := range lines {
		assert.Less(t, len(line), 1000)
	}
	assert.Equal(t, "é", truncate("éé", 3), "no half characters")
}
