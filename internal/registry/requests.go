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
	// maxPending limits the open requests of a member, in flight or waiting. Further
	// requests are rejected at once, so that callers try another member.
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
// the log up to the confirmed index.
func (c *Core) Read(now kernel.Instant) (Ticket, Output) {
	return c.openRequest(now, &request{})
}

func (c *Core) openRequest(now kernel.Instant, req *request) (Ticket, Output) {
	c.lastTicket++
	ticket := c.lastTicket
	c.admit(now, req, waiter{ticket: ticket})
	c.flush(now)
	return ticket, c.takeOutput()
}

// admit starts a request, or adds the waiter to an open request with the same command.
func (c *Core) admit(now kernel.Instant, req *request, w waiter) {
	key := string(req.command)
	if same, exists := c.commands[key]; exists && key != "" {
		same.waiters = append(same.waiters, w)
		return
	}
	if len(c.requests) >= maxPending && !req.forwarded {
		c.output.Outcomes = append(c.output.Outcomes, Outcome{Ticket: w.ticket, Err: errOverloaded})
		return
	}
	c.lastTicket++
	req.ticket = c.lastTicket
	req.openedAt = now
	req.deadline = now.Add(c.settings.RequestTimeout)
	req.waiters = []waiter{w}
	c.requests[req.ticket] = req
	if key != "" {
		c.commands[key] = req
	}
	if c.replica.Err != nil {
		c.complete(req, c.replica.Err)
		return
	}
	c.dispatchRequest(now, req)
}

// dispatchRequest proposes a request if this member is the leader, and forwards it to the
// leader otherwise.
func (c *Core) dispatchRequest(now kernel.Instant, req *request) {
	if c.replica.Node == nil {
		return
	}
	if c.IsLeader() {
		c.handleAsLeader(now, req)
		return
	}
	leader := c.replica.Node.Leader()
	if leader == raft.NoMember || req.forwarded || c.inFlight >= maxInFlight {
		return
	}
	c.inFlight++
	req.sentTerm = c.replica.Node.Term()
	req.sentAt = now
	message := forward{Origin: c.settings.Address, Ticket: req.ticket, Command: req.command}
	c.sendToMember(c.address(leader), message.frame())
}

// handleAsLeader proposes the command of a request, or confirms leadership for a read.
func (c *Core) handleAsLeader(now kernel.Instant, req *request) {
	if len(req.command) == 0 {
		req.sentTerm = c.replica.Node.Term()
		req.sentAt = now
		c.replica.Node.BroadcastHeartbeat(now)
		c.confirmReads(now)
		return
	}
	if req.sentTerm == c.replica.Node.Term() {
		return
	}
	if c.isAddressTaken(now, req.command) {
		c.recordResult(req.ticket, directory.Result{Code: directory.CodeAddressInUse})
		return
	}
	index, term, err := c.replica.Node.Propose(now, req.command)
	if err != nil {
		return
	}
	req.sentTerm = term
	c.proposals[index] = proposal{ticket: req.ticket, term: term}
}

// confirmReads answers the reads that arrived before the last confirmation of this leader
// by a quorum.
func (c *Core) confirmReads(now kernel.Instant) {
	if !c.IsLeader() {
		return
	}
	for _, req := range c.requests {
		if len(req.command) == 0 && !req.answered && c.replica.Node.ConfirmedSince(now, req.openedAt) {
			c.recordResult(req.ticket, directory.Result{Revision: c.replica.Node.Commit()})
		}
	}
}

func (c *Core) receiveForward(now kernel.Instant, payload []byte) error {
	message, err := decodeForward(payload)
	if err != nil || !c.IsLeader() {
		return err
	}
	req := &request{command: append([]byte(nil), message.Command...), forwarded: true}
	c.admit(now, req, waiter{origin: message.Origin, ticket: message.Ticket})
	return nil
}

// receiveForwardReply stores the leader's result of a forwarded request. Replies without an
// open request answer a resent request, or one that was sent before a restart of this member.
func (c *Core) receiveForwardReply(payload []byte) error {
	message, err := decodeForwardReply(payload)
	if err != nil {
		return err
	}
	if _, open := c.requests[message.Ticket]; !open {
		c.logEvent(eventlog.ReplyUnmatched, "ticket", message.Ticket, "code", message.Result.Code, "revision", message.Result.Revision)
		return nil
	}
	c.recordResult(message.Ticket, message.Result)
	return nil
}

// recordResult stores the result of a request.
func (c *Core) recordResult(ticket Ticket, result directory.Result) {
	req, exists := c.requests[ticket]
	if !exists {
		return
	}
	if !req.answered {
		c.answered = append(c.answered, ticket)
	}
	req.answered = true
	req.result = result
}

// completeAnswered completes the answered requests once this member has applied the log up
// to the revision of their results.
func (c *Core) completeAnswered(now kernel.Instant) {
	if len(c.requests) == 0 {
		return
	}
	c.confirmReads(now)
	remaining := c.answered[:0]
	for _, ticket := range c.answered {
		req, exists := c.requests[ticket]
		switch {
		case !exists:
		case c.replica.Applied < req.result.Revision:
			remaining = append(remaining, ticket)
		default:
			c.complete(req, nil)
		}
	}
	c.answered = remaining
}

// complete ends a request and notifies its waiters. Forwarding members are notified of
// success only and retry otherwise.
func (c *Core) complete(req *request, err error) {
	delete(c.requests, req.ticket)
	if c.commands[string(req.command)] == req {
		delete(c.commands, string(req.command))
	}
	for _, w := range req.waiters {
		if w.origin == "" {
			c.output.Outcomes = append(c.output.Outcomes, Outcome{Ticket: w.ticket, Result: req.result, Err: err})
			continue
		}
		if err == nil {
			c.sendToMember(w.origin, forwardReply{Ticket: w.ticket, Result: req.result}.frame())
		}
	}
}

func (c *Core) failRequests(err error) {
	for _, req := range c.sortedRequests() {
		c.complete(req, err)
	}
}

// tickRequests resends requests after a timeout or change of leader and fails those past
// their deadline. Commands are idempotent and may be repeated.
func (c *Core) tickRequests(now kernel.Instant) {
	c.countInFlight(now)
	for _, req := range c.sortedRequests() {
		if !now.Before(req.deadline) {
			c.logEvent(eventlog.RequestGivenUp, "ticket", req.ticket, "command", len(req.command) > 0)
			c.complete(req, steperror.New("registry.request", "", "timed out waiting for the group"))
			continue
		}
		if req.answered || c.replica.Node == nil {
			continue
		}
		if !c.isInFlight(now, req) {
			c.dispatchRequest(now, req)
		}
	}
	c.flush(now)
}

// isInFlight reports whether a request was sent in the current term within resendInterval.
func (c *Core) isInFlight(now kernel.Instant, req *request) bool {
	return req.sentTerm == c.replica.Node.Term() && now.Sub(req.sentAt) < resendInterval
}

// countInFlight recounts the requests pending at the leader.
func (c *Core) countInFlight(now kernel.Instant) {
	c.inFlight = 0
	if c.replica.Node == nil {
		return
	}
	for _, req := range c.requests {
		if !req.answered && c.isInFlight(now, req) {
			c.inFlight++
		}
	}
}
