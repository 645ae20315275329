package directory

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/beamdoor/beamdoor/internal/wire"
)

// Warmup limits the new flows to a target that has just started. Until it is warm, only
// the assigned nodes may send it new flows, each within its share. This limits the total
// rate even if nodes are partitioned from each other.
type Warmup struct {
	// Remaining is the remaining warm-up time when the member wrote it. It is encoded in
	// whole milliseconds.
	Remaining time.Duration
	// Budget is the maximum number of new flows per second; 0 means no limit for any
	// node.
	Budget uint32
	// AssignedNodes are the nodes that share the budget, by NodeKey.
	AssignedNodes []uint32
}

// NodeKey returns the key of a node in Warmup.AssignedNodes.
func NodeKey(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// Share returns the number of new flows per second that a node may send; bounded is false
// if there is no limit.
func (w Warmup) Share(node uint32) (share uint32, bounded bool) {
	if w.Budget == 0 {
		return 0, false
	}
	for _, key := range w.AssignedNodes {
		if key == node {
			return w.Budget / uint32(len(w.AssignedNodes)), true
		}
	}
	return 0, true
}

// nodeKeySize is the encoded size of a node key in bytes.
const nodeKeySize = 4

func encodeWarmup(encoder *wire.Encoder, warmup Warmup) {
	encoder.Uint32(uint32(warmup.Remaining.Milliseconds()))
	encoder.Uint32(warmup.Budget)
	encoder.Uint32(uint32(len(warmup.AssignedNodes)))
	for _, key := range warmup.AssignedNodes {
		encoder.Uint32(key)
	}
}

func decodeWarmup(decoder *wire.Decoder) Warmup {
	warmup := Warmup{Remaining: time.Duration(decoder.Uint32()) * time.Millisecond, Budget: decoder.Uint32()}
	for count := decoder.Count(nodeKeySize); count > 0; count-- {
		warmup.AssignedNodes = append(warmup.AssignedNodes, decoder.Uint32())
	}
	return warmup
}

// ServiceWarmup is the warm-up of a service's targets after an evacuation of their zone.
type ServiceWarmup struct {
	Service string
	Warmup  Warmup
}

// minServiceWarmupSize is the minimum encoded size of a service warm-up in bytes.
const minServiceWarmupSize = 16

func encodeServiceWarmups(encoder *wire.Encoder, warmups []ServiceWarmup) {
	encoder.Uint32(uint32(len(warmups)))
	for _, warmup := range warmups {
		encoder.String(warmup.Service)
		encodeWarmup(encoder, warmup.Warmup)
	}
}

func decodeServiceWarmups(decoder *wire.Decoder) []ServiceWarmup {
	var warmups []ServiceWarmup
	for count := decoder.Count(minServiceWarmupSize); count > 0; count-- {
		warmups = append(warmups, ServiceWarmup{Service: decoder.String(), Warmup: decodeWarmup(decoder)})
	}
	return warmups
}
