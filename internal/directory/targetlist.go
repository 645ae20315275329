package directory

import (
	"net/netip"
	"strconv"
	"strings"

	"github.com/beamdoor/beamdoor/internal/wire"
)

// Minimum encoded sizes in bytes of a name and of a target in a list.
const (
	minNameSize         = 4
	minListedTargetSize = 22
)

// The first byte of a listed target holds its state and flags.
const (
	stateMask = 0x07
	// flagDerivedToken is set if the token is derived from the ID and the start time.
	flagDerivedToken = 0x08
	// flagNumberInID is set if the number equals the last hexadecimal digits of the ID.
	flagNumberInID = 0x10
	// flagWarmup is set if the target was warming up when it registered.
	flagWarmup = 0x20
	// flagStartTime is set if the start time is known.
	flagStartTime = 0x40
)

// nameTable assigns numbers to the names that the targets of a list share.
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

// encodeTargets appends a list of targets. Each service or zone name is encoded once and
// addresses have variable length, since a starting node loads all targets over a slow
// link.
func encodeTargets(encoder *wire.Encoder, targets []Target) {
	table := newNameTable(targets)
	encoder.Uint32(uint32(len(table.names)))
	for _, name := range table.names {
		encoder.String(name)
	}
	encoder.Uint32(uint32(len(targets)))
	for _, target := range targets {
		encodeListedTarget(encoder, table, target)
	}
}

// encodeListedTarget appends one target of a list. It omits a token or number that the
// decoder can derive from the ID, since these hardly compress.
func encodeListedTarget(encoder *wire.Encoder, table *nameTable, target Target) {
	flags := uint8(target.State)
	if target.HasDerivedToken() {
		flags |= flagDerivedToken
	}
	number, hasNumber := NumberInID(target.ID)
	if hasNumber && number == target.Number {
		flags |= flagNumberInID
	}
	if target.Warmup != nil {
		flags |= flagWarmup
	}
	if target.StartTime > 0 {
		flags |= flagStartTime
	}
	encoder.Uint8(flags)
	encoder.String(target.ID)
	if target.StartTime > 0 {
		encoder.Uint64(target.StartTime)
	}
	if flags&flagNumberInID == 0 {
		encoder.Uint64(target.Number)
	}
	if flags&flagDerivedToken == 0 {
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

// decodeListedTarget decodes one target of a list.
func decodeListedTarget(decoder *wire.Decoder, name func() string) Target {
	flags := decoder.Uint8()
	target := Target{State: TargetState(flags & stateMask), ID: decoder.String()}
	if flags&flagStartTime != 0 {
		target.StartTime = decoder.Uint64()
	}
	target.Token = target.Start().token()
	target.Number, _ = NumberInID(target.ID)
	if flags&flagNumberInID == 0 {
		target.Number = decoder.Uint64()
	}
	if flags&flagDerivedToken == 0 {
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

// NumberInID parses the hexadecimal digits after the last hyphen of an ID, or the whole
// ID if it has no hyphen.
func NumberInID(id string) (uint64, bool) {
	digits := id[strings.LastIndexByte(id, '-')+1:]
	number, err := strconv.ParseUint(digits, 16, 64)
	return number, err == nil && len(digits) <= maxNumberDigits
}

func decodeTargets(decoder *wire.Decoder) []Target {
	var names []string
	for count := decoder.Count(minNameSize); count > 0; count-- {
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
	for count := decoder.Count(minListedTargetSize); count > 0; count-- {
		targets = append(targets, decodeListedTarget(decoder, name))
	}
	return targets
}

// Lengths in bytes of IP addresses in the short form.
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
