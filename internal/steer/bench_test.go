package steer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/beamdoor/beamdoor/internal/directory"
)

// largeService is the number of targets of the largest service of a small team.
const largeService = 120

// manyTargets returns a core with a service of many targets in three zones.
func manyTargets(t *testing.T) (*bench, []directory.Target) {
	b := booking(t)
	var targets []directory.Target
	zones := []string{"north", "middle", "south"}
	for number := range largeService {
		zone := zones[number%len(zones)]
		targets = append(targets, b.target(start, fmt.Sprint("i-", number), "booking", zone, fmt.Sprintf("10.0.0.%d:1", number+1), directory.TargetReady))
	}
	return b, targets
}

func TestTheDecisionOnAKnownFlowAllocatesNothing(t *testing.T) {
	b, targets := manyTargets(t)
	packet := following(1, targets[0].Token, 1)
	b.core.Decide(start, packet)
	now := start
	allocations := testing.AllocsPerRun(1000, func() {
		now = now.Add(time.Millisecond)
		packet.Acknowledged++
		b.core.Decide(now, packet)
	})
	assert.Zero(t, allocations)
}

func BenchmarkKnownFlow(b *testing.B) {
	bench, targets := manyTargets(&testing.T{})
	packet := following(1, targets[0].Token, 1)
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		packet.Acknowledged++
		bench.core.Decide(now, packet)
	}
}

// flowsPerReport is the number of new flows between two reports of a busy node.
const flowsPerReport = 100

func BenchmarkNewFlow(b *testing.B) {
	bench, _ := manyTargets(&testing.T{})
	now := start
	port := uint16(0)
	b.ReportAllocs()
	for b.Loop() {
		port++
		if port%flowsPerReport == 0 {
			now = now.Add(time.Minute)
			bench.core.Report(now, time.Minute)
			bench.core.Tick(now)
		}
		bench.core.Decide(now, opening(port, 0))
	}
}
