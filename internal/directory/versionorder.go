package directory

import (
	"cmp"
	"maps"
	"slices"

	"github.com/beamdoor/beamdoor/internal/wire"
)

// ServiceVersion names a version of the software of a service's targets.
type ServiceVersion struct{ Service, Version string }

// ServiceVersion returns the version that the target is of.
func (t Target) ServiceVersion() ServiceVersion {
	return ServiceVersion{Service: t.Service, Version: t.Version}
}

// compare orders versions by their services.
func (v ServiceVersion) compare(other ServiceVersion) int {
	return cmp.Or(cmp.Compare(v.Service, other.Service), cmp.Compare(v.Version, other.Version))
}

// VersionRule is what an operator has ordered about a version.
type VersionRule uint8

// The rules.
const (
	// VersionJudged leaves it to the members whether the version is held.
	VersionJudged VersionRule = iota
	// VersionHeld keeps new flows from the version's targets, whatever is seen of them.
	VersionHeld
	// VersionReleased keeps the version from being held, whatever is seen of it.
	VersionReleased
	versionRuleCount
)

// String returns the rule as a word for operators.
func (r VersionRule) String() string {
	names := [...]string{"judged", "held", "released"}
	if int(r) >= len(names) {
		return "unknown"
	}
	return names[r]
}

// VersionOrder is an operator's order about a version of a service. It ends with the
// last target of the version.
type VersionOrder struct {
	ServiceVersion
	Rule VersionRule
	// Revision is as that of a TargetOrder.
	Revision uint64
}

// VersionOrder returns what was last ordered about a version; the rule is VersionJudged
// where nothing was.
func (s *State) VersionOrder(version ServiceVersion) VersionOrder { return s.versionOrders[version] }

// VersionOrders returns what was last ordered about each version, in order.
func (s *State) VersionOrders() []VersionOrder {
	return slices.SortedFunc(maps.Values(s.versionOrders), func(a, b VersionOrder) int {
		return a.compare(b.ServiceVersion)
	})
}

// orderVersion carries out an order. One that asks for what holds already is done; one
// that was given before the newest order about the version is refused.
func (s *State) orderVersion(position uint64, order VersionOrder) Code {
	if !s.hasVersion(order.ServiceVersion) || order.Rule >= versionRuleCount {
		return CodeNotFound
	}
	known := s.versionOrders[order.ServiceVersion]
	if known.Rule == order.Rule {
		return CodeDone
	}
	if known.Revision != order.Revision {
		return CodeConflict
	}
	order.Revision = position
	s.versionOrders[order.ServiceVersion] = order
	s.revision = position
	return CodeDone
}

// hasVersion reports whether a target that states the version has not ended.
func (s *State) hasVersion(version ServiceVersion) bool {
	if version.Version == "" {
		return false
	}
	for _, target := range s.tokens {
		if target.State != TargetEnded && target.ServiceVersion() == version {
			return true
		}
	}
	return false
}

// endVersionOrder forgets an order once the last target of its version has ended.
func (s *State) endVersionOrder(version ServiceVersion) {
	if _, ordered := s.versionOrders[version]; ordered && !s.hasVersion(version) {
		delete(s.versionOrders, version)
	}
}

// smallestVersionOrder is the encoded size in bytes of an order without names.
const smallestVersionOrder = 17

func encodeVersionOrder(encoder *wire.Encoder, order VersionOrder) {
	encoder.String(order.Service)
	encoder.String(order.Version)
	encoder.Uint8(uint8(order.Rule))
	encoder.Uint64(order.Revision)
}

func decodeVersionOrder(decoder *wire.Decoder) VersionOrder {
	version := ServiceVersion{Service: decoder.String(), Version: decoder.String()}
	return VersionOrder{ServiceVersion: version, Rule: VersionRule(decoder.Uint8()), Revision: decoder.Uint64()}
}

// encodeVersions ends a snapshot with the versions of the targets, by their places in
// the list of targets, and with the orders about versions. A program that knows none
// does not read on so far, and a snapshot without versions ends before.
func (s *State) encodeVersions(encoder *wire.Encoder) {
	targets := s.Targets()
	table := &nameTable{numbers: map[string]uint32{}}
	table.add("")
	for _, target := range targets {
		table.add(target.Version)
	}
	if len(table.names) == 1 {
		return
	}
	EncodeNames(encoder, table.names)
	for _, target := range targets {
		encoder.Uint16(uint16(table.numbers[target.Version]))
	}
	orders := s.VersionOrders()
	encoder.Uint32(uint32(len(orders)))
	for _, order := range orders {
		encodeVersionOrder(encoder, order)
	}
}

func (s *State) decodeVersions(decoder *wire.Decoder, targets []Target) {
	if !decoder.HasMore() {
		return
	}
	names := DecodeNames(decoder)
	for position := range targets {
		if number := int(decoder.Uint16()); number < len(names) {
			targets[position].Version = names[number]
		}
	}
	for count := decoder.Count(smallestVersionOrder); count > 0; count-- {
		order := decodeVersionOrder(decoder)
		s.versionOrders[order.ServiceVersion] = order
	}
}
