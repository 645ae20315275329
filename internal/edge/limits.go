package edge

import (
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/hosting"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/steer"
	"github.com/beamdoor/beamdoor/internal/strength"
)

// waitlistCapacity returns maxWaitlist, or less if the node has too little memory for as
// many packets.
func waitlistCapacity(resources strength.Resources) int {
	return resources.MaxQueuedPackets(maxWaitlist, maxDatagram)
}

// Connections returns the limit on HTTP connections.
func (p *Process) Connections() *hosting.ConnectionLimiter { return p.connections }

// ApplySettings applies changed settings while the node runs.
func (p *Process) ApplySettings(next hosting.ReloadableSettings) {
	p.subscriber.setSeeds(next.Seeds)
	p.subscriber.setStrength(next.Strength)
	p.connections.SetLimit(next.Strength.MaxConnections())
	p.inputs.Push(strengthInput{strength: next.Strength})
}

// strengthInput applies the limits that follow from a changed strength.
type strengthInput struct{ strength strength.Resources }

func (i strengthInput) handle(p *Process, _ kernel.Instant) {
	p.core.SetFlowLimit(i.strength.MaxFlows(p.maxFlows, steer.FlowBytes))
	p.waitlist.capacity = waitlistCapacity(i.strength)
	p.logLimits(i.strength)
}

// logLimits logs the limits derived from the strength.
func (p *Process) logLimits(resources strength.Resources) {
	p.logger.Event(eventlog.BoundsSet, "strength", resources, "flows", resources.MaxFlows(p.maxFlows, steer.FlowBytes),
		"waiting", waitlistCapacity(resources), "connections", resources.MaxConnections())
}

// reportUntrackedFlows counts and logs the flows that exceeded the flow limit. They are
// still forwarded by their tokens, but they do not count as open and copies of their
// opening packets cannot be matched.
func (p *Process) reportUntrackedFlows() {
	untracked := p.core.TakeUntracked()
	if untracked == 0 {
		return
	}
	p.metrics.untrackedFlows.Add(float64(untracked))
	p.logger.Sampled(eventlog.FlowsFull, "flows", p.core.Flows(), "unkept", untracked)
}
