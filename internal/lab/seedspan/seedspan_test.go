package seedspan

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestParse(t *testing.T) {
	cases := []struct {
		text        string
		first, last uint64
		wrong       bool
	}{
		{"7", 7, 7, false},
		{"1-200", 1, 200, false},
		{"5-5", 5, 5, false},
		{"5-1", 0, 0, true},
		{"x", 0, 0, true},
		{"1-x", 0, 0, true},
		{"", 0, 0, true},
		{"-3", 0, 0, true},
	}
	for _, test := range cases {
		t.Run(test.text, func(t *testing.T) {
			first, last, err := Parse(test.text)
			assert.Equal(t, test.first, first)
			assert.Equal(t, test.last, last)
			if test.wrong {
				assert.ErrorContains(t, err, "--seeds")
				return
			}
			assert.NoError(t, err)
		})
	}
}
