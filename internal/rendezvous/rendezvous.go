// Package rendezvous shares keys out among nodes by their weights (rendezvous
// hashing; Thaler and Ravishankar, 1998): each node draws a cost for a key, and the
// least cost has it. When a node comes, goes or changes its weight, only keys that it
// has or gets change hands.
package rendezvous

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Node takes part in the draw.
type Node struct {
	// Seed tells the node from others.
	Seed uint64
	// Weight is the node's part of all keys against that of the others. A node
	// without a weight gets none while another has one.
	Weight float64
}

// Hash returns the number of a name, for seeds and keys.
func Hash(name string) uint64 { return xxhash.Sum64String(name) }

// pointUnit is the distance between two points of a draw.
const pointSpacing = 1.0 / (1 << 53)

// point returns a node's draw for a key, above 0 and below 1 (the finalizer of
// SplitMix64).
func uniform(seed, key uint64) float64 {
	mixed := seed ^ key
	mixed = (mixed ^ mixed>>30) * 0xbf58476d1ce4e5b9
	mixed = (mixed ^ mixed>>27) * 0x94d049bb133111eb
	mixed ^= mixed >> 31
	return (float64(mixed>>11) + 0.5) * pointSpacing
}

// cost turns a draw into a node's cost. It is exponentially distributed with the weight
// as its rate, so that the least cost is a node's as often as its weight says.
func cost(drawn, weight float64) float64 { return -math.Log1p(-drawn) / weight }

// Best returns the position of the node that has a key, or -1 when there is none.
func Best(nodes []Node, key uint64) int {
	var room [1]candidate
	best := lowestCosts(nodes, key, room[:0])
	if len(best) == 0 {
		return -1
	}
	return best[0].position
}

// BestN returns the positions of the nodes with the least costs for a key, so many at
// most, the least first.
func BestN(nodes []Node, key uint64, limit int) []int {
	var positions []int
	for _, chosen := range lowestCosts(nodes, key, make([]candidate, 0, max(0, min(limit, len(nodes))))) {
		positions = append(positions, chosen.position)
	}
	return positions
}

// candidate is a node that may be among the first.
type candidate struct {
	cost     float64
	position int
}

// first fills best up to its capacity.
func lowestCosts(nodes []Node, key uint64, best []candidate) []candidate {
	if cap(best) == 0 {
		return best
	}
	for position, node := range nodes {
		drawn := uniform(node.Seed, key)
		// A cost is never below the draw by the weight, which takes no logarithm.
		if len(best) == cap(best) && drawn >= best[len(best)-1].cost*node.Weight {
			continue
		}
		best = insert(best, candidate{cost: cost(drawn, node.Weight), position: position})
	}
	return best
}

// insert puts a candidate in its place. Where there is no room the last one goes.
func insert(best []candidate, next candidate) []candidate {
	at, _ := slices.BinarySearchFunc(best, next, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	if at == cap(best) {
		return best
	}
	return slices.Insert(best[:min(len(best), cap(best)-1)], at, next)
}
