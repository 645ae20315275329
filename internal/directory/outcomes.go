package directory

import (
	"cmp"
	"slices"

	"github.com/beamdoor/beamdoor/internal/wire"
)

// Outcomes counts how exchanges with a target ended, as far as nodes can see it.
// An exchange is data of a caller and what the target did with it.
type Outcomes struct {
	Token Token
	// Answered ended as is usual for their route.
	Answered uint32
	// Unanswered carried data and ended, or fell quiet, with nothing answered.
	Unanswered uint32
	// Short ended with an answer far shorter than is usual for their route.
	Short uint32
	// Slow took far longer to their first answer than is usual for their route.
	Slow uint32
}

// Add returns the sum of two counts of one target.
func (o Outcomes) Add(other Outcomes) Outcomes {
	o.Answered += other.Answered
	o.Unanswered += other.Unanswered
	o.Short += other.Short
	o.Slow += other.Slow
	return o
}

// SortOutcomes orders counts by their targets.
func SortOutcomes(list []Outcomes) {
	slices.SortFunc(list, func(a, b Outcomes) int { return cmp.Compare(a.Token, b.Token) })
}

// smallestOutcomes is the encoded size of Outcomes in bytes when all counts are small.
// A node reports some twenty targets a second of the services that it places flows on.
const smallestOutcomes = 8

// EncodeOutcomes appends the counts of targets.
func EncodeOutcomes(encoder *wire.Encoder, list []Outcomes) {
	encoder.Uint32(uint32(len(list)))
	for _, counted := range list {
		encoder.Uint32(uint32(counted.Token))
		encoder.CompactUint32(counted.Answered)
		encoder.CompactUint32(counted.Unanswered)
		encoder.CompactUint32(counted.Short)
		encoder.CompactUint32(counted.Slow)
	}
}

// DecodeOutcomes reads the counts of targets.
func DecodeOutcomes(decoder *wire.Decoder) []Outcomes {
	var list []Outcomes
	for count := decoder.Count(smallestOutcomes); count > 0; count-- {
		list = append(list, Outcomes{
			Token:      Token(decoder.Uint32()),
			Answered:   decoder.CompactUint32(),
			Unanswered: decoder.CompactUint32(),
			Short:      decoder.CompactUint32(),
			Slow:       decoder.CompactUint32(),
		})
	}
	return list
}
