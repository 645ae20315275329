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

// Nodes report the response times of targets to their member. Members add up the reports of
// their nodes and send the sums to the leader, which estimates the response time of each
// target relative to its service (package speed) and distributes the estimates, as steps,
// to all members and their nodes. None of this is replicated. A new leader starts from the
// members' next reports; until it has estimates, members and nodes keep the steps they
// have.

const (
	// responseTimeInterval is the time between two messages of a member, to the leader and
	// to its nodes.
	responseTimeInterval = 500 * time.Millisecond
	// leaderSettleTime is how long a new leader collects reports before it distributes its
	// own estimates. By then it has those of all members, and of nodes that have just moved
	// to another member.
	leaderSettleTime = 6 * responseTimeInterval
	// estimateTimePerTarget, times the number of targets, is the time between two
	// estimates. It limits the CPU time that a leader of many targets spends on them.
	estimateTimePerTarget = 100 * time.Microsecond
	// inheritedStepTTL is how long a new leader keeps the previous step of a target
	// with too few samples.
	inheritedStepTTL = 5 * time.Minute
	// stepTTL is how long a member keeps a step that the leader does not repeat. A
	// reset to the usual time is sent only once and may be lost.
	stepTTL = 10 * time.Minute
	// maxSamplesPerNode limits the weight of one node in the sums of a target, so that a
	// faulty or congested node cannot dominate them.
	maxSamplesPerNode = 16
	// maxSumsPerMessage limits the targets in a message to the leader, and
	// maxChangesPerMessage the changed steps in a message to each member. A message to a
	// node holds at most maxStepsPerNodeMessage changed steps, as many refreshed ones and,
	// while the node is new, as many initial ones.
	maxSumsPerMessage      = 128
	maxChangesPerMessage   = 512
	maxStepsPerNodeMessage = 64
	// stepRefreshInterval is the time in which all steps are sent once more, as far as the
	// message limits allow.
	stepRefreshInterval = 30 * time.Second
)

// responseTimeTable holds the response times of targets that nodes and members report, and
// the leader's estimates.
type responseTimeTable struct {
	// nodeSums are the reports of the nodes that follow this member; memberSums, used on
	// the leader, those of the members.
	nodeSums   speed.Table[ConnectionID]
	memberSums speed.Table[string]
	// unsentSums are the targets whose newest sums the leader does not have yet, oldest
	// first.
	unsentSums tokenQueue
	// leader is the address of the leader that gets the sums, and leaderSince when this
	// member learned of it.
	leader      string
	leaderSince kernel.Instant
	// term is that of the leader whose steps these are. Targets that take the usual time of
	// their service have no entry in steps.
	term  uint64
	steps map[directory.Token]speed.Step
	// receivedAt is when each step was last received.
	receivedAt map[directory.Token]kernel.Instant
	// refreshOrder lists the targets of steps; it is rebuilt when isOrderStale is set. The
	// cursors are the positions from which members and nodes are refreshed next.
	refreshOrder             []directory.Token
	isOrderStale             bool
	memberCursor, nodeCursor int
	// unsentSteps are the targets whose newest step has not been sent to nodes.
	unsentSteps tokenQueue
	// unevenServices are the services whose targets differ much in response time.
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

// tokenQueue is a FIFO queue that holds each target at most once.
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

// pop removes and returns at most limit targets.
func (q *tokenQueue) pop(limit int) []directory.Token {
	count := min(limit, len(q.tokens))
	popped := slices.Clone(q.tokens[:count])
	q.tokens = slices.Delete(q.tokens, 0, count)
	for _, token := range popped {
		delete(q.queued, token)
	}
	return popped
}

// RecordResponseTimes adds a subscribed node's report of response times.
func (c *Core) RecordResponseTimes(now kernel.Instant, connection ConnectionID, reports []speed.Report) {
	if _, connected := c.nodes[connection]; !connected {
		return
	}
	for _, report := range reports {
		if _, known := c.state.TargetByToken(report.Token); !known {
			continue
		}
		c.responseTimes.nodeSums.Record(now, connection, report.Token, report.Capped(maxSamplesPerNode))
		c.responseTimes.unsentSums.push(report.Token)
	}
}

// tickResponseTimes sends changed sums to the leader and steps to the nodes; the leader also
// sends steps to the members.
func (c *Core) tickResponseTimes(now kernel.Instant) {
	if now.Before(c.responseTimes.nextRun) {
		return
	}
	c.responseTimes.nextRun = now.Add(responseTimeInterval)
	c.detectLeaderChange(now)
	c.sendSums(now)
	if c.IsLeader() && now.Sub(c.responseTimes.leaderSince) >= leaderSettleTime {
		c.sendStepsToMembers(now)
	}
	c.sendStepsToNodes()
	c.sweepResponseTimes(now)
}

// detectLeaderChange queues the sums of all targets for a new leader.
func (c *Core) detectLeaderChange(now kernel.Instant) {
	leader := c.address(c.replica.Node.Leader())
	if leader == c.responseTimes.leader {
		return
	}
	c.responseTimes.leader = leader
	c.responseTimes.leaderSince = now
	c.responseTimes.memberSums = speed.NewTable[string](speed.MemberHalfLife)
	for _, token := range c.responseTimes.nodeSums.Tokens() {
		c.responseTimes.unsentSums.push(token)
	}
}

// sendSums sends the changed sums to the leader, or records them if this member leads.
func (c *Core) sendSums(now kernel.Instant) {
	if c.responseTimes.leader == "" {
		return
	}
	var reports []speed.Report
	for _, token := range c.responseTimes.unsentSums.pop(maxSumsPerMessage) {
		reports = append(reports, speed.Report{Token: token, Sums: c.responseTimes.nodeSums.Total(now, token)})
	}
	if len(reports) == 0 {
		return
	}
	if c.IsLeader() {
		c.recordSums(now, c.settings.Address, reports)
		return
	}
	c.sendToMember(c.responseTimes.leader, speed.ReportFrame(c.settings.Address, reports))
}

func (c *Core) recordSums(now kernel.Instant, member string, reports []speed.Report) {
	for _, report := range reports {
		c.responseTimes.memberSums.Record(now, member, report.Token, report.Sums)
	}
}

// receiveResponseTimes handles the sums of a member or the steps of the leader.
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
	if message.Term < c.responseTimes.term {
		return nil
	}
	c.responseTimes.term = message.Term
	c.applySteps(now, message.Steps)
	return nil
}

// sendStepsToMembers sends the members the changed steps and some of the others to refresh
// them.
func (c *Core) sendStepsToMembers(now kernel.Instant) {
	c.responseTimes.term = c.replica.Term
	steps := append(c.estimateSteps(now), c.responseTimes.nextRefresh(&c.responseTimes.memberCursor)...)
	c.applySteps(now, steps)
	if len(steps) == 0 {
		return
	}
	frame := speed.StepFrame(c.responseTimes.term, steps)
	for _, member := range c.state.Members() {
		c.sendToMember(member.Address, frame)
	}
}

// estimateSteps returns the targets whose step changes, largest change first.
func (c *Core) estimateSteps(now kernel.Instant) []speed.TargetStep {
	if now.Before(c.responseTimes.nextEstimate) {
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
	maps.DeleteFunc(c.responseTimes.unevenServices, func(service string, _ bool) bool { return services[service] == nil })
	c.responseTimes.nextEstimate = now.Add(time.Duration(count) * estimateTimePerTarget)
	var changes []speed.TargetStep
	for _, service := range slices.Sorted(maps.Keys(services)) {
		tokens := services[service]
		slices.Sort(tokens)
		changes = append(changes, c.estimateServiceSteps(now, service, tokens)...)
	}
	slices.SortStableFunc(changes, func(a, b speed.TargetStep) int {
		return cmp.Compare(c.responseTimes.stepDistance(b), c.responseTimes.stepDistance(a))
	})
	return changes[:min(maxChangesPerMessage, len(changes))]
}

// stepDistance returns the absolute difference between a step and the current one of its
// target.
func (s *responseTimeTable) stepDistance(entry speed.TargetStep) int {
	distance := int(entry.Step) - int(s.steps[entry.Token])
	return max(distance, -distance)
}

// estimateServiceSteps returns the targets of a service whose step changes.
func (c *Core) estimateServiceSteps(now kernel.Instant, service string, tokens []directory.Token) []speed.TargetStep {
	sums := make([]speed.Sums, len(tokens))
	for position, token := range tokens {
		sums[position] = c.responseTimes.memberSums.Total(now, token)
	}
	var changes []speed.TargetStep
	var slowest, fastest speed.Step
	for position, estimate := range speed.Estimate(sums) {
		before := c.responseTimes.steps[tokens[position]]
		next := before.Next(estimate)
		if sums[position].Count < speed.MinCount && now.Sub(c.responseTimes.leaderSince) < inheritedStepTTL {
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

// A service counts as uneven when the ratio of its slowest to its fastest target reaches
// unevenRatio, and as even again below evenRatio.
const (
	unevenRatio = 1.5
	evenRatio   = 1.2
)

// logUnevenService logs when a service becomes uneven or even again.
func (c *Core) logUnevenService(service string, slowest, fastest speed.Step) {
	ratio := slowest.TimeRatio() / fastest.TimeRatio()
	switch {
	case !c.responseTimes.unevenServices[service] && ratio >= unevenRatio:
		c.responseTimes.unevenServices[service] = true
		c.logEvent(eventlog.SpeedsDiffer, "service", service, "slowest", slowest.TimeRatio(), "fastest", fastest.TimeRatio())
	case c.responseTimes.unevenServices[service] && ratio < evenRatio:
		delete(c.responseTimes.unevenServices, service)
		c.logEvent(eventlog.SpeedsAlike, "service", service, "slowest", slowest.TimeRatio(), "fastest", fastest.TimeRatio())
	}
}

// applySteps stores steps and queues the changed ones for the nodes. Step 0 resets a target
// to the usual time.
func (c *Core) applySteps(now kernel.Instant, steps []speed.TargetStep) {
	for _, entry := range steps {
		before := c.responseTimes.steps[entry.Token]
		if entry.Step != 0 {
			c.responseTimes.receivedAt[entry.Token] = now
		}
		if before == entry.Step {
			continue
		}
		c.responseTimes.unsentSteps.push(entry.Token)
		if entry.Step == 0 {
			c.responseTimes.removeStep(entry.Token)
			continue
		}
		c.responseTimes.steps[entry.Token] = entry.Step
		c.responseTimes.isOrderStale = c.responseTimes.isOrderStale || before == 0
	}
}

func (s *responseTimeTable) removeStep(token directory.Token) {
	delete(s.steps, token)
	delete(s.receivedAt, token)
	s.isOrderStale = true
}

// updateRefreshOrder rebuilds the refresh order if it is stale. An order too long for one
// message is rebuilt only after a full pass.
func (s *responseTimeTable) updateRefreshOrder() {
	isLong := len(s.refreshOrder) > maxStepsPerNodeMessage
	if !s.isOrderStale || isLong && s.nodeCursor != 0 {
		return
	}
	s.isOrderStale = false
	s.refreshOrder = slices.Sorted(maps.Keys(s.steps))
}

// nextRefresh returns the next steps to refresh and advances the cursor.
func (s *responseTimeTable) nextRefresh(cursor *int) []speed.TargetStep {
	due := min(len(s.refreshOrder)*int(responseTimeInterval)/int(stepRefreshInterval)+1, maxStepsPerNodeMessage)
	from := min(*cursor, len(s.refreshOrder))
	to := min(from+due, len(s.refreshOrder))
	*cursor = to
	if to == len(s.refreshOrder) {
		*cursor = 0
	}
	return s.stepsOf(s.refreshOrder[from:to])
}

func (s *responseTimeTable) stepsOf(tokens []directory.Token) []speed.TargetStep {
	var steps []speed.TargetStep
	for _, token := range tokens {
		steps = append(steps, speed.TargetStep{Token: token, Step: s.steps[token]})
	}
	return steps
}

// sendStepsToNodes sends nodes the changed steps and some of the others to refresh them. A
// new node also gets all steps, in parts.
func (c *Core) sendStepsToNodes() {
	c.responseTimes.updateRefreshOrder()
	steps := c.responseTimes.stepsOf(c.responseTimes.unsentSteps.pop(maxStepsPerNodeMessage))
	steps = append(steps, c.responseTimes.nextRefresh(&c.responseTimes.nodeCursor)...)
	shared := speed.StepFrame(c.responseTimes.term, steps)
	for _, connection := range c.sortedConnections() {
		if initial := c.nextInitialSteps(c.nodes[connection]); len(initial) > 0 {
			c.sendToNode(connection, speed.StepFrame(c.responseTimes.term, slices.Concat(steps, initial)))
		} else if len(steps) > 0 {
			c.sendToNode(connection, shared)
		}
	}
}

// nextInitialSteps returns the next part of the steps that a new node has not been sent
// yet.
func (c *Core) nextInitialSteps(node *subscription) []speed.TargetStep {
	from := min(node.stepsSent, len(c.responseTimes.refreshOrder))
	to := min(from+maxStepsPerNodeMessage, len(c.responseTimes.refreshOrder))
	if node.hasAllSteps {
		return nil
	}
	node.stepsSent = to
	node.hasAllSteps = to == len(c.responseTimes.refreshOrder)
	return c.responseTimes.stepsOf(c.responseTimes.refreshOrder[from:to])
}

// sweepResponseTimes removes expired reports, those of departed nodes and members, and the
// steps of ended targets.
func (c *Core) sweepResponseTimes(now kernel.Instant) {
	if now.Before(c.responseTimes.nextSweep) {
		return
	}
	c.responseTimes.nextSweep = now.Add(speed.SweepInterval)
	left := c.responseTimes.nodeSums.RetainSources(now, func(connection ConnectionID) bool { return c.nodes[connection] != nil })
	slices.Sort(left)
	for _, token := range left {
		c.responseTimes.unsentSums.push(token)
	}
	c.responseTimes.nodeSums.Sweep(now)
	group := map[string]bool{}
	for _, member := range c.state.Members() {
		group[member.Address] = true
	}
	c.responseTimes.memberSums.RetainSources(now, func(address string) bool { return group[address] })
	c.responseTimes.memberSums.Sweep(now)
	c.sweepSteps(now)
}

// sweepSteps removes the steps of ended targets and, unless this member leads, resets those
// that the leader has not repeated for stepTTL.
func (c *Core) sweepSteps(now kernel.Instant) {
	var expired []speed.TargetStep
	for token := range c.responseTimes.steps {
		target, known := c.state.TargetByToken(token)
		switch {
		case !known || target.State == directory.TargetEnded:
			c.responseTimes.removeStep(token)
		case !c.IsLeader() && now.Sub(c.responseTimes.receivedAt[token]) > stepTTL:
			expired = append(expired, speed.TargetStep{Token: token})
		}
	}
	c.applySteps(now, expired)
}
