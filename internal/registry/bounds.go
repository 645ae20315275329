package registry

import (
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/hosting"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

// Connections returns the bound of those that callers over HTTP hold.
func (p *Process) Connections() *hosting.Connections { return p.connections }

// ApplySettings takes over what has changed in the settings.
func (p *Process) ApplySettings(next hosting.Changeable) {
	p.connections.SetLimit(next.Strength.MaxConnections())
	p.inputs.Push(changeInput{next: next})
}

type changeInput struct{ next hosting.Changeable }

func (i changeInput) handle(p *Process, _ kernel.Instant) Output {
	p.settings.Strength = i.next.Strength
	p.settings.Core.Seeds = i.next.Seeds
	if p.core != nil {
		p.core.SetSeeds(i.next.Seeds)
	}
	return Output{}
}

// checkDiskUsage writes an event when what the member keeps begins or ceases to fill its disk.
func (p *Process) checkDiskUsage() {
	held := p.disk.PeakDiskUsage()
	p.metrics.diskHeldBytes.Set(float64(held))
	fills := p.settings.Strength.IsDiskNearlyFull(held, p.diskNearlyFull)
	if fills == p.diskNearlyFull {
		return
	}
	p.diskNearlyFull = fills
	event := eventlog.DiskRelieved
	if fills {
		event = eventlog.DiskFilling
	}
	p.logger.Event(event, "held", held, "disk", p.settings.Strength.Disk)
}
