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

// fleet is a service whose targets get exchanges from many nodes. It counts as nodes
// and members do.
type fleet struct {
	random *rand.Rand
	now    kernel.Instant
	judge  *Detector
	// targets stand in three zones by turns, as do the nodes.
	targets []Target
	nodes   int
	// rate is the number of exchanges a second with each target.
	rate float64
	// fails returns the probability that an exchange fails.
	fails func(target, node int) float64
	// trickle is the number of exchanges a second with a target on probation.
	trickle float64
	// seen holds the failures of each target by node in the spread that members know,
	// and before that of the time before it.
	seen, before []map[int]uint32
	out          map[directory.Token]bool
	tried        map[directory.Token]bool
	changes      []Change
	// decision is the newest one.
	decision Decision
}

const zonesOfFleet = 3

func newFleet(seed uint64, targets, nodes int) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 7)), now: kernel.Instant(time.Minute), judge: NewDetector(), nodes: nodes, rate: 12, trickle: 4,
		fails: func(int, int) float64 { return 0.005 }, out: map[directory.Token]bool{}, tried: map[directory.Token]bool{},
	}
	for number := range targets {
		f.targets = append(f.targets, Target{Token: directory.Token(number + 1), Service: "s", Zone: fmt.Sprint("z", number%zonesOfFleet)})
		f.seen = append(f.seen, map[int]uint32{})
		f.before = append(f.before, map[int]uint32{})
	}
	return f
}

// step lets 100 ms pass.
func (f *fleet) step() {
	f.now = f.now.Add(bucketTime)
	f.turn()
	for position, target := range f.targets {
		f.report(position, target)
	}
	decision := f.judge.Decide(f.now, f.targets)
	f.decision = decision
	f.changes = append(f.changes, decision.Changes...)
	f.out, f.tried = map[directory.Token]bool{}, map[directory.Token]bool{}
	for _, token := range decision.Ejected {
		f.out[token] = true
	}
	for _, token := range decision.Probation {
		f.tried[token] = true
	}
}

func (f *fleet) report(position int, target Target) {
	rate := f.rate
	if f.out[target.Token] {
		rate = 0
	} else if f.tried[target.Token] {
		rate = f.trickle
	}
	report := Report{Outcomes: directory.Outcomes{Token: target.Token}}
	for range f.poisson(rate * bucketTime.Seconds()) {
		node := f.random.IntN(f.nodes)
		if f.random.Float64() < f.fails(position, node) {
			report.Unanswered++
			f.seen[position][node]++
		} else {
			report.Answered++
		}
	}
	if report.Answered+report.Unanswered == 0 {
		return
	}
	byNode := maps.Clone(f.before[position])
	for node, failures := range f.seen[position] {
		byNode[node] += failures
	}
	for node, failures := range byNode {
		report.FailingNodes++
		report.RecentFailures += failures
		if key := uint32(node); failures > report.TopFailures || failures == report.TopFailures && key < report.TopNode {
			report.TopFailures, report.TopNode = failures, key
		}
	}
	f.judge.AddReport(f.now, "m", report)
}

// spreadTime is how long members know the spread of failures, half of it on average.
const spreadTime = 2 * time.Second

// turn lets members forget the spread of failures as time passes.
func (f *fleet) turn() {
	if time.Duration(f.now)%spreadTime != 0 {
		return
	}
	for position := range f.seen {
		f.before[position] = f.seen[position]
		f.seen[position] = map[int]uint32{}
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

// ejections returns the targets that were left out, once for each time.
func (f *fleet) ejections() []directory.Token {
	var tokens []directory.Token
	for _, change := range f.changes {
		if change.Kind == Ejected {
			tokens = append(tokens, change.Token)
		}
	}
	return tokens
}

// timeTo returns how long it takes until a target is left out.
func (f *fleet) timeTo(t *testing.T, token directory.Token) time.Duration {
	begin := f.now
	for !f.out[token] {
		f.step()
		require.Less(t, f.now.Sub(begin), 20*time.Second, "target %v is not left out", token)
	}
	return f.now.Sub(begin)
}

func medianTime(times []time.Duration) time.Duration {
	slices.Sort(times)
	return times[len(times)/2]
}

// An ill target is left out soon: the sum over all nodes sees 12 exchanges a second.
func TestAnIllTargetIsLeftOutSoon(t *testing.T) {
	cases := []struct {
		name  string
		share float64
		limit time.Duration
	}{
		{"all fail", 1, 600 * time.Millisecond},
		{"half fail", 0.5, 2 * time.Second},
		{"two in five fail", 0.4, 3 * time.Second},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			var times []time.Duration
			for seed := range uint64(100) {
				f := newFleet(seed, 12, 80)
				f.run(5 * time.Second)
				f.fails = func(target, _ int) float64 {
					if target == 4 {
						return test.share
					}
					return 0.005
				}
				times = append(times, f.timeTo(t, 5))
				require.Equal(t, []directory.Token{5}, f.ejections())
			}
			slices.Sort(times)
			t.Logf("median %v, longest %v", medianTime(times), times[len(times)-1])
			assert.LessOrEqual(t, medianTime(times), test.limit)
		})
	}
}

// What is not the fault of a target ejects none.
func TestNobodyHealthyIsLeftOut(t *testing.T) {
	cases := map[string]func(f *fleet){
		"quiet": func(*fleet) {},
		"one in a hundred fails": func(f *fleet) {
			f.fails = func(int, int) float64 { return 0.01 }
		},
		"a tenth of all fails": func(f *fleet) {
			f.fails = func(int, int) float64 { return 0.1 }
		},
		"one node's link is choked": func(f *fleet) {
			f.fails = func(_, node int) float64 {
				if node == 3 {
					return 0.9
				}
				return 0.005
			}
		},
		"a third of the links are squeezed": func(f *fleet) {
			f.fails = func(_, node int) float64 {
				if node%3 == 1 {
					return 0.3
				}
				return 0.005
			}
		},
		"a burst": func(f *fleet) {
			f.rate = 30
			begin := f.now
			f.fails = func(int, int) float64 { return min(0.8, f.now.Sub(begin).Seconds()/3) }
		},
		"all fail at once": func(f *fleet) {
			f.fails = func(int, int) float64 { return 1 }
		},
		"a zone is cut off from the others": func(f *fleet) {
			f.fails = func(target, node int) float64 {
				if (target%zonesOfFleet == 0) != (node%zonesOfFleet == 0) {
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

// When all targets of a zone fail, half of them stay: the way to them may be at fault.
func TestOfAZoneHalfIsLeftOutAtMost(t *testing.T) {
	for seed := range uint64(40) {
		f := newFleet(seed, 12, 80)
		f.run(5 * time.Second)
		f.fails = func(target, _ int) float64 {
			if target%zonesOfFleet == 0 {
				return 1
			}
			return 0.005
		}
		for range 100 {
			f.step()
			require.LessOrEqual(t, len(f.out)+len(f.tried), 2, "seed %d", seed)
			for token := range f.out {
				require.Zero(t, (token-1)%zonesOfFleet, "seed %d: a healthy one", seed)
			}
		}
	}
}

// Of a service a third is left out at most, also when more fail.
func TestOfAServiceAThirdIsLeftOutAtMost(t *testing.T) {
	for _, ill := range []int{3, 4, 5, 6, 9, 12} {
		for seed := range uint64(20) {
			f := newFleet(seed, 12, 80)
			f.run(5 * time.Second)
			f.fails = func(target, _ int) float64 {
				if target < ill {
					return 1
				}
				return 0.005
			}
			for range 100 {
				f.step()
				require.LessOrEqual(t, len(f.out)+len(f.tried), 4, "seed %d", seed)
			}
			for _, token := range f.ejections() {
				require.LessOrEqual(t, int(token), ill, "seed %d: a healthy one of %d", seed, ill)
			}
		}
	}
}
