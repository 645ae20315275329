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

// WarmupConfig is what is stated about the cold targets of a service.
type WarmupConfig struct {
	// Time is how long a target is cold after its start.
	Time time.Duration
	// Rate is the number of requests that a cold target bears in a second; 0 where
	// none is stated.
	Rate float64
}

const (
	// maxWarmupTime is the longest warm-up that is taken for meant.
	maxWarmupTime = time.Hour
	// maxWarmupRate is the largest rate of a cold target that is taken for meant.
	maxWarmupRate = 1_000_000
)

// Validate returns a directory.Problem when a value cannot be meant. The fields are
// those of the service that states them.
func (w WarmupConfig) Validate(timeField, rateField string) error {
	if w.Time < 0 || w.Time > maxWarmupTime {
		return directory.NewProblem(timeField, w.Time, fmt.Sprintf("must be from 0 to %v", maxWarmupTime))
	}
	if w.Rate < 0 || w.Rate > maxWarmupRate {
		return directory.NewProblem(rateField, w.Rate, fmt.Sprintf("must be from 0 to %d", maxWarmupRate))
	}
	return nil
}

// WarmupLimits bound what a cold target may be sent in a second to Over times the
// rate that it bears, and Slack beyond that.
type WarmupLimits struct{ Factor, Slack float64 }

const (
	// maxStewards is the number of nodes that share the budget of a target. Each is
	// 4 bytes of the target's registration at each node.
	maxStewards = 4
	// maxZoneStewards is the same for the targets of a zone that is taken back. They
	// are told once for each service.
	maxZoneStewards = 16
	// leastWarmups is the number of targets from which on those that are warm by now
	// are forgotten.
	leastWarmups = 256
)

// warmupTable knows until when targets are cold, on this member's clock. Those of
// its disk or of another member's snapshot count from when it read them.
type warmupTable struct {
	readAt kernel.Instant
	since  map[directory.Token]kernel.Instant
	// sweepAt is the number of targets at which the warm ones are forgotten next.
	sweepAt int
	// zones holds when zones were taken back.
	zones map[string]kernel.Instant
}

func newWarmupTable(now kernel.Instant) warmupTable {
	return warmupTable{
		readAt: now, since: map[directory.Token]kernel.Instant{}, sweepAt: leastWarmups, zones: map[string]kernel.Instant{},
	}
}

// note enters a target that has just registered.
func (w *warmupTable) note(now kernel.Instant, target directory.Target) {
	if target.Warmup == nil {
		return
	}
	if len(w.since) >= w.sweepAt {
		maps.DeleteFunc(w.since, func(_ directory.Token, at kernel.Instant) bool { return now.Sub(at) > target.Warmup.Remaining })
		// Twice what is left: where a whole fleet is cold at once, looking at all with
		// each of them grew with the square of the fleet.
		w.sweepAt = max(leastWarmups, 2*len(w.since))
	}
	w.since[target.Token] = now
}

// leftOf returns how much longer a target is cold.
func (w *warmupTable) leftOf(now kernel.Instant, target directory.Target) time.Duration {
	since, noted := w.since[target.Token]
	if !noted {
		since = w.readAt
	}
	return target.Warmup.Remaining - now.Sub(since)
}

// leftIn returns how much longer the targets of a zone that was taken back are cold.
func (w *warmupTable) leftIn(now kernel.Instant, zone string, warmup directory.Warmup) time.Duration {
	since, noted := w.zones[zone]
	if !noted {
		since = w.readAt
	}
	return warmup.Remaining - now.Sub(since)
}

// recordWarmup enters what a command has just made cold.
func (c *Core) recordWarmup(now kernel.Instant, command directory.Command, result directory.Result) {
	if c.state.Revision() != result.Revision {
		return
	}
	switch command.Kind {
	case directory.CommandPutTarget:
		if target, _ := c.state.Target(command.Target.ID); target.Revision == result.Revision {
			c.warmups.note(now, target)
		}
	case directory.CommandEvacuate:
		c.warmups.zones[command.Evacuation.Zone] = now
	}
}

// adjustWarmups leaves out of an update what nodes need not know: the warm-up of targets
// that are warm by now. A node counts the time that is left from when it is told.
func (c *Core) adjustWarmups(now kernel.Instant, update directory.Update) directory.Update {
	for position, target := range update.Targets {
		if target.Warmup == nil {
			continue
		}
		warmup := *target.Warmup
		warmup.Remaining = c.warmups.leftOf(now, target)
		update.Targets[position].Warmup = &warmup
		if warmup.Remaining <= 0 {
			update.Targets[position].Warmup = nil
		}
	}
	for position, evacuation := range update.Evacuations {
		var warmups []directory.ServiceWarmup
		for _, known := range evacuation.Warmups {
			known.Warmup.Remaining = c.warmups.leftIn(now, evacuation.Zone, known.Warmup)
			if known.Warmup.Remaining > 0 {
				warmups = append(warmups, known)
			}
		}
		update.Evacuations[position].Warmups = warmups
	}
	return update
}

// newWarmup returns the warm-up of a target that is cold, with its budget and stewards.
func (c *Core) newWarmup(target directory.Target) *directory.Warmup {
	warmup := directory.Warmup{Remaining: target.Warmup.Remaining, Budget: c.budget(c.warmthOf(target.Service))}
	warmup.AssignedNodes = c.stewards(target.ID, warmup.Budget, maxStewards)
	return &warmup
}

// PrepareEvacuation returns the order that begins or ends the evacuation of a zone, given on
// what this member knows.
func (c *Core) PrepareEvacuation(zone string, active bool) directory.Evacuation {
	order := directory.Evacuation{Zone: zone, Active: active, Revision: c.state.Evacuation(zone).Revision}
	if active {
		return order
	}
	return c.takeBack(order)
}

// takeBack returns the order that takes a zone back: its targets may be cold.
func (c *Core) takeBack(order directory.Evacuation) directory.Evacuation {
	services := map[string]bool{}
	c.state.EachTarget(func(target *directory.Target) {
		if target.Zone == order.Zone && target.State == directory.TargetReady {
			services[target.Service] = true
		}
	})
	for _, service := range slices.Sorted(maps.Keys(services)) {
		warmth := c.warmthOf(service)
		if warmth.Time <= 0 {
			continue
		}
		warmup := directory.Warmup{Remaining: warmth.Time, Budget: c.budget(warmth)}
		warmup.AssignedNodes = c.stewards(order.Zone, warmup.Budget, maxZoneStewards)
		order.Warmups = append(order.Warmups, directory.ServiceWarmup{Service: service, Warmup: warmup})
	}
	return order
}

// warmthOf returns what the configuration states about a service's cold targets.
func (c *Core) warmthOf(name string) WarmupConfig {
	if c.settings.WarmthOf == nil {
		return WarmupConfig{}
	}
	for _, service := range c.state.Configuration().Services {
		if service.Name != name {
			continue
		}
		warmth, err := c.settings.WarmthOf(service)
		if err != nil {
			c.logEvent(eventlog.WarmthUnreadable, "service", name, "err", err)
			return WarmupConfig{}
		}
		return warmth
	}
	return WarmupConfig{}
}

// budget returns the number of new flows that a cold target gets in a second at
// most: what it bears, and one at least so that it is used at all, within the
// limits. It is 0 where no rate is stated.
func (c *Core) budget(warmth WarmupConfig) uint32 {
	if warmth.Rate <= 0 {
		return 0
	}
	bound := warmth.Rate*c.settings.WarmupLimits.Factor + c.settings.WarmupLimits.Slack
	return uint32(max(1, min(bound, warmth.Rate)))
}

// stewards returns the nodes that share a budget: some of those that follow this
// member, each with a share of one flow at least. The same nodes are chosen for the
// same key, a node as often as its processor is strong.
func (c *Core) stewards(key string, budget uint32, limit int) []uint32 {
	if budget == 0 {
		return nil
	}
	nodes := c.weighNodes()
	var stewards []uint32
	for _, position := range rendezvous.BestN(nodes, rendezvous.Hash(key), min(limit, int(budget))) {
		stewards = append(stewards, uint32(nodes[position].Seed))
	}
	return stewards
}
