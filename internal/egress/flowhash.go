package egress

import (
	"encoding/binary"
	"math/bits"
	"net/netip"

	"github.com/beamdoor/beamdoor/internal/steer"
)

// Constants of the hash: the fractional part of the golden ratio, and the first
// multiplier of SplitMix64.
const (
	goldenFactor = 0x9e3779b97f4a7c15
	mixFactor    = 0xbf58476d1ce4e5b9
)

func mix(value uint64) uint64 {
	high, low := bits.Mul64(value^goldenFactor, mixFactor)
	return high ^ low
}

// flowHash returns a hash of the flow. It is the flow's key in the loss tables, where a
// collision only distorts a loss count.
func flowHash(flow steer.FlowKey) uint64 {
	return mix(mix(endpointHash(flow.Caller)) ^ endpointHash(flow.Virtual))
}

func endpointHash(end netip.AddrPort) uint64 {
	address := end.Addr()
	if address.Is4() {
		four := address.As4()
		return uint64(binary.BigEndian.Uint32(four[:]))<<16 | uint64(end.Port())
	}
	sixteen := address.As16()
	high := binary.BigEndian.Uint64(sixteen[:8])
	low := binary.BigEndian.Uint64(sixteen[8:])
	return mix(mix(high)^low) ^ uint64(end.Port())*goldenFactor
}

func dataHash(flow uint64, sequence uint32) uint64 { return mix(flow ^ uint64(sequence)) }
