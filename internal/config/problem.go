// Package config reads the files that operators write: services with their
// targets, and policy programs. Parsing fills plain structs; validation turns
// them into the objects of the administration API and reports every mistake
// at once.
package config

import (
	"fmt"
	"strings"
)

// Problem is one mistake in a file.
type Problem struct {
	File   string
	Field  string
	Value  string
	Reason string
}

// String returns the problem in one line.
func (p Problem) String() string {
	if p.Value == "" {
		return fmt.Sprintf("%s: %s: %s", p.File, p.Field, p.Reason)
	}
	return fmt.Sprintf("%s: %s: %q: %s", p.File, p.Field, p.Value, p.Reason)
}

// Problems are all mistakes of a file. It is an error when it is not empty.
type Problems struct {
	List []Problem
}

var _ error = (*Problems)(nil)

// Error returns all mistakes, a line each.
func (p *Problems) Error() string {
	lines := make([]string, 0, len(p.List))
	for _, problem := range p.List {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// Collector gathers the mistakes of one file.
type Collector struct {
	File     string
	problems Problems
}

// Add notes a mistake.
func (c *Collector) Add(field, value, reason string) {
	problem := Problem{File: c.File, Field: field, Value: value, Reason: reason}
	c.problems.List = append(c.problems.List, problem)
}

// Err returns all mistakes as one error, or nil.
func (c *Collector) Err() error {
	if len(c.problems.List) == 0 {
		return nil
	}
	return &c.problems
}
