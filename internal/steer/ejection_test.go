package steer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

// newKindFixture returns a fixture whose only route has the given kind, with some targets.
func newKindFixture(t *testing.T, kind directory.RouteKind, count int) (*coreFixture, []directory.Token) {
	b := newFixture(t)
	r := route("r", bookingAddress, directory.Backend{Service: "booking", Weight: 1})
	r.Kind = kind
	b.publish(start, 1, r)
	return b, b.addTargets(start, 1, count)
}

func TestEjectedTargetKeepsOpenFlowsOnly(t *testing.T) {
	b, tokens := newKindFixture(t, directory.RouteRepeatable, 3)
	b.core.Decide(start, flowPacket(1, tokens[0], 5))
	assert.Empty(t, b.core.ApplyVerdicts(directory.Verdicts{Ejected: tokens[:1]}), "no flow is reset")
	for port := range uint16(60) {
		decision := b.core.Decide(start, opening(100+port, 0))
		assert.NotEqual(t, tokens[0], decision.Target.Token)
		assert.Equal(t, 1, decision.Ejected)
	}
	assert.Equal(t, ActionForward, b.core.Decide(start, flowPacket(1, tokens[0], 6)).Action)
	b.core.ApplyVerdicts(directory.Verdicts{})
	count := 0
	for port := range uint16(60) {
		if b.openFlow(start, 200+port) == tokens[0] {
			count++
		}
	}
	assert.Positive(t, count, "the target gets flows again")
}

func TestAllTargetsEjectedMeansNoneIsSkipped(t *testing.T) {
	b, tokens := newKindFixture(t, directory.RouteOnce, 3)
	b.core.ApplyVerdicts(directory.Verdicts{Ejected: tokens})
	seen := map[directory.Token]bool{}
	for port := range uint16(60) {
		decision := b.core.Decide(start, opening(100+port, 0))
		require.Equal(t, ActionForward, decision.Action)
		assert.Zero(t, decision.Ejected)
		seen[b.openFlow(start, 100+port)] = true
	}
	assert.Len(t, seen, 3)
}

// Suspected targets and those on probation are used before ejected ones, and those before
// lost ones.
func TestFallbackOrderWithoutHealthyTargets(t *testing.T) {
	cases := []struct {
		name     string
		verdicts func(tokens []directory.Token) directory.Verdicts
		want     int
	}{
		{"suspected before ejected", func(tokens []directory.Token) directory.Verdicts {
			return directory.Verdicts{Ejected: tokens[:2], Suspects: tokens[2:]}
		}, 2},
		{"probation before ejected", func(tokens []directory.Token) directory.Verdicts {
			return directory.Verdicts{Ejected: tokens[:2], Probation: tokens[2:]}
		}, 2},
		{"ejected before lost", func(tokens []directory.Token) directory.Verdicts {
			return directory.Verdicts{Ejected: tokens[1:2], Lost: []directory.Token{tokens[0], tokens[2]}}
		}, 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			b, tokens := newKindFixture(t, directory.RouteOnce, 3)
			b.core.ApplyVerdicts(test.verdicts(tokens))
			for port := range uint16(20) {
				assert.Equal(t, tokens[test.want], b.core.Decide(start, opening(port+1, 0)).Target.Token)
			}
		})
	}
}

func TestRetransmissionUsesEjectedTargetLast(t *testing.T) {
	b, tokens := newKindFixture(t, directory.RouteRepeatable, 3)
	b.core.ApplyVerdicts(directory.Verdicts{Ejected: tokens[2:]})
	seen := []directory.Token{}
	for copies := range uint32(3) {
		now := start.Add(time.Duration(copies) * 200 * time.Millisecond)
		seen = append(seen, b.core.Decide(now, opening(1, copies)).Target.Token)
	}
	assert.ElementsMatch(t, tokens[:2], seen[:2])
	assert.Equal(t, tokens[2], seen[2])
}

// countFlowsTo opens flows at regular intervals and returns how many a target got.
func (b *coreFixture) countFlowsTo(now kernel.Instant, flows int, pause time.Duration, token directory.Token) int {
	count := 0
	for number := range flows {
		at := now.Add(time.Duration(number) * pause)
		if b.openFlow(at, uint16(1000+number)) == token {
			count++
		}
	}
	return count
}

func TestProbationAdmitsOnlyRepeatableFlows(t *testing.T) {
	const flows = 20_000
	const pause = 10 * time.Millisecond
	for kind, limit := range map[directory.RouteKind]int{
		directory.RouteRepeatable: 200, directory.RouteDownload: 200,
		directory.RouteOnce: 0, directory.RouteUpload: 0, directory.RouteUnstated: 0,
	} {
		t.Run(kind.String(), func(t *testing.T) {
			b, tokens := newKindFixture(t, kind, 10)
			b.core.ApplyVerdicts(directory.Verdicts{Probation: tokens[:1]})
			count := b.countFlowsTo(start, flows, pause, tokens[0])
			assert.LessOrEqual(t, count, limit, "one flow per second for 200 s")
			if limit > 0 {
				assert.Greater(t, count, limit/3)
			}
		})
	}
}

func TestProbationAdmitsShareOfFlows(t *testing.T) {
	b, tokens := newKindFixture(t, directory.RouteRepeatable, 10)
	b.core.ApplyVerdicts(directory.Verdicts{Probation: tokens[:1]})
	const flows = 10_000
	count := b.countFlowsTo(start, flows, probationInterval, tokens[0])
	assert.InEpsilon(t, flows/10*probationShare, count, 0.2)
}

func TestProbationRefusesRetransmissions(t *testing.T) {
	b, tokens := newKindFixture(t, directory.RouteRepeatable, 10)
	b.core.ApplyVerdicts(directory.Verdicts{Probation: tokens[:1]})
	for port := range uint16(200) {
		now := start.Add(time.Duration(port) * probationInterval)
		if b.core.Decide(now, opening(port, 0)).Target.Token == tokens[0] {
			continue
		}
		retransmitted := b.core.Decide(now.Add(b.core.settings.AnswerTimeout), opening(port, 1))
		assert.NotEqual(t, tokens[0], retransmitted.Target.Token)
	}
}
