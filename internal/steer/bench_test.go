package steer

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/speed"
)

// largeService is the number of targets of a large service.
const largeService = 120

// newLargeFixture returns a fixture with a large service in three zones.
func newLargeFixture(t *testing.T) (*coreFixture, []directory.Target) {
	b := newBookingFixture(t)
	var targets []directory.Target
	zones := []string{"north", "middle", "south"}
	for number := range largeService {
		zone := zones[number%len(zones)]
		targets = append(targets, b.target(start, fmt.Sprint("i-", number), "booking", zone, fmt.Sprintf("10.0.0.%d:1", number+1), directory.TargetReady))
	}
	return b, targets
}

func TestDecideOnKnownFlowDoesNotAllocate(t *testing.T) {
	b, targets := newLargeFixture(t)
	packet := flowPacket(1, targets[0].Token, 1)
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
	fixture, targets := newLargeFixture(&testing.T{})
	packet := flowPacket(1, targets[0].Token, 1)
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		packet.Acknowledged++
		fixture.core.Decide(now, packet)
	}
}

// flowsPerReport is the number of new flows between two reports.
const flowsPerReport = 100

func BenchmarkNewFlow(b *testing.B) {
	fixture, targets := newLargeFixture(&testing.T{})
	fixture.core.settings.Chooser = DefaultSettings().Chooser
	var reported []speed.TargetStep
	for number, target := range targets {
		reported = append(reported, speed.TargetStep{Token: target.Token, Step: speed.Step(number%3 - 1)})
	}
	fixture.core.SetSpeeds(start, reported)
	now := start
	port := uint16(0)
	b.ReportAllocs()
	for b.Loop() {
		port++
		if port%flowsPerReport == 0 {
			now = now.Add(time.Minute)
			fixture.core.Report(now, time.Minute)
			fixture.core.Tick(now)
		}
		fixture.core.Decide(now, opening(port, 0))
	}
}

// BenchmarkRollingReleaseAtBusyNode replaces targets one by one at a node with 100,000 flows;
// an ended target must not cause a scan of all flows.
func BenchmarkRollingReleaseAtBusyNode(b *testing.B) {
	const flows = 100_000
	settings := DefaultSettings()
	settings.Random = rand.New(rand.NewPCG(1, 2))
	core := New(settings)
	address := netip.MustParseAddrPort("10.0.0.1:1")
	targets := []directory.Target{{ID: "i-0", Token: 1, Service: "booking", Address: address, State: directory.TargetReady}}
	core.Update(start, directory.Update{Revision: 1, Targets: targets})
	for port := range flows {
		packet := flowPacket(uint16(port), 1, 5)
		packet.Flow.Caller = netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(port >> 16), byte(port >> 8)}), uint16(port))
		core.Decide(start, packet)
	}
	for number := range uint64(directory.EndedLimit(1)) {
		core.Update(start, directory.Update{Revision: number + 2, Targets: []directory.Target{
			{ID: "i", Token: directory.Token(number + 2), Service: "booking", Address: address, State: directory.TargetEnded},
		}})
	}
	revision := core.Revision()
	for b.Loop() {
		revision++
		core.Update(start, directory.Update{Revision: revision, Targets: []directory.Target{
			{ID: "i", Token: directory.Token(revision), Service: "booking", Address: address, State: directory.TargetEnded},
		}})
	}
}
