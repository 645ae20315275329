package registry

import "fmt"

// ShareChange is the change in a share of a service's slots that a dry run predicts.
type ShareChange struct {
	Service, Zone string
	// Before and After are fractions. For an evacuation they are the zone's share of the
	// slots that get new flows; for a target or version, the share of all slots that do.
	Before, After float64
}

// loadWarningFactor is the increase in load from which a warning is given: at 1.5, targets
// that were two thirds busy reach their limit.
const loadWarningFactor = 1.5

// DryRunEvacuation computes the effect of evacuating a zone from the zone statuses of a
// member, with warnings for the operator.
func DryRunEvacuation(zones []ZoneStatus, zone string) (effects []ShareChange, warnings []string) {
	total, left := map[string]uint32{}, map[string]uint32{}
	var services []string
	for _, status := range zones {
		if status.Evacuated {
			continue
		}
		if _, known := total[status.Service]; !known {
			services = append(services, status.Service)
		}
		total[status.Service] += status.Slots
		if status.Zone != zone {
			left[status.Service] += status.Slots
		}
	}
	for _, service := range services {
		if left[service] == 0 {
			warnings = append(warnings, fmt.Sprintf("service %s has no targets in other zones: new flows are refused during the evacuation", service))
		} else if growth := float64(total[service]) / float64(left[service]); growth >= loadWarningFactor {
			warnings = append(warnings, fmt.Sprintf("service %s: load on the other zones rises by a factor of %.1f", service, growth))
		}
	}
	for _, status := range zones {
		if status.Evacuated || status.Zone == zone {
			continue
		}
		effects = append(effects, ShareChange{
			Service: status.Service, Zone: status.Zone,
			Before: float64(status.Slots) / float64(total[status.Service]),
			After:  float64(status.Slots) / float64(left[status.Service]),
		})
	}
	return effects, warnings
}
