package registry

import (
	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/steperror"
)

// errNotCurrent rejects the registration of a cold target at a member that may not know the
// target's current warm-up limits.
var errNotCurrent = steperror.New("registry.register", "", "this member is not up to date and cannot determine the warm-up limits of a cold target")

// IsRegistered reports whether the registered state already includes what a target reports.
func (c *Core) IsRegistered(target directory.Target) bool {
	known, registered := c.state.Target(target.ID)
	return registered && known.Start() == target.Start() && known.State >= target.State
}

// Register submits a target's registration or change of state. The registration of a cold
// target requires a current member.
func (c *Core) Register(now kernel.Instant, target directory.Target) (Ticket, Output, error) {
	if known, registered := c.state.Target(target.ID); registered && target.Start().IsBefore(known.Start()) {
		return 0, Output{}, outdatedStartError(target)
	}
	if err := c.checkService(target); err != nil {
		return 0, Output{}, err
	}
	if target.Warmup != nil {
		if !c.IsCurrent(now) {
			return 0, Output{}, errNotCurrent
		}
		target.Warmup = c.newWarmup(target)
	}
	ticket, output := c.Submit(now, directory.Command{Kind: directory.CommandPutTarget, Target: target})
	return ticket, output, nil
}

// outdatedStartError rejects a report of a start that has been superseded.
func outdatedStartError(target directory.Target) error {
	return directory.NewProblem("born", target.StartTime, "a later start of "+target.ID+" is registered")
}

// checkService rejects a target whose service is not in the configuration, so that it
// cannot take the address of a serving target. Any service is accepted before the first
// configuration, and targets that are registered already stay accepted.
func (c *Core) checkService(target directory.Target) error {
	configuration := c.state.Configuration()
	if configuration.Version == 0 || configuration.HasService(target.Service) {
		return nil
	}
	if known, registered := c.state.Target(target.ID); registered && known.Start() == target.Start() {
		return nil
	}
	return directory.NewProblem("service", target.Service, "is not in the configuration")
}
