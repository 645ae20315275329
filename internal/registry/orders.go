package registry

import (
	"context"
	"errors"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/steperror"
)

// AppliedPosition returns the log position up to which this member has applied the log, or 0 if
// it has no state.
func (c *Core) AppliedPosition() uint64 { return c.replica.Applied }

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
		case core.AppliedPosition() == 0:
			refusal = steperror.New(step, p.settings.Name, "this member has no state yet")
		default:
			refusal = &directory.UnconfirmedOrderError{Step: step, Peer: p.settings.Name, Position: core.AppliedPosition()}
			p.logger.Event(eventlog.OrderUnconfirmed, append(fields, "position", core.AppliedPosition())...)
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
