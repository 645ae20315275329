package hosting

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
)

// positionParameter is the query parameter with which a caller confirms an order.
const positionParameter = "position"

// IsConfirmedOrder reports whether a request confirms an order that was received before.
func IsConfirmedOrder(request *http.Request) bool { return request.URL.Query().Has(positionParameter) }

// HandleOrder returns a handler that calls act with a deadline and the log position with which
// the caller confirms its order, or 0, and writes the response for its error. An unconfirmed
// order is redirected to the URL that confirms it, which only a caller that still waits follows.
func (a Responder) HandleOrder(timeout time.Duration, act func(ctx context.Context, request *http.Request, position uint64) error) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		position, err := confirmedPosition(request)
		if err != nil {
			a.BadRequest(writer, request, err)
			return
		}
		ctx, cancel := context.WithTimeout(request.Context(), timeout)
		defer cancel()
		err = act(ctx, request, position)
		var unconfirmed *directory.UnconfirmedOrderError
		if errors.As(err, &unconfirmed) {
			location := fmt.Sprintf("http://%s%s?%s=%d", request.Host, request.URL.EscapedPath(), positionParameter, unconfirmed.Position)
			http.Redirect(writer, request, location, http.StatusTemporaryRedirect)
			return
		}
		a.Respond(writer, request, err)
	}
}

// confirmedPosition returns the log position with which a request confirms an order, or 0 if it
// does not.
func confirmedPosition(request *http.Request) (uint64, error) {
	if !IsConfirmedOrder(request) {
		return 0, nil
	}
	value := request.URL.Query().Get(positionParameter)
	position, err := strconv.ParseUint(value, 10, 64)
	if err != nil || position == 0 {
		return 0, directory.NewProblem(positionParameter, value, "must be a log position above 0")
	}
	return position, nil
}
