package directory

import (
	"fmt"
	"net/netip"
)

// Validate returns the first error in the configuration as a Problem, or nil.
func (c Configuration) Validate() error {
	if c.Version == 0 {
		return &Problem{Field: "version", Reason: "must be above 0"}
	}
	services, err := c.serviceNames()
	if err != nil {
		return err
	}
	owners := map[netip.AddrPort]string{}
	for _, route := range c.Routes {
		if err := route.validate(services); err != nil {
			return err
		}
		if owner, taken := owners[route.Address]; taken {
			return &Problem{
				Field:  "routes." + route.Name + ".address",
				Reason: fmt.Sprintf("%s is taken by route %q", route.Address, owner),
			}
		}
		owners[route.Address] = route.Name
	}
	return nil
}

func (c Configuration) serviceNames() (map[string]bool, error) {
	names := map[string]bool{}
	for index, service := range c.Services {
		field := fmt.Sprintf("services.%d.name", index)
		if service.Name == "" {
			return nil, &Problem{Field: field, Reason: "must not be empty"}
		}
		if names[service.Name] {
			return nil, &Problem{Field: field, Reason: fmt.Sprintf("%q is defined twice", service.Name)}
		}
		names[service.Name] = true
	}
	return names, nil
}

func (r Route) validate(services map[string]bool) error {
	field := "routes." + r.Name
	if !r.Address.IsValid() {
		return &Problem{Field: field + ".address", Reason: "must be an address and a port"}
	}
	if r.Timeout <= 0 {
		return &Problem{Field: field + ".timeout", Reason: "must be above 0"}
	}
	if r.Kind >= routeKindCount {
		return &Problem{Field: field + ".kind", Reason: fmt.Sprintf("%d is not a route kind", r.Kind)}
	}
	if r.Objective < 0 {
		return &Problem{Field: field + ".objective", Reason: "must not be below 0"}
	}
	if len(r.Backends) == 0 {
		return &Problem{Field: field + ".backends", Reason: "must name at least one service"}
	}
	total := uint64(0)
	for _, backend := range r.Backends {
		if !services[backend.Service] {
			return &Problem{Field: field + ".backends", Reason: fmt.Sprintf("service %q does not exist", backend.Service)}
		}
		total += uint64(backend.Weight)
	}
	if total == 0 {
		return &Problem{Field: field + ".backends", Reason: "the weights must add up to more than 0"}
	}
	return nil
}
