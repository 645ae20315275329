package directory

import (
	"slices"

	"github.com/beamdoor/beamdoor/internal/wire"
)

// Verdicts are the control members' view of the targets' health.
type Verdicts struct {
	// Suspects are the targets that nobody has heard from lately.
	Suspects []Token
	// Lost are the targets that are held for dead.
	Lost []Token
	// AvoidedZones are the zones in which most opening packets found no taker.
	AvoidedZones []string
	// Ejected are the targets that get no new flows, though they may look well: what
	// passes shows that they fail their work. Open flows stay where they are.
	Ejected []Token
	// Probation are the targets that were ejected and get a few flows of repeatable
	// work, to see whether they serve again.
	Probation []Token
}

// Equal reports whether two verdicts say the same.
func (v Verdicts) Equal(other Verdicts) bool {
	return slices.Equal(v.Suspects, other.Suspects) && v.EqualIgnoringSuspects(other)
}

// EqualIgnoringSuspects reports whether verdicts are the same in what nodes must hear at once.
// Targets that are only suspected can wait: their list may be long and change often.
func (v Verdicts) EqualIgnoringSuspects(other Verdicts) bool {
	return slices.Equal(v.Lost, other.Lost) && slices.Equal(v.AvoidedZones, other.AvoidedZones) &&
		slices.Equal(v.Ejected, other.Ejected) && slices.Equal(v.Probation, other.Probation)
}

// Encode appends the verdicts.
func (v Verdicts) Encode(encoder *wire.Encoder) {
	EncodeTokens(encoder, v.Suspects)
	EncodeTokens(encoder, v.Lost)
	EncodeNames(encoder, v.AvoidedZones)
	EncodeTokens(encoder, v.Ejected)
	EncodeTokens(encoder, v.Probation)
}

// DecodeVerdicts reads verdicts.
func DecodeVerdicts(decoder *wire.Decoder) Verdicts {
	verdicts := Verdicts{Suspects: DecodeTokens(decoder), Lost: DecodeTokens(decoder)}
	verdicts.AvoidedZones = DecodeNames(decoder)
	verdicts.Ejected = DecodeTokens(decoder)
	verdicts.Probation = DecodeTokens(decoder)
	return verdicts
}

// tokenSize is the encoded size of a token in bytes.
const tokenSize = 4

// EncodeTokens appends a list of tokens.
func EncodeTokens(encoder *wire.Encoder, tokens []Token) {
	encoder.Uint32(uint32(len(tokens)))
	for _, token := range tokens {
		encoder.Uint32(uint32(token))
	}
}

// DecodeTokens reads a list of tokens.
func DecodeTokens(decoder *wire.Decoder) []Token {
	var tokens []Token
	for count := decoder.Count(tokenSize); count > 0; count-- {
		tokens = append(tokens, Token(decoder.Uint32()))
	}
	return tokens
}

// EncodeNames appends a list of names.
func EncodeNames(encoder *wire.Encoder, names []string) {
	encoder.Uint32(uint32(len(names)))
	for _, name := range names {
		encoder.String(name)
	}
}

// DecodeNames reads a list of names.
func DecodeNames(decoder *wire.Decoder) []string {
	var names []string
	for count := decoder.Count(smallestName); count > 0; count-- {
		names = append(names, decoder.String())
	}
	return names
}

// ZoneOpenings counts opening packets to the targets of a zone since the last report.
type ZoneOpenings struct {
	Zone string
	// Opened were taken, and Refused found no taker.
	Opened, Refused uint32
}
