package registry

import "github.com/beamdoor/beamdoor/internal/directory"

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
