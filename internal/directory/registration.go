package directory

import (
	"fmt"
	"time"
)

const (
	// maxSlots is the maximum number of slots; lists of targets encode it in 16 bits.
	maxSlots = 1<<16 - 1
	// maxVersionLength is the maximum length of a version in bytes.
	maxVersionLength = 256
	// maxWarmup is the maximum remaining warm-up time of a target.
	maxWarmup = time.Hour
)

// Validate returns Problems if a registration is incomplete or invalid. Such a
// registration is rejected as a whole, since its sender may not be a target.
func (t Target) Validate() error {
	var check Check
	check.Require(t.Service != "", "service", `""`, "must not be empty")
	check.Require(t.Address.IsValid(), "address", t.Address, "must be an IP number and a port")
	check.Require(t.Zone != "", "zone", `""`, "must not be empty")
	check.Require(t.Slots > 0 && t.Slots <= maxSlots, "slots", t.Slots, fmt.Sprintf("must be from 1 to %d", maxSlots))
	check.Require(t.State == TargetReady || t.State == TargetDraining, "state", t.State, "must be ready or draining")
	check.Require(t.Warmup == nil || t.Warmup.Remaining <= maxWarmup, "warmup", t.Warmup, fmt.Sprintf("must be at most %v", maxWarmup))
	check.Require(len(t.Version) <= maxVersionLength, "version", t.Version, fmt.Sprintf("must have at most %d bytes", maxVersionLength))
	check.Add(t.Start().Validate())
	return check.Err()
}
