// Package strength holds the configured resources of the machine that a process runs
// on, and what is derived from them: the weight of a node and the limits of a process.
package strength

import (
	"fmt"
	"math"
	"slices"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// Resources is the configuration of a machine's resources. A field that is 0 is not
// configured.
type Resources struct {
	// CPUShare is the fraction of the processor that the process gets, and CPUCores the
	// speed of the whole processor in cores. CPUShare is in cores if CPUCores is 0.
	CPUShare, CPUCores float64
	// Memory and Disk are in bytes.
	Memory, Disk int64
	// Descriptors is the largest number of open files and sockets.
	Descriptors int64
	// LinkMbps is the rate of the machine's own link in Mbit/s.
	LinkMbps float64
}

// CPU returns the processing capacity in cores, or 0 if it is not configured.
func (r Resources) CPU() float64 {
	if r.CPUCores == 0 {
		return r.CPUShare
	}
	return r.CPUShare * r.CPUCores
}

// String returns the resources as they appear in logs.
func (r Resources) String() string {
	return fmt.Sprintf("processor=%g memory=%d descriptors=%d link_mbps=%g disk=%d", r.CPU(), r.Memory, r.Descriptors, r.LinkMbps, r.Disk)
}

// Range is the valid range of a setting; 0 is always valid and means not configured.
type Range struct{ min, max float64 }

// ReservedDescriptors is the number of descriptors reserved for files.
const ReservedDescriptors = 200

// minDescriptors leaves the sockets that a process needs for packets, peers, probes and
// one caller.
const minDescriptors = ReservedDescriptors + 16

// Valid ranges, in the units of the settings. CPU values above the maximum are taken
// for a mistaken unit. Sizes and descriptors have no maximum, because systems report
// the largest integer where there is no limit.
var (
	CPUShareRange    = Range{0.001, 1024}
	CPUCoresRange    = Range{0.01, 1024}
	MegabytesRange   = Range{1, math.MaxInt64}
	DescriptorsRange = Range{minDescriptors, math.MaxInt64}
)

// Larger configured values are clamped to these maxima, so that calculations with sizes
// in bytes do not overflow.
const (
	maxMegabytes   = 1 << 30
	maxDescriptors = 1 << 31
	megabyte       = 1 << 20
)

// MegabytesToBytes converts a configured size to bytes and clamps it.
func MegabytesToBytes(configured int64) int64 { return min(configured, maxMegabytes) * megabyte }

// ClampDescriptors clamps a configured number of descriptors.
func ClampDescriptors(configured int64) int64 { return min(configured, maxDescriptors) }

// Validate returns a directory.Problem if the value is out of range.
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

// Units of encoded values.
const (
	// thousandths and millionths are the factors by which fractions are multiplied.
	thousandths = 1e3
	millionths  = 1e6
	// kilobyte is the unit of sizes.
	kilobyte = 1 << 10
)

// Encode appends the resources to a message, as 32 bytes.
func (r Resources) Encode(encoder *wire.Encoder) {
	encoder.Uint32(saturatingUint32(r.CPUShare * millionths))
	encoder.Uint32(saturatingUint32(r.CPUCores * thousandths))
	encoder.Uint64(uint64(r.Memory / kilobyte))
	encoder.Uint32(saturatingUint32(float64(r.Descriptors)))
	encoder.Uint32(saturatingUint32(r.LinkMbps * thousandths))
	encoder.Uint64(uint64(r.Disk / kilobyte))
}

// saturatingUint32 rounds a value to a uint32 and caps it at the largest one.
func saturatingUint32(value float64) uint32 { return uint32(min(math.Round(value), math.MaxUint32)) }

// Decode reads resources from a message.
func Decode(decoder *wire.Decoder) Resources {
	r := Resources{CPUShare: float64(decoder.Uint32()) / millionths, CPUCores: float64(decoder.Uint32()) / thousandths}
	r.Memory = kilobytesToBytes(decoder.Uint64())
	r.Descriptors = int64(decoder.Uint32())
	r.LinkMbps = float64(decoder.Uint32()) / thousandths
	r.Disk = kilobytesToBytes(decoder.Uint64())
	return r
}

// kilobytesToBytes converts a decoded size to bytes, capped to avoid overflow.
func kilobytesToBytes(kilobytes uint64) int64 {
	return int64(min(kilobytes, math.MaxInt64/kilobyte)) * kilobyte
}

// maxMedianMultiple caps a node's weight as a multiple of the median. It exceeds the
// differences within a fleet, but limits the effect of a node that overstates its
// resources.
const maxMedianMultiple = 8

// Weights returns the weight of each node: its CPU, capped at a multiple of the median.
// A node without a configured CPU gets the median.
func Weights(nodes []Resources) []float64 {
	reference := medianCPU(nodes)
	weights := make([]float64, len(nodes))
	for position, node := range nodes {
		weights[position] = weight(node.CPU(), reference)
	}
	return weights
}

// IsCapped reports whether a weight is lower than the node's configured CPU.
func IsCapped(configured Resources, weight float64) bool { return configured.CPU() > weight }

func weight(configured, reference float64) float64 {
	if configured == 0 {
		return reference
	}
	return min(configured, maxMedianMultiple*reference)
}

// medianCPU returns the lower median of the configured CPUs, or 1 if there are none. As
// it is the value of one node and no mean of two, a change of another node rarely
// changes it.
func medianCPU(nodes []Resources) float64 {
	var configured []float64
	for _, node := range nodes {
		if cpu := node.CPU(); cpu > 0 {
			configured = append(configured, cpu)
		}
	}
	if len(configured) == 0 {
		return 1
	}
	slices.Sort(configured)
	return configured[(len(configured)-1)/2]
}
