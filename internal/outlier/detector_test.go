package outlier

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

// fleet simulates a service whose targets serve exchanges from many nodes, and the
// reports of a member on them.
type fleet struct {
	random   *rand.Rand
	now      kernel.Instant
	detector *Detector
	// targets are assigned to the zones round-robin, as are the nodes.
	targets []Target
	nodes   int
	// rate is the number of exchanges per second with each target.
	rate float64
	// failureRate returns the probability that an exchange fails.
	failureRate func(target, node int) float64
	// probationRate is the number of exchanges per second with a target on probation.
	probationRate float64
	// recentFailures holds the failures of each target by node in the current spread
	// period, previousFailures those in the one before.
	recentFailures, previousFailures []map[int]uint32
	ejected                          map[directory.Token]bool
	onProbation                      map[directory.Token]bool
	changes                          []Change
	// decision is the latest decision.
	decision Decision
}

const fleetZones = 3

func newFleet(seed uint64, targets, nodes int) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 7)), now: kernel.Instant(time.Minute), detector: NewDetector(), nodes: nodes, rate: 12, probationRate: 4,
		failureRate: func(int, int) float64 { return 0.005 }, ejected: map[directory.Token]bool{}, onProbation: map[directory.Token]bool{},
	}
	for number := range targets {
		f.targets = append(f.targets, Target{Token: directory.Token(number + 1), Service: "s", Zone: fmt.Sprint("z", number%fleetZones)})
		f.recentFailures = append(f.recentFailures, map[int]uint32{})
		f.previousFailures = append(f.previousFailures, map[int]uint32{})
	}
	return f
}

// step advances the time by one bucket.
func (f *fleet) step() {
	f.now = f.now.Add(bucketDuration)
	f.rotateSpread()
	for position, target := range f.targets {
		f.report(position, target)
	}
	decision := f.detector.Decide(f.now, f.targets)
	f.decision = decision
	f.changes = append(f.changes, decision.Changes...)
	f.ejected, f.onProbation = map[directory.Token]bool{}, map[directory.Token]bool{}
	for _, token := range decision.Ejected {
		f.ejected[token] = true
	}
	for _, token := range decision.Probation {
		f.onProbation[token] = true
	}
}

func (f *fleet) report(position int, target Target) {
	rate := f.rate
	if f.ejected[target.Token] {
		rate = 0
	} else if f.onProbation[target.Token] {
		rate = f.probationRate
	}
	report := Report{Outcomes: directory.Outcomes{Token: target.Token}}
	for range f.poisson(rate * bucketDuration.Seconds()) {
		node := f.random.IntN(f.nodes)
		if f.random.Float64() < f.failureRate(position, node) {
			report.Unanswered++
			f.recentFailures[position][node]++
		} else {
			report.Answered++
		}
	}
	if report.Answered+report.Unanswered == 0 {
		return
	}
	byNode := maps.Clone(f.previousFailures[position])
	for node, failures := range f.recentFailures[position] {
		byNode[node] += failures
	}
	for node, failures := range byNode {
		report.FailingNodes++
		report.RecentFailures += failures
		if key := uint32(node); failures > report.TopFailures || failures == report.TopFailures && key < report.TopNode {
			report.TopFailures, report.TopNode = failures, key
		}
	}
	f.detector.AddReport(f.now, "m", report)
}

// spreadPeriod is the time after which the distribution of failures is rotated.
const spreadPeriod = 2 * time.Second

// rotateSpread discards old failures from the reported distribution.
func (f *fleet) rotateSpread() {
	if time.Duration(f.now)%spreadPeriod != 0 {
		return
	}
	for position := range f.recentFailures {
		f.previousFailures[position] = f.recentFailures[position]
		f.recentFailures[position] = map[int]uint32{}
	}
}

func (f *fleet) poisson(mean float64) int {
	count := 0
	for left := mean - f.random.ExpFloat64(); left > 0; left -= f.random.ExpFloat64() {
		count++
	}
	return count
}

func (f *fleet) run(duration time.Duration) {
	for end := f.now.Add(duration); f.now < end; {
		f.step()
	}
}

// ejections returns the token of each ejection, in order.
func (f *fleet) ejections() []directory.Token {
	var tokens []directory.Token
	for _, change := range f.changes {
		if change.Kind == Ejected {
			tokens = append(tokens, change.Token)
		}
	}
	return tokens
}

// timeToEjection runs until a target is ejected and returns the time it took.
func (f *fleet) timeToEjection(t *testing.T, token directory.Token) time.Duration {
	begin := f.now
	for !f.ejected[token] {
		f.step()
		require.Less(t, f.now.Sub(begin), 20*time.Second, "target %v is not ejected", token)
	}
	return f.now.Sub(begin)
}

func medianTime(times []time.Duration) time.Duration {
	slices.Sort(times)
	return times[len(times)/2]
}

// The median time to eject a failing target stays within the limit for its failure rate.
func TestFailingTargetIsEjectedPromptly(t *testing.T) {
	cases := []struct {
		name        string
		failureRate float64
		limit       time.Duration
	}{
		{"100 % fail", 1, 600 * time.Millisecond},
		{"50 % fail", 0.5, 2 * time.Second},
		{"40 % fail", 0.4, 3 * time.Second},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			var times []time.Duration
			for seed := range uint64(100) {
				f := newFleet(seed, 12, 80)
				f.run(5 * time.Second)
				f.failureRate = func(target, _ int) float64 {
					if target == 4 {
						return test.failureRate
					}
					return 0.005
				}
				times = append(times, f.timeToEjection(t, 5))
				require.Equal(t, []directory.Token{5}, f.ejections())
			}
			slices.Sort(times)
			t.Logf("median %v, longest %v", medianTime(times), times[len(times)-1])
			assert.LessOrEqual(t, medianTime(times), test.limit)
		})
	}
}

// Failures of nodes, network paths or the whole service do not eject a target.
func TestHealthyTargetsAreNotEjected(t *testing.T) {
	cases := map[string]func(f *fleet){
		"few failures": func(*fleet) {},
		"1 % fail": func(f *fleet) {
			f.failureRate = func(int, int) float64 { return 0.01 }
		},
		"10 % fail": func(f *fleet) {
			f.failureRate = func(int, int) float64 { return 0.1 }
		},
		"one node has a lossy link": func(f *fleet) {
			f.failureRate = func(_, node int) float64 {
				if node == 3 {
					return 0.9
				}
				return 0.005
			}
		},
		"a third of the nodes have lossy links": func(f *fleet) {
			f.failureRate = func(_, node int) float64 {
				if node%3 == 1 {
					return 0.3
				}
				return 0.005
			}
		},
		"failures rise during a burst": func(f *fleet) {
			f.rate = 30
			begin := f.now
			f.failureRate = func(int, int) float64 { return min(0.8, f.now.Sub(begin).Seconds()/3) }
		},
		"all fail at once": func(f *fleet) {
			f.failureRate = func(int, int) float64 { return 1 }
		},
		"a zone is partitioned": func(f *fleet) {
			f.failureRate = func(target, node int) float64 {
				if (target%fleetZones == 0) != (node%fleetZones == 0) {
					return 1
				}
				return 0.005
			}
		},
	}
	for name, begin := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(40) {
				f := newFleet(seed, 12, 80)
				f.run(5 * time.Second)
				begin(f)
				f.run(10 * time.Second)
				require.Empty(t, f.ejections(), "seed %d", seed)
			}
		})
	}
}

// When all targets of a zone fail, only half of them are ejected and none in other zones.
func TestZoneEjectionLimit(t *testing.T) {
	for seed := range uint64(40) {
		f := newFleet(seed, 12, 80)
		f.run(5 * time.Second)
		f.failureRate = func(target, _ int) float64 {
			if target%fleetZones == 0 {
				return 1
			}
			return 0.005
		}
		for range 100 {
			f.step()
			require.LessOrEqual(t, len(f.ejected)+len(f.onProbation), 2, "seed %d", seed)
			for token := range f.ejected {
				require.Zero(t, (token-1)%fleetZones, "seed %d: a healthy target", seed)
			}
		}
	}
}

// At most a third of a service's targets is ejected, however many fail.
func TestServiceEjectionLimit(t *testing.T) {
	for _, failing := range []int{3, 4, 5, 6, 9, 12} {
		for seed := range uint64(20) {
			f := newFleet(seed, 12, 80)
			f.run(5 * time.Second)
			f.failureRate = func(target, _ int) float64 {
				if target < failing {
					return 1
				}
				return 0.005
			}
			for range 100 {
				f.step()
				require.LessOrEqual(t, len(f.ejected)+len(f.onProbation), 4, "seed %d", seed)
			}
			for _, token := range f.ejections() {
				require.LessOrEqual(t, int(token), failing, "seed %d: a healthy target with %d failing", seed, failing)
			}
		}
	}
}
