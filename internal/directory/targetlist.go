package directory

import (
	"net/netip"
	"strconv"
	"strings"

	"github.com/beamdoor/beamdoor/internal/wire"
)

// The smallest encoded sizes in bytes of a name and a target of a list.
const (
	smallestName   = 4
	smallestListed = 22
)

// The first byte of a listed target holds its state and what its ID tells.
const (
	stateMask = 0x07
	// flagOwnToken is set when the token follows from the ID and the start.
	flagOwnToken = 0x08
	// flagNumberInID is set when the number is that of the ID's last digits.
	flagNumberInID = 0x10
	// flagWarmup is set when the target registered while it was cold.
	flagWarmup = 0x20
	// flagBorn is set when the target told when it started.
	flagBorn = 0x40
)

// nameTable numbers the names that many targets of a list share.
type nameTable struct {
	names   []string
	numbers map[string]uint32
}

func newNameTable(targets []Target) *nameTable {
	table := &nameTable{numbers: map[string]uint32{}}
	for _, target := range targets {
		table.add(target.Service)
		table.add(target.Zone)
	}
	return table
}

func (t *nameTable) add(name string) {
	if _, known := t.numbers[name]; !known {
		t.numbers[name] = uint32(len(t.names))
		t.names = append(t.names, name)
	}
}

// encodeTargets writes a list of targets with each name of a service or zone
// once and addresses at their own length: a node that starts needs all targets
// over a link of a few Mbit/s.
func encodeTargets(encoder *wire.Encoder, targets []Target) {
	table := newNameTable(targets)
	encoder.Uint32(uint32(len(table.names)))
	for _, name := range table.names {
		encoder.String(name)
	}
	encoder.Uint32(uint32(len(targets)))
	for _, target := range targets {
		encodeListed(encoder, table, target)
	}
}

// encodeListed writes one target of a list. What follows from the ID is left
// out: it is hardly shorter in any other form, however well it is compressed.
func encodeListed(encoder *wire.Encoder, table *nameTable, target Target) {
	flags := uint8(target.State)
	if target.HasDerivedToken() {
		flags |= flagOwnToken
	}
	number, inID := NumberInID(target.ID)
	if inID && number == target.Number {
		flags |= flagNumberInID
	}
	if target.Warmup != nil {
		flags |= flagWarmup
	}
	if target.StartTime > 0 {
		flags |= flagBorn
	}
	encoder.Uint8(flags)
	encoder.String(target.ID)
	if target.StartTime > 0 {
		encoder.Uint64(target.StartTime)
	}
	if flags&flagNumberInID == 0 {
		encoder.Uint64(target.Number)
	}
	if flags&flagOwnToken == 0 {
		encoder.Uint32(uint32(target.Token))
	}
	encoder.Uint16(uint16(table.numbers[target.Service]))
	encoder.Uint16(uint16(table.numbers[target.Zone]))
	encodeShortAddress(encoder, target.Address)
	encoder.Uint16(uint16(target.Slots))
	encoder.Uint64(target.Revision)
	if target.Warmup != nil {
		encodeWarmup(encoder, *target.Warmup)
	}
}

// decodeListed reads one target of a list.
func decodeListed(decoder *wire.Decoder, name func() string) Target {
	flags := decoder.Uint8()
	target := Target{State: TargetState(flags & stateMask), ID: decoder.String()}
	if flags&flagBorn != 0 {
		target.StartTime = decoder.Uint64()
	}
	target.Token = target.Start().token()
	target.Number, _ = NumberInID(target.ID)
	if flags&flagNumberInID == 0 {
		target.Number = decoder.Uint64()
	}
	if flags&flagOwnToken == 0 {
		target.Token = Token(decoder.Uint32())
	}
	target.Service = name()
	target.Zone = name()
	target.Address = decodeShortAddress(decoder)
	target.Slots = uint32(decoder.Uint16())
	target.Revision = decoder.Uint64()
	if flags&flagWarmup != 0 {
		warmup := decodeWarmup(decoder)
		target.Warmup = &warmup
	}
	return target
}

// maxNumberDigits is the number of hexadecimal digits of the largest number.
const maxNumberDigits = 16

// NumberInID returns the number that the hexadecimal digits at the end of an ID
// stand for.
func NumberInID(id string) (uint64, bool) {
	digits := id[strings.LastIndexByte(id, '-')+1:]
	number, err := strconv.ParseUint(digits, 16, 64)
	return number, err == nil && len(digits) <= maxNumberDigits
}

func decodeTargets(decoder *wire.Decoder) []Target {
	var names []string
	for count := decoder.Count(smallestName); count > 0; count-- {
		names = append(names, decoder.String())
	}
	name := func() string {
		number := int(decoder.Uint16())
		if number >= len(names) {
			return ""
		}
		return names[number]
	}
	var targets []Target
	for count := decoder.Count(smallestListed); count > 0; count-- {
		targets = append(targets, decodeListed(decoder, name))
	}
	return targets
}

// Lengths in bytes of addresses in their short form.
const (
	shortIPv4 = 4
	shortIPv6 = 16
)

func encodeShortAddress(encoder *wire.Encoder, address netip.AddrPort) {
	ip := address.Addr().Unmap().AsSlice()
	encoder.Uint8(uint8(len(ip)))
	for _, part := range ip {
		encoder.Uint8(part)
	}
	encoder.Uint16(address.Port())
}

func decodeShortAddress(decoder *wire.Decoder) netip.AddrPort {
	var ip []byte
	length := decoder.Uint8()
	if length == shortIPv4 || length == shortIPv6 {
		for range length {
			ip = append(ip, decoder.Uint8())
		}
	}
	parsed, _ := netip.AddrFromSlice(ip)
	return netip.AddrPortFrom(parsed, decoder.Uint16())
}
