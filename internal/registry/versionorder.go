package registry

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/steperror"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// VersionStatus is a version of a service, as an operator sees it.
type VersionStatus struct {
	directory.ServiceVersion
	Targets, Slots uint32
	// Rule is what was ordered about it.
	Rule directory.VersionRule
	// Ejected is the number of its targets that get no new flows, and Probation that of those
	// that get a few.
	Ejected, Probation uint32
}

// smallestVersionShare is the encoded size in bytes of a version without names.
const smallestVersionShare = 25

func encodeVersionShares(encoder *wire.Encoder, versions []VersionStatus) {
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

func decodeVersionShares(decoder *wire.Decoder) []VersionStatus {
	var versions []VersionStatus
	for count := decoder.Count(smallestVersionShare); count > 0; count-- {
		versions = append(versions, VersionStatus{
			ServiceVersion: directory.ServiceVersion{Service: decoder.String(), Version: decoder.String()},
			Targets:        decoder.Uint32(), Slots: decoder.Uint32(), Rule: directory.VersionRule(decoder.Uint8()),
			Ejected: decoder.Uint32(), Probation: decoder.Uint32(),
		})
	}
	return versions
}

// SetVersionRule says whether a version of a service is judged, held or released. It returns
// once a quorum has the order on disk. An order that has been overtaken by another one
// since it came fails; what holds may be another one then.
func (p *Process) SetVersionRule(ctx context.Context, version directory.ServiceVersion, rule directory.VersionRule) error {
	result, err := p.call(ctx, func(core *Core, now kernel.Instant) (Ticket, Output) {
		order := directory.VersionOrder{ServiceVersion: version, Rule: rule, Revision: core.State().VersionOrder(version).Revision}
		return core.Submit(now, directory.Command{Kind: directory.CommandOrderVersion, VersionOrder: order})
	})
	fields := []any{"service", version.Service, "version", version.Version, "rule", rule}
	switch {
	case err != nil:
	case result.Code == directory.CodeNotFound:
		problem := &directory.Problem{Field: "version", Reason: fmt.Sprintf("%q of service %q has no targets", version.Version, version.Service)}
		p.logger.Event(eventlog.VersionOrderRefused, append(fields, "reason", problem)...)
		return problem
	case result.Code != directory.CodeDone:
		err = steperror.New("registry.order_version", p.settings.Name, "another order about the version came first")
	}
	if err != nil {
		p.logger.Event(eventlog.VersionOrderRefused, append(fields, "err", err)...)
		return err
	}
	p.logger.Event(eventlog.VersionOrderAccepted, append(fields, "revision", result.Revision)...)
	return nil
}

// versionShares returns the versions of all services, those of a service side by side.
func (c *Core) versionShares() []VersionStatus {
	verdicts := c.liveness.verdicts.Verdicts
	shares := map[directory.ServiceVersion]VersionStatus{}
	c.state.EachTarget(func(target *directory.Target) {
		if target.State != directory.TargetReady || target.Version == "" {
			return
		}
		name := target.ServiceVersion()
		share := shares[name]
		share.ServiceVersion = name
		share.Targets++
		share.Slots += target.Slots
		share.Rule = c.state.VersionOrder(name).Rule
		switch {
		case slices.Contains(verdicts.Ejected, target.Token):
			share.Ejected++
		case slices.Contains(verdicts.Probation, target.Token):
			share.Probation++
		}
		shares[name] = share
	})
	return slices.SortedFunc(maps.Values(shares), func(a, b VersionStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
	})
}

// DryRunVersion works out what a hold of a version would do, by what a member told, and
// what to beware of. It is false when the version has no targets that take new flows.
func DryRunVersion(reply OperatorResponse, version directory.ServiceVersion) (effect ShareChange, warnings []string, known bool) {
	position := slices.IndexFunc(reply.Versions, func(share VersionStatus) bool { return share.ServiceVersion == version })
	if position < 0 {
		return ShareChange{}, nil, false
	}
	var total uint32
	for _, share := range reply.Zones {
		if share.Service == version.Service && !share.Evacuated {
			total += share.Slots
		}
	}
	left := total - min(total, reply.Versions[position].Slots)
	effect = ShareChange{Service: version.Service, Before: part(total, total), After: part(left, total)}
	switch {
	case left == 0:
		warnings = append(warnings, fmt.Sprintf("service %s has no other targets: its callers are sent to held ones", version.Service))
	case float64(total)/float64(left) >= heavyLoad:
		warnings = append(warnings, fmt.Sprintf("service %s: the others bear %.1f times as much", version.Service, float64(total)/float64(left)))
	}
	return effect, warnings, true
}
