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
	// speedInterval is the time between two words of a member, to the leader and to nodes.
	speedInterval = 500 * time.Millisecond
	// speedSettling is how long a leader hears words before it tells what it makes of them:
	// those of all members, and of nodes that have just come to them.
	speedSettling = 6 * speedInterval
	// estimatePause is the time between two estimates for each target, so that a leader of
	// many targets keeps its time.
	estimatePause = 100 * time.Microsecond
	// speedMemory is how long a new leader leaves a target as it was told before while no
	// member says anything of it.
	speedMemory = 5 * time.Minute
	// stepMemory is how long a member keeps what the leader does not tell again: that a
	// target takes the usual time is told once, and may be lost.
	stepMemory = 10 * time.Minute
	// countOfNode bounds the samples of one node in the sums of a target: one that lies, or
	// whose link is choked, is one of many.
	countOfNode = 16
	// summedAtOnce bounds the targets in a word to the leader to 1 kB, changedAtOnce those
	// that the leader changes to 2.5 kB to each member. A node is told no more than
	// toldAtOnce that have changed and as many others, 0.6 kB, and half as much more while
	// it is new.
	summedAtOnce  = 128
	changedAtOnce = 512
	toldAtOnce    = 64
	// speedRepeat is the time in which all that is told is told again, where a word holds
	// as much.
	speedRepeat = 30 * time.Second
)

// responseTimeTable holds how long targets take, as nodes and members tell it.
type responseTimeTable struct {
	// nodes are the words of the nodes that follow this member, members those of the
	// members at the leader.
	nodes   speed.Table[ConnectionID]
	members speed.Table[string]
	// unsent are the targets of which the leader was not told the newest sums, in the
	// order in which they are told.
	unsent tokenQueue
	// leader is the address of the leader that was told, and leadsSince when this member
	// began to lead, or 0.
	leader     string
	leadsSince kernel.Instant
	// term is that of the leader that told last, and told what it told, without targets
	// that take the usual time.
	term uint64
	told map[directory.Token]speed.Step
	// heard is when each of these was told last.
	heard map[directory.Token]kernel.Instant
	// order are the targets of told; it is made anew when isStale is set. The turns are
	// those that members and nodes are told again next.
	order                []directory.Token
	isStale              bool
	memberTurn, nodeTurn int
	// changed are those of which nodes were not told the newest.
	changed tokenQueue
	// uneven are the services whose targets are known to differ.
	uneven                    map[string]bool
	next, estimateAt, sweepAt kernel.Instant
}

func newResponseTimeTable() responseTimeTable {
	return responseTimeTable{
		nodes:   speed.NewTable[ConnectionID](speed.HalfLife),
		members: speed.NewTable[string](speed.MemberHalfLife),
		unsent:  newTokenQueue(),
		told:    map[directory.Token]speed.Step{},
		heard:   map[directory.Token]kernel.Instant{},
		changed: newTokenQueue(),
		uneven:  map[string]bool{},
	}
}

// tokenQueue is a queue that holds each target once.
type tokenQueue struct {
	tokens []directory.Token
	held   map[directory.Token]bool
}

func newTokenQueue() tokenQueue { return tokenQueue{held: map[directory.Token]bool{}} }

func (q *tokenQueue) push(token directory.Token) {
	if !q.held[token] {
		q.held[token] = true
		q.tokens = append(q.tokens, token)
	}
}

// pop takes no more than a number of targets.
func (q *tokenQueue) pop(most int) []directory.Token {
	count := min(most, len(q.tokens))
	taken := slices.Clone(q.tokens[:count])
	q.tokens = slices.Delete(q.tokens, 0, count)
	for _, token := range taken {
		delete(q.held, token)
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
		c.speeds.nodes.Record(now, connection, word.Token, word.Capped(countOfNode))
		c.speeds.unsent.push(word.Token)
	}
}

// tickResponseTimes passes on what was learned: to the leader, and to the nodes.
func (c *Core) tickResponseTimes(now kernel.Instant) {
	if now.Before(c.speeds.next) {
		return
	}
	c.speeds.next = now.Add(speedInterval)
	c.followLeader(now)
	c.tellSums(now)
	if c.IsLeader() && now.Sub(c.speeds.leadsSince) >= speedSettling {
		c.tellMembersSpeeds(now)
	}
	c.tellNodesSpeeds()
	c.sweepSpeeds(now)
}

// followLeader has a new leader told of all targets.
func (c *Core) followLeader(now kernel.Instant) {
	leader := c.address(c.replica.Node.Leader())
	if leader == c.speeds.leader {
		return
	}
	c.speeds.leader = leader
	c.speeds.leadsSince = now
	c.speeds.members = speed.NewTable[string](speed.MemberHalfLife)
	for _, token := range c.speeds.nodes.Tokens() {
		c.speeds.unsent.push(token)
	}
}

// tellSums tells the leader, or notes for itself, the sums that have changed.
func (c *Core) tellSums(now kernel.Instant) {
	if c.speeds.leader == "" {
		return
	}
	var words []speed.Report
	for _, token := range c.speeds.unsent.pop(summedAtOnce) {
		words = append(words, speed.Report{Token: token, Sums: c.speeds.nodes.Total(now, token)})
	}
	if len(words) == 0 {
		return
	}
	if c.IsLeader() {
		c.noteSums(now, c.settings.Address, words)
		return
	}
	c.sendToMember(c.speeds.leader, speed.ReportFrame(c.settings.Address, words))
}

func (c *Core) noteSums(now kernel.Instant, member string, words []speed.Report) {
	for _, word := range words {
		c.speeds.members.Record(now, member, word.Token, word.Sums)
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
			c.noteSums(now, message.Source, message.Reports)
		}
		return nil
	}
	if message.Term < c.speeds.term {
		return nil
	}
	c.speeds.term = message.Term
	c.setSteps(now, message.Steps)
	return nil
}

// tellMembersSpeeds tells the members the targets whose step changes and a part of the
// rest.
func (c *Core) tellMembersSpeeds(now kernel.Instant) {
	c.speeds.term = c.replica.Term
	list := append(c.estimateSpeeds(now), c.speeds.repeated(&c.speeds.memberTurn)...)
	c.setSteps(now, list)
	if len(list) == 0 {
		return
	}
	frame := speed.StepFrame(c.speeds.term, list)
	for _, member := range c.state.Members() {
		c.sendToMember(member.Address, frame)
	}
}

// estimateSpeeds works out how long targets take, and returns those whose step changes,
// the farthest first.
func (c *Core) estimateSpeeds(now kernel.Instant) []speed.TargetStep {
	if now.Before(c.speeds.estimateAt) {
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
	maps.DeleteFunc(c.speeds.uneven, func(service string, _ bool) bool { return services[service] == nil })
	c.speeds.estimateAt = now.Add(time.Duration(count) * estimatePause)
	var changes []speed.TargetStep
	for _, service := range slices.Sorted(maps.Keys(services)) {
		tokens := services[service]
		slices.Sort(tokens)
		changes = append(changes, c.estimateService(now, service, tokens)...)
	}
	slices.SortStableFunc(changes, func(a, b speed.TargetStep) int {
		return cmp.Compare(c.speeds.distance(b), c.speeds.distance(a))
	})
	return changes[:min(changedAtOnce, len(changes))]
}

// distance returns how far a step is from what was told before.
func (s *responseTimeTable) distance(told speed.TargetStep) int {
	distance := int(told.Step) - int(s.told[told.Token])
	return max(distance, -distance)
}

// estimateService returns the targets of a service whose step changes.
func (c *Core) estimateService(now kernel.Instant, service string, tokens []directory.Token) []speed.TargetStep {
	sums := make([]speed.Sums, len(tokens))
	for position, token := range tokens {
		sums[position] = c.speeds.members.Total(now, token)
	}
	var changes []speed.TargetStep
	var slowest, fastest speed.Step
	for position, estimate := range speed.Estimate(sums) {
		before := c.speeds.told[tokens[position]]
		next := before.Next(estimate)
		if sums[position].Count < speed.MinCount && now.Sub(c.speeds.leadsSince) < speedMemory {
			next = before
		}
		if next != before {
			changes = append(changes, speed.TargetStep{Token: tokens[position], Step: next})
		}
		slowest = max(slowest, next)
		fastest = min(fastest, next)
	}
	c.noteUneven(service, slowest, fastest)
	return changes
}

// unevenRatio is the ratio of the slowest to the fastest target from which on a service
// is uneven; it is even again below evenRatio.
const (
	unevenRatio = 1.5
	evenRatio   = 1.2
)

// noteUneven logs when the targets of a service turn out to differ, or not to any more.
func (c *Core) noteUneven(service string, slowest, fastest speed.Step) {
	ratio := slowest.TimeRatio() / fastest.TimeRatio()
	switch {
	case !c.speeds.uneven[service] && ratio >= unevenRatio:
		c.speeds.uneven[service] = true
		c.logEvent(eventlog.SpeedsDiffer, "service", service, "slowest", slowest.TimeRatio(), "fastest", fastest.TimeRatio())
	case c.speeds.uneven[service] && ratio < evenRatio:
		delete(c.speeds.uneven, service)
		c.logEvent(eventlog.SpeedsAlike, "service", service, "slowest", slowest.TimeRatio(), "fastest", fastest.TimeRatio())
	}
}

// setSteps takes what the leader tells; nodes are told of it.
func (c *Core) setSteps(now kernel.Instant, list []speed.TargetStep) {
	for _, told := range list {
		before := c.speeds.told[told.Token]
		if told.Step != 0 {
			c.speeds.heard[told.Token] = now
		}
		if before == told.Step {
			continue
		}
		c.speeds.changed.push(told.Token)
		if told.Step == 0 {
			c.speeds.forget(told.Token)
			continue
		}
		c.speeds.told[told.Token] = told.Step
		c.speeds.isStale = c.speeds.isStale || before == 0
	}
}

func (s *responseTimeTable) forget(token directory.Token) {
	delete(s.told, token)
	delete(s.heard, token)
	s.isStale = true
}

// setOrder makes the order anew. A long one is left as it is until it is told whole.
func (s *responseTimeTable) setOrder() {
	isLong := len(s.order) > toldAtOnce
	if !s.isStale || isLong && s.nodeTurn != 0 {
		return
	}
	s.isStale = false
	s.order = slices.Sorted(maps.Keys(s.told))
}

// repeated returns the part of all that is told which is due again, from a turn on.
func (s *responseTimeTable) repeated(turn *int) []speed.TargetStep {
	due := min(len(s.order)*int(speedInterval)/int(speedRepeat)+1, toldAtOnce)
	from := min(*turn, len(s.order))
	to := min(from+due, len(s.order))
	*turn = to
	if to == len(s.order) {
		*turn = 0
	}
	return s.list(s.order[from:to])
}

func (s *responseTimeTable) list(tokens []directory.Token) []speed.TargetStep {
	var list []speed.TargetStep
	for _, token := range tokens {
		list = append(list, speed.TargetStep{Token: token, Step: s.told[token]})
	}
	return list
}

// tellNodesSpeeds tells nodes what has changed and a part of the rest; a node that has
// come lately is told all of it part by part.
func (c *Core) tellNodesSpeeds() {
	c.speeds.setOrder()
	list := c.speeds.list(c.speeds.changed.pop(toldAtOnce))
	list = append(list, c.speeds.repeated(&c.speeds.nodeTurn)...)
	shared := speed.StepFrame(c.speeds.term, list)
	for _, connection := range c.sortedConnections() {
		if own := c.firstSteps(c.nodes[connection]); len(own) > 0 {
			c.sendToNode(connection, speed.StepFrame(c.speeds.term, slices.Concat(list, own)))
		} else if len(list) > 0 {
			c.sendToNode(connection, shared)
		}
	}
}

// firstSteps returns the next part of what a node that has come lately was not told yet.
func (c *Core) firstSteps(node *subscription) []speed.TargetStep {
	from := min(node.stepsSent, len(c.speeds.order))
	to := min(from+toldAtOnce, len(c.speeds.order))
	if node.hasAllSteps {
		return nil
	}
	node.stepsSent = to
	node.hasAllSteps = to == len(c.speeds.order)
	return c.speeds.list(c.speeds.order[from:to])
}

// sweepSpeeds forgets targets that have ended and words that count no more.
func (c *Core) sweepSpeeds(now kernel.Instant) {
	if now.Before(c.speeds.sweepAt) {
		return
	}
	c.speeds.sweepAt = now.Add(speed.SweepInterval)
	left := c.speeds.nodes.RetainSources(now, func(connection ConnectionID) bool { return c.nodes[connection] != nil })
	slices.Sort(left)
	for _, token := range left {
		c.speeds.unsent.push(token)
	}
	c.speeds.nodes.Sweep(now)
	group := map[string]bool{}
	for _, member := range c.state.Members() {
		group[member.Address] = true
	}
	c.speeds.members.RetainSources(now, func(address string) bool { return group[address] })
	c.speeds.members.Sweep(now)
	c.sweepSteps(now)
}

func (c *Core) sweepSteps(now kernel.Instant) {
	var old []speed.TargetStep
	for token := range c.speeds.told {
		target, known := c.state.TargetByToken(token)
		switch {
		case !known || target.State == directory.TargetEnded:
			c.speeds.forget(token)
		case !c.IsLeader() && now.Sub(c.speeds.heard[token]) > stepMemory:
			old = append(old, speed.TargetStep{Token: token})
		}
	}
	c.setSteps(now, old)
}
