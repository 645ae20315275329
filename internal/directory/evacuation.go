package directory

import (
	"maps"
	"slices"

	"github.com/beamdoor/beamdoor/internal/wire"
)

// Evacuation is an operator's order about a zone. While it is active, no new
// flow goes to the targets of the zone; open flows stay where they are.
type Evacuation struct {
	Zone   string
	Active bool
	// Revision is the log position of the order that made it so. In a command it is
	// the one that the order was given on: an order that another one has overtaken
	// changes nothing.
	Revision uint64
	// Warmups are those of the zone's services, in an order that takes the zone back.
	Warmups []ServiceWarmup
}

// Warmup returns the warm-up of a service's targets since the zone was taken back.
func (e Evacuation) Warmup(service string) (Warmup, bool) {
	for _, known := range e.Warmups {
		if known.Service == service {
			return known.Warmup, true
		}
	}
	return Warmup{}, false
}

// Evacuation returns what was last ordered about a zone; all is zero where
// nothing was.
func (s *State) Evacuation(zone string) Evacuation { return s.evacuations[zone] }

// Evacuations returns what was last ordered about each zone, in the order of the
// zones' names.
func (s *State) Evacuations() []Evacuation {
	list := make([]Evacuation, 0, len(s.evacuations))
	for _, zone := range slices.Sorted(maps.Keys(s.evacuations)) {
		list = append(list, s.evacuations[zone])
	}
	return list
}

// HasZone reports whether a target that has not ended, or a member, stands in a
// zone.
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

// evacuate carries out an order. One that asks for what holds already is done. One
// that was given before the newest order about its zone is refused: a copy that was
// held up on its way would undo what was ordered since.
func (s *State) evacuate(position uint64, order Evacuation) Code {
	known := s.evacuations[order.Zone]
	if known.Active == order.Active {
		return CodeDone
	}
	if known.Revision != order.Revision {
		return CodeConflict
	}
	order.Revision = position
	s.evacuations[order.Zone] = order
	s.evacuationRevision = position
	s.revision = position
	return CodeDone
}

// smallestEvacuation is the encoded size in bytes of an evacuation of a zone
// without a name.
const smallestEvacuation = 17

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
	for count := decoder.Count(smallestEvacuation); count > 0; count-- {
		evacuations = append(evacuations, decodeEvacuation(decoder))
	}
	return evacuations
}
