package registry

import (
	"maps"
	"slices"

	"github.com/beamdoor/beamdoor/internal/wire"
)

// maxRosterNodes limits the nodes in a roster, about 0.2 MB. It exceeds the number of nodes
// in the largest supported fleet (docs/CAPACITY.md) by a third.
const maxRosterNodes = 8192

// roster is a bounded set of the addresses at which nodes accept announcements.
type roster struct {
	addresses map[string]bool
	// insertionOrder holds the addresses, oldest first.
	insertionOrder []string
	// dirty is set while the roster differs from its file.
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

// add inserts the address of a node; "" is ignored. A full roster evicts its oldest entry,
// since machines are replaced over time.
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

// retain removes all nodes except the given ones.
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

// minAddressSize is the encoded size in bytes of an empty address.
const minAddressSize = 4

func decodeRoster(data []byte) ([]string, error) {
	decoder := wire.NewDecoder(data)
	var addresses []string
	for count := decoder.Count(minAddressSize); count > 0; count-- {
		addresses = append(addresses, decoder.String())
	}
	return addresses, decoder.Err("registry.decode_roster")
}
