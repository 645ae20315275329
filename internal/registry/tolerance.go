package registry

import (
	"fmt"

	"github.com/beamdoor/beamdoor/internal/directory"
)

// Tolerance is the number of machines, or of zones, that may fail at once without loss of
// the quorum.
type Tolerance struct{ Machines, Zones int }

// Voters returns the number of voters that the tolerance requires.
func (t Tolerance) Voters() int { return 2*max(t.Machines, t.Zones) + 1 }

// Validate returns directory.Problems for negative numbers. The parameter names the
// tolerance in the settings.
func (t Tolerance) Validate(field string) error {
	var check directory.Check
	check.Require(t.Machines >= 0, field+".machines", t.Machines, "must not be below 0")
	check.Require(t.Zones >= 0, field+".zones", t.Zones, "must not be below 0")
	return check.Err()
}

// CheckZones returns a directory.Problem if there are too few zones for the tolerance; 0
// zones means that their number is unknown. A member runs regardless, with the tolerance
// that is possible.
func (t Tolerance) CheckZones(field string, zones int) error {
	if needed := 2*t.Zones + 1; zones > 0 && zones < needed {
		return directory.NewProblem(field+".zones", t.Zones, fmt.Sprintf("needs %d zones, there are %d", needed, zones))
	}
	return nil
}
