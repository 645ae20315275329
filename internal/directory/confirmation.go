package directory

import (
	"fmt"

	"github.com/beamdoor/beamdoor/internal/wire"
)

// Confirmation identifies an operator's order and states when its caller confirmed it. An order
// may be delivered long after its caller has given up and sent another one, so it is rejected
// if another order about the same subject was applied after Position.
type Confirmation struct {
	// ID is unique, so that two orders with the same content are two commands.
	ID uint64
	// Position is a log position that the caller received before it confirmed the order. It is
	// 0 in commands of releases without confirmations, which are not checked.
	Position uint64
}

// UnconfirmedOrderError reports that an operator's order was not submitted because its caller
// has not confirmed it yet. The caller repeats the order and states Position.
//
// An order can wait for seconds in a socket buffer or on the network, while its caller gives up
// and sends other orders elsewhere. The member that receives it cannot tell it from a new
// order, but only a caller that still waits for the response learns the position.
type UnconfirmedOrderError struct {
	// Step and Peer have the meaning that they have in steperror.Error.
	Step, Peer string
	// Position is the log position to confirm the order with.
	Position uint64
}

var _ error = (*UnconfirmedOrderError)(nil)

// Error formats the step, the peer and the position on one line.
func (e *UnconfirmedOrderError) Error() string {
	return fmt.Sprintf("%s [%s]: the order must be confirmed with log position %d", e.Step, e.Peer, e.Position)
}

func encodeConfirmation(encoder *wire.Encoder, confirmation Confirmation) {
	encoder.Uint64(confirmation.ID)
	encoder.Uint64(confirmation.Position)
}

func decodeConfirmation(decoder *wire.Decoder) Confirmation {
	if !decoder.HasMore() {
		return Confirmation{}
	}
	return Confirmation{ID: decoder.Uint64(), Position: decoder.Uint64()}
}
