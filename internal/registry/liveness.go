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
	// silenceReportTTL is how long a report of silence counts.
	silenceReportTTL = 500 * time.Millisecond
	// nodeSilenceReportTTL is the same for the report of one node.
	nodeSilenceReportTTL = 250 * time.Millisecond
	// minSilentWeight is the weight of the evidence that is needed to hold a
	// target for lost.
	minSilentWeight = 4
	// minSilentNodes is the number of nodes that must have seen it: what
	// only one node sees may be its own fault.
	minSilentNodes = 2
	// verdictShareDivisor bounds the targets suspected or held for lost to one
	// part in so many of all: when more seem silent, the observers are more
	// likely at fault.
	verdictShareDivisor = 2
	// verdictResendInterval is the time after which verdicts are told again though they have
	// not changed: a member that missed them, behind a cut, has them a second after it.
	verdictResendInterval = time.Second
	// queryDuration is how long members are asked whether a target answers
	// before it can be held for lost.
	queryDuration = 250 * time.Millisecond
)

// targetStatus is what the leader knows of one target.
type targetStatus struct {
	// lastHeartbeat is when a heartbeat last came, at any member.
	lastHeartbeat kernel.Instant
	// lastAnswer is when the target was last seen to answer a caller.
	lastAnswer kernel.Instant
	silences   map[string]silence
	// refusals are the members' reports of opening packets that it did not take, and
	// refusedAt is when there were enough of them.
	refusals  map[string]silence
	refusedAt kernel.Instant
	// queriedSince is when members were first asked about the target; 0 while
	// nobody has reported its silence.
	queriedSince kernel.Instant
	lost         bool
}

func (s *targetStatus) lastSeen() kernel.Instant { return max(s.lastHeartbeat, s.lastAnswer) }

// livenessTable knows when targets were last heard from and seen to answer.
// It is not replicated: a new leader begins with the benefit of the doubt.
type livenessTable struct {
	since    kernel.Instant
	statuses map[directory.Token]*targetStatus
	// unsentHeartbeats and unsentEvidence wait for the next message to the leader.
	unsentHeartbeats map[directory.Token]bool
	unsentAnswers    map[directory.Token]bool
	verdicts         leaderVerdicts
	nextReport       kernel.Instant
	// nextVerdictResend is when the leader tells its verdicts again.
	nextVerdictResend kernel.Instant
}

func (l *livenessTable) reset(now kernel.Instant) {
	l.since = now
	l.statuses = map[directory.Token]*targetStatus{}
	l.clearUnsent()
}

func (l *livenessTable) clearUnsent() {
	l.unsentHeartbeats = map[directory.Token]bool{}
	l.unsentAnswers = map[directory.Token]bool{}
}

func (l *livenessTable) status(token directory.Token) *targetStatus {
	known, exists := l.statuses[token]
	if !exists {
		known = &targetStatus{lastHeartbeat: l.since, silences: map[string]silence{}}
		l.statuses[token] = known
	}
	return known
}

// evaluateTargets works out the verdicts and tells the other members when they change.
func (c *Core) evaluateTargets(now kernel.Instant) {
	if now.Sub(c.liveness.since) < c.settings.LostAfter {
		return
	}
	var next leaderVerdicts
	c.state.EachTarget(func(target *directory.Target) {
		if target.State == directory.TargetEnded {
			return
		}
		status := c.liveness.status(target.Token)
		refuses := status.refuses(now)
		if refuses || now.Sub(status.lastSeen()) >= c.settings.SuspectAfter {
			next.Suspects = append(next.Suspects, target.Token)
		}
		if questioned := c.isQueried(now, status); questioned || refuses {
			next.Queried = append(next.Queried, target.Token)
		}
		if c.isLost(now, target, status) {
			next.Lost = append(next.Lost, target.Token)
		}
	})
	slices.Sort(next.Suspects)
	slices.Sort(next.Queried)
	slices.Sort(next.Lost)
	limit := max(1, c.state.TargetCount()/verdictShareDivisor)
	if len(next.Lost) > limit {
		next.Lost = c.liveness.verdicts.Lost
	}
	if len(next.Suspects) > limit {
		next.Suspects = nil
	}
	next.AvoidedZones = c.avoidedZones(now)
	c.judgeOutcomes(now, &next)
	c.sendVerdicts(now, next)
}

// isQueried reports whether members are asked about a target: somebody has
// lately reported its silence.
func (c *Core) isQueried(now kernel.Instant, status *targetStatus) bool {
	if status.silence(now).all() == 0 {
		status.queriedSince = 0
		return false
	}
	if status.queriedSince == 0 {
		status.queriedSince = now
	}
	return true
}

// isLost reports whether a target is held for dead: flows at several nodes wait
// for its answers, and for LostAfter nobody has seen it answer or heard it.
// The verdict stands until there is a sign of life.
func (c *Core) isLost(now kernel.Instant, target *directory.Target, status *targetStatus) bool {
	silentFor := now.Sub(status.lastSeen())
	if status.lost {
		status.lost = silentFor >= c.settings.LostAfter
		return status.lost
	}
	if status.queriedSince == 0 || now.Sub(status.queriedSince) < queryDuration {
		return false
	}
	status.lost = silentFor >= c.settings.LostAfter && status.isSilent(now)
	if status.lost {
		sum := status.silence(now)
		c.logEvent(eventlog.TargetHeldLost, "target", target.ID, "token", target.Token, "weight", sum.Weight, "nodes", sum.Nodes,
			"doubtful", sum.UnreliableWeight, "witnesses", sum.Reporters, "heartbeat_age", now.Sub(status.lastHeartbeat), "answer_age", now.Sub(status.lastAnswer))
	}
	return status.lost
}

func (c *Core) sendVerdicts(now kernel.Instant, next leaderVerdicts) {
	current := &c.liveness.verdicts
	judged := next.Equal(current.Verdicts)
	repeated := !now.Before(c.liveness.nextVerdictResend) && c.replica.Node.HasLease(now)
	if judged && slices.Equal(next.Queried, current.Queried) && !repeated {
		return
	}
	c.liveness.nextVerdictResend = now.Add(verdictResendInterval)
	if !judged {
		c.logEvent(eventlog.TargetsSuspected, "suspects", formatTokens(next.Suspects), "lost", formatTokens(next.Lost),
			"avoided_zones", strings.Join(next.AvoidedZones, ","),
			"ejected", formatTokens(next.Ejected), "probation", formatTokens(next.Probation))
	}
	*current = next
	for _, member := range c.state.Members() {
		c.sendToMember(member.Address, next.frame())
	}
}

func formatTokens(tokens []directory.Token) string {
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
	c.note(now, seen)
	return nil
}
