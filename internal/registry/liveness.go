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
	// livenessInterval is the time between two liveness messages.
	livenessInterval = 100 * time.Millisecond
	// silenceReportTTL is how long a member's report of a silent target is valid.
	silenceReportTTL = 500 * time.Millisecond
	// nodeSilenceReportTTL is how long the report of a single node is valid.
	nodeSilenceReportTTL = 250 * time.Millisecond
	// minSilentWeight is the weight of evidence required to mark a target as lost.
	minSilentWeight = 4
	// minSilentNodes is the number of nodes that must report a target as silent. A single
	// observer may be at fault itself.
	minSilentNodes = 2
	// At most 1/verdictShareDivisor of all targets may be suspected, and as many may be
	// lost, and as many in avoided zones. If more seem silent, the observers are more likely at fault.
	verdictShareDivisor = 2
	// verdictResendInterval is the time after which unchanged verdicts are sent again, for
	// members that missed them during a network partition.
	verdictResendInterval = time.Second
	// queryDuration is how long members must have been asked whether a target answers
	// before the target can be marked as lost.
	queryDuration = 250 * time.Millisecond
)

// targetLiveness is the leader's view of the liveness of one target.
type targetLiveness struct {
	// lastHeartbeat is when the last heartbeat arrived at any member.
	lastHeartbeat kernel.Instant
	// lastAnswer is when the target was last seen to answer a caller.
	lastAnswer kernel.Instant
	silences   map[string]silenceReport
	// refusals are the members' reports of refused opening packets, and refusedAt is when
	// they last reached the threshold.
	refusals  map[string]silenceReport
	refusedAt kernel.Instant
	// queriedSince is when members were first asked about the target; 0 while no silence is
	// reported.
	queriedSince kernel.Instant
	lost         bool
}

func (s *targetLiveness) lastSeen() kernel.Instant { return max(s.lastHeartbeat, s.lastAnswer) }

// livenessTable holds the liveness of all targets. It is not replicated: a new leader
// treats every target as heard from at the time of its election.
type livenessTable struct {
	// since is when this member started or its role last changed.
	since   kernel.Instant
	targets map[directory.Token]*targetLiveness
	// unsentHeartbeats and unsentAnswers are reported in the next message to the leader.
	unsentHeartbeats map[directory.Token]bool
	unsentAnswers    map[directory.Token]bool
	verdicts         leaderVerdicts
	nextReport       kernel.Instant
	// nextVerdictResend is when the leader sends its verdicts again.
	nextVerdictResend kernel.Instant
}

func (l *livenessTable) reset(now kernel.Instant) {
	l.since = now
	l.targets = map[directory.Token]*targetLiveness{}
	l.clearUnsent()
}

func (l *livenessTable) clearUnsent() {
	l.unsentHeartbeats = map[directory.Token]bool{}
	l.unsentAnswers = map[directory.Token]bool{}
}

func (l *livenessTable) target(token directory.Token) *targetLiveness {
	known, exists := l.targets[token]
	if !exists {
		known = &targetLiveness{lastHeartbeat: l.since, silences: map[string]silenceReport{}}
		l.targets[token] = known
	}
	return known
}

// evaluateTargets computes the verdicts and sends them to the other members. A new leader
// first collects reports for LostAfter.
func (c *Core) evaluateTargets(now kernel.Instant) {
	if now.Sub(c.liveness.since) < c.settings.LostAfter {
		return
	}
	next := leaderVerdicts{Term: c.replica.Node.Term()}
	c.state.EachTarget(func(target *directory.Target) {
		if target.State == directory.TargetEnded {
			return
		}
		liveness := c.liveness.target(target.Token)
		refuses := liveness.isRefusing(now)
		if refuses || now.Sub(liveness.lastSeen()) >= c.settings.SuspectAfter {
			next.Suspects = append(next.Suspects, target.Token)
		}
		if queried := c.isQueried(now, liveness); queried || refuses {
			next.Queried = append(next.Queried, target.Token)
		}
		if c.isLost(now, target, liveness) {
			next.Lost = append(next.Lost, target.Token)
		}
	})
	slices.Sort(next.Suspects)
	slices.Sort(next.Queried)
	slices.Sort(next.Lost)
	limit := max(1, c.state.TargetCount()/verdictShareDivisor)
	if len(next.Lost) > limit {
		next.Lost = stillListed(c.liveness.verdicts.Lost, next.Lost)
	}
	if len(next.Suspects) > limit {
		next.Suspects = nil
	}
	next.AvoidedZones = c.avoidedZones(now)
	c.ejectOutliers(now, &next)
	c.sendVerdicts(now, next)
}

// stillListed returns the tokens that are in another, sorted list too.
func stillListed(tokens, sorted []directory.Token) []directory.Token {
	var kept []directory.Token
	for _, token := range tokens {
		if _, listed := slices.BinarySearch(sorted, token); listed {
			kept = append(kept, token)
		}
	}
	return kept
}

// isQueried reports whether members are asked about a target because valid reports name it
// as silent, and records since when.
func (c *Core) isQueried(now kernel.Instant, liveness *targetLiveness) bool {
	if !liveness.isReportedSilent(now) {
		liveness.queriedSince = 0
		return false
	}
	if liveness.queriedSince == 0 {
		liveness.queriedSince = now
	}
	return true
}

// isLost reports whether a target is marked as lost: flows at several nodes wait for its
// answers, and it has neither answered nor sent a heartbeat for LostAfter. The verdict
// holds until the next answer or heartbeat.
func (c *Core) isLost(now kernel.Instant, target *directory.Target, liveness *targetLiveness) bool {
	silentFor := now.Sub(liveness.lastSeen())
	if liveness.lost {
		liveness.lost = silentFor >= c.settings.LostAfter
		return liveness.lost
	}
	if liveness.queriedSince == 0 || now.Sub(liveness.queriedSince) < queryDuration {
		return false
	}
	liveness.lost = silentFor >= c.settings.LostAfter && liveness.isSilent(now)
	if liveness.lost {
		sum := liveness.currentSilence(now)
		c.logEvent(eventlog.TargetHeldLost, "target", target.ID, "token", target.Token, "weight", sum.Weight, "nodes", sum.Nodes,
			"doubtful", sum.UnreliableWeight, "witnesses", sum.Reporters, "heartbeat_age", now.Sub(liveness.lastHeartbeat), "answer_age", now.Sub(liveness.lastAnswer))
	}
	return liveness.lost
}

// sendVerdicts sends the verdicts to the other members if they changed or are due again.
func (c *Core) sendVerdicts(now kernel.Instant, next leaderVerdicts) {
	current := &c.liveness.verdicts
	unchanged := next.Equal(current.Verdicts)
	resendDue := !now.Before(c.liveness.nextVerdictResend) && c.replica.Node.HasLease(now)
	if unchanged && slices.Equal(next.Queried, current.Queried) && !resendDue {
		return
	}
	c.liveness.nextVerdictResend = now.Add(verdictResendInterval)
	if !unchanged {
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
	var texts []string
	for _, token := range tokens {
		if len(texts) == limit {
			texts = append(texts, "...")
			break
		}
		texts = append(texts, token.String())
	}
	return strings.Join(texts, ",")
}

func (c *Core) receiveLiveness(now kernel.Instant, payload []byte) error {
	fromLeader, verdicts, observed, err := decodeLiveness(payload)
	if err != nil {
		return err
	}
	if fromLeader {
		if !c.isFromReplacedLeader(verdicts) {
			c.liveness.verdicts = verdicts
		}
		return nil
	}
	c.recordObservations(now, observed)
	return nil
}

// isFromReplacedLeader reports whether verdicts are those of a leader of an earlier term. They
// may arrive late and name targets as lost that have been heard from since.
func (c *Core) isFromReplacedLeader(verdicts leaderVerdicts) bool {
	return c.replica.Node != nil && verdicts.Term > 0 && verdicts.Term < c.replica.Node.Term()
}
