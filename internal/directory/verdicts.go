package directory

import (
	"slices"

	"github.com/beamdoor/beamdoor/internal/wire"
)

// Verdicts is the health of targets and zones as determined by the control members.
type Verdicts struct {
	// Suspects are the targets that no node has heard from recently.
	Suspects []Token
	// Lost are the targets that are considered dead.
	Lost []Token
	// AvoidedZones are the zones in which most opening packets were refused.
	AvoidedZones []string
	// Ejected are the targets that receive no new flows because outlier detection or an
	// operator has ejected them. Open flows stay on them.
	Ejected []Token
	// Probation are the ejected targets that receive a few repeatable requests to find
	// out whether they have recovered.
	Probation []Token
}

// Equal reports whether two verdicts are equal.
func (v Verdicts) Equal(other Verdicts) bool {
	return slices.Equal(v.Suspects, other.Suspects) && v.EqualIgnoringSuspects(other)
}

// EqualIgnoringSuspects reports whether two verdicts are equal apart from their suspects.
// Changed suspects need not be sent at once: their list may be long and change often.
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

// DecodeVerdicts decodes verdicts.
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

// DecodeTokens decodes a list of tokens.
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

// DecodeNames decodes a list of names.
func DecodeNames(decoder *wire.Decoder) []string {
	var names []string
	for count := decoder.Count(minNameSize); count > 0; count-- {
		names = append(names, decoder.String())
	}
	return names
}

// ZoneOpenings counts opening packets to the targets of a zone since the last report.
type ZoneOpenings struct {
	Zone string
	// Opened counts the accepted packets and Refused the refused ones.
	Opened, Refused uint32
}
