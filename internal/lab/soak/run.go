package soak

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/beamdoor/beamdoor/internal/lab/flowrules"
)

// World is what a soak plays on. Its functions are seams: each fleet has its own.
type World struct {
	// Kinds are the faults by their names; each returns once its fault is over.
	Kinds map[string]func(Fault) error
	// Finish checks what must hold at the end, after the settling time.
	Finish func() error
	// Report returns what callers and targets have seen.
	Report func() flowrules.Report
	// Seen returns how often something else of interest was seen, by what it is; nil for
	// nothing.
	Seen func() map[string]int
}

// Options of a run.
type Options struct {
	Seed   uint64
	Length time.Duration
	Kinds  []string
	Out    io.Writer
}

// Result is what came out of a run.
type Result struct {
	Seed   uint64
	Length time.Duration
	Faults map[string]int
	Seen   map[string]int
	Report flowrules.Report
}

// Broken reports whether a promise was broken or nothing was served.
func (r Result) Broken() bool { return r.Report.Broken > 0 || r.Report.Served == 0 }

// AllKinds returns the names of a world's faults in order.
func (w World) AllKinds() []string {
	var names []string
	for name := range w.Kinds {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Run plays the schedule of a seed. It returns an error when the run could not be
// played; what was broken stands in the result.
func Run(ctx context.Context, world World, options Options) (Result, error) {
	result := Result{Seed: options.Seed, Length: options.Length, Faults: map[string]int{}}
	begin := time.Now()
	for _, fault := range Plan(options.Seed, options.Length, options.Kinds) {
		if err := sleepUntil(ctx, begin.Add(fault.At)); err != nil {
			return result, err
		}
		fmt.Fprintln(options.Out, fault)
		if err := world.Kinds[fault.Kind](fault); err != nil {
			return result, fmt.Errorf("fault %s: %w", fault.Kind, err)
		}
		result.Faults[fault.Kind]++
	}
	if err := sleepUntil(ctx, begin.Add(options.Length)); err != nil {
		return result, err
	}
	err := world.Finish()
	result.Report = world.Report()
	if world.Seen != nil {
		result.Seen = world.Seen()
	}
	return result, err
}

func sleepUntil(ctx context.Context, at time.Time) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Until(at)):
		return nil
	}
}

// Write prints a result.
func (r Result) Write(out io.Writer) {
	fmt.Fprintf(out, "seed %d, %v: asked %d, served %d (late %d), failed %d, resets %d, slowest %v\n",
		r.Seed, r.Length, r.Report.Asked, r.Report.Served, r.Report.Late, r.Report.Failed, r.Report.Resets, r.Report.Slowest.Round(time.Millisecond))
	for _, kind := range sortedKeys(r.Faults) {
		fmt.Fprintf(out, "  %d x %s\n", r.Faults[kind], kind)
	}
	for _, what := range sortedKeys(r.Seen) {
		fmt.Fprintf(out, "  seen: %d x %s\n", r.Seen[what], what)
	}
	for _, reason := range sortedKeys(r.Report.Reasons) {
		fmt.Fprintf(out, "  failed: %d: %s\n", r.Report.Reasons[reason], reason)
	}
	for _, breach := range r.Report.Breaches {
		fmt.Fprintln(out, "  BROKEN", breach)
	}
}

func sortedKeys(counts map[string]int) []string {
	var keys []string
	for key := range counts {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
