package registry

import "fmt"

// ShareChange is what the evacuation of a zone does to a service in another zone.
type ShareChange struct {
	Service, Zone string
	// Before and After are the parts of the service's slots that the zone has among
	// those that take new flows.
	Before, After float64
}

// loadWarningFactor is the growth of a zone's part from which on a warning is given: a zone
// that bears half as much again is at its limit when it was two thirds busy.
const loadWarningFactor = 1.5

// DryRunEvacuation works out what the evacuation of a zone would do, by the shares that a member
// told, and what to beware of.
func DryRunEvacuation(shares []ZoneStatus, zone string) (effects []ShareChange, warnings []string) {
	total, left := map[string]uint32{}, map[string]uint32{}
	var services []string
	for _, share := range shares {
		if share.Evacuated {
			continue
		}
		if _, known := total[share.Service]; !known {
			services = append(services, share.Service)
		}
		total[share.Service] += share.Slots
		if share.Zone != zone {
			left[share.Service] += share.Slots
		}
	}
	for _, service := range services {
		if left[service] == 0 {
			warnings = append(warnings, fmt.Sprintf("service %s has no targets elsewhere: its callers are refused meanwhile", service))
		} else if growth := float64(total[service]) / float64(left[service]); growth >= loadWarningFactor {
			warnings = append(warnings, fmt.Sprintf("service %s: the other zones bear %.1f times as much", service, growth))
		}
	}
	for _, share := range shares {
		if share.Evacuated || share.Zone == zone {
			continue
		}
		effects = append(effects, ShareChange{
			Service: share.Service, Zone: share.Zone,
			Before: float64(share.Slots) / float64(total[share.Service]),
			After:  float64(share.Slots) / float64(left[share.Service]),
		})
	}
	return effects, warnings
}
