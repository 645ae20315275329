package rendezvous

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func randomNodes(t *rapid.T) []Node {
	count := rapid.IntRange(1, 40).Draw(t, "count")
	nodes := make([]Node, count)
	for position := range nodes {
		nodes[position] = Node{Seed: Hash(fmt.Sprint("n-", position)), Weight: rapid.Float64Range(0.001, 100).Draw(t, "weight")}
	}
	return nodes
}

// Only the last node is removed, so that the indexes of the others stay.
func TestChangingOneNodeMovesOnlyItsKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before := randomNodes(t)
		changed := len(before) - 1
		after, grows := before[:changed], false
		if !rapid.Bool().Draw(t, "removed") {
			changed = rapid.IntRange(0, changed).Draw(t, "changed")
			after = append([]Node{}, before...)
			after[changed].Weight = rapid.Float64Range(0.001, 100).Draw(t, "changed weight")
			grows = after[changed].Weight > before[changed].Weight
		}
		for number := range 200 {
			key := Hash(fmt.Sprint("i-", number))
			ownerBefore, ownerAfter := Best(before, key), Best(after, key)
			if ownerBefore == ownerAfter {
				continue
			}
			assert.Equal(t, grows, ownerAfter == changed, "a node with more weight only gains keys, one with less only loses")
			assert.Equal(t, !grows, ownerBefore == changed)
		}
	})
}

// The search that avoids logarithms must agree with sorting all costs.
func TestBestNHasLowestCosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := randomNodes(t)
		key := rapid.Uint64().Draw(t, "key")
		limit := rapid.IntRange(0, 50).Draw(t, "limit")
		order := make([]int, len(nodes))
		for position := range nodes {
			order[position] = position
		}
		costOf := func(position int) float64 { return cost(uniform(nodes[position].Seed, key), nodes[position].Weight) }
		slices.SortFunc(order, func(a, b int) int { return cmp.Compare(costOf(a), costOf(b)) })
		assert.Equal(t, order[0], Best(nodes, key))
		best := BestN(nodes, key, limit)
		assert.Len(t, best, min(limit, len(nodes)))
		assert.True(t, slices.Equal(order[:len(best)], best))
	})
}

func TestKeysFollowTheWeights(t *testing.T) {
	const keys = 100_000
	nodes := []Node{{Hash("a"), 1}, {Hash("b"), 2}, {Hash("c"), 7}, {Hash("d"), 0}}
	counts := make([]float64, len(nodes))
	for number := range keys {
		counts[Best(nodes, Hash(fmt.Sprint("i-", number)))]++
	}
	for position, node := range nodes {
		share := node.Weight / 10
		// Five standard deviations of the sampled share.
		assert.InDelta(t, share, counts[position]/keys, 5*math.Sqrt(share*(1-share)/keys)+1e-9)
	}
}

func TestBestWithoutNodesOrWeights(t *testing.T) {
	assert.Equal(t, -1, Best(nil, 1))
	assert.Empty(t, BestN(nil, 1, 3))
	assert.Equal(t, 0, Best([]Node{{Seed: 1}}, 1), "a single node of weight 0")
}

func BenchmarkThousandNodes(b *testing.B) {
	nodes := make([]Node, 1000)
	for position := range nodes {
		nodes[position] = Node{Seed: Hash(fmt.Sprint("n-", position)), Weight: 1 + float64(position%4)}
	}
	key := Hash("i-1")
	b.Run("best", func(b *testing.B) {
		for b.Loop() {
			key++
			Best(nodes, key)
		}
	})
	b.Run("first 4", func(b *testing.B) {
		for b.Loop() {
			key++
			BestN(nodes, key, 4)
		}
	})
}
