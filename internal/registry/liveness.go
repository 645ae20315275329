package registry

import (
	"slices"
	"strings"
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

const (
	// livenessInterval is the time between two messages about targets.
	livenessInterval = 100 * time.Millisecond
	// silenceLifetime is how long a report of silence counts.
	silenceLifetime = 500 * time.Millisecond
	// nodeSilenceLifetime is the same for the report of one node.
	nodeSilenceLifetime = 250 * time.Millisecond
	// silentWeightNeeded is the weight of the evidence that is needed to hold a
	// target for lost.
	silentWeightNeeded = 4
	// silentNodesNeeded is the number of nodes that must have seen it: what
	// only one node sees may be its own fault.
	silentNodesNeeded = 2
	// judgedShareDivisor bounds the targets suspected or held for lost to one
	// part in so many of all: when more seem silent, the observers are more
	// likely at fault.
	judgedShareDivisor = 2
	// verdictsInterval is the time after which verdicts are told again though they have
	// not changed: a member that missed them, behind a cut, has them a second after it.
	verdictsInterval = time.Second
	// questionTime is how long members are asked whether a target answers
	// before it can be held for lost.
	questionTime = 250 * time.Millisecond
)

// sighting is what the leader knows of one target.
type sighting struct {
	// heardAt is when a heartbeat last came, at any member.
	heardAt kernel.Instant
	// answeredAt is when the target was last seen to answer a caller.
	answeredAt kernel.Instant
	silences   map[string]silenceReport
	// refusals are the members' reports of opening packets that it did not take, and
	// refusedAt is when there were enough of them.
	refusals  map[string]silenceReport
	refusedAt kernel.Instant
	// questionedAt is when members were first asked about the target; 0 while
	// nobody has reported its silence.
	questionedAt kernel.Instant
	lost         bool
}

func (s *sighting) lastSign() kernel.Instant { return max(s.heardAt, s.answeredAt) }

// livenessTable knows when targets were last heard from and seen to answer.
// It is not replicated: a new leader begins with the benefit of the doubt.
type livenessTable struct {
	since     kernel.Instant
	sightings map[directory.Token]*sighting
	// unsentHeard and unsentEvidence wait for the next message to the leader.
	unsentHeard    map[directory.Token]bool
	unsentEvidence map[directory.Token]bool
	verdicts       judgement
	next           kernel.Instant
	// nextVerdicts is when the leader tells its verdicts again.
	nextVerdicts kernel.Instant
}

func (l *livenessTable) reset(now kernel.Instant) {
	l.since = now
	l.sightings = map[directory.Token]*sighting{}
	l.clearUnsent()
}

func (l *livenessTable) clearUnsent() {
	l.unsentHeard = map[directory.Token]bool{}
	l.unsentEvidence = map[directory.Token]bool{}
}

func (l *livenessTable) sighting(token directory.Token) *sighting {
	known, exists := l.sightings[token]
	if !exists {
		known = &sighting{heardAt: l.since, silences: map[string]silenceReport{}}
		l.sightings[token] = known
	}
	return known
}

// judge works out the verdicts and tells the other members when they change.
func (c *Core) judge(now kernel.Instant) {
	if now.Sub(c.liveness.since) < c.settings.LostAfter {
		return
	}
	var next judgement
	c.state.EachTarget(func(target *directory.Target) {
		if target.State == directory.TargetEnded {
			return
		}
		seen := c.liveness.sighting(target.Token)
		refuses := seen.isRefusing(now)
		if refuses || now.Sub(seen.lastSign()) >= c.settings.SuspectAfter {
			next.Suspects = append(next.Suspects, target.Token)
		}
		if questioned := c.isQuestioned(now, seen); questioned || refuses {
			next.Questioned = append(next.Questioned, target.Token)
		}
		if c.isLost(now, target, seen) {
			next.Lost = append(next.Lost, target.Token)
		}
	})
	slices.Sort(next.Suspects)
	slices.Sort(next.Questioned)
	slices.Sort(next.Lost)
	limit := max(1, c.state.TargetCount()/judgedShareDivisor)
	if len(next.Lost) > limit {
		next.Lost = c.liveness.verdicts.Lost
	}
	if len(next.Suspects) > limit {
		next.Suspects = nil
	}
	next.AvoidedZones = c.avoidedZones(now)
	c.ejectOutliers(now, &next)
	c.spreadVerdicts(now, next)
}

// isQuestioned reports whether members are asked about a target: somebody has
// lately reported its silence.
func (c *Core) isQuestioned(now kernel.Instant, seen *sighting) bool {
	if seen.currentSilence(now).totalWeight() == 0 {
		seen.questionedAt = 0
		return false
	}
	if seen.questionedAt == 0 {
		seen.questionedAt = now
	}
	return true
}

// isLost reports whether a target is held for dead: flows at several nodes wait
// for its answers, and for LostAfter nobody has seen it answer or heard it.
// The verdict stands until there is a sign of life.
func (c *Core) isLost(now kernel.Instant, target *directory.Target, seen *sighting) bool {
	quiet := now.Sub(seen.lastSign())
	if seen.lost {
		seen.lost = quiet >= c.settings.LostAfter
		return seen.lost
	}
	if seen.questionedAt == 0 || now.Sub(seen.questionedAt) < questionTime {
		return false
	}
	seen.lost = quiet >= c.settings.LostAfter && seen.isSilent(now)
	if seen.lost {
		sum := seen.currentSilence(now)
		c.log(eventlog.TargetHeldLost, "target", target.ID, "token", target.Token, "weight", sum.Weight, "nodes", sum.Nodes,
			"doubtful", sum.Doubtful, "witnesses", sum.Witnesses, "heartbeat_age", now.Sub(seen.heardAt), "answer_age", now.Sub(seen.answeredAt))
	}
	return seen.lost
}

func (c *Core) spreadVerdicts(now kernel.Instant, next judgement) {
	current := &c.liveness.verdicts
	judged := next.Equal(current.Verdicts)
	repeated := !now.Before(c.liveness.nextVerdicts) && c.replica.Node.HasLease(now)
	if judged && slices.Equal(next.Questioned, current.Questioned) && !repeated {
		return
	}
	c.liveness.nextVerdicts = now.Add(verdictsInterval)
	if !judged {
		c.log(eventlog.TargetsSuspected, "suspects", tokenText(next.Suspects), "lost", tokenText(next.Lost),
			"avoided_zones", strings.Join(next.AvoidedZones, ","),
			"ejected", tokenText(next.Ejected), "probation", tokenText(next.Probation))
	}
	*current = next
	for _, member := range c.state.Members() {
		c.send(member.Address, next.frame())
	}
}

func tokenText(tokens []directory.Token) string {
	const limit = 8
	var words []string
	for _, token := range tokens {
		if len(words) == limit {
			words = append(words, "...")
			break
		}
		words = append(words, token.String())
	}
	return strings.Join(words, ",")
}

func (c *Core) receiveLiveness(now kernel.Instant, payload []byte) error {
	fromLeader, judged, seen, err := decodeLiveness(payload)
	if err != nil {
		return err
	}
	if fromLeader {
		c.liveness.verdicts = judged
		return nil
	}
	c.recordObservations(now, seen)
	return nil
}
