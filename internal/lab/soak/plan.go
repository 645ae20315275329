// Package soak plays random faults on real processes: a schedule that a seed
// repeats, a proxy that harms connections, and a run that holds what callers and
// targets see against the rules. What the processes are is the caller's.
package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Fault is one fault of a schedule.
type Fault struct {
	// At is the time since the start of the load.
	At   time.Duration
	Kind string
	// For is how long the fault lasts, where that makes sense.
	For time.Duration
	// Pick chooses what is hit, by its remainder.
	Pick uint64
}

// String returns a line for reports.
func (f Fault) String() string {
	return fmt.Sprintf("%7.2f s  %s for %v, pick %d", f.At.Seconds(), f.Kind, f.For, f.Pick%1000)
}

const (
	shortestFault = 300 * time.Millisecond
	longestFault  = 5 * time.Second
	shortestPause = 1 * time.Second
	longestPause  = 7 * time.Second
	// settleTime is the end of a run that is left without faults.
	settleTime = 14 * time.Second
)

// Plan returns the schedule of a seed. The same seed, length and kinds give the
// same one.
func Plan(seed uint64, length time.Duration, kinds []string) []Fault {
	random := rand.New(rand.NewPCG(seed, 41))
	ordered := slices.Sorted(slices.Values(kinds))
	var plan []Fault
	at := shortestPause
	for at < length-settleTime {
		fault := Fault{At: at, Kind: ordered[random.IntN(len(ordered))], For: between(random, shortestFault, longestFault), Pick: random.Uint64()}
		plan = append(plan, fault)
		at += fault.For + between(random, shortestPause, longestPause)
	}
	return plan
}

func between(random *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(random.Int64N(int64(longest-shortest))).Round(time.Millisecond)
}

// ChooseKinds returns the kinds that a comma-separated list names, all when it is
// empty.
func ChooseKinds(list string, all []string) ([]string, error) {
	if list == "" {
		return all, nil
	}
	var chosen []string
	for _, kind := range strings.Split(list, ",") {
		if !slices.Contains(all, kind) {
			return nil, fmt.Errorf("--kinds: %q is not known; there are %s", kind, strings.Join(all, ", "))
		}
		chosen = append(chosen, kind)
	}
	return chosen, nil
}
