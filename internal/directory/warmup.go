package directory

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/beamdoor/beamdoor/internal/wire"
)

// Warmup tells how a target that has just started is spared. Only the nodes that
// are named may send it new flows until it is warm, each of them no more than its
// share: so the sum over all nodes is bounded, also when some are cut off and know
// nothing of the others.
type Warmup struct {
	// Remaining is how long the target was still to be cold when its member wrote this.
	// It is kept in whole milliseconds.
	Remaining time.Duration
	// Budget is the number of new flows that the target bears in a second; 0 where
	// none is stated. Then any node may send it flows.
	Budget uint32
	// AssignedNodes are the nodes that share the budget, by NodeKey.
	AssignedNodes []uint32
}

// NodeKey returns the key of a node among the stewards of a target.
func NodeKey(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// Share returns the number of new flows that a node may send in a second; bounded
// is false where any number may be sent.
func (w Warmup) Share(node uint32) (share uint32, bounded bool) {
	if w.Budget == 0 {
		return 0, false
	}
	for _, steward := range w.AssignedNodes {
		if steward == node {
			return w.Budget / uint32(len(w.AssignedNodes)), true
		}
	}
	return 0, true
}

// stewardSize is the encoded size in bytes of a steward.
const stewardSize = 4

func encodeWarmup(encoder *wire.Encoder, warmup Warmup) {
	encoder.Uint32(uint32(warmup.Remaining.Milliseconds()))
	encoder.Uint32(warmup.Budget)
	encoder.Uint32(uint32(len(warmup.AssignedNodes)))
	for _, steward := range warmup.AssignedNodes {
		encoder.Uint32(steward)
	}
}

func decodeWarmup(decoder *wire.Decoder) Warmup {
	warmup := Warmup{Remaining: time.Duration(decoder.Uint32()) * time.Millisecond, Budget: decoder.Uint32()}
	for count := decoder.Count(stewardSize); count > 0; count-- {
		warmup.AssignedNodes = append(warmup.AssignedNodes, decoder.Uint32())
	}
	return warmup
}

// ServiceWarmup is the warm-up of the targets of a service in a zone that is taken
// back: they may be cold.
type ServiceWarmup struct {
	Service string
	Warmup  Warmup
}

// smallestServiceWarmup is the encoded size in bytes of a warm-up of a service
// without a name.
const smallestServiceWarmup = 16

func encodeServiceWarmups(encoder *wire.Encoder, warmups []ServiceWarmup) {
	encoder.Uint32(uint32(len(warmups)))
	for _, warmup := range warmups {
		encoder.String(warmup.Service)
		encodeWarmup(encoder, warmup.Warmup)
	}
}

func decodeServiceWarmups(decoder *wire.Decoder) []ServiceWarmup {
	var warmups []ServiceWarmup
	for count := decoder.Count(smallestServiceWarmup); count > 0; count-- {
		warmups = append(warmups, ServiceWarmup{Service: decoder.String(), Warmup: decodeWarmup(decoder)})
	}
	return warmups
}
