package directory

import (
	"errors"
	"net/netip"
	"strings"
)

// Check collects every mistake that is found, so that one look at a file shows them
// all. The zero value holds none.
type Check struct{ problems Problems }

// Require notes a mistake unless a value is as it must be.
func (c *Check) Require(right bool, field string, value any, reason string) {
	if !right {
		c.Add(NewProblem(field, value, reason))
	}
}

// Address notes a mistake when a value is no IP number with a port.
func (c *Check) Address(field, value string) { c.Add(CheckAddress(field, value)) }

// IP notes a mistake when a value is no IP number.
func (c *Check) IP(field, value string) {
	_, err := netip.ParseAddr(value)
	c.Require(err == nil, field, value, "must be an IP number")
}

// Add notes what another check returned. A field is named once: what follows from
// its first mistake helps nobody.
func (c *Check) Add(err error) {
	for _, problem := range problemsOf(err) {
		if !c.names(problem.Field) {
			c.problems = append(c.problems, problem)
		}
	}
}

func (c *Check) names(field string) bool {
	for _, problem := range c.problems {
		if problem.Field == field {
			return true
		}
	}
	return false
}

// Err returns Problems, or nil when no mistake was found.
func (c *Check) Err() error {
	if len(c.problems) == 0 {
		return nil
	}
	return c.problems
}

// problemsOf returns the mistakes in an error; one that is none becomes one.
func problemsOf(err error) Problems {
	var many Problems
	var one *Problem
	switch {
	case err == nil:
		return nil
	case errors.As(err, &many):
		return many
	case errors.As(err, &one):
		return Problems{one}
	default:
		return Problems{{Field: "unknown", Reason: err.Error()}}
	}
}

// Problems are several mistakes, in the order in which they were found.
type Problems []*Problem

var _ error = Problems(nil)

// Error returns one line a mistake.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for position, problem := range p {
		lines[position] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns each mistake.
func (p Problems) Unwrap() []error {
	errs := make([]error, len(p))
	for position, problem := range p {
		errs[position] = problem
	}
	return errs
}
