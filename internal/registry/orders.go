package registry

import (
	"context"
	"errors"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
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

// submitOrder submits the order that prepare returns, or returns a
// directory.UnconfirmedOrderError if position is 0. The fields describe the order in the log.
func (p *Process) submitOrder(ctx context.Context, position uint64, fields []any, prepare func(core *Core) (directory.Command, error)) (directory.Result, error) {
	const step = "registry.order"
	var refusal error
	result, err := p.call(ctx, func(core *Core, now kernel.Instant) (Ticket, Output) {
		command, err := prepare(core)
		switch {
		case err != nil:
			refusal = err
		case position > 0:
			return core.SubmitOrder(now, command, position)
		default:
			refusal = &directory.UnconfirmedOrderError{Step: step, Peer: p.settings.Name, Position: core.OrderPosition()}
			p.logger.Event(eventlog.OrderUnconfirmed, append(fields, "position", core.OrderPosition())...)
		}
		return 0, Output{}
	})
	if err != nil {
		return directory.Result{}, err
	}
	return result, refusal
}

// isUnconfirmed reports whether an order was not submitted since its caller has to confirm it.
func isUnconfirmed(err error) bool {
	var unconfirmed *directory.UnconfirmedOrderError
	return errors.As(err, &unconfirmed)
}
