package edge

import (
	"slices"
	"strings"
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/registry"
	"github.com/beamdoor/beamdoor/internal/steer"
)

// updateInput applies an update of the directory.
type updateInput struct {
	update directory.Update
	answer chan updateOutcome
}

// updateOutcome is the result of an update.
type updateOutcome struct {
	applied  bool
	revision uint64
	members  []directory.Member
}

func (i updateInput) handle(p *Process, now kernel.Instant) {
	before := p.core.Version()
	revision := p.core.Revision()
	evacuated := p.core.EvacuatedZones()
	usedRemembered := p.core.UsesRemembered()
	started := time.Now()
	applied := p.core.Update(now, i.update)
	p.metrics.updateDuration.Observe(time.Since(started).Seconds())
	if applied && p.core.Revision() > revision {
		p.heartbeats.Update(i.update.Targets)
	}
	p.resetFlows(now, p.core.ResetUnanswered(), steer.ReasonEnded)
	if usedRemembered && !p.core.UsesRemembered() {
		p.logger.Event(eventlog.RememberedOver, "reason", reasonCurrent, "version", p.core.Version())
	}
	p.updateReadiness()
	p.updateEvacuatedZones(evacuated)
	p.metrics.revision.Set(float64(p.core.Revision()))
	p.metrics.version.Set(float64(p.core.Version()))
	if applied {
		p.logger.Event(eventlog.DirectoryUpdated, "revision", i.update.Revision, "whole", i.update.Whole,
			"version_before", before, "version", p.core.Version(), "edits", len(i.update.Edits), "targets", len(i.update.Targets))
	} else {
		p.logger.Event(eventlog.DirectoryRefused, "revision", i.update.Revision, "version", before)
	}
	i.answer <- updateOutcome{applied: applied, revision: p.core.Revision(), members: p.core.Members()}
}

// updateEvacuatedZones logs a change of the evacuated zones.
func (p *Process) updateEvacuatedZones(before []string) {
	zones := p.core.EvacuatedZones()
	p.metrics.evacuatedZones.Set(float64(len(zones)))
	if !slices.Equal(zones, before) {
		p.logger.Event(eventlog.ZonesEvacuated, "zones", strings.Join(zones, ","), "revision", p.core.Revision())
	}
}

func (p *Process) updateReadiness() {
	ready := p.core.IsReady()
	if p.ready.Swap(ready) != ready {
		if ready {
			p.metrics.readyAfter.Observe(time.Since(p.started).Seconds())
		}
		p.logger.Event(eventlog.ReadinessChanged, "ready", ready, "revision", p.core.Revision(), "waiting", len(p.waitlist.packets))
	}
	if ready {
		p.startRelease()
	}
}

// rememberedInput applies the targets that a member has read from its disk. They suffice
// for packets of open flows, and for new flows in the node's first seconds.
type rememberedInput struct{ remembered directory.Remembered }

func (i rememberedInput) handle(p *Process, now kernel.Instant) {
	before := p.core.UsesRemembered()
	known := p.core.ApplyRemembered(now, i.remembered, p.startedAt().Add(registry.RememberedTTL))
	p.metrics.remembered.Add(float64(known))
	p.logger.Event(eventlog.TargetsRemembered, "targets", len(i.remembered.Targets), "taken", known, "waiting", len(p.waitlist.packets))
	if p.core.UsesRemembered() && !before {
		p.logger.Event(eventlog.RememberedInUse, "version", p.core.Version(), "after", time.Since(p.started))
	}
	p.updateReadiness()
	p.startRelease()
}

// expireRemembered stops the use of remembered targets after their time limit.
func (p *Process) expireRemembered(now kernel.Instant) {
	if p.core.ExpireRemembered(now) {
		p.logger.Event(eventlog.RememberedOver, "reason", reasonExpired, "version", p.core.Version())
		p.updateReadiness()
	}
}

// The reasons for which remembered targets are no longer used.
const (
	reasonExpired = "time"
	reasonCurrent = "current"
)

// verdictsInput applies the members' verdicts on targets and resets the flows of lost ones.
type verdictsInput struct{ verdicts directory.Verdicts }

func (i verdictsInput) handle(p *Process, now kernel.Instant) {
	p.resetFlows(now, p.core.ApplyVerdicts(i.verdicts), steer.ReasonLost)
}

// resetFlows resets flows, each identified by one of its packets.
func (p *Process) resetFlows(now kernel.Instant, packets []steer.Packet, reason steer.Reason) {
	for _, packet := range packets {
		p.sendReset(now, packet)
		p.logger.Sampled(eventlog.FlowReset, "caller", packet.Flow.Caller, "virtual", packet.Flow.Virtual,
			"reason", reason, "token", packet.Token, "version", p.core.Version(), "revision", p.core.Revision())
	}
}
