package registry

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/rendezvous"
)

// WarmupConfig is the warm-up configuration of a service. A target is cold until its
// warm-up is over.
type WarmupConfig struct {
	// Time is how long a target is cold after its start.
	Time time.Duration
	// Rate is the number of requests per second that a cold target can handle; 0 means
	// unspecified.
	Rate float64
}

const (
	// maxWarmupTime is the longest valid warm-up.
	maxWarmupTime = time.Hour
	// maxWarmupRate is the highest valid rate of a cold target.
	maxWarmupRate = 1_000_000
)

// Validate returns a directory.Problem if a value is out of range. The parameters name the
// fields in the error.
func (w WarmupConfig) Validate(timeField, rateField string) error {
	if w.Time < 0 || w.Time > maxWarmupTime {
		return directory.NewProblem(timeField, w.Time, fmt.Sprintf("must be from 0 to %v", maxWarmupTime))
	}
	if w.Rate < 0 || w.Rate > maxWarmupRate {
		return directory.NewProblem(rateField, w.Rate, fmt.Sprintf("must be from 0 to %d", maxWarmupRate))
	}
	return nil
}

// WarmupLimits limit the budget of a cold target, in new flows per second, to Factor times
// its rate plus Slack.
type WarmupLimits struct{ Factor, Slack float64 }

const (
	// maxAssignedNodes is the maximum number of nodes that share the budget of a target. Each
	// takes 4 bytes in the target's registration at each node.
	maxAssignedNodes = 4
	// maxZoneAssignedNodes is the same for the targets of a zone whose evacuation has ended.
	// They are sent once for each service.
	maxZoneAssignedNodes = 16
	// minWarmupSweep is the smallest table size at which warm targets are removed.
	minWarmupSweep = 256
)

// warmupTable tracks when warm-ups started on this member's clock. Those loaded from disk or
// from a snapshot count from when they were loaded.
type warmupTable struct {
	loadedAt  kernel.Instant
	startedAt map[directory.Token]kernel.Instant
	// nextSweepSize is the number of targets at which warm ones are removed next.
	nextSweepSize int
	// reopenedAt is when the evacuation of each zone ended.
	reopenedAt map[string]kernel.Instant
}

func newWarmupTable(now kernel.Instant) warmupTable {
	return warmupTable{
		loadedAt: now, startedAt: map[directory.Token]kernel.Instant{}, nextSweepSize: minWarmupSweep, reopenedAt: map[string]kernel.Instant{},
	}
}

// record adds a target that has just registered.
func (w *warmupTable) record(now kernel.Instant, target directory.Target) {
	if target.Warmup == nil {
		return
	}
	if len(w.startedAt) >= w.nextSweepSize {
		maps.DeleteFunc(w.startedAt, func(_ directory.Token, at kernel.Instant) bool { return now.Sub(at) > target.Warmup.Remaining })
		// Doubling the size keeps the total cost linear when a whole fleet starts cold.
		w.nextSweepSize = max(minWarmupSweep, 2*len(w.startedAt))
	}
	w.startedAt[target.Token] = now
}

// remaining returns how much longer a target is cold.
func (w *warmupTable) remaining(now kernel.Instant, target directory.Target) time.Duration {
	since, known := w.startedAt[target.Token]
	if !known {
		since = w.loadedAt
	}
	return target.Warmup.Remaining - now.Sub(since)
}

// remainingInZone returns how much longer the targets of a zone whose evacuation ended are
// cold.
func (w *warmupTable) remainingInZone(now kernel.Instant, zone string, warmup directory.Warmup) time.Duration {
	since, known := w.reopenedAt[zone]
	if !known {
		since = w.loadedAt
	}
	return warmup.Remaining - now.Sub(since)
}

// recordWarmup starts the clock of the warm-ups that a command has just started.
func (c *Core) recordWarmup(now kernel.Instant, command directory.Command, result directory.Result) {
	if c.state.Revision() != result.Revision {
		return
	}
	switch command.Kind {
	case directory.CommandPutTarget:
		if target, _ := c.state.Target(command.Target.ID); target.Revision == result.Revision {
			c.warmups.record(now, target)
		}
	case directory.CommandEvacuate:
		c.warmups.reopenedAt[command.Evacuation.Zone] = now
	}
}

// adjustWarmups sets the warm-ups in an update to the remaining time, which nodes count
// from its receipt, and removes those that are over.
func (c *Core) adjustWarmups(now kernel.Instant, update directory.Update) directory.Update {
	for position, target := range update.Targets {
		if target.Warmup == nil {
			continue
		}
		warmup := *target.Warmup
		warmup.Remaining = c.warmups.remaining(now, target)
		update.Targets[position].Warmup = &warmup
		if warmup.Remaining <= 0 {
			update.Targets[position].Warmup = nil
		}
	}
	for position, evacuation := range update.Evacuations {
		var warmups []directory.ServiceWarmup
		for _, known := range evacuation.Warmups {
			known.Warmup.Remaining = c.warmups.remainingInZone(now, evacuation.Zone, known.Warmup)
			if known.Warmup.Remaining > 0 {
				warmups = append(warmups, known)
			}
		}
		update.Evacuations[position].Warmups = warmups
	}
	return update
}

// newWarmup returns the warm-up of a cold target with its budget and assigned nodes.
func (c *Core) newWarmup(target directory.Target) *directory.Warmup {
	warmup := directory.Warmup{Remaining: target.Warmup.Remaining, Budget: c.budget(c.warmupConfig(target.Service))}
	warmup.AssignedNodes = c.assignedNodes(target.ID, warmup.Budget, maxAssignedNodes)
	return &warmup
}

// PrepareEvacuation returns the command that starts or ends the evacuation of a zone, based
// on this member's state.
func (c *Core) PrepareEvacuation(zone string, active bool) directory.Evacuation {
	evacuation := directory.Evacuation{Zone: zone, Active: active, Revision: c.state.Evacuation(zone).Revision}
	if active {
		return evacuation
	}
	return c.endEvacuation(evacuation)
}

// endEvacuation adds the warm-ups of the zone's services: after an evacuation its targets
// may be cold.
func (c *Core) endEvacuation(evacuation directory.Evacuation) directory.Evacuation {
	services := map[string]bool{}
	c.state.EachTarget(func(target *directory.Target) {
		if target.Zone == evacuation.Zone && target.State == directory.TargetReady {
			services[target.Service] = true
		}
	})
	for _, service := range slices.Sorted(maps.Keys(services)) {
		config := c.warmupConfig(service)
		if config.Time <= 0 {
			continue
		}
		warmup := directory.Warmup{Remaining: config.Time, Budget: c.budget(config)}
		warmup.AssignedNodes = c.assignedNodes(evacuation.Zone, warmup.Budget, maxZoneAssignedNodes)
		evacuation.Warmups = append(evacuation.Warmups, directory.ServiceWarmup{Service: service, Warmup: warmup})
	}
	return evacuation
}

// warmupConfig returns the warm-up configuration of a service.
func (c *Core) warmupConfig(name string) WarmupConfig {
	if c.settings.WarmupOf == nil {
		return WarmupConfig{}
	}
	for _, service := range c.state.Configuration().Services {
		if service.Name != name {
			continue
		}
		config, err := c.settings.WarmupOf(service)
		if err != nil {
			c.logEvent(eventlog.WarmthUnreadable, "service", name, "err", err)
			return WarmupConfig{}
		}
		return config
	}
	return WarmupConfig{}
}

// budget returns the number of new flows per second that a cold target may get: its rate
// within the limits, and at least one so that it is used at all. It is 0 if no rate is
// configured.
func (c *Core) budget(config WarmupConfig) uint32 {
	if config.Rate <= 0 {
		return 0
	}
	bound := config.Rate*c.settings.WarmupLimits.Factor + c.settings.WarmupLimits.Slack
	return uint32(max(1, min(bound, config.Rate)))
}

// assignedNodes returns the nodes that share a budget: some of those that follow this
// member, so that each has a share of at least one flow. The choice is stable for a key, and
// the probability of a node is proportional to its weight.
func (c *Core) assignedNodes(key string, budget uint32, limit int) []uint32 {
	if budget == 0 {
		return nil
	}
	nodes := c.weightedNodes()
	var assigned []uint32
	for _, position := range rendezvous.BestN(nodes, rendezvous.Hash(key), min(limit, int(budget))) {
		assigned = append(assigned, uint32(nodes[position].Seed))
	}
	return assigned
}
