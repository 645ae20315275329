package registry

import (
	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/steperror"
)

// errNotCurrent refuses the registration of a cold target at a member that may not know
// what the target bears.
var errNotCurrent = steperror.New("registry.register", "", "this member is not current and cannot tell what a cold target bears")

// IsRegistered reports whether what a target says of itself is registered already.
func (c *Core) IsRegistered(target directory.Target) bool {
	known, registered := c.state.Target(target.ID)
	return registered && known.Start() == target.Start() && known.State >= target.State
}

// Register hands the word of a target to the group: that it exists, or that it leaves.
// One that registers while it is cold needs a member that is current.
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

// outdatedStartError refuses the word of a start that a later one has replaced.
func outdatedStartError(target directory.Target) error {
	return directory.NewProblem("born", target.Born, "a later start of "+target.ID+" is registered")
}

// checkService refuses a target that registers for a service which the configuration
// does not have: no route leads to it, and it must not take an address from a target
// that serves. Before the first configuration any service is taken, since targets and
// operator start together.
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
