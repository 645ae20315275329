package edge

import (
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/hosting"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/steer"
	"github.com/beamdoor/beamdoor/internal/strength"
)

// waitingOf returns the number of flows whose packets wait at a node of a strength.
func waitingOf(stated strength.Resources) int {
	return stated.MaxQueuedPackets(waitCapacity, maxDatagram)
}

// Connections returns the bound of those that callers over HTTP hold.
func (p *Process) Connections() *hosting.Connections { return p.connections }

// ApplySettings takes over what has changed in the settings.
func (p *Process) ApplySettings(next hosting.Changeable) {
	p.subscriber.setSeeds(next.Seeds)
	p.subscriber.setStrength(next.Strength)
	p.connections.SetLimit(next.Strength.MaxConnections())
	p.inputs.Push(strengthInput{stated: next.Strength})
}

// strengthInput brings another strength of the machine.
type strengthInput struct{ stated strength.Resources }

func (i strengthInput) handle(p *Process, _ kernel.Instant) {
	p.core.SetFlowLimit(i.stated.MaxFlows(p.flows, steer.FlowBytes))
	p.waiting.capacity = waitingOf(i.stated)
	p.logBounds(i.stated)
}

// logBounds writes what the node holds itself to.
func (p *Process) logBounds(stated strength.Resources) {
	p.logger.Event(eventlog.BoundsSet, "strength", stated, "flows", stated.MaxFlows(p.flows, steer.FlowBytes),
		"waiting", waitingOf(stated), "connections", stated.MaxConnections())
}

// noteUnkept tells of flows that found no room among those that are kept. They are
// served: a packet finds its target by its token, and only the count of open flows and
// what copies of opening packets rest on is missing.
func (p *Process) noteUnkept() {
	unkept := p.core.TakeUntracked()
	if unkept == 0 {
		return
	}
	p.metrics.unkept.Add(float64(unkept))
	p.logger.Sampled(eventlog.FlowsFull, "flows", p.core.Flows(), "unkept", unkept)
}
