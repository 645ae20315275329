package speed

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// sampled returns the sums of a target with a relative time, whose requests' work differs.
func sampleSums(random *rand.Rand, relative float64, samples int) Sums {
	const spread = 0.6
	var sums Sums
	for range samples {
		sums.Add(math.Log(relative) + spread*random.NormFloat64())
	}
	return sums
}

func TestEstimateOfEqualTargets(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		var targets []Sums
		for range 120 {
			targets = append(targets, sampleSums(random, 1, 1+random.IntN(60)))
		}
		told := 0
		for _, estimate := range Estimate(targets) {
			if Step(0).Next(estimate) != 0 {
				told++
			}
		}
		assert.LessOrEqual(t, told, 6, "a twentieth by chance, seed %d", seed)
	}
}

func TestEstimateOfUnequalTargets(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 1))
	times := []float64{1 / 1.6, 1, 1 / 0.6}
	var targets []Sums
	mean := 0.0
	for number := range 120 {
		targets = append(targets, sampleSums(random, times[number%3], 100))
		mean += math.Log(times[number%3]) / 120
	}
	for number, estimate := range Estimate(targets) {
		assert.InDelta(t, math.Log(times[number%3])-mean, estimate, 0.25)
	}
}

func TestEstimateShrinksSparseSamples(t *testing.T) {
	random := rand.New(rand.NewPCG(4, 1))
	var targets []Sums
	for number := range 40 {
		targets = append(targets, sampleSums(random, []float64{0.5, 2}[number%2], 50))
	}
	targets = append(targets, Sums{Count: 1, Total: 2, Squares: 4}, Sums{})
	estimates := Estimate(targets)
	assert.Less(t, estimates[40], 1.5, "one sample of two")
	assert.InDelta(t, 0, estimates[41], 0.1, "none")
}

func TestEstimateOfSingleTarget(t *testing.T) {
	assert.Equal(t, []float64{0}, Estimate([]Sums{{Count: 50, Total: 70, Squares: 110}}))
	assert.Empty(t, Estimate(nil))
}

// Words that claim no squares at all do not make the others' samples more certain.
func TestVarianceIgnoresUnderstatedSquares(t *testing.T) {
	random := rand.New(rand.NewPCG(6, 1))
	var targets []Sums
	for range 40 {
		targets = append(targets, sampleSums(random, 1, 20))
	}
	honest := variance(targets)
	for range 40 {
		targets = append(targets, Sums{Count: 16, Total: 16 * MaxSample})
	}
	assert.GreaterOrEqual(t, variance(targets), honest/2)
}

// A table's total is that of the newest words, whatever was told before, how often and in
// which order.
func TestTotalMatchesNewestReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable[int](HalfLife)
		newest := map[int]timedSums{}
		now := kernel.Instant(0)
		for range rapid.IntRange(1, 40).Draw(t, "words") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			source := rapid.IntRange(0, 4).Draw(t, "source")
			word := Sums{Count: rapid.Float64Range(0, 30).Draw(t, "count")}
			word.Total = word.Count * rapid.Float64Range(-MaxSample, MaxSample).Draw(t, "mean")
			for range rapid.IntRange(1, 3).Draw(t, "times") {
				table.Record(now, source, 7, word)
			}
			newest[source] = timedSums{Sums: word, at: now}
			if rapid.Bool().Draw(t, "sweep") {
				table.Sweep(now)
			}
		}
		table.RetainSources(now, func(source int) bool { return source > 0 })
		delete(newest, 0)
		var want Sums
		for _, word := range newest {
			want = want.Plus(word.Decayed(now.Sub(word.at), HalfLife))
		}
		total := table.Total(now, 7)
		slack := MinCount*MaxSample*5 + 1e-6
		assert.InDelta(t, want.Count, total.Count, slack)
		assert.InDelta(t, want.Total, total.Total, slack)
	})
}

func TestTotalDecays(t *testing.T) {
	table := NewTable[string](HalfLife)
	table.Record(0, "a", 7, Sums{Count: 8, Total: 8, Squares: 8})
	later := kernel.Instant(0).Add(HalfLife)
	assert.InDelta(t, 4, table.Total(later, 7).Count, 1e-9)
	assert.InDelta(t, 1, table.Total(later, 7).Mean(), 1e-9)
	table.Sweep(later.Add(10 * HalfLife))
	assert.Empty(t, table.Tokens())
}

func TestReportRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sums Sums
		for range rapid.IntRange(1, 50).Draw(t, "samples") {
			sums.Add(rapid.Float64Range(-3, 3).Draw(t, "sample"))
		}
		token := directory.Token(rapid.Uint32().Draw(t, "token"))
		frame := ReportFrame("m", []Report{{Token: token, Sums: sums}})
		message, err := Decode(frame.Payload)
		require.NoError(t, err)
		require.Len(t, message.Reports, 1)
		word := message.Reports[0]
		assert.Equal(t, token, word.Token)
		assert.InDelta(t, sums.Count, word.Count, countUnit)
		assert.InDelta(t, sums.Mean(), word.Mean(), meanUnit)
		assert.InDelta(t, sums.Squares/sums.Count, word.Squares/word.Count, squareUnit)
	})
}

func TestTargetStepRoundTrip(t *testing.T) {
	list := []TargetStep{{Token: 7, Step: -32}, {Token: 8, Step: 0}, {Token: 9, Step: 32}}
	message, err := Decode(StepFrame(5, list).Payload)
	require.NoError(t, err)
	assert.Equal(t, Message{FromLeader: true, Term: 5, Steps: list}, message)
}

// Whatever a node or member sends, its words stay within bounds.
func FuzzDecode(f *testing.F) {
	f.Add(ReportFrame("m", []Report{{Token: 1, Sums: Sums{Count: 3, Total: 2, Squares: 2}}}).Payload)
	f.Add(StepFrame(1, []TargetStep{{Token: 1, Step: 3}}).Payload)
	f.Add(StepFrame(1, []TargetStep{{Token: 1, Step: math.MaxInt8}, {Token: 2, Step: math.MinInt8}}).Payload)
	f.Fuzz(func(t *testing.T, payload []byte) {
		message, err := Decode(payload)
		if err != nil {
			return
		}
		for _, word := range message.Reports {
			assert.LessOrEqual(t, math.Abs(word.Total), word.Count*(MaxSample+2*meanUnit))
			assert.GreaterOrEqual(t, word.Count, 0.0)
		}
		for _, told := range message.Steps {
			assert.LessOrEqual(t, math.Abs(math.Log(told.Step.TimeRatio())), MaxSample+1e-9)
		}
	})
}

func TestStepHysteresis(t *testing.T) {
	assert.Equal(t, Step(0), Step(0).Next(1.0/stepsPerUnit))
	assert.Equal(t, Step(8), Step(0).Next(0.5))
	assert.Equal(t, Step(8), Step(8).Next(0.45))
	assert.Equal(t, Step(maxStep), Step(0).Next(9))
	assert.InDelta(t, 1.65, Step(8).TimeRatio(), 0.01)
	assert.Equal(t, wire.FrameSpeeds, StepFrame(1, nil).Kind)
}
