package edge

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

// input is a typed message for the goroutine that owns the core.
type input interface {
	handle(p *Process, now kernel.Instant)
}

func (p *Process) runTicker() {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.inputs.TryPush(tickInput{})
		case <-p.stopped:
			return
		}
	}
}

// runCore owns the core until the ring is closed.
func (p *Process) runCore() {
	defer p.sender.stop()
	var batch []input
	for {
		var open bool
		batch, open = p.inputs.PopBatch(batch[:0], inputBatch)
		if !open {
			return
		}
		now := p.now()
		for _, message := range batch {
			message.handle(p, now)
		}
		p.sender.flush(p.now())
	}
}

type tickInput struct{}

func (tickInput) handle(p *Process, now kernel.Instant) {
	p.ticks++
	p.sender.tick(now)
	p.endMemory(now)
	p.tickRoom(now)
	var heard []directory.Token
	if p.ticks%reportsPerHeard == 0 {
		heard = p.beats.TakeAcknowledged()
	}
	p.subscriber.report(p.core.Report(now, reportInterval), heard)
	p.subscriber.tellSpeeds(p.core.TakeSpeeds(now))
	p.prober.ask(p.core.Probes(now))
	if p.ticks%reportsPerSweep == 0 {
		p.core.Tick(now)
		p.noteUnkept()
		p.metrics.flows.Set(float64(p.core.Flows()))
		p.metrics.waitingFlows.Set(float64(p.core.WaitingFlows()))
	}
	if p.ticks%(reportsPerSweep*sweepsPerSpeeds) == 0 {
		p.observeSpeeds(now)
	}
}
