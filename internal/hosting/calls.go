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

// retryAfterSeconds is told to callers whose request was not taken.
const retryAfterSeconds = "1"

const (
	// loggedPathBytes bounds what a line holds of the path that a caller chose: the
	// paths of the calls with the longest ids and zones.
	loggedPathBytes = 160
	// loggedReasonBytes bounds a reason, which may quote the caller's body.
	loggedReasonBytes = 400
)

// Responder answers calls and logs those that it refuses, with the reason that the
// caller does not see.
type Responder struct{ logger *eventlog.Logger }

// NewResponder returns answers that are logged. Lines are sampled: a storm of calls
// costs no more than a fixed number of them a second.
func NewResponder(logger *eventlog.Logger) Responder { return Responder{logger: logger} }

// ReadBody reads the whole body of a call, or answers why it cannot be taken.
func (a Responder) ReadBody(writer http.ResponseWriter, request *http.Request, limit int64) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		a.note(request, http.StatusRequestEntityTooLarge, err)
		http.Error(writer, "body is too large", http.StatusRequestEntityTooLarge)
		return nil, false
	}
	if err != nil {
		a.note(request, http.StatusBadRequest, err)
		http.Error(writer, "body is not whole", http.StatusBadRequest)
		return nil, false
	}
	return body, true
}

// HandleBody serves calls with a body, each within a time limit: act reads the body and does
// what it asks for.
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

// Unavailable tells a caller to come again, here or elsewhere; the reason is logged.
func (a Responder) Unavailable(writer http.ResponseWriter, request *http.Request, reason error) {
	a.note(request, http.StatusServiceUnavailable, reason)
	writer.Header().Set("Retry-After", retryAfterSeconds)
	http.Error(writer, "not taken", http.StatusServiceUnavailable)
}

// Respond ends a call whose outcome must be known to hold. A mistake in the call, a
// directory.Problem, is refused; after any other error the caller may come back.
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

// BadRequest tells a caller that what it sent is wrong, and why.
func (a Responder) BadRequest(writer http.ResponseWriter, request *http.Request, err error) {
	a.note(request, http.StatusBadRequest, err)
	http.Error(writer, err.Error(), http.StatusBadRequest)
}

func (a Responder) note(request *http.Request, status int, reason error) {
	a.logger.Sampled(eventlog.CallRefused, "call", request.Method+" "+cut(request.URL.Path, loggedPathBytes),
		"from", request.RemoteAddr, "status", status, "reason", cut(reason.Error(), loggedReasonBytes))
}

// cut returns the beginning of a text, of so many bytes at most.
func cut(text string, limit int) string {
	return strings.ToValidUTF8(text[:min(len(text), limit)], "")
}

// WriteJSONAndClose answers a call with a JSON body and closes the connection: the
// caller's later calls go elsewhere, and an idle connection costs memory and a
// descriptor.
func WriteJSONAndClose(writer http.ResponseWriter, status int, body []byte) {
	writer.Header().Set("Connection", "close")
	WriteJSON(writer, status, body)
}

// WriteJSON answers a call with a JSON body.
func WriteJSON(writer http.ResponseWriter, status int, body []byte) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_, _ = writer.Write(body)
}
