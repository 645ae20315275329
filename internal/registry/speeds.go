package registry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/speed"
)

// Nodes tell their member how long targets take, members sum that up and tell the leader,
// which estimates the time of each target relative to its service (package speed) and
// tells all members, and those their nodes. Nothing of it is replicated. A new leader
// begins with the members' next words; until it has heard them, members and nodes keep
// what they know.

const (
	// responseTimeInterval is the time between two words of a member, to the leader and to nodes.
	responseTimeInterval = 500 * time.Millisecond
	// leaderSettleTime is how long a leader hears words before it tells what it makes of them:
	// those of all members, and of nodes that have just come to them.
	leaderSettleTime = 6 * responseTimeInterval
	// estimateTimePerTarget is the time between two estimates for each target, so that a leader of
	// many targets keeps its time.
	estimateTimePerTarget = 100 * time.Microsecond
	// inheritedStepLifetime is how long a new leader leaves a target as it was told before while no
	// member says anything of it.
	inheritedStepLifetime = 5 * time.Minute
	// stepLifetime is how long a member keeps what the leader does not tell again: that a
	// target takes the usual time is told once, and may be lost.
	stepLifetime = 10 * time.Minute
	// maxSamplesPerNode bounds the samples of one node in the sums of a target: one that lies, or
	// whose link is choked, is one of many.
	maxSamplesPerNode = 16
	// maxSumsPerMessage bounds the targets in a word to the leader to 1 kB, changedAtOnce those
	// that the leader changes to 2.5 kB to each member. A node is told no more than
	// toldAtOnce that have changed and as many others, 0.6 kB, and half as much more while
	// it is new.
	maxSumsPerMessage      = 128
	maxChangesPerMessage   = 512
	maxStepsPerNodeMessage = 64
	// stepRefreshInterval is the time in which all that is told is told again, where a word holds
	// as much.
	stepRefreshInterval = 30 * time.Second
)

// responseTimeTable holds how long targets take, as nodes and members tell it.
type responseTimeTable struct {
	// nodeSums are the words of the nodeSums that follow this member, members those of the
	// members at the leader.
	nodeSums   speed.Table[ConnectionID]
	memberSums speed.Table[string]
	// unsentSums are the targets of which the leader was not told the newest sums, in the
	// order in which they are told.
	unsentSums tokenQueue
	// leader is the address of the leader that was told, and leadsSince when this member
	// began to lead, or 0.
	leader       string
	leadingSince kernel.Instant
	// term is that of the leader that told last, and told what it told, without targets
	// that take the usual time.
	term  uint64
	steps map[directory.Token]speed.Step
	// receivedAt is when each of these was told last.
	receivedAt map[directory.Token]kernel.Instant
	// refreshOrder are the targets of told; it is made anew when isStale is set. The turns are
	// those that members and nodes are told again next.
	refreshOrder             []directory.Token
	isOrderStale             bool
	memberCursor, nodeCursor int
	// unsentSteps are those of which nodes were not told the newest.
	unsentSteps tokenQueue
	// unevenServices are the services whose targets are known to differ.
	unevenServices                   map[string]bool
	nextRun, nextEstimate, nextSweep kernel.Instant
}

func newResponseTimeTable() responseTimeTable {
	return responseTimeTable{
		nodeSums:       speed.NewTable[ConnectionID](speed.HalfLife),
		memberSums:     speed.NewTable[string](speed.MemberHalfLife),
		unsentSums:     newTokenQueue(),
		steps:          map[directory.Token]speed.Step{},
		receivedAt:     map[directory.Token]kernel.Instant{},
		unsentSteps:    newTokenQueue(),
		unevenServices: map[string]bool{},
	}
}

// tokenQueue is a queue that holds each target once.
type tokenQueue struct {
	tokens []directory.Token
	queued map[directory.Token]bool
}

func newTokenQueue() tokenQueue { return tokenQueue{queued: map[directory.Token]bool{}} }

func (q *tokenQueue) push(token directory.Token) {
	if !q.queued[token] {
		q.queued[token] = true
		q.tokens = append(q.tokens, token)
	}
}

// pop takes no more than a number of targets.
func (q *tokenQueue) pop(most int) []directory.Token {
	count := min(most, len(q.tokens))
	taken := slices.Clone(q.tokens[:count])
	q.tokens = slices.Delete(q.tokens, 0, count)
	for _, token := range taken {
		delete(q.queued, token)
	}
	return taken
}

// RecordResponseTimes notes what a subscribed node tells of how long targets take.
func (c *Core) RecordResponseTimes(now kernel.Instant, connection ConnectionID, words []speed.Report) {
	if _, connected := c.nodes[connection]; !connected {
		return
	}
	for _, word := range words {
		if _, known := c.state.TargetByToken(word.Token); !known {
			continue
		}
		c.speeds.nodeSums.Record(now, connection, word.Token, word.Capped(maxSamplesPerNode))
		c.speeds.unsentSums.push(word.Token)
	}
}

// tickResponseTimes passes on what was learned: to the leader, and to the nodes.
func (c *Core) tickResponseTimes(now kernel.Instant) {
	if now.Before(c.speeds.nextRun) {
		return
	}
	c.speeds.nextRun = now.Add(responseTimeInterval)
	c.detectLeaderChange(now)
	c.sendSums(now)
	if c.IsLeader() && now.Sub(c.speeds.leadingSince) >= leaderSettleTime {
		c.sendStepsToMembers(now)
	}
	c.sendStepsToNodes()
	c.sweepResponseTimes(now)
}

// detectLeaderChange has a new leader told of all targets.
func (c *Core) detectLeaderChange(now kernel.Instant) {
	leader := c.address(c.replica.Node.Leader())
	if leader == c.speeds.leader {
		return
	}
	c.speeds.leader = leader
	c.speeds.leadingSince = now
	c.speeds.memberSums = speed.NewTable[string](speed.MemberHalfLife)
	for _, token := range c.speeds.nodeSums.Tokens() {
		c.speeds.unsentSums.push(token)
	}
}

// sendSums tells the leader, or notes for itself, the sums that have changed.
func (c *Core) sendSums(now kernel.Instant) {
	if c.speeds.leader == "" {
		return
	}
	var words []speed.Report
	for _, token := range c.speeds.unsentSums.pop(maxSumsPerMessage) {
		words = append(words, speed.Report{Token: token, Sums: c.speeds.nodeSums.Total(now, token)})
	}
	if len(words) == 0 {
		return
	}
	if c.IsLeader() {
		c.recordSums(now, c.settings.Address, words)
		return
	}
	c.sendToMember(c.speeds.leader, speed.ReportFrame(c.settings.Address, words))
}

func (c *Core) recordSums(now kernel.Instant, member string, words []speed.Report) {
	for _, word := range words {
		c.speeds.memberSums.Record(now, member, word.Token, word.Sums)
	}
}

// receiveResponseTimes takes the sums of a member, or what the leader tells.
func (c *Core) receiveResponseTimes(now kernel.Instant, payload []byte) error {
	message, err := speed.Decode(payload)
	if err != nil {
		return err
	}
	if !message.FromLeader {
		if c.IsLeader() {
			c.recordSums(now, message.Source, message.Reports)
		}
		return nil
	}
	if message.Term < c.speeds.term {
		return nil
	}
	c.speeds.term = message.Term
	c.applySteps(now, message.Steps)
	return nil
}

// sendStepsToMembers tells the members the targets whose step changes and a part of the
// rest.
func (c *Core) sendStepsToMembers(now kernel.Instant) {
	c.speeds.term = c.replica.Term
	list := append(c.estimateSteps(now), c.speeds.nextRefresh(&c.speeds.memberCursor)...)
	c.applySteps(now, list)
	if len(list) == 0 {
		return
	}
	frame := speed.StepFrame(c.speeds.term, list)
	for _, member := range c.state.Members() {
		c.sendToMember(member.Address, frame)
	}
}

// estimateSteps works out how long targets take, and returns those whose step changes,
// the farthest first.
func (c *Core) estimateSteps(now kernel.Instant) []speed.TargetStep {
	if now.Before(c.speeds.nextEstimate) {
		return nil
	}
	services := map[string][]directory.Token{}
	count := 0
	c.state.EachTarget(func(target *directory.Target) {
		if target.State == directory.TargetReady {
			services[target.Service] = append(services[target.Service], target.Token)
			count++
		}
	})
	maps.DeleteFunc(c.speeds.unevenServices, func(service string, _ bool) bool { return services[service] == nil })
	c.speeds.nextEstimate = now.Add(time.Duration(count) * estimateTimePerTarget)
	var changes []speed.TargetStep
	for _, service := range slices.Sorted(maps.Keys(services)) {
		tokens := services[service]
		slices.Sort(tokens)
		changes = append(changes, c.estimateServiceSteps(now, service, tokens)...)
	}
	slices.SortStableFunc(changes, func(a, b speed.TargetStep) int {
		return cmp.Compare(c.speeds.stepDistance(b), c.speeds.stepDistance(a))
	})
	return changes[:min(maxChangesPerMessage, len(changes))]
}

// stepDistance returns how far a step is from what was told before.
func (s *responseTimeTable) stepDistance(told speed.TargetStep) int {
	distance := int(told.Step) - int(s.steps[told.Token])
	return max(distance, -distance)
}

// estimateServiceSteps returns the targets of a service whose step changes.
func (c *Core) estimateServiceSteps(now kernel.Instant, service string, tokens []directory.Token) []speed.TargetStep {
	sums := make([]speed.Sums, len(tokens))
	for position, token := range tokens {
		sums[position] = c.speeds.memberSums.Total(now, token)
	}
	var changes []speed.TargetStep
	var slowest, fastest speed.Step
	for position, estimate := range speed.Estimate(sums) {
		before := c.speeds.steps[tokens[position]]
		next := before.Next(estimate)
		if sums[position].Count < speed.MinCount && now.Sub(c.speeds.leadingSince) < inheritedStepLifetime {
			next = before
		}
		if next != before {
			changes = append(changes, speed.TargetStep{Token: tokens[position], Step: next})
		}
		slowest = max(slowest, next)
		fastest = min(fastest, next)
	}
	c.logUnevenService(service, slowest, fastest)
	return changes
}

// unevenRatio is the ratio of the slowest to the fastest target from which on a service
// is uneven; it is even again below evenRatio.
const (
	unevenRatio = 1.5
	evenRatio   = 1.2
)

// logUnevenService logs when the targets of a service turn out to differ, or not to any more.
func (c *Core) logUnevenService(service string, slowest, fastest speed.Step) {
	ratio := slowest.TimeRatio() / fastest.TimeRatio()
	switch {
	case !c.speeds.unevenServices[service] && ratio >= unevenRatio:
		c.speeds.unevenServices[service] = true
		c.logEvent(eventlog.SpeedsDiffer, "service", service, "slowest", slowest.TimeRatio(), "fastest", fastest.TimeRatio())
	case c.speeds.unevenServices[service] && ratio < evenRatio:
		delete(c.speeds.unevenServices, service)
		c.logEvent(eventlog.SpeedsAlike, "service", service, "slowest", slowest.TimeRatio(), "fastest", fastest.TimeRatio())
	}
}

// applySteps takes what the leader tells; nodes are told of it.
func (c *Core) applySteps(now kernel.Instant, list []speed.TargetStep) {
	for _, told := range list {
		before := c.speeds.steps[told.Token]
		if told.Step != 0 {
			c.speeds.receivedAt[told.Token] = now
		}
		if before == told.Step {
			continue
		}
		c.speeds.unsentSteps.push(told.Token)
		if told.Step == 0 {
			c.speeds.removeStep(told.Token)
			continue
		}
		c.speeds.steps[told.Token] = told.Step
		c.speeds.isOrderStale = c.speeds.isOrderStale || before == 0
	}
}

func (s *responseTimeTable) removeStep(token directory.Token) {
	delete(s.steps, token)
	delete(s.receivedAt, token)
	s.isOrderStale = true
}

// updateRefreshOrder makes the order anew. A long one is left as it is until it is told whole.
func (s *responseTimeTable) updateRefreshOrder() {
	isLong := len(s.refreshOrder) > maxStepsPerNodeMessage
	if !s.isOrderStale || isLong && s.nodeCursor != 0 {
		return
	}
	s.isOrderStale = false
	s.refreshOrder = slices.Sorted(maps.Keys(s.steps))
}

// nextRefresh returns the part of all that is told which is due again, from a turn on.
func (s *responseTimeTable) nextRefresh(turn *int) []speed.TargetStep {
	due := min(len(s.refreshOrder)*int(responseTimeInterval)/int(stepRefreshInterval)+1, maxStepsPerNodeMessage)
	from := min(*turn, len(s.refreshOrder))
	to := min(from+due, len(s.refreshOrder))
	*turn = to
	if to == len(s.refreshOrder) {
		*turn = 0
	}
	return s.stepsOf(s.refreshOrder[from:to])
}

func (s *responseTimeTable) stepsOf(tokens []directory.Token) []speed.TargetStep {
	var list []speed.TargetStep
	for _, token := range tokens {
		list = append(list, speed.TargetStep{Token: token, Step: s.steps[token]})
	}
	return list
}

// sendStepsToNodes tells nodes what has changed and a part of the rest; a node that has
// come lately is told all of it part by part.
func (c *Core) sendStepsToNodes() {
	c.speeds.updateRefreshOrder()
	list := c.speeds.stepsOf(c.speeds.unsentSteps.pop(maxStepsPerNodeMessage))
	list = append(list, c.speeds.nextRefresh(&c.speeds.nodeCursor)...)
	shared := speed.StepFrame(c.speeds.term, list)
	for _, connection := range c.sortedConnections() {
		if own := c.nextInitialSteps(c.nodes[connection]); len(own) > 0 {
			c.sendToNode(connection, speed.StepFrame(c.speeds.term, slices.Concat(list, own)))
		} else if len(list) > 0 {
			c.sendToNode(connection, shared)
		}
	}
}

// nextInitialSteps returns the next part of what a node that has come lately was not told yet.
func (c *Core) nextInitialSteps(node *subscription) []speed.TargetStep {
	from := min(node.stepsSent, len(c.speeds.refreshOrder))
	to := min(from+maxStepsPerNodeMessage, len(c.speeds.refreshOrder))
	if node.hasAllSteps {
		return nil
	}
	node.stepsSent = to
	node.hasAllSteps = to == len(c.speeds.refreshOrder)
	return c.speeds.stepsOf(c.speeds.refreshOrder[from:to])
}

// sweepResponseTimes forgets targets that have ended and words that count no more.
func (c *Core) sweepResponseTimes(now kernel.Instant) {
	if now.Before(c.speeds.nextSweep) {
		return
	}
	c.speeds.nextSweep = now.Add(speed.SweepInterval)
	left := c.speeds.nodeSums.RetainSources(now, func(connection ConnectionID) bool { return c.nodes[connection] != nil })
	slices.Sort(left)
	for _, token := range left {
		c.speeds.unsentSums.push(token)
	}
	c.speeds.nodeSums.Sweep(now)
	group := map[string]bool{}
	for _, member := range c.state.Members() {
		group[member.Address] = true
	}
	c.speeds.memberSums.RetainSources(now, func(address string) bool { return group[address] })
	c.speeds.memberSums.Sweep(now)
	c.sweepSteps(now)
}

func (c *Core) sweepSteps(now kernel.Instant) {
	var old []speed.TargetStep
	for token := range c.speeds.steps {
		target, known := c.state.TargetByToken(token)
		switch {
		case !known || target.State == directory.TargetEnded:
			c.speeds.removeStep(token)
		case !c.IsLeader() && now.Sub(c.speeds.receivedAt[token]) > stepLifetime:
			old = append(old, speed.TargetStep{Token: token})
		}
	}
	c.applySteps(now, old)
}
