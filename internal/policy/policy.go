// Package policy runs the operators' policy programs: short Starlark programs
// without input or output and with a limit on their steps. They run in the
// control plane, off the path of the packets, and turn samples of health and
// load into weights and verdicts.
package policy

import (
	"embed"
	"fmt"
	"path"
	"strings"
	"time"

	"go.starlark.net/starlark"
	"go.starlark.net/starlarkstruct"
	"go.starlark.net/syntax"

	"github.com/beamdoor/beamdoor/internal/steperror"
)

// StepLimit is the largest number of computation steps of one call.
const StepLimit = 100_000

// MaxWeight is the largest weight of a target.
const MaxWeight = 255

// BuiltinPrefix starts the names of the programs that come with beamdoor.
const BuiltinPrefix = "builtin/"

// The functions that a program defines.
const (
	weightFunction = "weight"
	leaveFunction  = "leave_alone"
)

//go:embed builtin/*.star
var builtinFiles embed.FS

// Sample is what a program sees of one target.
type Sample struct {
	Name string `yaml:"name"`
	Zone string `yaml:"zone"`
	// Ready, Shedding, Busy, Queued, Connections and Uptime are the target's
	// own report.
	Ready       bool          `yaml:"ready"`
	Shedding    bool          `yaml:"shedding"`
	Busy        uint32        `yaml:"busy"`
	Queued      uint32        `yaml:"queued"`
	Connections uint32        `yaml:"connections"`
	Uptime      time.Duration `yaml:"uptime"`
	// Slots, Capacity and ColdStart come from the configuration.
	Slots     uint32        `yaml:"slots"`
	Capacity  uint32        `yaml:"capacity"`
	ColdStart time.Duration `yaml:"cold_start"`
	// Age is the time since the report, and Failures counts the reports
	// missed since.
	Age      time.Duration `yaml:"age"`
	Failures int           `yaml:"failures"`
}

// Verdict is what the programs decided on one target.
type Verdict struct {
	Weight   uint8
	Excluded bool
	Reason   string
}

// Program is a compiled policy program.
type Program struct {
	name    string
	weight  starlark.Callable
	leave   starlark.Callable
	globals starlark.StringDict
}

// Builtin returns the source of a program that comes with beamdoor.
func Builtin(name string) (string, error) {
	file := "builtin/" + strings.TrimPrefix(name, BuiltinPrefix) + ".star"
	source, err := builtinFiles.ReadFile(file)
	if err != nil {
		known := strings.Join(BuiltinNames(), ", ")
		return "", steperror.New("policy.builtin", "", fmt.Sprintf("no built-in policy %q; known: %s", name, known))
	}
	return string(source), nil
}

// BuiltinNames returns the names of the programs that come with beamdoor.
func BuiltinNames() []string {
	entries, err := builtinFiles.ReadDir("builtin")
	if err != nil {
		return nil
	}
	var names []string
	for _, entry := range entries {
		name := strings.TrimSuffix(entry.Name(), path.Ext(entry.Name()))
		names = append(names, BuiltinPrefix+name)
	}
	return names
}

// Compile checks a program and prepares it for calls. It must define
// weight(target) or leave_alone(target), or both.
func Compile(name, source string) (*Program, error) {
	const step = "policy.compile"
	thread := newThread(name)
	options := &syntax.FileOptions{While: false, Recursion: false}
	globals, err := starlark.ExecFileOptions(options, thread, name, source, nil)
	if err != nil {
		return nil, steperror.Wrap(step, name, err)
	}
	globals.Freeze()
	program := &Program{name: name, globals: globals}
	program.weight, _ = globals[weightFunction].(starlark.Callable)
	program.leave, _ = globals[leaveFunction].(starlark.Callable)
	if program.weight == nil && program.leave == nil {
		return nil, steperror.New(step, name, "program defines neither weight(target) nor leave_alone(target)")
	}
	return program, nil
}

func newThread(name string) *starlark.Thread {
	thread := &starlark.Thread{Name: name, Print: func(*starlark.Thread, string) {}}
	thread.SetMaxExecutionSteps(StepLimit)
	return thread
}

// DefinesWeight reports whether the program defines weight(target).
func (p *Program) DefinesWeight() bool { return p.weight != nil }

// DefinesLeaveAlone reports whether the program defines leave_alone(target).
func (p *Program) DefinesLeaveAlone() bool { return p.leave != nil }

// Weight calls weight(target); the result is from 0 to MaxWeight.
func (p *Program) Weight(sample Sample) (uint8, error) {
	const step = "policy.weight"
	if p.weight == nil {
		return 0, steperror.New(step, p.name, "program does not define weight(target)")
	}
	result, err := starlark.Call(newThread(p.name), p.weight, starlark.Tuple{sampleValue(sample)}, nil)
	if err != nil {
		return 0, steperror.Wrap(step, p.name, err)
	}
	number, err := starlark.AsInt32(result)
	if err != nil {
		return 0, steperror.New(step, p.name, fmt.Sprintf("weight returned %s, want an integer", result.Type()))
	}
	if number < 0 || number > MaxWeight {
		return 0, steperror.New(step, p.name, fmt.Sprintf("weight returned %d, want 0 to %d", number, MaxWeight))
	}
	return uint8(number), nil
}

// ExclusionReason calls leave_alone(target); it returns a reason, or "" to go on.
func (p *Program) ExclusionReason(sample Sample) (string, error) {
	const step = "policy.leave_alone"
	if p.leave == nil {
		return "", steperror.New(step, p.name, "program does not define leave_alone(target)")
	}
	result, err := starlark.Call(newThread(p.name), p.leave, starlark.Tuple{sampleValue(sample)}, nil)
	if err != nil {
		return "", steperror.Wrap(step, p.name, err)
	}
	switch value := result.(type) {
	case starlark.NoneType:
		return "", nil
	case starlark.String:
		return string(value), nil
	}
	return "", steperror.New(step, p.name, fmt.Sprintf("leave_alone returned %s, want a reason or None", result.Type()))
}

func sampleValue(sample Sample) starlark.Value {
	fields := starlark.StringDict{
		"name":          starlark.String(sample.Name),
		"zone":          starlark.String(sample.Zone),
		"ready":         starlark.Bool(sample.Ready),
		"shedding":      starlark.Bool(sample.Shedding),
		"busy":          starlark.MakeInt(int(sample.Busy)),
		"queued":        starlark.MakeInt(int(sample.Queued)),
		"connections":   starlark.MakeInt(int(sample.Connections)),
		"uptime_ms":     starlark.MakeInt64(sample.Uptime.Milliseconds()),
		"slots":         starlark.MakeInt(int(sample.Slots)),
		"capacity":      starlark.MakeInt(int(sample.Capacity)),
		"cold_start_ms": starlark.MakeInt64(sample.ColdStart.Milliseconds()),
		"age_ms":        starlark.MakeInt64(sample.Age.Milliseconds()),
		"failures":      starlark.MakeInt(sample.Failures),
	}
	return starlarkstruct.FromStringDict(starlarkstruct.Default, fields)
}

// Evaluate runs a sharing and a health program on one sample.
func Evaluate(sharing, health *Program, sample Sample) (Verdict, error) {
	reason, err := health.ExclusionReason(sample)
	if err != nil {
		return Verdict{}, err
	}
	if reason != "" {
		return Verdict{Excluded: true, Reason: reason}, nil
	}
	weight, err := sharing.Weight(sample)
	if err != nil {
		return Verdict{}, err
	}
	return Verdict{Weight: weight, Excluded: weight == 0}, nil
}
