package registry

import (
	"maps"
	"slices"

	"github.com/beamdoor/beamdoor/internal/wire"
)

// maxRosterNodes is the number of nodes that a roster holds: all those of the largest
// fleet that the system is built for (docs/CAPACITY.md) and a third more, 0.2 MB.
const maxRosterNodes = 8192

// roster holds the addresses at which nodes take announcements: those that have
// followed this member since its start, and those of its last life.
type roster struct {
	addresses map[string]bool
	// insertionOrder holds the addresses, those that were noted first in front.
	insertionOrder []string
	// dirty is set while the file does not hold what the roster does.
	dirty bool
}

func newRoster(addresses []string) *roster {
	r := &roster{addresses: map[string]bool{}}
	for _, address := range addresses {
		r.add(address)
	}
	r.dirty = false
	return r
}

// add takes the address of a node, or "" of one that takes no announcements. A full
// roster forgets the one that was noted first: machines are replaced in the long run.
func (r *roster) add(address string) {
	if address == "" || r.addresses[address] {
		return
	}
	if len(r.insertionOrder) >= maxRosterNodes {
		delete(r.addresses, r.insertionOrder[0])
		r.insertionOrder = r.insertionOrder[1:]
	}
	r.addresses[address] = true
	r.insertionOrder = append(r.insertionOrder, address)
	r.dirty = true
}

// retain forgets all nodes but some.
func (r *roster) retain(addresses map[string]bool) {
	r.insertionOrder = slices.DeleteFunc(r.insertionOrder, func(address string) bool {
		if addresses[address] {
			return false
		}
		delete(r.addresses, address)
		r.dirty = true
		return true
	})
}

func (r *roster) list() []string { return slices.Sorted(maps.Keys(r.addresses)) }

func encodeRoster(addresses []string) []byte {
	var encoder wire.Encoder
	encoder.Uint32(uint32(len(addresses)))
	for _, address := range addresses {
		encoder.String(address)
	}
	return encoder.Buffer
}

// minAddressSize is the encoded size in bytes of an address without a character.
const minAddressSize = 4

func decodeRoster(data []byte) ([]string, error) {
	decoder := wire.NewDecoder(data)
	var addresses []string
	for count := decoder.Count(minAddressSize); count > 0; count-- {
		addresses = append(addresses, decoder.String())
	}
	return addresses, decoder.Err("registry.decode_roster")
}
