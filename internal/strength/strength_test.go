package strength

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/beamdoor/beamdoor/internal/rendezvous"
	"github.com/beamdoor/beamdoor/internal/wire"
)

func nodesWithCPU(shares ...float64) []Resources {
	var nodes []Resources
	for _, share := range shares {
		nodes = append(nodes, Resources{CPUShare: share})
	}
	return nodes
}

func TestWeightsFollowCPU(t *testing.T) {
	cases := []struct {
		shares, weights []float64
		capped          int
	}{
		{nil, []float64{}, 0},
		{[]float64{0, 0}, []float64{1, 1}, 0},
		{[]float64{0.045, 0.152, 0.045}, []float64{0.045, 0.152, 0.045}, 0},
		{[]float64{0.1, 0.3, 0, 0.3}, []float64{0.1, 0.3, 0.3, 0.3}, 0},
		{[]float64{0.1, 0.1, 0.1, 1024}, []float64{0.1, 0.1, 0.1, 0.8}, 1},
		{[]float64{1024, 0, 0}, []float64{1024, 1024, 1024}, 0},
		{[]float64{0.001, 0.1, 0.1}, []float64{0.001, 0.1, 0.1}, 0},
	}
	for _, test := range cases {
		nodes := nodesWithCPU(test.shares...)
		weights := Weights(nodes)
		assert.Equal(t, test.weights, weights, test.shares)
		capped := 0
		for position, weight := range weights {
			if IsCapped(nodes[position], weight) {
				capped++
			}
		}
		assert.Equal(t, test.capped, capped, test.shares)
	}
	assert.Equal(t, 0.5, Resources{CPUShare: 0.25, CPUCores: 2}.CPU())
}

func owners(nodes []Resources) []int {
	weights := Weights(nodes)
	draws := make([]rendezvous.Node, len(nodes))
	for position, weight := range weights {
		draws[position] = rendezvous.Node{Seed: rendezvous.Hash(fmt.Sprint("n-", position)), Weight: weight}
	}
	found := make([]int, 200)
	for number := range found {
		found[number] = rendezvous.Best(draws, rendezvous.Hash(fmt.Sprint("i-", number)))
	}
	return found
}

// A key may move only from or to the changed node or nodes whose weight changed. No
// weight may exceed maxMedianMultiple times the median.
func TestResourceChangeMovesOnlyAffectedKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		classes := rapid.SampledFrom([]float64{0, 0.045, 0.152, 0.3, 1024})
		shares := rapid.OneOf(classes, rapid.Float64Range(0.01, 4000))
		before := nodesWithCPU(rapid.SliceOfN(shares, 2, 50).Draw(t, "shares")...)
		changed := rapid.IntRange(0, len(before)-1).Draw(t, "changed")
		after := append([]Resources{}, before...)
		after[changed] = Resources{CPUShare: shares.Draw(t, "other share"), CPUCores: rapid.SampledFrom([]float64{0, 1, 1000}).Draw(t, "cores")}
		weightsBefore := Weights(before)
		weightsAfter := Weights(after)
		for _, weight := range weightsAfter {
			assert.LessOrEqual(t, weight, maxMedianMultiple*medianCPU(after))
		}
		movable := func(position int) bool {
			return position == changed || weightsBefore[position] != weightsAfter[position]
		}
		ownersBefore, ownersAfter := owners(before), owners(after)
		for number := range ownersBefore {
			if ownersBefore[number] != ownersAfter[number] {
				assert.True(t, movable(ownersBefore[number]) || movable(ownersAfter[number]))
			}
		}
		if medianCPU(before) != medianCPU(after) {
			return
		}
		for position := range before {
			assert.True(t, position == changed || !movable(position), "only the changed node gets another weight")
		}
	})
}

func TestResourcesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		resources := Resources{
			CPUShare:    float64(rapid.IntRange(0, 1_000_000_000).Draw(t, "share")) / millionths,
			CPUCores:    float64(rapid.IntRange(0, 1_000_000).Draw(t, "cores")) / thousandths,
			Memory:      rapid.Int64Range(0, 1<<40).Draw(t, "memory") * kilobyte,
			Descriptors: rapid.Int64Range(0, 100_000_000).Draw(t, "descriptors"),
			LinkMbps:    float64(rapid.IntRange(0, 1_000_000_000).Draw(t, "link")) / thousandths,
			Disk:        rapid.Int64Range(0, 1<<40).Draw(t, "disk") * kilobyte,
		}
		var encoder wire.Encoder
		resources.Encode(&encoder)
		require.Len(t, encoder.Buffer, 32)
		decoder := wire.NewDecoder(encoder.Buffer)
		assert.Equal(t, resources, Decode(decoder))
		assert.NoError(t, decoder.Err("test"))
	})
}

func TestDecodeArbitraryBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Decode(wire.NewDecoder(rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "bytes")))
		assert.GreaterOrEqual(t, s.CPU(), 0.0)
		assert.GreaterOrEqual(t, s.Memory, int64(0))
		assert.GreaterOrEqual(t, s.Disk, int64(0))
		assert.Positive(t, s.MaxFlows(10, 1))
		assert.GreaterOrEqual(t, s.MaxConnections(), 0)
	})
	var encoder wire.Encoder
	Resources{CPUShare: 1e12, LinkMbps: 1e12}.Encode(&encoder)
	assert.InDelta(t, math.MaxUint32/millionths, Decode(wire.NewDecoder(encoder.Buffer)).CPUShare, 1)
}

func TestValidateNamesFieldAndRange(t *testing.T) {
	assert.EqualError(t, CPUShareRange.Validate("share", -1), "share: -1: must be 0 (not stated) or from 0.001 to 1024")
	assert.EqualError(t, DescriptorsRange.Validate("fds", 215), "fds: 215: must be 0 (not stated) or at least 216")
	assert.Error(t, CPUCoresRange.Validate("cores", math.NaN()))
	assert.Error(t, MegabytesRange.Validate("memory", math.Inf(1)))
	assert.Error(t, MegabytesRange.Validate("memory", -1))
	assert.NoError(t, MegabytesRange.Validate("disk", 0))
	assert.NoError(t, CPUShareRange.Validate("share", 0.045))
}

func TestLimitsFollowResources(t *testing.T) {
	small := Resources{Memory: 144 * megabyte, Descriptors: 3075, Disk: 100}
	assert.Equal(t, 94371, small.MaxFlows(200_000, 400))
	assert.Equal(t, 1024, small.MaxQueuedPackets(1024, 2048))
	assert.Equal(t, 2156, small.MaxConnections())
	assert.False(t, small.IsDiskNearlyFull(79, false))
	assert.True(t, small.IsDiskNearlyFull(80, false))
	assert.True(t, small.IsDiskNearlyFull(52, true), "rewriting a log does not end the state")
	assert.False(t, small.IsDiskNearlyFull(51, true))
	unlimited := Resources{Memory: MegabytesToBytes(math.MaxInt64), Descriptors: ClampDescriptors(math.MaxInt64), Disk: MegabytesToBytes(math.MaxInt64)}
	assert.Equal(t, 200_000, unlimited.MaxFlows(200_000, 400))
	assert.Greater(t, unlimited.MaxConnections(), 1_000_000_000)
	assert.False(t, unlimited.IsDiskNearlyFull(1<<40, false))
	var unset Resources
	assert.Equal(t, 200_000, unset.MaxFlows(200_000, 400))
	assert.Zero(t, unset.MaxConnections())
	assert.False(t, unset.IsDiskNearlyFull(math.MaxInt64, true))
	assert.Equal(t, 1, Resources{Memory: 1}.MaxQueuedPackets(1024, 2048))
}
