package directory

import (
	"errors"
	"net/netip"
	"strings"
)

// Check collects all problems of a value, so that a user sees them in one run. The zero
// value is empty and ready to use.
type Check struct{ problems Problems }

// Require records a problem unless the value is valid.
func (c *Check) Require(valid bool, field string, value any, reason string) {
	if !valid {
		c.Add(NewProblem(field, value, reason))
	}
}

// Address records a problem unless the value is an IP address with a port.
func (c *Check) Address(field, value string) { c.Add(CheckAddress(field, value)) }

// IP records a problem unless the value is an IP address.
func (c *Check) IP(field, value string) {
	_, err := netip.ParseAddr(value)
	c.Require(err == nil, field, value, "must be an IP number")
}

// Add records the problems in an error of another check. Only the first problem of a
// field is kept, since later ones often follow from it.
func (c *Check) Add(err error) {
	for _, problem := range problemsOf(err) {
		if !c.hasField(problem.Field) {
			c.problems = append(c.problems, problem)
		}
	}
}

func (c *Check) hasField(field string) bool {
	for _, problem := range c.problems {
		if problem.Field == field {
			return true
		}
	}
	return false
}

// Err returns the recorded Problems, or nil if there are none.
func (c *Check) Err() error {
	if len(c.problems) == 0 {
		return nil
	}
	return c.problems
}

// problemsOf returns the problems in an error. An error of another type becomes a problem
// of the field "unknown".
func problemsOf(err error) Problems {
	var problems Problems
	var problem *Problem
	switch {
	case err == nil:
		return nil
	case errors.As(err, &problems):
		return problems
	case errors.As(err, &problem):
		return Problems{problem}
	default:
		return Problems{{Field: "unknown", Reason: err.Error()}}
	}
}

// Problems is a list of problems in the order in which they were found.
type Problems []*Problem

var _ error = Problems(nil)

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for index, problem := range p {
		lines[index] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the problems as separate errors.
func (p Problems) Unwrap() []error {
	errs := make([]error, len(p))
	for position, problem := range p {
		errs[position] = problem
	}
	return errs
}
