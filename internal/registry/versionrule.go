package registry

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// VersionStatus is the status of a version of a service, as shown to operators.
type VersionStatus struct {
	directory.ServiceVersion
	Targets, Slots uint32
	// Rule is the rule that an operator set.
	Rule directory.VersionRule
	// Ejected is the number of its targets without new flows, and Probation the number of
	// those that get a few.
	Ejected, Probation uint32
}

// minVersionStatusSize is the encoded size in bytes of a status with empty names.
const minVersionStatusSize = 25

func encodeVersionStatuses(encoder *wire.Encoder, versions []VersionStatus) {
	encoder.Uint32(uint32(len(versions)))
	for _, version := range versions {
		encoder.String(version.Service)
		encoder.String(version.Version)
		encoder.Uint32(version.Targets)
		encoder.Uint32(version.Slots)
		encoder.Uint8(uint8(version.Rule))
		encoder.Uint32(version.Ejected)
		encoder.Uint32(version.Probation)
	}
}

func decodeVersionStatuses(decoder *wire.Decoder) []VersionStatus {
	var versions []VersionStatus
	for count := decoder.Count(minVersionStatusSize); count > 0; count-- {
		versions = append(versions, VersionStatus{
			ServiceVersion: directory.ServiceVersion{Service: decoder.String(), Version: decoder.String()},
			Targets:        decoder.Uint32(), Slots: decoder.Uint32(), Rule: directory.VersionRule(decoder.Uint8()),
			Ejected: decoder.Uint32(), Probation: decoder.Uint32(),
		})
	}
	return versions
}

// SetVersionRule sets whether a version of a service is judged, held or released; see submitOrder
// for position.
func (p *Process) SetVersionRule(ctx context.Context, version directory.ServiceVersion, rule directory.VersionRule, position uint64) error {
	return p.submitOrder(ctx, position, operatorOrder{
		subject: "version", fields: []any{"service", version.Service, "version", version.Version, "rule", rule},
		accepted: eventlog.VersionOrderAccepted, refused: eventlog.VersionOrderRefused, unanswered: eventlog.VersionOrderRefused,
		prepare: func(core *Core) (directory.Command, error) {
			order := directory.VersionOrder{ServiceVersion: version, Rule: rule, Revision: core.State().VersionOrder(version).Revision}
			return directory.Command{Kind: directory.CommandOrderVersion, VersionOrder: order}, nil
		},
		unknown: &directory.Problem{Field: "version", Reason: fmt.Sprintf("%q of service %q has no targets", version.Version, version.Service)},
	})
}

// versionStatuses returns the versions of all services, sorted by service and version.
func (c *Core) versionStatuses() []VersionStatus {
	verdicts := c.liveness.verdicts.Verdicts
	statuses := map[directory.ServiceVersion]VersionStatus{}
	c.state.EachTarget(func(target *directory.Target) {
		if target.State != directory.TargetReady || target.Version == "" {
			return
		}
		name := target.ServiceVersion()
		status := statuses[name]
		status.ServiceVersion = name
		status.Targets++
		status.Slots += target.Slots
		status.Rule = c.state.VersionOrder(name).Rule
		switch {
		case slices.Contains(verdicts.Ejected, target.Token):
			status.Ejected++
		case slices.Contains(verdicts.Probation, target.Token):
			status.Probation++
		}
		statuses[name] = status
	})
	return slices.SortedFunc(maps.Values(statuses), func(a, b VersionStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
	})
}

// DryRunVersion computes the effect of holding a version from a member's response, with
// warnings for the operator. It returns false if the version has no targets that take new
// flows.
func DryRunVersion(response OperatorResponse, version directory.ServiceVersion) (effect ShareChange, warnings []string, known bool) {
	position := slices.IndexFunc(response.Versions, func(status VersionStatus) bool { return status.ServiceVersion == version })
	if position < 0 {
		return ShareChange{}, nil, false
	}
	var total uint32
	for _, status := range response.Zones {
		if status.Service == version.Service && !status.Evacuated {
			total += status.Slots
		}
	}
	left := total - min(total, response.Versions[position].Slots)
	effect = ShareChange{Service: version.Service, Before: fraction(total, total), After: fraction(left, total)}
	switch {
	case left == 0:
		warnings = append(warnings, fmt.Sprintf("service %s has no other targets: new flows still go to held ones", version.Service))
	case float64(total)/float64(left) >= loadWarningFactor:
		warnings = append(warnings, fmt.Sprintf("service %s: load on the other targets rises by a factor of %.1f", version.Service, float64(total)/float64(left)))
	}
	return effect, warnings, true
}
