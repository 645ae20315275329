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

// updateInput brings an update of the directory.
type updateInput struct {
	update directory.Update
	answer chan updateOutcome
}

// updateOutcome tells the subscriber what became of an update.
type updateOutcome struct {
	fits     bool
	revision uint64
	members  []directory.Member
}

func (i updateInput) handle(p *Process, now kernel.Instant) {
	before := p.core.Version()
	revision := p.core.Revision()
	evacuated := p.core.EvacuatedZones()
	byMemory := p.core.UsesRemembered()
	started := time.Now()
	fits := p.core.Update(now, i.update)
	p.metrics.applying.Observe(time.Since(started).Seconds())
	if fits && p.core.Revision() > revision {
		p.beats.Update(i.update.Targets)
	}
	p.resetFlows(now, p.core.ResetUnanswered(), steer.ReasonEnded)
	if byMemory && !p.core.UsesRemembered() {
		p.logger.Event(eventlog.RememberedOver, "reason", reasonCurrent, "version", p.core.Version())
	}
	p.noteReadiness()
	p.noteEvacuated(evacuated)
	p.metrics.revision.Set(float64(p.core.Revision()))
	p.metrics.version.Set(float64(p.core.Version()))
	if fits {
		p.logger.Event(eventlog.DirectoryUpdated, "revision", i.update.Revision, "whole", i.update.Whole,
			"version_before", before, "version", p.core.Version(), "edits", len(i.update.Edits), "targets", len(i.update.Targets))
	} else {
		p.logger.Event(eventlog.DirectoryRefused, "revision", i.update.Revision, "version", before)
	}
	i.answer <- updateOutcome{fits: fits, revision: p.core.Revision(), members: p.core.Members()}
}

// noteEvacuated writes an event when the evacuated zones are others than before.
func (p *Process) noteEvacuated(before []string) {
	zones := p.core.EvacuatedZones()
	p.metrics.evacuated.Set(float64(len(zones)))
	if !slices.Equal(zones, before) {
		p.logger.Event(eventlog.ZonesEvacuated, "zones", strings.Join(zones, ","), "revision", p.core.Revision())
	}
}

func (p *Process) noteReadiness() {
	ready := p.core.IsReady()
	if p.ready.Swap(ready) != ready {
		if ready {
			p.metrics.readyAfter.Observe(time.Since(p.started).Seconds())
		}
		p.logger.Event(eventlog.ReadinessChanged, "ready", ready, "revision", p.core.Revision(), "waiting", len(p.waiting.packets))
	}
	if ready {
		p.startRelease()
	}
}

// rememberedInput brings what a member's disk remembers. Packets of open flows need
// nothing else, and new flows nothing for the first seconds of this node.
type rememberedInput struct{ remembered directory.Remembered }

func (i rememberedInput) handle(p *Process, now kernel.Instant) {
	before := p.core.UsesRemembered()
	known := p.core.ApplyRemembered(now, i.remembered, p.startedAt().Add(registry.RememberedTTL))
	p.metrics.remembered.Add(float64(known))
	p.logger.Event(eventlog.TargetsRemembered, "targets", len(i.remembered.Targets), "taken", known, "waiting", len(p.waiting.packets))
	if p.core.UsesRemembered() && !before {
		p.logger.Event(eventlog.RememberedInUse, "version", p.core.Version(), "after", time.Since(p.started))
	}
	p.noteReadiness()
	p.startRelease()
}

// endMemory ends the use of what a member's disk remembers when its time is up.
func (p *Process) endMemory(now kernel.Instant) {
	if p.core.ExpireRemembered(now) {
		p.logger.Event(eventlog.RememberedOver, "reason", reasonTime, "version", p.core.Version())
		p.noteReadiness()
	}
}

// The reasons for which what a disk remembers is used no more.
const (
	reasonTime    = "time"
	reasonCurrent = "current"
)

// verdictsInput brings the control members' view of the targets.
type verdictsInput struct{ verdicts directory.Verdicts }

func (i verdictsInput) handle(p *Process, now kernel.Instant) {
	p.resetFlows(now, p.core.ApplyVerdicts(i.verdicts), steer.ReasonLost)
}

// resetFlows tells the callers of flows that are over, each by a packet of its flow.
func (p *Process) resetFlows(now kernel.Instant, packets []steer.Packet, reason steer.Reason) {
	for _, packet := range packets {
		p.reset(now, packet)
		p.logger.Sampled(eventlog.FlowReset, "caller", packet.Flow.Caller, "virtual", packet.Flow.Virtual,
			"reason", reason, "token", packet.Token, "version", p.core.Version(), "revision", p.core.Revision())
	}
}
