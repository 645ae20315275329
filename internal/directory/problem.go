package directory

import (
	"fmt"
	"net/netip"
)

// Problem is an error in a field of a configuration, an order or a setting.
type Problem struct {
	// Field is the path of the invalid field, for example "routes.login.timeout".
	Field  string
	Reason string
}

var _ error = (*Problem)(nil)

// Error returns the field and the reason.
func (p *Problem) Error() string { return p.Field + ": " + p.Reason }

// NewProblem returns a Problem whose reason includes the invalid value.
func NewProblem(field string, value any, reason string) error {
	return &Problem{Field: field, Reason: fmt.Sprintf("%v: %s", value, reason)}
}

// CheckAddress returns a Problem unless the value is an IP address with a port.
func CheckAddress(field, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return NewProblem(field, value, "must be an IP number and a port")
	}
	return nil
}
