// Package rendezvous assigns keys to nodes by weighted rendezvous hashing (Thaler and
// Ravishankar, 1998). Each node has a pseudorandom cost for a key; the node with the lowest
// cost owns the key. When a node is added, removed or reweighted, only keys of that node
// move.
package rendezvous

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Node is a candidate owner of keys.
type Node struct {
	// Seed identifies the node.
	Seed uint64
	// Weight is the node's share of the keys relative to the other weights. A node of weight
	// 0 owns keys only if all nodes have weight 0.
	Weight float64
}

// Hash returns the hash of a name, for use as a seed or key.
func Hash(name string) uint64 { return xxhash.Sum64String(name) }

// pointSpacing is the distance between two adjacent results of uniform.
const pointSpacing = 1.0 / (1 << 53)

// uniform returns a pseudorandom number in (0, 1) for a node and a key, by the finalizer of
// SplitMix64.
func uniform(seed, key uint64) float64 {
	mixed := seed ^ key
	mixed = (mixed ^ mixed>>30) * 0xbf58476d1ce4e5b9
	mixed = (mixed ^ mixed>>27) * 0x94d049bb133111eb
	mixed ^= mixed >> 31
	return (float64(mixed>>11) + 0.5) * pointSpacing
}

// cost turns a uniform number into an exponentially distributed one with the weight as its
// rate. A node then has the lowest cost with a probability proportional to its weight.
func cost(drawn, weight float64) float64 { return -math.Log1p(-drawn) / weight }

// Best returns the index of the node that owns a key, or -1 without nodes.
func Best(nodes []Node, key uint64) int {
	var buffer [1]candidate
	best := lowestCosts(nodes, key, buffer[:0])
	if len(best) == 0 {
		return -1
	}
	return best[0].position
}

// BestN returns the indexes of up to limit nodes with the lowest costs for a key, in order of
// cost.
func BestN(nodes []Node, key uint64, limit int) []int {
	var positions []int
	for _, chosen := range lowestCosts(nodes, key, make([]candidate, 0, max(0, min(limit, len(nodes))))) {
		positions = append(positions, chosen.position)
	}
	return positions
}

// candidate is a node with its cost for a key.
type candidate struct {
	cost     float64
	position int
}

// lowestCosts fills best up to its capacity with the nodes of the lowest costs, in order.
func lowestCosts(nodes []Node, key uint64, best []candidate) []candidate {
	if cap(best) == 0 {
		return best
	}
	for position, node := range nodes {
		drawn := uniform(node.Seed, key)
		// The cost is at least drawn/weight. If even that is too high, the logarithm need not be
		// computed.
		if len(best) == cap(best) && drawn >= best[len(best)-1].cost*node.Weight {
			continue
		}
		best = insert(best, candidate{cost: cost(drawn, node.Weight), position: position})
	}
	return best
}

// insert adds a candidate in order of cost and drops the last one if best is full.
func insert(best []candidate, next candidate) []candidate {
	at, _ := slices.BinarySearchFunc(best, next, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	if at == cap(best) {
		return best
	}
	return slices.Insert(best[:min(len(best), cap(best)-1)], at, next)
}
