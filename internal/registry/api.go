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

// conflictRetryDelay is the delay before an edit that conflicted with another is retried.
const conflictRetryDelay = 5 * time.Millisecond

// Heartbeat is a target's report about itself.
type Heartbeat struct {
	Target directory.Target
	// Sequence increases with each call of the target.
	Sequence uint64
}

// Publish submits a configuration and returns once a quorum has persisted it. Publishing a
// version that is not newer than the one in force succeeds and changes nothing.
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
			return steperror.New("registry.publish", p.settings.Name, "unexpected result code")
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

// Configuration returns the configuration in force. The read is linearizable: it fails if
// this member cannot confirm that its state is the newest.
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

// HandleHeartbeat processes a heartbeat. It returns once a quorum has persisted the state
// changes that it implies, such as the registration or draining of the target. The returned
// address is the node or member to send later heartbeats to, or "" to keep the current one.
// It is always "" for a heartbeat that the cache cannot acknowledge.
func (p *Process) HandleHeartbeat(ctx context.Context, heartbeat Heartbeat) (address string, err error) {
	if p.heartbeats.Acknowledge(heartbeat.Target.Start(), heartbeat.Target.State) {
		return p.heartbeatDistributor.Assign(heartbeat.Target.Zone, heartbeat.Target.ID), nil
	}
	var refusal error
	result, err := p.call(ctx, func(core *Core, now kernel.Instant) (Ticket, Output) {
		core.RecordHeartbeat(now, heartbeat.Target.Start())
		if core.IsRegistered(heartbeat.Target) {
			return 0, Output{}
		}
		var ticket Ticket
		var output Output
		ticket, output, refusal = core.Register(now, heartbeat.Target)
		return ticket, output
	})
	switch {
	case err != nil:
		return "", err
	case result.Code == directory.CodeAddressInUse:
		return "", errAddressTaken
	case result.Code == directory.CodeOutdated:
		return "", outdatedStartError(heartbeat.Target)
	}
	return "", refusal
}

// errAddressTaken rejects a heartbeat; a live target retries with its next heartbeat.
var errAddressTaken = steperror.New("registry.beat", "", "the address belongs to a target with a recent heartbeat")

// Evacuate starts or ends the evacuation of a zone; see submitOrder for position.
func (p *Process) Evacuate(ctx context.Context, zone string, active bool, position uint64) error {
	return p.submitOrder(ctx, position, operatorOrder{
		subject: "zone", fields: []any{"zone", zone, "active", active},
		accepted: eventlog.EvacuationAccepted, refused: eventlog.EvacuationRefused, unanswered: eventlog.EvacuationUnanswered,
		prepare: func(core *Core) (directory.Command, error) {
			if !p.hasZone(core, zone) {
				return directory.Command{}, &directory.Problem{Field: "zone", Reason: fmt.Sprintf("%q is not known", zone)}
			}
			return directory.Command{Kind: directory.CommandEvacuate, Evacuation: core.PrepareEvacuation(zone, active)}, nil
		},
	})
}

// hasZone reports whether a zone is in the settings or has a target or a member.
func (p *Process) hasZone(core *Core, zone string) bool {
	return slices.Contains(p.settings.Zones, zone) || core.State().HasZone(zone)
}

// EndTarget marks a target as ended at its own request. A start without StartTime refers to the
// latest one.
func (p *Process) EndTarget(ctx context.Context, start directory.Start) error {
	target := directory.Target{ID: start.ID, StartTime: start.StartTime}
	_, err := p.call(ctx, func(core *Core, now kernel.Instant) (Ticket, Output) {
		return core.Submit(now, directory.Command{Kind: directory.CommandEndTarget, Target: target})
	})
	return err
}
