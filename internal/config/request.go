package config

import (
	"fmt"

	beamdoorv1 "github.com/beamdoor/beamdoor/api/beamdoor/v1"
	"github.com/beamdoor/beamdoor/internal/policy"
)

// ValidateRequest checks the names, addresses and policy programs of an API write by the
// rules for files and reports all errors.
func ValidateRequest(request *beamdoorv1.ApplyRequest) error {
	collector := &Collector{File: "request"}
	addresses := map[string]string{}
	for i, service := range request.Services {
		field := fmt.Sprintf("services[%d]", i)
		checkName(collector, field+".name", service.Name)
		checkAddress(collector, field+".address", service.Address)
		reserveAddress(collector, field+".address", service.Address, addresses)
		for j, target := range service.Targets {
			targetField := fmt.Sprintf("%s.targets[%d]", field, j)
			checkName(collector, targetField+".name", target.Name)
			checkAddress(collector, targetField+".address", target.Address)
			reserveAddress(collector, targetField+".address", target.Address, addresses)
		}
	}
	for i, spec := range request.Policies {
		field := fmt.Sprintf("policies[%d]", i)
		checkName(collector, field+".name", spec.Name)
		if _, err := policy.Compile(spec.Name, spec.Source); err != nil {
			collector.Add(field+".source", "", err.Error())
		}
	}
	return collector.Err()
}
