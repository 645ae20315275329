package egress

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/steer"
)

const modelSeeds = 10

// modelLoad is a number of concurrent uploads with pauses between them.
type modelLoad struct {
	uploads int
	pause   time.Duration
}

func (l modelLoad) String() string { return fmt.Sprintf("%d uploads, pause %v", l.uploads, l.pause) }

func (l modelLoad) model(seed uint64, opts ...RateOption) *linkModel {
	m := newLinkModel(seed, NewRateEstimator(modelRate, opts...))
	m.uploads, m.pause = l.uploads, l.pause
	return m
}

// fixedRate is a policy that keeps the configured rate, for comparison.
func fixedRate() RatePolicy {
	return RatePolicy{
		Decrease: func(rate, _, _ float64) float64 { return rate },
		Increase: func(reduced, _ float64, _ time.Duration) float64 { return reduced },
	}
}

// lossOnNarrowLink returns the mean loss on a link that became slower, not counting the
// first second after that.
func lossOnNarrowLink(load modelLoad, link float64, policy RatePolicy) float64 {
	total := 0.0
	for seed := range uint64(modelSeeds) {
		m := load.model(seed, WithPolicy(policy))
		m.run(3 * time.Second)
		m.link = link
		m.run(time.Second)
		total += m.lossesDuring(5 * time.Second)
	}
	return total / modelSeeds
}

func TestNarrowLinkLossFallsWithinASecond(t *testing.T) {
	loads := []modelLoad{{uploads: 6}, {uploads: 4}, {uploads: 3, pause: time.Second}, {uploads: 1, pause: time.Second}}
	for _, load := range loads {
		for _, link := range []float64{modelRate / 2, modelRate / 4} {
			fixed := lossOnNarrowLink(load, link, fixedRate())
			additive := lossOnNarrowLink(load, link, AdditiveIncrease())
			delivered := lossOnNarrowLink(load, link, DeliveredRate())
			t.Logf("%v, link %.0f B/s: loss %.3f at the configured rate, %.3f with AdditiveIncrease, %.3f with DeliveredRate",
				load, link, fixed, additive, delivered)
			assert.Less(t, delivered, 0.65*fixed)
			assert.Less(t, delivered, additive, "the default policy must lose less")
		}
	}
}

func TestRateRecoversWithinTwoSeconds(t *testing.T) {
	for _, link := range []float64{modelRate / 2, modelRate / 4} {
		for seed := range uint64(modelSeeds) {
			m := modelLoad{uploads: 6}.model(seed)
			m.link = link
			m.run(2 * time.Second)
			assert.Less(t, m.meanRate(4*time.Second), 0.8*modelRate, "link %.0f seed %d", link, seed)
			m.link = modelRate
			assert.LessOrEqual(t, m.timeUntil(1, 5*time.Second), 2*time.Second, "link %.0f seed %d", link, seed)
		}
	}
}

// Recovery takes longest after a recent reduction, because losses from before are still
// being detected.
func TestRateRecoversAfterRecentReduction(t *testing.T) {
	for _, link := range []float64{modelRate / 2, modelRate / 4} {
		var total time.Duration
		for seed := range uint64(modelSeeds) {
			m := modelLoad{uploads: 6}.model(seed)
			m.link = link
			m.run(6 * time.Second)
			m.runUntilReduced(t)
			m.link = modelRate
			took := m.timeUntil(1, 5*time.Second)
			assert.LessOrEqual(t, took, 3500*time.Millisecond, "link %.0f seed %d", link, seed)
			total += took
		}
		t.Logf("link %.0f B/s: mean recovery time %v", link, total/modelSeeds)
		assert.LessOrEqual(t, total/modelSeeds, 2*time.Second)
	}
}

func TestRateRecoversWithoutTraffic(t *testing.T) {
	m := modelLoad{uploads: 6}.model(1)
	m.link = modelRate / 4
	m.run(6 * time.Second)
	m.uploads, m.active, m.starts, m.queue = 0, nil, nil, nil
	assert.LessOrEqual(t, m.timeUntil(1, time.Minute), 10*time.Second)
}

func TestUncongestedLinkKeepsRate(t *testing.T) {
	for _, share := range []float64{0, 0.01} {
		for _, load := range []modelLoad{{uploads: 4}, {uploads: 1, pause: time.Second}} {
			for seed := range uint64(modelSeeds) {
				m := load.model(seed)
				m.lossShare = share
				m.run(20 * time.Second)
				assert.Zero(t, m.estimator.Reductions(), "%v loss %v seed %d", load, share, seed)
				assert.InDelta(t, modelRate, m.estimator.Rate(m.now), 0)
			}
		}
	}
}

func TestRandomLossKeepsMostOfRate(t *testing.T) {
	for _, share := range []float64{0.01, 0.03, 0.1} {
		for _, load := range []modelLoad{{uploads: 4}, {uploads: 1, pause: 300 * time.Millisecond}} {
			total := 0.0
			const samples = 200
			for seed := range uint64(modelSeeds) {
				m := load.model(seed)
				m.lossShare = share
				for range samples {
					m.run(50 * time.Millisecond)
					total += m.estimator.Rate(m.now) / modelRate
				}
			}
			mean := total / samples / modelSeeds
			t.Logf("%v, %.0f%% loss: mean rate %.3f", load, 100*share, mean)
			assert.GreaterOrEqual(t, mean, 0.8)
		}
	}
}

func TestDeadTargetsDoNotReduceRate(t *testing.T) {
	for _, share := range []float64{0.2, 0.5, 1} {
		for seed := range uint64(modelSeeds) {
			m := modelLoad{uploads: 8}.model(seed)
			m.deadShare = share
			m.run(10 * time.Second)
			assert.Zero(t, m.estimator.Reductions(), "share %v seed %d", share, seed)
		}
	}
}

func TestDeadLinkKeepsMinRate(t *testing.T) {
	r := NewRateEstimator(modelRate)
	now := modelStart
	for range 2000 {
		now = now.Add(5 * time.Millisecond)
		r.RecordWriteError(now)
		require.GreaterOrEqual(t, r.Rate(now), float64(minRate))
	}
	assert.InDelta(t, minRate, r.Rate(now), 0.6*minRate)
}

func TestWriteErrorsReduceRate(t *testing.T) {
	r := NewRateEstimator(modelRate)
	for range minLostPackets {
		r.RecordWriteError(modelStart)
	}
	assert.InDelta(t, modelRate, r.Rate(modelStart), 0)
	assert.Less(t, r.Rate(modelStart.Add(evaluationDelay)), modelRate)
}

func TestUnsetRateIsNotEstimated(t *testing.T) {
	r := NewRateEstimator(0)
	flow := modelFlow(1)
	r.RecordSent(modelStart, SentDatagram{Flow: flow, Data: 1, Size: 1})
	r.RecordPacket(modelStart, ReceivedPacket{Flow: flow, Data: 1})
	r.RecordWriteError(modelStart)
	assert.Zero(t, r.Rate(modelStart.Add(time.Second)))
}

func TestLinkAboveMaxRateKeepsRate(t *testing.T) {
	r := NewRateEstimator(maxEstimatedRate + 1)
	for range minLostPackets {
		r.RecordWriteError(modelStart)
	}
	assert.InDelta(t, maxEstimatedRate+1, r.Rate(modelStart.Add(evaluationDelay)), 0)
}

func TestLinkBelowMinRateIsNotRaised(t *testing.T) {
	r := NewRateEstimator(minRate / 2)
	for range minLostPackets {
		r.RecordWriteError(modelStart)
	}
	assert.InDelta(t, minRate/2, r.Rate(modelStart.Add(evaluationDelay)), 0)
}

func modelFlow(port uint16) steer.FlowKey {
	return (&linkModel{}).flowOf(port)
}

// The rate must stay within its bounds for arbitrary input in any order.
func TestRateStaysInBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		configured := rapid.Float64Range(1, 1e9).Draw(t, "configured")
		policies := []RatePolicy{AdditiveIncrease(), DeliveredRate()}
		r := NewRateEstimator(configured, WithPolicy(rapid.SampledFrom(policies).Draw(t, "policy")))
		now := modelStart
		step := func(t *rapid.T) {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "pause")))
		}
		t.Repeat(map[string]func(*rapid.T){
			"sent": func(t *rapid.T) {
				data := rapid.IntRange(0, modelPacket).Draw(t, "data")
				r.RecordSent(now, SentDatagram{Flow: anyFlow(t), Sequence: anyPosition(t), Data: data, Size: data + 68})
			},
			"arrived": func(t *rapid.T) {
				r.RecordPacket(now, ReceivedPacket{
					Flow:         anyFlow(t),
					Sequence:     anyPosition(t),
					Acknowledged: rapid.Uint32().Draw(t, "acknowledged"),
					Data:         rapid.IntRange(0, modelPacket).Draw(t, "data"),
				})
			},
			"error": func(*rapid.T) { r.RecordWriteError(now) },
			"time":  step,
			"": func(t *rapid.T) {
				rate := r.Rate(now)
				if !(rate >= min(minRate, configured) && rate <= configured) || configured > maxEstimatedRate && rate != configured {
					t.Fatalf("rate %v, configured %v", rate, configured)
				}
				if !(r.backgroundLoss >= 0 && r.backgroundLoss <= maxBackground) {
					t.Fatalf("background loss %v", r.backgroundLoss)
				}
			},
		})
	})
}

func anyFlow(t *rapid.T) steer.FlowKey {
	return modelFlow(rapid.Uint16Range(1, 3).Draw(t, "port"))
}

func anyPosition(t *rapid.T) uint32 {
	return uint32(rapid.IntRange(-5, 40).Draw(t, "position") * modelPacket)
}

func TestRateEstimatorDoesNotAllocate(t *testing.T) {
	r := NewRateEstimator(modelRate)
	now := modelStart
	flow := modelFlow(1)
	position := uint32(0)
	allocations := testing.AllocsPerRun(1000, func() {
		recordExchange(r, now, flow, position)
		now = now.Add(time.Millisecond)
		position += modelPacket
	})
	assert.Zero(t, allocations)
}

func recordExchange(r *RateEstimator, now kernel.Instant, flow steer.FlowKey, position uint32) {
	r.RecordPacket(now, ReceivedPacket{Flow: flow, Sequence: position, Acknowledged: 1, Data: modelPacket})
	r.RecordSent(now, SentDatagram{Flow: flow, Sequence: position, Data: modelPacket, Size: modelSize})
	r.Rate(now)
}

func BenchmarkRateEstimator(b *testing.B) {
	r := NewRateEstimator(modelRate)
	now := modelStart
	flow := modelFlow(1)
	position := uint32(0)
	b.ReportAllocs()
	for b.Loop() {
		recordExchange(r, now, flow, position)
		now = now.Add(time.Millisecond)
		position += modelPacket
	}
}
