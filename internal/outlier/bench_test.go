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

// BenchmarkDecide is the work of a leader each 100 ms in a fleet with 3,000 targets of
// two services, of which each has served ten exchanges a second.
func BenchmarkDecide(b *testing.B) {
	benchmarkDecide(b, "v1", func(int) Report { return Report{Outcomes: directory.Outcomes{Answered: 1}} })
}

// BenchmarkDecideDuringARelease is the same while half of the targets are of a new version
// and one exchange in 100 fails.
func BenchmarkDecideDuringARelease(b *testing.B) {
	benchmarkDecide(b, "v2", func(int) Report {
		if rand.IntN(100) == 0 {
			return Report{Outcomes: directory.Outcomes{Unanswered: 1}, FailingNodes: 2, RecentFailures: 2, TopFailures: 1}
		}
		return Report{Outcomes: directory.Outcomes{Answered: 1}}
	})
}

// BenchmarkDecideWithSuspects is the same while more targets fail their work than may be
// left out, so that some are suspects each time.
func BenchmarkDecideWithSuspects(b *testing.B) {
	benchmarkDecide(b, "v1", func(number int) Report {
		if number%5 < 2 {
			return Report{Outcomes: directory.Outcomes{Unanswered: 1}, FailingNodes: 20, RecentFailures: 40, TopFailures: 4}
		}
		return Report{Outcomes: directory.Outcomes{Answered: 1}}
	})
}

func benchmarkDecide(b *testing.B, newer string, report func(number int) Report) {
	judge := NewDetector()
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
			noted := report(number)
			noted.Token = target.Token
			judge.AddReport(now, "member", noted)
		}
		judge.Decide(now, targets)
	}
}
