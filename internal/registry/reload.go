package registry

import (
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/hosting"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

// Connections returns the limiter of the connections of HTTP clients.
func (p *Process) Connections() *hosting.ConnectionLimiter { return p.connections }

// ApplySettings applies changed settings without a restart.
func (p *Process) ApplySettings(next hosting.ReloadableSettings) {
	p.connections.SetLimit(next.Strength.MaxConnections())
	p.inputs.Push(settingsInput{next: next})
}

type settingsInput struct{ next hosting.ReloadableSettings }

func (i settingsInput) handle(p *Process, _ kernel.Instant) Output {
	p.settings.Strength = i.next.Strength
	p.settings.Core.Seeds = i.next.Seeds
	if p.core != nil {
		p.core.SetSeeds(i.next.Seeds)
	}
	return Output{}
}

// checkDiskUsage logs when the member's data starts or ceases to fill its disk.
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
