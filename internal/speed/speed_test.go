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

// sampleSums returns the sums of random samples of a target with the given relative
// time.
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
		changed := 0
		for _, estimate := range Estimate(targets) {
			if Step(0).Next(estimate) != 0 {
				changed++
			}
		}
		assert.LessOrEqual(t, changed, 6, "at most a twentieth by chance, seed %d", seed)
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
	assert.Less(t, estimates[40], 1.5, "one sample with the value 2")
	assert.InDelta(t, 0, estimates[41], 0.1, "no samples")
}

func TestEstimateOfSingleTarget(t *testing.T) {
	assert.Equal(t, []float64{0}, Estimate([]Sums{{Count: 50, Total: 70, Squares: 110}}))
	assert.Empty(t, Estimate(nil))
}

// Reports with understated squares must not reduce the variance of other samples.
func TestVarianceIgnoresUnderstatedSquares(t *testing.T) {
	random := rand.New(rand.NewPCG(6, 1))
	var targets []Sums
	for range 40 {
		targets = append(targets, sampleSums(random, 1, 20))
	}
	before := variance(targets)
	for range 40 {
		targets = append(targets, Sums{Count: 16, Total: 16 * MaxSample})
	}
	assert.GreaterOrEqual(t, variance(targets), before/2)
}

// A total must equal the sum of the latest reports, whatever was reported before.
func TestTotalMatchesNewestReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable[int](HalfLife)
		newest := map[int]timedSums{}
		now := kernel.Instant(0)
		for range rapid.IntRange(1, 40).Draw(t, "reports") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			source := rapid.IntRange(0, 4).Draw(t, "source")
			report := Sums{Count: rapid.Float64Range(0, 30).Draw(t, "count")}
			report.Total = report.Count * rapid.Float64Range(-MaxSample, MaxSample).Draw(t, "mean")
			for range rapid.IntRange(1, 3).Draw(t, "times") {
				table.Record(now, source, 7, report)
			}
			newest[source] = timedSums{Sums: report, at: now}
			if rapid.Bool().Draw(t, "sweep") {
				table.Sweep(now)
			}
		}
		table.RetainSources(now, func(source int) bool { return source > 0 })
		delete(newest, 0)
		var want Sums
		for _, report := range newest {
			want = want.Plus(report.Decayed(now.Sub(report.at), HalfLife))
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
		report := message.Reports[0]
		assert.Equal(t, token, report.Token)
		assert.InDelta(t, sums.Count, report.Count, countUnit)
		assert.InDelta(t, sums.Mean(), report.Mean(), meanUnit)
		assert.InDelta(t, sums.Squares/sums.Count, report.Squares/report.Count, squareUnit)
	})
}

func TestTargetStepRoundTrip(t *testing.T) {
	list := []TargetStep{{Token: 7, Step: -32}, {Token: 8, Step: 0}, {Token: 9, Step: 32}}
	message, err := Decode(StepFrame(5, list).Payload)
	require.NoError(t, err)
	assert.Equal(t, Message{FromLeader: true, Term: 5, Steps: list}, message)
}

// Decoded reports and steps must be within bounds, whatever the payload.
func FuzzDecode(f *testing.F) {
	f.Add(ReportFrame("m", []Report{{Token: 1, Sums: Sums{Count: 3, Total: 2, Squares: 2}}}).Payload)
	f.Add(StepFrame(1, []TargetStep{{Token: 1, Step: 3}}).Payload)
	f.Add(StepFrame(1, []TargetStep{{Token: 1, Step: math.MaxInt8}, {Token: 2, Step: math.MinInt8}}).Payload)
	f.Fuzz(func(t *testing.T, payload []byte) {
		message, err := Decode(payload)
		if err != nil {
			return
		}
		for _, report := range message.Reports {
			assert.LessOrEqual(t, math.Abs(report.Total), report.Count*(MaxSample+2*meanUnit))
			assert.GreaterOrEqual(t, report.Count, 0.0)
		}
		for _, changed := range message.Steps {
			assert.LessOrEqual(t, math.Abs(math.Log(changed.Step.TimeRatio())), MaxSample+1e-9)
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
