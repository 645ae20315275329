package directory

import (
	"cmp"
	"slices"

	"github.com/beamdoor/beamdoor/internal/wire"
)

// Outcomes counts the results of exchanges with a target as observed by nodes. An
// exchange is data that a caller sends and the target's answer to it.
type Outcomes struct {
	Token Token
	// Answered exchanges ended as usual for their route.
	Answered uint32
	// Unanswered exchanges ended or became idle without any answer to the caller's data.
	Unanswered uint32
	// Short exchanges ended with an answer far shorter than usual for their route.
	Short uint32
	// Slow exchanges took far longer than usual for their route until the first answer.
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

// SortOutcomes sorts counts by token.
func SortOutcomes(list []Outcomes) {
	slices.SortFunc(list, func(a, b Outcomes) int { return cmp.Compare(a.Token, b.Token) })
}

// minOutcomesSize is the minimum encoded size of Outcomes in bytes.
const minOutcomesSize = 8

// EncodeOutcomes appends a list of outcomes.
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

// DecodeOutcomes decodes a list of outcomes.
func DecodeOutcomes(decoder *wire.Decoder) []Outcomes {
	var list []Outcomes
	for count := decoder.Count(minOutcomesSize); count > 0; count-- {
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
