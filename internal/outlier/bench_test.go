package outlier

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

const benchTargets = 3000

// BenchmarkDecide measures one decision, with the reports before it, for 3,000 targets of
// two services, each target with ten exchanges a second.
func BenchmarkDecide(b *testing.B) {
	benchmarkDecide(b, "v1", func(int) Report { return Report{Outcomes: directory.Outcomes{Answered: 1}} })
}

// BenchmarkDecideDuringRelease is BenchmarkDecide with half of the targets on a new
// version and a failure rate of 1 %.
func BenchmarkDecideDuringRelease(b *testing.B) {
	benchmarkDecide(b, "v2", func(int) Report {
		if rand.IntN(100) == 0 {
			return Report{Outcomes: directory.Outcomes{Unanswered: 1}, FailingNodes: 2, RecentFailures: 2, TopFailures: 1}
		}
		return Report{Outcomes: directory.Outcomes{Answered: 1}}
	})
}

// BenchmarkDecideWithSuspects is BenchmarkDecide with more failing targets than may be
// ejected.
func BenchmarkDecideWithSuspects(b *testing.B) {
	benchmarkDecide(b, "v1", func(number int) Report {
		if number%5 < 2 {
			return Report{Outcomes: directory.Outcomes{Unanswered: 1}, FailingNodes: 20, RecentFailures: 40, TopFailures: 4}
		}
		return Report{Outcomes: directory.Outcomes{Answered: 1}}
	})
}

func benchmarkDecide(b *testing.B, newer string, report func(number int) Report) {
	detector := NewDetector()
	var targets []Target
	for number := range benchTargets {
		service := fmt.Sprint("service-", number%2)
		target := Target{Token: directory.Token(number + 1), Service: service, Zone: "north", Version: "v1", RegisteredAt: uint64(number), Slots: 2}
		if number >= benchTargets/2 {
			target.Version = newer
		}
		targets = append(targets, target)
	}
	now := kernel.Instant(time.Minute)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(100 * time.Millisecond)
		for number, target := range targets {
			current := report(number)
			current.Token = target.Token
			detector.AddReport(now, "member", current)
		}
		detector.Decide(now, targets)
	}
}
