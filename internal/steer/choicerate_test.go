package steer

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

// The size of the simulated service.
const (
	simulatedTargets  = 120
	simulatedSlots    = 2
	simulatedQueue    = 8
	simulatedRequests = 12_000
	// simulatedSpread is the standard deviation of the logarithm of the work per request.
	simulatedSpread = 0.5
)

// simulatedTarget serves requests in the order of their arrival.
type simulatedTarget struct {
	time float64
	// freeAt is when each slot becomes free.
	freeAt     [simulatedSlots]float64
	inProgress int
	work       float64
}

// departure is the end of a request.
type departure struct {
	at           float64
	target, node int
}

type departures []departure

func (d departures) Len() int           { return len(d) }
func (d departures) Less(i, j int) bool { return d[i].at < d[j].at }
func (d departures) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }
func (d *departures) Push(x any)        { *d = append(*d, x.(departure)) }
func (d *departures) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

// simulationResult summarizes the requests of a run.
type simulationResult struct {
	mean, p99 float64
	rejected  float64
	// imbalance is the work of the busiest target divided by the mean.
	imbalance float64
}

// simulate lets nodes, each of which knows only its own waiting flows, place requests on the
// targets of a service. The load is the share of the slots that the work needs.
func simulate(chooser Chooser, nodes int, times []float64, load float64, requests int) simulationResult {
	random := rand.New(rand.NewPCG(uint64(nodes), uint64(100*load)))
	targets := make([]simulatedTarget, len(times))
	capacity := 0.0
	for number, time := range times {
		targets[number].time = time
		capacity += simulatedSlots / time
	}
	waiting := make([][]int, nodes)
	for node := range waiting {
		waiting[node] = make([]int, len(times))
	}
	var result simulationResult
	var durations []float64
	var departures departures
	candidates := make([]Candidate, len(times))
	now := 0.0
	for range requests {
		now += random.ExpFloat64() / (load * capacity)
		for len(departures) > 0 && departures[0].at <= now {
			end := heap.Pop(&departures).(departure)
			targets[end.target].inProgress--
			waiting[end.node][end.target]--
		}
		node := random.IntN(nodes)
		for number, count := range waiting[node] {
			candidates[number] = Candidate{Waiting: count, Slots: simulatedSlots, Local: true, RelativeTime: times[number]}
		}
		chosen := chooser.Choose(Choice{Candidates: candidates, LocalSlots: simulatedSlots * len(candidates)}, random)
		target := &targets[chosen]
		if target.inProgress == simulatedSlots+simulatedQueue {
			result.rejected++
			continue
		}
		work := target.time * math.Exp(simulatedSpread*random.NormFloat64()-simulatedSpread*simulatedSpread/2)
		end := target.serve(now, work)
		waiting[node][chosen]++
		heap.Push(&departures, departure{at: end, target: chosen, node: node})
		durations = append(durations, end-now)
	}
	result.rejected /= float64(requests)
	return result.summarize(durations, targets)
}

// serve assigns a request to the first free slot and returns when it ends.
func (t *simulatedTarget) serve(now, work float64) float64 {
	slot := 0
	for other := range t.freeAt {
		if t.freeAt[other] < t.freeAt[slot] {
			slot = other
		}
	}
	t.freeAt[slot] = max(t.freeAt[slot], now) + work
	t.inProgress++
	t.work += work
	return t.freeAt[slot]
}

func (s simulationResult) summarize(durations []float64, targets []simulatedTarget) simulationResult {
	slices.Sort(durations)
	sum := 0.0
	for _, time := range durations {
		sum += time
	}
	highest, total := 0.0, 0.0
	for _, target := range targets {
		highest = max(highest, target.work)
		total += target.work
	}
	s.mean = sum / float64(len(durations))
	s.p99 = durations[len(durations)*99/100]
	s.imbalance = highest / (total / float64(len(targets)))
	return s
}

// relativeTimesOf returns the relative times of targets whose speeds repeat in turn.
func relativeTimesOf(speeds ...float64) []float64 {
	times := make([]float64, simulatedTargets)
	for number := range times {
		times[number] = 1 / speeds[number%len(speeds)]
	}
	return times
}

var (
	threeSpeeds = relativeTimesOf(0.6, 1, 1.6)
	tenSpeeds   = relativeTimesOf(1, 2, 3, 4, 5, 6, 7, 8, 9, 10)
	oneSpeed    = relativeTimesOf(1)
)

// rateChoice must be faster than nearbyChoice without more rejections, and must not overload
// targets where leastDelayChoice does.
func TestChoosersOnSimulatedService(t *testing.T) {
	for name, times := range map[string][]float64{"three speeds": threeSpeeds, "ten speeds": tenSpeeds} {
		for _, nodes := range []int{8, 100, 1000} {
			for _, load := range []float64{0.1, 0.5, 0.8, 1} {
				t.Run(fmt.Sprint(name, " ", nodes, " nodes, load ", load), func(t *testing.T) {
					nearby := simulate(&nearbyChoice{}, nodes, times, load, simulatedRequests)
					byRate := simulate(&rateChoice{}, nodes, times, load, simulatedRequests)
					delay := simulate(&leastDelayChoice{}, nodes, times, load, simulatedRequests)
					two := simulate(&twoRandomChoice{}, nodes, times, load, simulatedRequests)
					t.Logf("mean, p99, rejected, imbalance: nearby %.3f, by rate %.3f, least delay %.3f, two random %.3f", nearby, byRate, delay, two)
					assert.Less(t, byRate.mean, nearby.mean)
					assert.Less(t, byRate.p99, nearby.p99)
					assert.LessOrEqual(t, byRate.rejected, nearby.rejected)
					if nodes >= 100 && load >= 0.5 {
						assert.Less(t, byRate.rejected, delay.rejected)
					}
					if nodes >= 100 && load == 0.8 {
						assert.Less(t, byRate.rejected, nearby.rejected/2, "less than half of the rejections at 80 percent load")
					}
				})
			}
		}
	}
}

// In a long run no target gets 20 percent more work than the mean.
func TestRateChoiceBalancesWork(t *testing.T) {
	const requests = 10 * simulatedRequests
	assert.Less(t, simulate(&rateChoice{}, 100, threeSpeeds, 0.8, requests).imbalance, 1.2)
	assert.Greater(t, simulate(&leastDelayChoice{}, 100, threeSpeeds, 0.8, requests).imbalance, 1.2)
}

// At equal speeds rateChoice performs like nearbyChoice.
func TestChoosersAgreeAtOneSpeed(t *testing.T) {
	for _, load := range []float64{0.5, 0.8} {
		nearby := simulate(&nearbyChoice{}, 100, oneSpeed, load, simulatedRequests)
		byRate := simulate(&rateChoice{}, 100, oneSpeed, load, simulatedRequests)
		assert.InEpsilon(t, nearby.mean, byRate.mean, 0.05)
		assert.InEpsilon(t, nearby.p99, byRate.p99, 0.1)
	}
}

// Flows stay in the zone while its targets are about as fast as others, and spill in
// proportion to the missing capacity otherwise.
func TestSpillIsProportional(t *testing.T) {
	cases := []struct {
		name                    string
		localTime               float64
		localUsable, localSlots int
		want                    float64
	}{
		{"equal", 1, 4, 4, 0},
		{"slightly slower", 1.05, 4, 4, 0},
		{"half as fast", 2, 4, 4, 1 - spillThreshold/2},
		{"one tenth as fast", 10, 4, 4, 1 - spillThreshold/10},
		{"half of them skipped", 1, 2, 4, 1 - spillThreshold/2},
		{"faster, and half skipped", 0.5, 2, 4, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			choice := Choice{LocalSlots: test.localSlots, RemoteSlots: 12}
			for range test.localUsable {
				choice.Candidates = append(choice.Candidates, Candidate{Slots: 1, Local: true, RelativeTime: test.localTime})
			}
			for range 12 {
				choice.Candidates = append(choice.Candidates, Candidate{Slots: 1, RelativeTime: 1})
			}
			assert.InDelta(t, test.want, choice.spill(), 1e-9)
			const draws = 4000
			random := rand.New(rand.NewPCG(1, 2))
			spilled := 0
			for range draws {
				if !choice.Candidates[(&rateChoice{}).Choose(choice, random)].Local {
					spilled++
				}
			}
			assert.InDelta(t, test.want, float64(spilled)/draws, 0.05)
		})
	}
}

func TestRateChoiceMatchesNearbyChoiceAtOneSpeed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var choice Choice
		for range rapid.IntRange(1, 6).Draw(t, "candidates") {
			candidate := Candidate{
				Waiting:      rapid.IntRange(0, 3).Draw(t, "waiting"),
				Slots:        rapid.IntRange(1, 3).Draw(t, "slots"),
				Local:        rapid.Bool().Draw(t, "local"),
				RelativeTime: 1,
			}
			choice.Candidates = append(choice.Candidates, candidate)
			if candidate.Local {
				choice.LocalSlots += candidate.Slots
			} else {
				choice.RemoteSlots += candidate.Slots
			}
		}
		seed := rapid.Uint64().Draw(t, "seed")
		chosen := (&rateChoice{}).Choose(choice, rand.New(rand.NewPCG(seed, 1)))
		nearby := (&nearbyChoice{}).Choose(choice, rand.New(rand.NewPCG(seed, 2)))
		assert.Equal(t, costOf(choice.Candidates[nearby]), costOf(choice.Candidates[chosen]))
	})
}

func TestChoosersAreRegistered(t *testing.T) {
	for _, id := range []kernel.PluginID{ChoiceRandom, ChoiceNearby, ChoiceByRate} {
		plugin, err := kernel.New(id)
		require.NoError(t, err)
		assert.Equal(t, id, plugin.PluginID())
	}
}
