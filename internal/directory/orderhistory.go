package directory

import (
	"cmp"
	"maps"
	"slices"

	"github.com/beamdoor/beamdoor/internal/wire"
)

// orderSubject is the zone, target or version that an order is about.
type orderSubject struct {
	kind CommandKind
	// name is the name of the zone, the ID of the target or the service of the version.
	name string
	// version is empty for zones and targets.
	version string
}

func (s orderSubject) compare(other orderSubject) int {
	return cmp.Or(cmp.Compare(s.kind, other.kind), cmp.Compare(s.name, other.name), cmp.Compare(s.version, other.version))
}

// orderSubject returns the subject of a command that is an operator's order.
func (c Command) orderSubject() orderSubject {
	switch c.Kind {
	case CommandOrderTarget:
		return orderSubject{kind: c.Kind, name: c.TargetOrder.ID}
	case CommandOrderVersion:
		return orderSubject{kind: c.Kind, name: c.VersionOrder.Service, version: c.VersionOrder.Version}
	default:
		return orderSubject{kind: c.Kind, name: c.Evacuation.Zone}
	}
}

// maxOrderHistory is the maximum number of subjects in an orderHistory.
const maxOrderHistory = 1024

// orderHistory holds the log position of the last order about each subject. It includes orders
// that changed nothing, since they supersede earlier ones too, and outlives the subject, which
// may return under the same name.
type orderHistory struct {
	positions map[orderSubject]uint64
	// removed is the highest position that was removed to keep the limit. It stands for the
	// subjects without a position.
	removed uint64
}

func newOrderHistory() orderHistory { return orderHistory{positions: map[orderSubject]uint64{}} }

// isSuperseded reports whether another order about the subject was applied, or may have been,
// after the order at a log position was confirmed.
func (h *orderHistory) isSuperseded(subject orderSubject, position uint64, confirmation Confirmation) bool {
	if confirmation.Position == 0 {
		return false
	}
	last, known := h.positions[subject]
	if !known {
		last = h.removed
	}
	// A position that is not before the order's own is not from this log.
	return last > confirmation.Position || position <= confirmation.Position
}

// record stores the position of an order and removes the oldest position beyond the limit.
func (h *orderHistory) record(subject orderSubject, position uint64) {
	h.positions[subject] = position
	if len(h.positions) <= maxOrderHistory {
		return
	}
	oldest := subject
	for known, at := range h.positions {
		if at < h.positions[oldest] {
			oldest = known
		}
	}
	h.removed = h.positions[oldest]
	delete(h.positions, oldest)
}

// minOrderPositionSize is the minimum encoded size in bytes of a subject and its position.
const minOrderPositionSize = 17

func (h *orderHistory) encode(encoder *wire.Encoder) {
	encoder.Uint64(h.removed)
	encoder.Uint32(uint32(len(h.positions)))
	for _, subject := range slices.SortedFunc(maps.Keys(h.positions), orderSubject.compare) {
		encoder.Uint8(uint8(subject.kind))
		encoder.String(subject.name)
		encoder.String(subject.version)
		encoder.Uint64(h.positions[subject])
	}
}

func decodeOrderHistory(decoder *wire.Decoder) orderHistory {
	h := newOrderHistory()
	h.removed = decoder.Uint64()
	for count := decoder.Count(minOrderPositionSize); count > 0; count-- {
		subject := orderSubject{kind: CommandKind(decoder.Uint8()), name: decoder.String(), version: decoder.String()}
		h.positions[subject] = decoder.Uint64()
	}
	return h
}

// applyOrder applies an operator's order about a zone, a target or a version.
func (s *State) applyOrder(position uint64, command Command) Code {
	subject := command.orderSubject()
	superseded := s.orders.isSuperseded(subject, position, command.Confirmation)
	var code Code
	switch command.Kind {
	case CommandOrderTarget:
		code = s.orderTarget(position, command.TargetOrder, superseded)
	case CommandOrderVersion:
		code = s.orderVersion(position, command.VersionOrder, superseded)
	default:
		code = s.evacuate(position, command.Evacuation, superseded)
	}
	if code == CodeDone {
		s.orders.record(subject, position)
	}
	return code
}
