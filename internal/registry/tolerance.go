package registry

import (
	"fmt"

	"github.com/beamdoor/beamdoor/internal/directory"
)

// Tolerance is what may be lost at once while a quorum of the voters must be left:
// any so many machines, or any so many zones.
type Tolerance struct{ Machines, Zones int }

// Voters returns the number of voters that bear the losses.
func (t Tolerance) Voters() int { return 2*max(t.Machines, t.Zones) + 1 }

// Validate returns directory.Problems when numbers are below 0. The field is that of
// the tolerance in the settings.
func (t Tolerance) Validate(field string) error {
	var check directory.Check
	check.Require(t.Machines >= 0, field+".machines", t.Machines, "must not be below 0")
	check.Require(t.Zones >= 0, field+".zones", t.Zones, "must not be below 0")
	return check.Err()
}

// CheckZones returns a directory.Problem when so many zones cannot bear the loss of
// those that are stated; 0 zones means that their number is not known. A member runs
// all the same: what can be borne is borne.
func (t Tolerance) CheckZones(field string, zones int) error {
	if needed := 2*t.Zones + 1; zones > 0 && zones < needed {
		return directory.NewProblem(field+".zones", t.Zones, fmt.Sprintf("needs %d zones, there are %d", needed, zones))
	}
	return nil
}
