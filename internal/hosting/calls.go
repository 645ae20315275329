package hosting

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/eventlog"
)

// retryAfterSeconds is the Retry-After header of a 503 response.
const retryAfterSeconds = "1"

const (
	// loggedPathBytes bounds the logged part of a request path. It holds the paths with
	// the longest valid IDs and zones.
	loggedPathBytes = 160
	// loggedReasonBytes bounds the logged reason, which may quote the request body.
	loggedReasonBytes = 400
)

// Responder writes HTTP responses and logs each rejected request with its reason, which
// a 503 response does not disclose.
type Responder struct{ logger *eventlog.Logger }

// NewResponder returns a Responder. Its log lines are sampled, so that a flood of
// rejected requests does not flood the log.
func NewResponder(logger *eventlog.Logger) Responder { return Responder{logger: logger} }

// ReadBody reads a request body of at most limit bytes. On failure it writes the error
// response and returns false.
func (a Responder) ReadBody(writer http.ResponseWriter, request *http.Request, limit int64) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		a.logRefusal(request, http.StatusRequestEntityTooLarge, err)
		http.Error(writer, "body is too large", http.StatusRequestEntityTooLarge)
		return nil, false
	}
	if err != nil {
		a.logRefusal(request, http.StatusBadRequest, err)
		http.Error(writer, "body is not whole", http.StatusBadRequest)
		return nil, false
	}
	return body, true
}

// HandleBody returns a handler that reads the request body, calls act with a deadline
// and writes the response for its error.
func (a Responder) HandleBody(limit int64, timeout time.Duration, act func(ctx context.Context, request *http.Request, body []byte) error) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		body, ok := a.ReadBody(writer, request, limit)
		if !ok {
			return
		}
		ctx, cancel := context.WithTimeout(request.Context(), timeout)
		defer cancel()
		a.Respond(writer, request, act(ctx, request, body))
	}
}

// Unavailable responds with 503 and a Retry-After header; the reason is only logged.
func (a Responder) Unavailable(writer http.ResponseWriter, request *http.Request, reason error) {
	a.logRefusal(request, http.StatusServiceUnavailable, reason)
	writer.Header().Set("Retry-After", retryAfterSeconds)
	http.Error(writer, "not taken", http.StatusServiceUnavailable)
}

// Respond writes the response for err: 200 for nil, 400 for a directory.Problem, and 503
// for any other error, after which the client may retry.
func (a Responder) Respond(writer http.ResponseWriter, request *http.Request, err error) {
	var problem *directory.Problem
	switch {
	case err == nil:
		WriteJSON(writer, http.StatusOK, []byte("{}"))
	case errors.As(err, &problem):
		a.BadRequest(writer, request, problem)
	default:
		a.Unavailable(writer, request, err)
	}
}

// BadRequest responds with 400 and the text of err.
func (a Responder) BadRequest(writer http.ResponseWriter, request *http.Request, err error) {
	a.logRefusal(request, http.StatusBadRequest, err)
	http.Error(writer, err.Error(), http.StatusBadRequest)
}

func (a Responder) logRefusal(request *http.Request, status int, reason error) {
	a.logger.Sampled(eventlog.CallRefused, "call", request.Method+" "+truncate(request.URL.Path, loggedPathBytes),
		"from", request.RemoteAddr, "status", status, "reason", truncate(reason.Error(), loggedReasonBytes))
}

// truncate returns the beginning of a text, of so many bytes at most.
func truncate(text string, limit int) string {
	return strings.ToValidUTF8(text[:min(len(text), limit)], "")
}

// WriteJSONAndClose writes a JSON response and closes the connection: the client sends
// its later requests elsewhere, and an idle connection costs memory and a descriptor.
func WriteJSONAndClose(writer http.ResponseWriter, status int, body []byte) {
	writer.Header().Set("Connection", "close")
	WriteJSON(writer, status, body)
}

// WriteJSON writes a response with a status code and a JSON body.
func WriteJSON(writer http.ResponseWriter, status int, body []byte) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_, _ = writer.Write(body)
}
