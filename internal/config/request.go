package config

import (
	"fmt"

	beamdoorv1 "github.com/beamdoor/beamdoor/api/beamdoor/v1"
	"github.com/beamdoor/beamdoor/internal/policy"
)

// ValidateRequest checks a write that came through the API by the rules for
// files, and reports every mistake.
func ValidateRequest(request *beamdoorv1.ApplyRequest) error {
	collector := &Collector{File: "request"}
	addresses := map[string]string{}
	for i, service := range request.Services {
		field := fmt.Sprintf("services[%d]", i)
		checkName(collector, field+".name", service.Name)
		checkAddress(collector, field+".address", service.Address)
		claim(collector, field+".address", service.Address, addresses)
		for j, target := range service.Targets {
			place := fmt.Sprintf("%s.targets[%d]", field, j)
			checkName(collector, place+".name", target.Name)
			checkAddress(collector, place+".address", target.Address)
			claim(collector, place+".address", target.Address, addresses)
		}
	}
	for i, written := range request.Policies {
		field := fmt.Sprintf("policies[%d]", i)
		checkName(collector, field+".name", written.Name)
		if _, err := policy.Compile(written.Name, written.Source); err != nil {
			collector.Add(field+".source", "", err.Error())
		}
	}
	return collector.Err()
}
