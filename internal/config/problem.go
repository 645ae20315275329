// Package config parses configuration files with services, their targets and policy
// programs. Validation converts the parsed structs to administration API messages
// and reports all errors at once.
package config

import (
	"fmt"
	"strings"
)

// Problem is a validation error of one field.
type Problem struct {
	File   string
	Field  string
	Value  string
	Reason string
}

// String formats the problem as "file: field: value: reason"; an empty value is omitted.
func (p Problem) String() string {
	if p.Value == "" {
		return fmt.Sprintf("%s: %s: %s", p.File, p.Field, p.Reason)
	}
	return fmt.Sprintf("%s: %s: %q: %s", p.File, p.Field, p.Value, p.Reason)
}

// Problems is an error that holds all validation errors of a file.
type Problems struct {
	List []Problem
}

var _ error = (*Problems)(nil)

// Error returns one line per problem.
func (p *Problems) Error() string {
	lines := make([]string, 0, len(p.List))
	for _, problem := range p.List {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// Collector accumulates the validation errors of one file.
type Collector struct {
	File     string
	problems Problems
}

// Add records a validation error.
func (c *Collector) Add(field, value, reason string) {
	problem := Problem{File: c.File, Field: field, Value: value, Reason: reason}
	c.problems.List = append(c.problems.List, problem)
}

// Err returns *Problems with all recorded errors, or nil if there are none.
func (c *Collector) Err() error {
	if len(c.problems.List) == 0 {
		return nil
	}
	return &c.problems
}
