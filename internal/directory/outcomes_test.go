package directory

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/beamdoor/beamdoor/internal/wire"
)

func TestOutcomesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var list []Outcomes
		count := rapid.Uint32Range(0, math.MaxUint32)
		for range rapid.IntRange(0, 5).Draw(t, "length") {
			list = append(list, Outcomes{
				Token:      Token(rapid.Uint32().Draw(t, "token")),
				Answered:   count.Draw(t, "answered"),
				Unanswered: count.Draw(t, "unanswered"),
				Short:      count.Draw(t, "short"),
				Slow:       count.Draw(t, "slow"),
			})
		}
		var encoder wire.Encoder
		EncodeOutcomes(&encoder, list)
		decoder := wire.NewDecoder(encoder.Buffer)
		assert.Equal(t, list, DecodeOutcomes(decoder))
		require.NoError(t, decoder.Err("test"))
		assert.False(t, decoder.HasMore())
	})
}

func TestSmallOutcomesUseEightBytes(t *testing.T) {
	var encoder wire.Encoder
	EncodeOutcomes(&encoder, nil)
	empty := len(encoder.Buffer)
	encoder = wire.Encoder{}
	EncodeOutcomes(&encoder, []Outcomes{{Token: math.MaxUint32, Answered: 254, Unanswered: 1}})
	assert.Equal(t, 8, len(encoder.Buffer)-empty)
}

func TestDecodeTruncatedOutcomes(t *testing.T) {
	var encoder wire.Encoder
	EncodeOutcomes(&encoder, []Outcomes{{Token: 7, Answered: 300}})
	for size := range len(encoder.Buffer) {
		decoder := wire.NewDecoder(encoder.Buffer[:size])
		DecodeOutcomes(decoder)
		assert.Error(t, decoder.Err("test"), size)
	}
}

func TestAddAndSortOutcomes(t *testing.T) {
	sum := Outcomes{Token: 3, Answered: 1, Short: 2}.Add(Outcomes{Token: 3, Answered: 4, Unanswered: 5, Slow: 6})
	assert.Equal(t, Outcomes{Token: 3, Answered: 5, Unanswered: 5, Short: 2, Slow: 6}, sum)
	list := []Outcomes{{Token: 9}, {Token: 2}, {Token: 5}}
	SortOutcomes(list)
	assert.Equal(t, []Outcomes{{Token: 2}, {Token: 5}, {Token: 9}}, list)
}
