// Package seedspan reads the seeds that a command is told to play.
package seedspan

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/beamdoor/beamdoor/internal/steperror"
)

// Parse reads seeds as A or A-B and returns the first and the last.
func Parse(text string) (first, last uint64, err error) {
	from, to, isSpan := strings.Cut(text, "-")
	if !isSpan {
		to = from
	}
	first, err = strconv.ParseUint(from, 10, 64)
	if err == nil {
		last, err = strconv.ParseUint(to, 10, 64)
	}
	if err != nil || last < first {
		return 0, 0, steperror.New("lab.seeds", "", fmt.Sprintf("--seeds %q: want A or A-B with A not above B", text))
	}
	return first, last, nil
}
