package directory

import (
	"fmt"
	"time"
)

const (
	// maxSlots is the largest number of requests at once that is taken for meant; lists
	// of targets carry no more.
	maxSlots = 1<<16 - 1
	// maxVersion is the longest version in bytes that is taken for meant.
	maxVersion = 256
	// maxCold is the longest time for which a target is taken to be cold.
	maxCold = time.Hour
)

// Validate returns Problems when what a target says of itself is not whole. Whoever
// wrote it may be no target, so nothing of it is used.
func (t Target) Validate() error {
	var check Check
	check.Require(t.Service != "", "service", `""`, "must not be empty")
	check.Require(t.Address.IsValid(), "address", t.Address, "must be an IP number and a port")
	check.Require(t.Zone != "", "zone", `""`, "must not be empty")
	check.Require(t.Slots > 0 && t.Slots <= maxSlots, "slots", t.Slots, fmt.Sprintf("must be from 1 to %d", maxSlots))
	check.Require(t.State == TargetReady || t.State == TargetDraining, "state", t.State, "is not one that a target can be in")
	check.Require(t.Warmup == nil || t.Warmup.Remaining <= maxCold, "warmup", t.Warmup, fmt.Sprintf("must be at most %v", maxCold))
	check.Require(len(t.Version) <= maxVersion, "version", t.Version, fmt.Sprintf("must have at most %d bytes", maxVersion))
	check.Add(t.Start().Validate())
	return check.Err()
}
