// Package drawn draws token-routed deployments at random, so that the product is
// played on fleets that nobody has designed. A seed always gives the same one.
package drawn

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/beamdoor/beamdoor/internal/lab/fleetsim"
)

// Size is the class of a deployment's size.
type Size string

// The sizes.
const (
	Small  Size = "small"
	Medium Size = "medium"
	Large  Size = "large"
)

// span is an inclusive range of a drawn number.
type span struct{ least, most int }

func (s span) draw(random *rand.Rand) int { return s.least + random.IntN(s.most-s.least+1) }

// limits are the ranges of a size.
type limits struct{ edges, members, targets, callers span }

var sizes = map[Size]limits{
	Small:  {edges: span{3, 12}, members: span{3, 5}, targets: span{3, 18}, callers: span{10, 60}},
	Medium: {edges: span{13, 60}, members: span{3, 7}, targets: span{12, 60}, callers: span{40, 120}},
	Large:  {edges: span{61, 300}, members: span{5, 9}, targets: span{60, 300}, callers: span{100, 200}},
}

// zoneSpan is the number of zones of a deployment.
var zoneSpan = span{1, 6}

// Of each group of seeds, so many are large and medium; the others are small.
const (
	round        = 8
	largeSeeds   = 1
	mediumSeeds  = 2
	faultyLength = 40 * time.Second
)

// SizeOf returns the size of the deployment of a seed.
func SizeOf(seed uint64) Size {
	switch place := seed % round; {
	case place < largeSeeds:
		return Large
	case place < largeSeeds+mediumSeeds:
		return Medium
	}
	return Small
}

// Draw returns the deployment of a seed, with faults, for the simulator.
func Draw(seed uint64) fleetsim.Settings {
	random := rand.New(rand.NewPCG(seed, uint64(len(sizes))))
	chosen := sizes[SizeOf(seed)]
	drawn := fleetsim.Settings{
		Seed:      seed,
		Members:   chosen.members.draw(random),
		Edges:     chosen.edges.draw(random),
		Targets:   chosen.targets.draw(random),
		Callers:   chosen.callers.draw(random),
		Zones:     zoneSpan.draw(random),
		CrossZone: time.Duration(300+random.IntN(8000)) * time.Microsecond,
		LossOneIn: 20 + random.IntN(400),
		Length:    faultyLength,
		Faults:    true,
	}
	drawn.Tolerance = 1
	if drawn.Members >= 5 {
		drawn.Tolerance += random.IntN(2)
	}
	return drawn
}

// Describe returns a deployment in one line.
func Describe(s fleetsim.Settings) string {
	return fmt.Sprintf("%d nodes, %d members (tolerance %d), %d targets, %d callers, %d zones %v apart, one packet of %d lost",
		s.Edges, s.Members, s.Tolerance, s.Targets, s.Callers, s.Zones, s.CrossZone, s.LossOneIn)
}
