package registry

import (
	"context"
	"errors"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/steperror"
)

// firstPosition is the first log position, which never holds an order.
const firstPosition = 1

// OrderPosition returns the log position for callers to confirm their orders with: the one up to
// which this member has applied the log, or the first one if it has no state yet.
func (c *Core) OrderPosition() uint64 { return max(firstPosition, c.replica.Applied) }

// SubmitOrder submits an operator's order that its caller confirmed with a log position.
func (c *Core) SubmitOrder(now kernel.Instant, command directory.Command, position uint64) (Ticket, Output) {
	c.lastTicket++
	command.Confirmation = directory.Confirmation{ID: uint64(c.lastTicket), Position: position}
	return c.Submit(now, command)
}

// operatorOrder is an order about a zone, a target or a version.
type operatorOrder struct {
	// subject names the kind of what the order is about, and fields describe the order in the log.
	subject string
	fields  []any
	// accepted, refused and unanswered are the events for its outcome.
	accepted, refused, unanswered eventlog.ID
	// prepare returns the command from the state of the member.
	prepare func(core *Core) (directory.Command, error)
	// unknown describes a subject that turns out not to exist when the order is applied.
	unknown *directory.Problem
}

// submitOrder submits an order and returns once a quorum has persisted it. It fails if another
// order about the same subject was applied since the caller confirmed this one with a log
// position. Position 0 returns a directory.UnconfirmedOrderError.
func (p *Process) submitOrder(ctx context.Context, position uint64, order operatorOrder) error {
	result, err := p.callOrder(ctx, position, order)
	var unconfirmed *directory.UnconfirmedOrderError
	var problem *directory.Problem
	switch {
	case errors.As(err, &unconfirmed):
		p.logger.Event(eventlog.OrderUnconfirmed, append(order.fields, "position", unconfirmed.Position)...)
	case errors.As(err, &problem):
		p.logger.Event(order.refused, append(order.fields, "reason", problem)...)
	case err != nil:
		p.logger.Event(order.unanswered, append(order.fields, "err", err)...)
	default:
		p.logger.Event(order.accepted, append(order.fields, "revision", result.Revision)...)
	}
	return err
}

// callOrder submits an order and returns its result, or the error that describes it.
func (p *Process) callOrder(ctx context.Context, position uint64, order operatorOrder) (directory.Result, error) {
	const step = "registry.order"
	var refusal error
	result, err := p.call(ctx, func(core *Core, now kernel.Instant) (Ticket, Output) {
		command, err := order.prepare(core)
		switch {
		case err != nil:
			refusal = err
		case position == 0:
			refusal = &directory.UnconfirmedOrderError{Step: step, Peer: p.settings.Name, Position: core.OrderPosition()}
		default:
			return core.SubmitOrder(now, command, position)
		}
		return 0, Output{}
	})
	switch {
	case err != nil:
		return result, err
	case refusal != nil:
		return result, refusal
	case result.Code == directory.CodeNotFound && order.unknown != nil:
		return result, order.unknown
	case result.Code != directory.CodeDone:
		return result, steperror.New(step, p.settings.Name, "another order about the "+order.subject+" was applied first")
	}
	return result, nil
}
