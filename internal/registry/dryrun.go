package registry

import "fmt"

// ShareChange is the change in a zone's or service's share of slots that a dry run
// predicts.
type ShareChange struct {
	Service, Zone string
	// Before and After are the shares of the service's slots that take new flows.
	Before, After float64
}

// loadWarningFactor is the load increase from which a warning is given: at 1.5, targets
// that were two thirds busy reach their limit.
const loadWarningFactor = 1.5

// DryRunEvacuation computes the effect of evacuating a zone from the zone statuses of a
// member, with warnings for the operator.
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
