// Package strength provides what is stated of the machine that a process runs on, and
// what follows from it: a node's part of the work that is shared out, and the bounds
// that a process keeps for itself.
package strength

import (
	"fmt"
	"math"
	"slices"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// Resources is what is stated of a machine. A field that is 0 is not stated.
type Resources struct {
	// CPUShare is the share of a core that the process gets, and CPUCores how many times as
	// fast as one core it is.
	CPUShare, CPUCores float64
	// Memory and Disk are in bytes.
	Memory, Disk int64
	// Descriptors is the number of files and sockets that the process may have open.
	Descriptors int64
	// LinkMbps is the rate of the machine's own link in Mbit/s.
	LinkMbps float64
}

// CPU returns the strength of the processor in cores, or 0 when it is not stated.
func (s Resources) CPU() float64 {
	if s.CPUCores == 0 {
		return s.CPUShare
	}
	return s.CPUShare * s.CPUCores
}

// String returns the fields as the log shows them.
func (s Resources) String() string {
	return fmt.Sprintf("processor=%g memory=%d descriptors=%d link_mbps=%g disk=%d", s.CPU(), s.Memory, s.Descriptors, s.LinkMbps, s.Disk)
}

// Range bounds what a quantity can be meant to be; 0 stands for one that is not stated.
type Range struct{ min, max float64 }

// ReservedDescriptors is the number of descriptors that are kept for files.
const ReservedDescriptors = 200

// minDescriptors leaves a process the sockets without which it cannot work: for
// packets, peers, probes and a caller.
const minDescriptors = ReservedDescriptors + 16

// The ranges of the quantities, in the units of the settings. More processor than
// machines have is a mistake in its unit. Of the others any number is taken, since
// systems state the largest one where there is no limit.
var (
	CPUShareRange    = Range{0.001, 1024}
	CPUCoresRange    = Range{0.01, 1024}
	MegabytesRange   = Range{1, math.MaxInt64}
	DescriptorsRange = Range{minDescriptors, math.MaxInt64}
)

// What is stated counts for no more than these, far above what machines have, so that
// parts and multiples of it are numbers too.
const (
	maxMegabytes   = 1 << 30
	maxDescriptors = 1 << 31
	megabyte       = 1 << 20
)

// MegabytesToBytes returns a stated size in bytes.
func MegabytesToBytes(stated int64) int64 { return min(stated, maxMegabytes) * megabyte }

// ClampDescriptors returns the number of descriptors that a stated one counts for.
func ClampDescriptors(stated int64) int64 { return min(stated, maxDescriptors) }

// Validate returns a directory.Problem when a value cannot be meant.
func (r Range) Validate(field string, value float64) error {
	if value == 0 || value >= r.min && value <= r.max {
		return nil
	}
	bounds := fmt.Sprintf("from %.15g to %.15g", r.min, r.max)
	if r.max == math.MaxInt64 {
		bounds = fmt.Sprintf("at least %.15g", r.min)
	}
	return directory.NewProblem(field, value, "must be 0 (not stated) or "+bounds)
}

// thousandths and millionths are the parts in which fractions travel.
const (
	thousandths = 1e3
	millionths  = 1e6
	// kilobyte is the unit in which sizes travel.
	kilobyte = 1 << 10
)

// Encode appends the strength to a message: 32 bytes.
func (s Resources) Encode(encoder *wire.Encoder) {
	encoder.Uint32(saturatingUint32(s.CPUShare * millionths))
	encoder.Uint32(saturatingUint32(s.CPUCores * thousandths))
	encoder.Uint64(uint64(s.Memory / kilobyte))
	encoder.Uint32(saturatingUint32(float64(s.Descriptors)))
	encoder.Uint32(saturatingUint32(s.LinkMbps * thousandths))
	encoder.Uint64(uint64(s.Disk / kilobyte))
}

// rounded returns a number as it travels; one that does not fit is the largest.
func saturatingUint32(value float64) uint32 { return uint32(min(math.Round(value), math.MaxUint32)) }

// Decode reads a strength.
func Decode(decoder *wire.Decoder) Resources {
	s := Resources{CPUShare: float64(decoder.Uint32()) / millionths, CPUCores: float64(decoder.Uint32()) / thousandths}
	s.Memory = kilobytesToBytes(decoder.Uint64())
	s.Descriptors = int64(decoder.Uint32())
	s.LinkMbps = float64(decoder.Uint32()) / thousandths
	s.Disk = kilobytesToBytes(decoder.Uint64())
	return s
}

// kilobytesToBytes returns a size in bytes, the largest one for a false number.
func kilobytesToBytes(kilobytes uint64) int64 {
	return int64(min(kilobytes, math.MaxInt64/kilobyte)) * kilobyte
}

// maxMedianMultiple bounds a node's weight to so many times the median: more than machines of
// one fleet differ, and little enough that a node that states too much is one of many.
const maxMedianMultiple = 8

// Weights returns the parts of nodes by the strength of their processors. A node that
// states none counts as the median of those that do.
func Weights(nodes []Resources) []float64 {
	reference := medianCPU(nodes)
	weights := make([]float64, len(nodes))
	for position, node := range nodes {
		weights[position] = weight(node.CPU(), reference)
	}
	return weights
}

// IsCapped reports whether a weight is less than a node's word asks for.
func IsCapped(stated Resources, weight float64) bool { return stated.CPU() > weight }

func weight(stated, reference float64) float64 {
	if stated == 0 {
		return reference
	}
	return min(stated, maxMedianMultiple*reference)
}

// median returns the processor of the node in the middle of those that state one, the
// lower one of two, and 1 where none does. It is one that a node has, so that it stays
// the same while another one changes by little.
func medianCPU(nodes []Resources) float64 {
	var stated []float64
	for _, node := range nodes {
		if processor := node.CPU(); processor > 0 {
			stated = append(stated, processor)
		}
	}
	if len(stated) == 0 {
		return 1
	}
	slices.Sort(stated)
	return stated[(len(stated)-1)/2]
}
