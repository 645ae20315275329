package outlier

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

// trouble is what ails a drawn fleet for a while, which is the fault of no version.
type trouble struct {
	// common is the share that fails everywhere, and zones those that fail at the targets
	// of a zone; choked are the nodes that see a share of all exchanges fail.
	common float64
	zones  map[string]float64
	choked map[int]float64
	// ill are the targets that fail by themselves: of each version a third at most.
	ill map[directory.Token]float64
}

// drawTrouble draws one trouble, or none.
func drawTrouble(t *rapid.T, r *release) trouble {
	drawn := trouble{zones: map[string]float64{}, choked: map[int]float64{}, ill: map[directory.Token]float64{}}
	switch rapid.IntRange(0, 4).Draw(t, "trouble") {
	case 1:
		drawn.common = rapid.Float64Range(0, 1).Draw(t, "common")
	case 2:
		zone := r.targets[rapid.IntRange(0, len(r.targets)-1).Draw(t, "in the zone of")].Zone
		drawn.zones[zone] = rapid.Float64Range(0, 1).Draw(t, "zone")
	case 3:
		for range rapid.IntRange(1, r.nodes/4).Draw(t, "nodes") {
			drawn.choked[rapid.IntRange(0, r.nodes-1).Draw(t, "node")] = rapid.Float64Range(0, 0.4).Draw(t, "loss")
		}
	case 4:
		drawIll(t, r, drawn.ill)
	}
	return drawn
}

func drawIll(t *rapid.T, r *release, ill map[directory.Token]float64) {
	of, sick := map[string]int{}, map[string]int{}
	for _, target := range r.targets {
		of[target.Version]++
	}
	for range rapid.IntRange(1, len(r.targets)/trimDivisor+1).Draw(t, "ill") {
		target := r.targets[rapid.IntRange(0, len(r.targets)-1).Draw(t, "which")]
		if ill[target.Token] > 0 || (sick[target.Version]+1)*trimDivisor > of[target.Version] {
			continue
		}
		sick[target.Version]++
		ill[target.Token] = rapid.Float64Range(0, 1).Draw(t, "share")
	}
}

// drawOrder draws in which order targets are replaced: zone by zone, or any.
func drawOrder(t *rapid.T, r *release) []int {
	byZone := rapid.Bool().Draw(t, "by zone")
	var order []int
	for zone := range zonesOfFleet {
		for position := range r.targets {
			if position%zonesOfFleet == zone {
				order = append(order, position)
			}
		}
	}
	if !byZone {
		order = rapid.Permutation(order).Draw(t, "order")
	}
	return order
}

// Whatever ails a fleet that is no fault of a version, none is held, at no stage of a
// release and of its rollback.
func TestNoVersionOfAHealthyFleetIsHeld(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &release{fleet: newFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(3, 40).Draw(t, "targets"), rapid.IntRange(8, 100).Draw(t, "nodes"))}
		r.rate = rapid.Float64Range(1, 30).Draw(t, "rate")
		usual := rapid.Float64Range(0, 0.01).Draw(t, "usual")
		coldFor := time.Duration(rapid.IntRange(0, 6).Draw(t, "cold")) * time.Second
		warmAt := map[directory.Token]kernel.Instant{}
		var now trouble
		r.fails = func(position, node int) float64 {
			target := r.targets[position]
			share := max(usual, now.common, now.zones[target.Zone], now.choked[node], now.ill[target.Token])
			if r.now < warmAt[target.Token] {
				share = max(share, 0.5)
			}
			return share
		}
		for position := range r.targets {
			r.replace(position, "v1")
		}
		run := func(duration time.Duration) {
			for end := r.now.Add(duration); r.now < end; {
				for position := range r.targets {
					r.targets[position].WarmingUp = r.now < warmAt[r.targets[position].Token].Add(WindowTime)
				}
				r.play(bucketTime)
				if len(r.versions) > 0 {
					t.Fatalf("a version is held: %+v", r.versions)
				}
			}
		}
		run(5 * time.Second)
		for _, version := range []string{"v2", "v1"} {
			order := drawOrder(t, r)
			for done := 0; done < len(order); {
				next := min(len(order), done+rapid.IntRange(1, len(order)).Draw(t, "stage"))
				for _, position := range order[done:next] {
					r.replace(position, version)
					warmAt[r.targets[position].Token] = r.now.Add(coldFor)
				}
				done = next
				run(time.Duration(rapid.IntRange(1, 8).Draw(t, "quiet")) * time.Second)
				now = drawTrouble(t, r)
				run(4 * time.Second)
				now = trouble{}
				run(time.Second)
			}
		}
	})
}
