package directory

import (
	"maps"
	"slices"

	"github.com/beamdoor/beamdoor/internal/wire"
)

// Evacuation is an operator's order for a zone. While it is active, the targets of the
// zone receive no new flows; open flows stay on them.
type Evacuation struct {
	Zone   string
	Active bool
	// Revision is the log position of the order. In a command it is the revision that the
	// order is based on; if another order was applied since, the command is rejected.
	Revision uint64
	// Warmups holds the warm-ups of the zone's services if the order ends the evacuation.
	Warmups []ServiceWarmup
}

// Warmup returns the warm-up of a service's targets after the evacuation.
func (e Evacuation) Warmup(service string) (Warmup, bool) {
	for _, known := range e.Warmups {
		if known.Service == service {
			return known.Warmup, true
		}
	}
	return Warmup{}, false
}

// Evacuation returns the last order for a zone, or the zero value if there is none.
func (s *State) Evacuation(zone string) Evacuation { return s.evacuations[zone] }

// Evacuations returns the last order for each zone, sorted by zone.
func (s *State) Evacuations() []Evacuation {
	list := make([]Evacuation, 0, len(s.evacuations))
	for _, zone := range slices.Sorted(maps.Keys(s.evacuations)) {
		list = append(list, s.evacuations[zone])
	}
	return list
}

// HasZone reports whether a zone has a member or a target that has not ended.
func (s *State) HasZone(zone string) bool {
	for _, target := range s.targets {
		if target.Zone == zone && target.State != TargetEnded {
			return true
		}
	}
	for _, member := range s.members {
		if member.Zone == zone {
			return true
		}
	}
	return false
}

// evacuate applies an order. An order that matches the current state has no effect. Any
// other is rejected if it is superseded or based on another revision, since a delayed order
// would undo a later one.
func (s *State) evacuate(position uint64, order Evacuation, superseded bool) Code {
	known := s.evacuations[order.Zone]
	if known.Active == order.Active {
		return CodeDone
	}
	if superseded || known.Revision != order.Revision {
		return CodeConflict
	}
	order.Revision = position
	s.evacuations[order.Zone] = order
	s.evacuationRevision = position
	s.revision = position
	return CodeDone
}

// minEvacuationSize is the minimum encoded size of an evacuation in bytes.
const minEvacuationSize = 17

func encodeEvacuation(encoder *wire.Encoder, evacuation Evacuation) {
	encoder.String(evacuation.Zone)
	encoder.Bool(evacuation.Active)
	encoder.Uint64(evacuation.Revision)
	encodeServiceWarmups(encoder, evacuation.Warmups)
}

func decodeEvacuation(decoder *wire.Decoder) Evacuation {
	evacuation := Evacuation{Zone: decoder.String(), Active: decoder.Bool(), Revision: decoder.Uint64()}
	evacuation.Warmups = decodeServiceWarmups(decoder)
	return evacuation
}

func encodeEvacuations(encoder *wire.Encoder, evacuations []Evacuation) {
	encoder.Uint32(uint32(len(evacuations)))
	for _, evacuation := range evacuations {
		encodeEvacuation(encoder, evacuation)
	}
}

func decodeEvacuations(decoder *wire.Decoder) []Evacuation {
	var evacuations []Evacuation
	for count := decoder.Count(minEvacuationSize); count > 0; count-- {
		evacuations = append(evacuations, decodeEvacuation(decoder))
	}
	return evacuations
}
