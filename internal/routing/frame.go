package routing

import (
	"google.golang.org/protobuf/proto"

	beamdoorv1 "github.com/beamdoor/beamdoor/api/beamdoor/v1"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/steperror"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// HandleControlFrame handles a frame from the control plane. It rejects a frame
// that is malformed or of an unexpected kind without a change of state.
func (r *Router) HandleControlFrame(now kernel.Instant, frame wire.Frame) ([]Action, error) {
	const step = "routing.control_frame"
	decoder := wire.NewDecoder(frame.Payload)
	switch frame.Kind {
	case wire.FrameGrant:
		grant := wire.DecodeGrant(decoder)
		if err := decoder.Err(step); err != nil {
			return nil, err
		}
		return r.HandleGrant(now, grant), nil
	case wire.FrameSignals:
		signals := wire.DecodeSignals(decoder)
		if err := decoder.Err(step); err != nil {
			return nil, err
		}
		return r.HandleSignals(now, signals), nil
	case wire.FrameConfig:
		config := &beamdoorv1.CellConfig{}
		if err := proto.Unmarshal(frame.Payload, config); err != nil {
			return nil, steperror.Wrap(step, "", err)
		}
		return r.HandleConfig(now, config), nil
	}
	return nil, steperror.New(step, "", "unexpected frame kind for a balancer")
}
