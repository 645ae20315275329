package directory

import (
	"fmt"
	"net/netip"
)

// Problem is a mistake in a configuration, an order or a setting.
type Problem struct {
	// Field names where the mistake is, for example "routes.login.timeout".
	Field  string
	Reason string
}

var _ error = (*Problem)(nil)

// Error returns the field and the reason.
func (p *Problem) Error() string { return p.Field + ": " + p.Reason }

// NewProblem returns a Problem that names the wrong value.
func NewProblem(field string, value any, reason string) error {
	return &Problem{Field: field, Reason: fmt.Sprintf("%v: %s", value, reason)}
}

// CheckAddress returns a Problem when a value is no IP number with a port.
func CheckAddress(field, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return NewProblem(field, value, "must be an IP number and a port")
	}
	return nil
}
