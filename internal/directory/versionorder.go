package directory

import (
	"cmp"
	"maps"
	"slices"

	"github.com/beamdoor/beamdoor/internal/wire"
)

// ServiceVersion identifies a software version of a service.
type ServiceVersion struct{ Service, Version string }

// ServiceVersion returns the service and the version of the target.
func (t Target) ServiceVersion() ServiceVersion {
	return ServiceVersion{Service: t.Service, Version: t.Version}
}

// compare orders by service, then by version.
func (v ServiceVersion) compare(other ServiceVersion) int {
	return cmp.Or(cmp.Compare(v.Service, other.Service), cmp.Compare(v.Version, other.Version))
}

// VersionRule is an operator's rule for a version.
type VersionRule uint8

// The rules for versions.
const (
	// VersionJudged lets the members hold and release the version.
	VersionJudged VersionRule = iota
	// VersionHeld keeps new flows away from the version's targets regardless of their
	// health.
	VersionHeld
	// VersionReleased prevents the version from being held regardless of its health.
	VersionReleased
	versionRuleCount
)

// String returns the name of the rule as shown to operators.
func (r VersionRule) String() string {
	names := [...]string{"judged", "held", "released"}
	if int(r) >= len(names) {
		return "unknown"
	}
	return names[r]
}

// VersionOrder is an operator's order for a version of a service. It is deleted when the
// last target of the version ends.
type VersionOrder struct {
	ServiceVersion
	Rule VersionRule
	// Revision has the same meaning as in TargetOrder.
	Revision uint64
}

// VersionOrder returns the last order for a version, or the zero value if there is none.
func (s *State) VersionOrder(version ServiceVersion) VersionOrder { return s.versionOrders[version] }

// VersionOrders returns the last order for each version, sorted by service and version.
func (s *State) VersionOrders() []VersionOrder {
	return slices.SortedFunc(maps.Values(s.versionOrders), func(a, b VersionOrder) int {
		return a.compare(b.ServiceVersion)
	})
}

// orderVersion applies an order. An order that matches the current rule has no effect; any
// other is rejected if it is superseded or based on another revision.
func (s *State) orderVersion(position uint64, order VersionOrder, superseded bool) Code {
	if !s.hasVersion(order.ServiceVersion) || order.Rule >= versionRuleCount {
		return CodeNotFound
	}
	known := s.versionOrders[order.ServiceVersion]
	if known.Rule == order.Rule {
		return CodeDone
	}
	if superseded || known.Revision != order.Revision {
		return CodeConflict
	}
	order.Revision = position
	s.versionOrders[order.ServiceVersion] = order
	s.revision = position
	return CodeDone
}

// hasVersion reports whether any target of the version has not ended.
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

// endVersionOrder deletes an order once the last target of its version has ended.
func (s *State) endVersionOrder(version ServiceVersion) {
	if _, ordered := s.versionOrders[version]; ordered && !s.hasVersion(version) {
		delete(s.versionOrders, version)
	}
}

// minVersionOrderSize is the minimum encoded size of a version order in bytes.
const minVersionOrderSize = 17

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

// encodeVersions appends the versions of the targets, in the order of the target list,
// and the version orders to a snapshot. They come last since earlier releases do not read
// them, and are omitted if no target has a version and nothing follows them.
func (s *State) encodeVersions(encoder *wire.Encoder, followed bool) {
	targets := s.Targets()
	table := &nameTable{numbers: map[string]uint32{}}
	table.add("")
	for _, target := range targets {
		table.add(target.Version)
	}
	if len(table.names) == 1 && !followed {
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
	for index := range targets {
		if number := int(decoder.Uint16()); number < len(names) {
			targets[index].Version = names[number]
		}
	}
	for count := decoder.Count(minVersionOrderSize); count > 0; count-- {
		order := decodeVersionOrder(decoder)
		s.versionOrders[order.ServiceVersion] = order
	}
}
