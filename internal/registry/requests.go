package registry

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/raft"
	"github.com/beamdoor/beamdoor/internal/steperror"
)

// resendInterval is the time after which an unanswered request is forwarded again.
const resendInterval = 250 * time.Millisecond

const (
	// maxInFlight limits the requests of a member that are pending at the leader. Further
	// requests wait at the member.
	maxInFlight = 64
	// maxPending limits the requests that wait at a member. Further requests are rejected
	// at
	// once, so that callers try another member.
	maxPending = 256
)

// errOverloaded rejects a request because maxPending is reached.
var errOverloaded = steperror.New("registry.request", "", "too many pending requests")

// Submit submits a command to the group. The outcome is delivered under the returned ticket
// once this member has applied the command.
func (c *Core) Submit(now kernel.Instant, command directory.Command) (Ticket, Output) {
	return c.openRequest(now, &request{command: directory.EncodeCommand(command)})
}

// Read starts a linearizable read. The outcome is delivered once this member has applied
// the
// log up to the confirmed index.
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

// admit starts a request, or adds the waiter to an open request with the same command.
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

// dispatchRequest proposes a request at the leader, or forwards it to the leader.
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

// handleAsLeader proposes the command of a request, or confirms leadership for a read.
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

// confirmReads answers the reads that arrived before the last confirmation of this leader
// by
// a quorum.
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

// recordResult stores the result of a request.
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

// completeAnswered completes the requests whose result this member has applied.
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

// complete ends a request and notifies its waiters. Forwarding members are notified of
// success only and retry otherwise.
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

// tickRequests resends requests after a timeout or change of leader and fails those past
// their deadline. Commands are idempotent and may be repeated.
func (c *Core) tickRequests(now kernel.Instant) {
	c.countInFlight(now)
	for _, open := range c.sortedRequests() {
		if !now.Before(open.deadline) {
			c.logEvent(eventlog.RequestGivenUp, "ticket", open.ticket, "command", len(open.command) > 0)
			c.complete(open, steperror.New("registry.request", "", "timed out waiting for the group"))
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

// isInFlight reports whether a request was sent in the current term within resendInterval.
func (c *Core) isInFlight(now kernel.Instant, open *request) bool {
	return open.sentTerm == c.replica.Node.Term() && now.Sub(open.sentAt) < resendInterval
}

// countInFlight recounts the requests pending at the leader.
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
