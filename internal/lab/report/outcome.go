package report

import (
	"strings"

	"github.com/plgd-dev/go-coap/v3/message/codes"
)

// ReadOutcome tells what an answer to a request with an identity means for its
// caller, and which target gave it.
func ReadOutcome(code codes.Code, body, id string) (outcome Outcome, target string) {
	switch code {
	case codes.Changed:
	case codes.ServiceUnavailable:
		return NotRun, ""
	case codes.GatewayTimeout:
		return Unknown, ""
	default:
		return Wrong, ""
	}
	name, echoed, _ := strings.Cut(body, " ")
	if echoed != id {
		return Wrong, ""
	}
	return Done, name
}
