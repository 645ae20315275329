package outlier

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

// disturbance is a temporary failure that no version causes.
type disturbance struct {
	// common is the failure rate of all targets, zones that of the targets by zone, and
	// lossyNodes the fraction of exchanges that fail at a node.
	common     float64
	zones      map[string]float64
	lossyNodes map[int]float64
	// faults holds the failure rates of individual targets, at most a third of each
	// version.
	faults map[directory.Token]float64
}

// drawDisturbance draws one disturbance or none.
func drawDisturbance(t *rapid.T, r *release) disturbance {
	drawn := disturbance{zones: map[string]float64{}, lossyNodes: map[int]float64{}, faults: map[directory.Token]float64{}}
	switch rapid.IntRange(0, 4).Draw(t, "disturbance") {
	case 1:
		drawn.common = rapid.Float64Range(0, 1).Draw(t, "common")
	case 2:
		zone := r.targets[rapid.IntRange(0, len(r.targets)-1).Draw(t, "zone of target")].Zone
		drawn.zones[zone] = rapid.Float64Range(0, 1).Draw(t, "zone")
	case 3:
		for range rapid.IntRange(1, r.nodes/4).Draw(t, "nodes") {
			drawn.lossyNodes[rapid.IntRange(0, r.nodes-1).Draw(t, "node")] = rapid.Float64Range(0, 0.4).Draw(t, "loss")
		}
	case 4:
		drawFaults(t, r, drawn.faults)
	}
	return drawn
}

func drawFaults(t *rapid.T, r *release, faults map[directory.Token]float64) {
	targets, failing := map[string]int{}, map[string]int{}
	for _, target := range r.targets {
		targets[target.Version]++
	}
	for range rapid.IntRange(1, len(r.targets)/trimDivisor+1).Draw(t, "faults") {
		target := r.targets[rapid.IntRange(0, len(r.targets)-1).Draw(t, "target")]
		if faults[target.Token] > 0 || (failing[target.Version]+1)*trimDivisor > targets[target.Version] {
			continue
		}
		failing[target.Version]++
		faults[target.Token] = rapid.Float64Range(0, 1).Draw(t, "failure rate")
	}
}

// drawReplacementOrder draws the order in which targets are replaced, by zone or
// arbitrary.
func drawReplacementOrder(t *rapid.T, r *release) []int {
	byZone := rapid.Bool().Draw(t, "by zone")
	var order []int
	for zone := range fleetZones {
		for position := range r.targets {
			if position%fleetZones == zone {
				order = append(order, position)
			}
		}
	}
	if !byZone {
		order = rapid.Permutation(order).Draw(t, "order")
	}
	return order
}

// Failures that no version causes hold none at any point of a release or its rollback.
func TestHealthyVersionsAreNotHeld(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &release{fleet: newFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(3, 40).Draw(t, "targets"), rapid.IntRange(8, 100).Draw(t, "nodes"))}
		r.rate = rapid.Float64Range(1, 30).Draw(t, "rate")
		backgroundRate := rapid.Float64Range(0, 0.01).Draw(t, "background rate")
		warmupTime := time.Duration(rapid.IntRange(0, 6).Draw(t, "warm-up")) * time.Second
		warmAt := map[directory.Token]kernel.Instant{}
		var current disturbance
		r.failureRate = func(position, node int) float64 {
			target := r.targets[position]
			rate := max(backgroundRate, current.common, current.zones[target.Zone], current.lossyNodes[node], current.faults[target.Token])
			if r.now < warmAt[target.Token] {
				rate = max(rate, 0.5)
			}
			return rate
		}
		for position := range r.targets {
			r.replace(position, "v1")
		}
		run := func(duration time.Duration) {
			for end := r.now.Add(duration); r.now < end; {
				for position := range r.targets {
					r.targets[position].WarmingUp = r.now < warmAt[r.targets[position].Token].Add(WindowTime)
				}
				r.runRecorded(bucketDuration)
				if len(r.versionChanges) > 0 {
					t.Fatalf("a healthy version is held: %+v", r.versionChanges)
				}
			}
		}
		run(5 * time.Second)
		for _, version := range []string{"v2", "v1"} {
			order := drawReplacementOrder(t, r)
			for done := 0; done < len(order); {
				next := min(len(order), done+rapid.IntRange(1, len(order)).Draw(t, "stage"))
				for _, position := range order[done:next] {
					r.replace(position, version)
					warmAt[r.targets[position].Token] = r.now.Add(warmupTime)
				}
				done = next
				run(time.Duration(rapid.IntRange(1, 8).Draw(t, "pause")) * time.Second)
				current = drawDisturbance(t, r)
				run(4 * time.Second)
				current = disturbance{}
				run(time.Second)
			}
		}
	})
}
