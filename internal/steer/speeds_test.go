package steer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/speed"
)

const (
	// roundTrip is the time from the node to a target, on to the caller and back to the node.
	roundTrip = 8 * time.Millisecond
	// typicalWork is the time of a request at a target of normal speed.
	typicalWork = 20 * time.Millisecond
)

// speedFixture is a fixture whose requests are timed.
type speedFixture struct {
	*coreFixture
	now    kernel.Instant
	port   uint16
	tokens []directory.Token
}

func newSpeedFixture(t *testing.T) *speedFixture {
	b := newBookingFixture(t)
	return &speedFixture{coreFixture: b, now: start, tokens: b.addTargets(start, 1, 3)}
}

// open opens a flow to a target, which answers after a round trip, and returns its port.
func (b *speedFixture) open(token directory.Token) uint16 {
	b.port++
	b.core.Decide(b.now, opening(b.port, 0))
	b.now = b.now.Add(roundTrip)
	b.core.Decide(b.now, flowPacket(b.port, token, 1))
	return b.port
}

// request plays a flow of one request; the caller closes it with the whole response.
func (b *speedFixture) request(token directory.Token, work time.Duration, size uint32) {
	port := b.open(token)
	b.core.Decide(b.now, dataPacket(port, token, 1, 1, 100))
	b.now = b.now.Add(roundTrip + work)
	closing := dataPacket(port, token, 101, 1+size, 0)
	closing.Closing = true
	b.core.Decide(b.now, closing)
}

func (b *speedFixture) requests(count int, token directory.Token, work time.Duration) {
	for range count {
		b.request(token, work, typicalResponseSize)
	}
}

// learnBaseline makes typicalWork the route's baseline.
func (b *speedFixture) learnBaseline() { b.requests(2*workSampleLimit, b.tokens[0], typicalWork) }

// takeReports returns the next report of request times by target.
func (b *speedFixture) takeReports() map[directory.Token]speed.Sums {
	b.now = b.now.Add(speedReportInterval)
	reports := map[directory.Token]speed.Sums{}
	for _, report := range b.core.TakeSpeeds(b.now) {
		reports[report.Token] = report.Sums
	}
	return reports
}

func TestWorkTimeExcludesNetworkTime(t *testing.T) {
	b := newSpeedFixture(t)
	b.learnBaseline()
	b.requests(5, b.tokens[1], 2*typicalWork)
	reports := b.takeReports()
	assert.InDelta(t, 0, reports[b.tokens[0]].Mean(), 0.05)
	assert.InDelta(t, math.Ln2, reports[b.tokens[1]].Mean(), 0.15)
	assert.InDelta(t, 5, reports[b.tokens[1]].Count, 0.5)
	assert.NotContains(t, reports, b.tokens[2])
}

// Request times are relative to those of their own route.
func TestWorkTimeIsRelativeToRoute(t *testing.T) {
	b := newSpeedFixture(t)
	b.publish(b.now, 2, route("r", bookingAddress, directory.Backend{Service: "booking", Weight: 1}), route("s", otherAddress, directory.Backend{Service: "booking", Weight: 1}))
	b.learnBaseline()
	for range 2 * workSampleLimit {
		b.port++
		packet := dataPacket(b.port, b.tokens[2], 1, 1, 100)
		placed := opening(b.port, 0)
		packet.Flow.Virtual, placed.Flow.Virtual = otherAddress, otherAddress
		b.core.Decide(b.now, placed)
		b.now = b.now.Add(roundTrip)
		b.core.Decide(b.now, packet)
		b.now = b.now.Add(roundTrip + 10*typicalWork)
		packet.Sequence, packet.Size, packet.Acknowledged, packet.Closing = 101, 0, 1+typicalResponseSize, true
		b.core.Decide(b.now, packet)
	}
	assert.InDelta(t, 0, b.takeReports()[b.tokens[2]].Mean(), 0.1)
}

func TestAmbiguousTimingsAreNotSampled(t *testing.T) {
	cases := map[string]func(b *speedFixture, port uint16, token directory.Token){
		"acknowledged with the next request": func(b *speedFixture, port uint16, token directory.Token) {
			b.core.Decide(b.now, dataPacket(port, token, 1, 1, 100))
			b.now = b.now.Add(time.Second)
			b.core.Decide(b.now, dataPacket(port, token, 101, 1+typicalResponseSize, 100))
		},
		"acknowledged with the close of a reused flow": func(b *speedFixture, port uint16, token directory.Token) {
			b.core.Decide(b.now, dataPacket(port, token, 1, 1, 100))
			b.core.Decide(b.now.Add(time.Millisecond), dataPacket(port, token, 101, 1+typicalResponseSize, 100))
			b.now = b.now.Add(time.Second)
			closing := dataPacket(port, token, 201, 1+2*typicalResponseSize, 0)
			closing.Closing = true
			b.core.Decide(b.now, closing)
		},
		"retransmitted": func(b *speedFixture, port uint16, token directory.Token) {
			b.core.Decide(b.now, dataPacket(port, token, 1, 1, 100))
			b.core.Decide(b.now.Add(200*time.Millisecond), dataPacket(port, token, 1, 1, 100))
			b.now = b.now.Add(250 * time.Millisecond)
			closing := dataPacket(port, token, 101, 1+typicalResponseSize, 0)
			closing.Closing = true
			b.core.Decide(b.now, closing)
		},
		"refused immediately": func(b *speedFixture, port uint16, token directory.Token) {
			b.core.Decide(b.now, dataPacket(port, token, 1, 1, 100))
			b.now = b.now.Add(roundTrip)
			closing := dataPacket(port, token, 101, 1+typicalResponseSize/10, 0)
			closing.Closing = true
			b.core.Decide(b.now, closing)
		},
	}
	for name, play := range cases {
		t.Run(name, func(t *testing.T) {
			b := newSpeedFixture(t)
			b.learnBaseline()
			b.takeReports()
			play(b, b.open(b.tokens[1]), b.tokens[1])
			assert.NotContains(t, b.takeReports(), b.tokens[1])
		})
	}
}

// Load on all targets of a zone must not become the baseline before the leader knows of it,
// at a node whose flows all stay in that zone.
func TestLoadOnAllTargetsIsDetected(t *testing.T) {
	b := newSpeedFixture(t)
	b.learnBaseline()
	b.now = b.now.Add(6 * speed.HalfLife)
	b.requests(workSampleLimit/8, b.tokens[0], 3*typicalWork)
	assert.Greater(t, b.takeReports()[b.tokens[0]].Mean(), math.Log(3)/2)
	b.core.SetSpeeds(b.now, []speed.TargetStep{{Token: b.tokens[0], Step: speed.Step(0).Next(math.Log(3))}})
	b.requests(4*workSampleLimit, b.tokens[0], 3*typicalWork)
	assert.Greater(t, b.takeReports()[b.tokens[0]].Mean(), math.Log(3)/2, "known relative times do not change the baseline")
}

func TestOutlierSampleIsClamped(t *testing.T) {
	b := newSpeedFixture(t)
	b.learnBaseline()
	b.requests(9, b.tokens[1], typicalWork)
	b.request(b.tokens[1], time.Second, typicalResponseSize)
	assert.Less(t, b.takeReports()[b.tokens[1]].Mean(), 0.3)
}

// Many targets take several reports, and each is repeated when nothing changes.
func TestSpeedReportsAreBoundedAndRepeated(t *testing.T) {
	b := newSpeedFixture(t)
	b.learnBaseline()
	tokens := b.addTargets(b.now, 10, 3*maxTargetsPerReport)
	for _, token := range tokens {
		b.requests(4, token, typicalWork)
	}
	reports := map[directory.Token]int{}
	for range 2 * int(speedRepeatInterval/speedReportInterval) {
		batch := b.takeReports()
		assert.LessOrEqual(t, len(batch), maxTargetsPerReport)
		for token := range batch {
			reports[token]++
		}
	}
	for _, token := range tokens {
		assert.GreaterOrEqual(t, reports[token], 2)
	}
	b.now = b.now.Add(10 * speed.HalfLife)
	assert.Empty(t, b.takeReports(), "all samples have decayed")
	assert.Empty(t, b.core.speeds.sampled)
}

// A relative time expires if it is not repeated, and does not apply to a restarted target.
func TestRelativeTimeExpires(t *testing.T) {
	b := newSpeedFixture(t)
	slow := b.tokens[1]
	b.core.SetSpeeds(b.now, []speed.TargetStep{{Token: slow, Step: 8}, {Token: 12345, Step: 8}})
	entry := b.core.targets[slow]
	assert.InDelta(t, 1.65, entry.relativeTime(b.now), 0.01)
	assert.InDelta(t, 1.65, entry.relativeTime(b.now.Add(relativeTimeLifetime)), 0.01)
	assert.Equal(t, 1.0, entry.relativeTime(b.now.Add(relativeTimeLifetime+1)))
	old := entry.target
	b.apply(b.now, directory.Command{Kind: directory.CommandPutTarget, Target: directory.Target{
		ID: old.ID, StartTime: 1, Service: old.Service, Zone: old.Zone, Slots: old.Slots, State: old.State, Address: old.Address,
	}})
	started, known := b.state.Target(old.ID)
	require.True(t, known)
	require.NotEqual(t, slow, started.Token)
	assert.Equal(t, 1.0, b.core.targets[started.Token].relativeTime(b.now))
}

// New flows are distributed by rate, and each decision tells the relative time it used.
func TestNewFlowsFollowServiceRate(t *testing.T) {
	b := newSpeedFixture(t)
	b.core.settings.Chooser = &rateChoice{}
	b.core.SetSpeeds(b.now, []speed.TargetStep{{Token: b.tokens[0], Step: 11}, {Token: b.tokens[1], Step: -11}})
	counts := map[directory.Token]int{}
	for range 3000 {
		b.port++
		decision := b.core.Decide(b.now, opening(b.port, 0))
		counts[decision.Target.Token]++
		if decision.Target.Token == b.tokens[0] {
			assert.InDelta(t, 2, decision.RelativeTime, 0.02)
		}
		closing := dataPacket(b.port, decision.Target.Token, 1, 1, 0)
		closing.Reset = true
		b.core.Decide(b.now, closing)
	}
	all := 3000 / 3.5
	assert.InDelta(t, 0.5*all, counts[b.tokens[0]], 0.1*all)
	assert.InDelta(t, 2*all, counts[b.tokens[1]], 0.2*all)
}

// Ejected targets are missing capacity; warming ones and those that a retransmission has tried
// are not.
func TestOnlyMissingCapacityCausesSpill(t *testing.T) {
	const each = 10
	ids := func(prefix string, count int) []string {
		var list []string
		for number := range count {
			list = append(list, fmt.Sprint(prefix, number))
		}
		return list
	}
	cases := []struct {
		name                    string
		warming, tried, ejected []string
		least, most             float64
	}{
		{"nothing skipped", nil, nil, nil, 0, 0},
		{"half of the local zone warming up", ids("local-", each/2), nil, nil, 0, 0},
		{"local zone warming up", ids("local-", each), nil, nil, 0, 0},
		{"other zones warming up", ids("remote-", each), nil, nil, 0, 0},
		{"retransmissions", nil, ids("local-", 3), nil, 0, 0},
		{"retransmissions while the local zone warms up", ids("local-", each), ids("local-", 3), nil, 0, 0},
		{"half of the local zone ejected", nil, nil, ids("local-", each/2), 1 - spillThreshold/2, 1 - spillThreshold/2},
		{"half ejected while other zones warm up", ids("remote-", each), nil, ids("local-", each/2), 0, 1 - spillThreshold/2},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			b := newBookingFixture(t)
			tokens := map[string]directory.Token{}
			for number, id := range slices.Concat(ids("local-", each), ids("remote-", each)) {
				zone := map[bool]string{true: "north", false: "south"}[number < each]
				address := fmt.Sprintf("10.0.0.%d:1", number+1)
				if slices.Contains(test.warming, id) {
					tokens[id] = b.warmingTarget(start, id, zone, address, directory.Warmup{Remaining: time.Hour}).Token
				} else {
					tokens[id] = b.target(start, id, "booking", zone, address, directory.TargetReady).Token
				}
			}
			tokensOf := func(ids []string) []directory.Token {
				var list []directory.Token
				for _, id := range ids {
					list = append(list, tokens[id])
				}
				return list
			}
			b.core.ApplyVerdicts(directory.Verdicts{Ejected: tokensOf(test.ejected)})
			for minute := range 55 {
				now := start.Add(time.Duration(minute) * time.Minute)
				b.core.collectCandidates(now, "booking", directory.RouteRepeatable, tokensOf(test.tried))
				spill := b.core.choice.spill()
				assert.GreaterOrEqual(t, spill, test.least-1e-9, "minute %d", minute)
				assert.LessOrEqual(t, spill, test.most+1e-9, "minute %d", minute)
			}
		})
	}
}

// Targets of three speeds with widely varying requests must not count as slow, but one that
// is twenty times slower must.
func TestSlowTargetsAreNotOutliers(t *testing.T) {
	const requests, spread = 400, 0.5
	b := newSpeedFixture(t)
	random := rand.New(rand.NewPCG(5, 1))
	sums := map[directory.Token]directory.Outcomes{}
	play := func(factors [3]float64) {
		clear(sums)
		for range requests {
			for number, token := range b.tokens {
				work := float64(typicalWork) * factors[number] * math.Exp(spread*random.NormFloat64())
				b.request(token, time.Duration(work), typicalResponseSize)
			}
			for _, counted := range b.core.Report(b.now, time.Minute).Outcomes {
				sums[counted.Token] = sums[counted.Token].Add(counted)
			}
		}
	}
	play([3]float64{0.6, 1, 1.7})
	for _, token := range b.tokens {
		assert.Zero(t, sums[token].Unanswered+sums[token].Short)
		assert.LessOrEqual(t, sums[token].Slow, uint32(requests/100))
	}
	play([3]float64{20, 1, 1.7})
	assert.Greater(t, sums[b.tokens[0]].Slow, uint32(requests/4))
	assert.LessOrEqual(t, sums[b.tokens[2]].Slow, uint32(requests/100))
}
