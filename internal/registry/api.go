package registry

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/steperror"
)

// conflictRetryDelay is the wait before an edit that met another one is tried again.
const conflictRetryDelay = 5 * time.Millisecond

// Heartbeat is the word of a target about itself.
type Heartbeat struct {
	Target directory.Target
	// Sequence rises with each call of the target, so that a late one is known.
	Sequence uint64
}

// Publish submits a configuration and returns once a quorum has it on disk. A
// version that is not above the one that holds changes nothing and succeeds.
func (p *Process) Publish(ctx context.Context, next directory.Configuration) error {
	for {
		result, err := p.call(ctx, func(core *Core, now kernel.Instant) (Ticket, Output) {
			edit := directory.Difference(core.State().Configuration(), next)
			return core.Submit(now, directory.Command{Kind: directory.CommandPublish, Edit: edit})
		})
		if err == nil && result.Code == directory.CodeDone {
			p.logger.Event(eventlog.VersionAccepted, "version", next.Version, "revision", result.Revision)
			return nil
		}
		if err == nil && result.Code != directory.CodeConflict {
			return steperror.New("registry.publish", p.settings.Name, "unexpected outcome")
		}
		if err != nil && ctx.Err() != nil {
			p.logger.Event(eventlog.VersionUnanswered, "version", next.Version, "err", err)
			return err
		}
		if err := pause(ctx, conflictRetryDelay); err != nil {
			return err
		}
	}
}

func pause(ctx context.Context, duration time.Duration) error {
	select {
	case <-ctx.Done():
		return steperror.Wrap("registry.publish", "", ctx.Err())
	case <-time.After(duration):
		return nil
	}
}

// Configuration returns the configuration that holds, as a linearizable read:
// it fails when this member cannot be sure of the newest.
func (p *Process) Configuration(ctx context.Context) (directory.Configuration, error) {
	_, err := p.call(ctx, func(core *Core, now kernel.Instant) (Ticket, Output) { return core.Read(now) })
	if err != nil {
		return directory.Configuration{}, err
	}
	var configuration directory.Configuration
	_, err = p.call(ctx, func(core *Core, _ kernel.Instant) (Ticket, Output) {
		configuration = core.State().Configuration()
		return 0, Output{}
	})
	return configuration, err
}

// HandleHeartbeat takes a heartbeat. It returns once what must hold of it is on the
// disks of a quorum: that the target exists, and that it drains. The address is
// that of a node for the target's later heartbeats, or "" when it is to stay, as
// it does until its nodes can know it.
func (p *Process) HandleHeartbeat(ctx context.Context, beat Heartbeat) (address string, err error) {
	if p.heartbeats.Acknowledge(beat.Target.Start(), beat.Target.State) {
		return p.heartbeatSpread.Assign(beat.Target.Zone, beat.Target.ID), nil
	}
	var refusal error
	result, err := p.call(ctx, func(core *Core, now kernel.Instant) (Ticket, Output) {
		core.RecordHeartbeat(now, beat.Target.Start())
		if core.IsRegistered(beat.Target) {
			return 0, Output{}
		}
		var ticket Ticket
		var output Output
		ticket, output, refusal = core.Register(now, beat.Target)
		return ticket, output
	})
	switch {
	case err != nil:
		return "", err
	case result.Code == directory.CodeTaken:
		return "", errAddressTaken
	case result.Code == directory.CodeOutdated:
		return "", outdatedStartError(beat.Target)
	}
	return "", refusal
}

// errAddressTaken refuses a heartbeat; a process that lives sends the next one.
var errAddressTaken = steperror.New("registry.beat", "", "the address is that of a target that was heard lately")

// Evacuate begins or ends the evacuation of a zone. It returns once a quorum has
// the order on disk. An order that has been overtaken by another one since it came
// fails; what holds may be another one then.
func (p *Process) Evacuate(ctx context.Context, zone string, active bool) error {
	unknown := false
	result, err := p.call(ctx, func(core *Core, now kernel.Instant) (Ticket, Output) {
		if unknown = !p.hasZone(core, zone); unknown {
			return 0, Output{}
		}
		return core.Submit(now, directory.Command{Kind: directory.CommandEvacuate, Evacuation: core.PrepareEvacuation(zone, active)})
	})
	switch {
	case err != nil:
		p.logger.Event(eventlog.EvacuationUnanswered, "zone", zone, "active", active, "err", err)
		return err
	case unknown:
		problem := &directory.Problem{Field: "zone", Reason: fmt.Sprintf("%q is not known", zone)}
		p.logger.Event(eventlog.EvacuationRefused, "zone", zone, "active", active, "reason", problem)
		return problem
	case result.Code != directory.CodeDone:
		err = steperror.New("registry.evacuate", p.settings.Name, "another order about the zone came first")
		p.logger.Event(eventlog.EvacuationUnanswered, "zone", zone, "active", active, "err", err)
		return err
	}
	p.logger.Event(eventlog.EvacuationAccepted, "zone", zone, "active", active, "revision", result.Revision)
	return nil
}

// hasZone reports whether a zone is among those of the settings, or has a target or
// a member.
func (p *Process) hasZone(core *Core, zone string) bool {
	return slices.Contains(p.settings.Zones, zone) || core.State().HasZone(zone)
}

// EndTarget takes the word of a target that it ends. A start without Born stands for the
// latest one.
func (p *Process) EndTarget(ctx context.Context, start directory.Start) error {
	target := directory.Target{ID: start.ID, Born: start.Born}
	_, err := p.call(ctx, func(core *Core, now kernel.Instant) (Ticket, Output) {
		return core.Submit(now, directory.Command{Kind: directory.CommandEndTarget, Target: target})
	})
	return err
}
