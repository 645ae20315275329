package registry

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/raft"
	"github.com/beamdoor/beamdoor/internal/steperror"
)

// resendInterval is the time after which a request is handed on once more.
const resendInterval = 250 * time.Millisecond

const (
	// maxInFlight is the number of requests that a member has with the leader at
	// a time. The others wait here, where they cost the leader nothing.
	maxInFlight = 64
	// maxPending is the number of requests that wait at a member; more are refused
	// at once, so that their callers go elsewhere.
	maxPending = 256
)

// errOverloaded refuses a request that found too many others waiting.
var errOverloaded = steperror.New("registry.request", "", "too many requests are waiting")

// Submit hands a command to the group. The outcome follows under the ticket
// that is returned; it is delivered once this member has applied the command.
func (c *Core) Submit(now kernel.Instant, command directory.Command) (Ticket, Output) {
	return c.openRequest(now, &request{command: directory.EncodeCommand(command)})
}

// Read asks for the position that a linearizable read must see. The outcome
// is delivered once this member has applied the log that far.
func (c *Core) Read(now kernel.Instant) (Ticket, Output) {
	return c.openRequest(now, &request{})
}

func (c *Core) openRequest(now kernel.Instant, opened *request) (Ticket, Output) {
	c.lastTicket++
	ticket := c.lastTicket
	c.admit(now, opened, waiter{ticket: ticket})
	c.flush(now)
	return ticket, c.takeOutput()
}

// admit begins a request, or lets the waiter join the open one that asks for
// the same.
func (c *Core) admit(now kernel.Instant, opened *request, waiting waiter) {
	key := string(opened.command)
	if same, exists := c.commands[key]; exists && key != "" {
		same.waiters = append(same.waiters, waiting)
		return
	}
	if len(c.requests) >= maxPending && !opened.forwarded {
		c.output.Outcomes = append(c.output.Outcomes, Outcome{Ticket: waiting.ticket, Err: errOverloaded})
		return
	}
	c.lastTicket++
	opened.ticket = c.lastTicket
	opened.openedAt = now
	opened.deadline = now.Add(c.settings.RequestTimeout)
	opened.waiters = []waiter{waiting}
	c.requests[opened.ticket] = opened
	if key != "" {
		c.commands[key] = opened
	}
	if c.replica.Failed != nil {
		c.complete(opened, c.replica.Failed)
		return
	}
	c.dispatchRequest(now, opened)
}

// dispatchRequest proposes the request here, or sends it to the leader.
func (c *Core) dispatchRequest(now kernel.Instant, open *request) {
	if c.replica.Node == nil {
		return
	}
	if c.IsLeader() {
		c.handleAsLeader(now, open)
		return
	}
	leader := c.replica.Node.Leader()
	if leader == raft.NoMember || open.forwarded || c.inFlight >= maxInFlight {
		return
	}
	c.inFlight++
	open.sentTerm = c.replica.Node.Term()
	open.sentAt = now
	message := forward{Origin: c.settings.Address, Ticket: open.ticket, Command: open.command}
	c.sendToMember(c.address(leader), message.frame())
}

// handleAsLeader serves a request on the leader.
func (c *Core) handleAsLeader(now kernel.Instant, open *request) {
	if len(open.command) == 0 {
		open.sentTerm = c.replica.Node.Term()
		open.sentAt = now
		c.replica.Node.Confirm(now)
		c.confirmReads(now)
		return
	}
	if open.sentTerm == c.replica.Node.Term() {
		return
	}
	if c.isAddressTaken(now, open.command) {
		c.recordResult(open.ticket, directory.Result{Code: directory.CodeTaken})
		return
	}
	index, term, err := c.replica.Node.Propose(now, open.command)
	if err != nil {
		return
	}
	open.sentTerm = term
	c.proposals[index] = proposal{ticket: open.ticket, term: term}
}

// confirmReads answers the reads that came before a quorum last confirmed
// this leader.
func (c *Core) confirmReads(now kernel.Instant) {
	if !c.IsLeader() {
		return
	}
	for _, open := range c.requests {
		if len(open.command) == 0 && !open.answered && c.replica.Node.ConfirmedSince(now, open.openedAt) {
			c.recordResult(open.ticket, directory.Result{Revision: c.replica.Node.Commit()})
		}
	}
}

func (c *Core) receiveForward(now kernel.Instant, payload []byte) error {
	message, err := decodeForward(payload)
	if err != nil || !c.IsLeader() {
		return err
	}
	opened := &request{command: append([]byte(nil), message.Command...), forwarded: true}
	c.admit(now, opened, waiter{origin: message.Origin, ticket: message.Ticket})
	return nil
}

func (c *Core) receiveForwarded(payload []byte) error {
	message, err := decodeForwarded(payload)
	if err != nil {
		return err
	}
	c.recordResult(message.Ticket, message.Result)
	return nil
}

// recordResult notes the result of a request.
func (c *Core) recordResult(ticket Ticket, result directory.Result) {
	open, waiting := c.requests[ticket]
	if !waiting {
		return
	}
	if !open.answered {
		c.answered = append(c.answered, ticket)
	}
	open.answered = true
	open.result = result
}

// completeAnswered ends the requests whose result this member has applied.
func (c *Core) completeAnswered(now kernel.Instant) {
	if len(c.requests) == 0 {
		return
	}
	c.confirmReads(now)
	waiting := c.answered[:0]
	for _, ticket := range c.answered {
		open, exists := c.requests[ticket]
		switch {
		case !exists:
		case c.replica.Applied < open.result.Revision:
			waiting = append(waiting, ticket)
		default:
			c.complete(open, nil)
		}
	}
	c.answered = waiting
}

// complete ends a request and tells its waiters. Members that forwarded it hear
// only of success; they ask again otherwise.
func (c *Core) complete(open *request, err error) {
	delete(c.requests, open.ticket)
	if c.commands[string(open.command)] == open {
		delete(c.commands, string(open.command))
	}
	for _, waiting := range open.waiters {
		if waiting.origin == "" {
			c.output.Outcomes = append(c.output.Outcomes, Outcome{Ticket: waiting.ticket, Result: open.result, Err: err})
			continue
		}
		if err == nil {
			c.sendToMember(waiting.origin, forwarded{Ticket: waiting.ticket, Result: open.result}.frame())
		}
	}
}

func (c *Core) failRequests(err error) {
	for _, open := range c.sortedRequests() {
		c.complete(open, err)
	}
}

// tickRequests hands requests on again after a change of leader, and gives up
// those that waited too long. Commands may be repeated without harm.
func (c *Core) tickRequests(now kernel.Instant) {
	c.countInFlight(now)
	for _, open := range c.sortedRequests() {
		if !now.Before(open.deadline) {
			c.logEvent(eventlog.RequestGivenUp, "ticket", open.ticket, "command", len(open.command) > 0)
			c.complete(open, steperror.New("registry.request", "", "the group did not answer in time"))
			continue
		}
		if open.answered || c.replica.Node == nil {
			continue
		}
		if !c.isInFlight(now, open) {
			c.dispatchRequest(now, open)
		}
	}
	c.flush(now)
}

// isInFlight reports whether a request was handed on in this term and not too
// long ago.
func (c *Core) isInFlight(now kernel.Instant, open *request) bool {
	return open.sentTerm == c.replica.Node.Term() && now.Sub(open.sentAt) < resendInterval
}

// countInFlight counts the requests that the leader has.
func (c *Core) countInFlight(now kernel.Instant) {
	c.inFlight = 0
	if c.replica.Node == nil {
		return
	}
	for _, open := range c.requests {
		if !open.answered && c.isInFlight(now, open) {
			c.inFlight++
		}
	}
}
